#!/usr/bin/env python3
"""The runs of docs/CAPACITY.md that need no cluster: one process of ours against scripted parties on loopback.

    cargo build --release -p umbertray-cli
    python3 deploy/capacity.py serve --stores 500 1000 2000 4000            # listed, their addresses refuse
    python3 deploy/capacity.py serve --stores 500 1000 2000 4000 --linked   # listed and connected to
    python3 deploy/capacity.py node --stores 500 1000 2000 4000             # the same two ways
    python3 deploy/capacity.py keeper --places 1000 10000 100000
    python3 deploy/capacity.py changes --volumes 100 1000 10000

UMBERTRAY names another build than target/release. Each prints one line of JSON a size: percent of a core and resident MB over --seconds (20) after --settle (5), bytes that
crossed the scripted party's sockets meanwhile, and a last line with intercept, slope and largest residual. The processes it
starts it ends by their ids.
"""

import argparse
import asyncio
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections import Counter

MAGIC, VERSION = 0x554D4254, 2
PROGRAM = os.environ.get("UMBERTRAY", os.path.join(os.path.dirname(__file__), "..", "target", "release", "umbertray"))


ENDED = (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError)


def frame(kind, fields=b""):
    return struct.pack(">IB", 1 + len(fields), kind) + fields


def address_of(store, port):
    return f"127.{1 + store // 62500}.{store // 250 % 250}.{store % 250 + 1}:{port}"


def entry(store, port, age=None):
    text = address_of(store, port).encode()
    told = b"\0" if age is None else struct.pack(">BQ", 1, age)
    return struct.pack(">QH", store, len(text)) + text + struct.pack(">IIBQ", store, store % 6, 1, 1) + told


class Party:
    """What the scripted side saw; counted at its sockets."""

    def __init__(self):
        self.seen = Counter()


async def frames(reader, party, way):
    while True:
        head = await reader.readexactly(4)
        body = await reader.readexactly(struct.unpack(">I", head)[0])
        party.seen[way + "_frames"] += 1
        party.seen[way + "_bytes"] += 4 + len(body)
        yield body[0], body[1:]


def sends(writer, party, way, data):
    party.seen[way + "_bytes"] += len(data)
    writer.write(data)


async def now_and_then(seconds, writer, tell):
    while seconds:
        await asyncio.sleep(seconds)
        if writer.is_closing():
            return
        tell()


def list_service(party, stores, port, options):
    def told(kind, named):
        return frame(kind, struct.pack(">H", len(named)) + b"".join(entry(store, port) for store in named))

    whole, one = told(66, range(stores)), told(67, [0])

    async def serve(reader, writer):
        def tell(data):
            party.seen["list_news"] += 1
            sends(writer, party, "list_out", data)

        telling = [asyncio.create_task(now_and_then(options.whole_every, writer, lambda: tell(whole))),
                   asyncio.create_task(now_and_then(options.delta_every, writer, lambda: tell(one)))]
        try:
            async for kind, fields in frames(reader, party, "list_in"):
                if kind == 1:
                    sends(writer, party, "list_out", frame(65, struct.pack(">IHQ", MAGIC, VERSION, 0)))
                elif kind in (2, 3):
                    sends(writer, party, "list_out", whole)
                await writer.drain()
        except ENDED:
            [task.cancel() for task in telling]

    return serve


def store_service(party):
    async def serve(reader, writer):
        ip = writer.get_extra_info("sockname")[0].split(".")
        store = (int(ip[1]) - 1) * 62500 + int(ip[2]) * 250 + int(ip[3]) - 1
        party.seen["links"] += 1
        try:
            async for kind, fields in frames(reader, party, "store_in"):
                if kind == 1:
                    told = struct.pack(">IHQIQ", MAGIC, VERSION, store, store, time.time_ns() // 1000)
                    sends(writer, party, "store_out", frame(65, told))
                elif kind == 4:
                    told = fields + struct.pack(">QH", time.time_ns() // 1000, 0)
                    sends(writer, party, "store_out", frame(69, told))
        except ENDED:
            pass
        party.seen["links"] -= 1

    return serve


def discovery(party, stores, port, options):
    def told(store):
        entry = {"uid": f"node-{store:012x}", "endpoint": address_of(store, port), "az": "abcdef"[store % 6], "model": "m",
                 "pod_group": store, "state": "ready", "capacity_hint": 1.0, "boot_ms": 0}
        return json.dumps(entry, separators=(",", ":"))

    def listed(whole, named):
        return f'{{"rev":1,"all":{whole},"targets":[{",".join(map(told, named))}]}}\n'.encode()

    whole, one = listed("true", range(stores)), listed("false", [0])

    async def serve(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                party.seen["list_in_bytes"] += len(head)
                if b"watch=1" not in head.split(b"\r\n")[0]:
                    sends(writer, party, "list_out", b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(whole) + whole)
                    continue
                sends(writer, party, "list_out", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

                def tell(data, news=1):
                    party.seen["list_news"] += news
                    sends(writer, party, "list_out", b"%x\r\n%s\r\n" % (len(data), data))

                await asyncio.gather(now_and_then(2, writer, lambda: tell(b"\n", 0)), now_and_then(options.whole_every, writer, lambda: tell(whole)),
                                     now_and_then(options.delta_every, writer, lambda: tell(one)))
        except ENDED:
            pass

    return serve


def http_store(party):
    async def serve(reader, writer):
        party.seen["links"] += 1
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
        except ENDED:
            pass
        party.seen["links"] -= 1

    return serve


def used(pid):
    stat = open(f"/proc/{pid}/stat").read().rsplit(")", 1)[1].split()
    rss = next(line for line in open(f"/proc/{pid}/status") if line.startswith("VmRSS"))
    return (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK"), int(rss.split()[1]) / 1024


def threads(pid):
    return len(os.listdir(f"/proc/{pid}/task"))


def descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


class Child:
    def __init__(self, *arguments):
        self.log = tempfile.TemporaryFile()
        self.process = subprocess.Popen([PROGRAM, "--log-level", "warn", *arguments], stdout=subprocess.PIPE, stderr=self.log)
        self.pid = self.process.pid

    def first_line(self):
        line = self.process.stdout.readline()
        if not line:
            self.log.seek(0)
            sys.exit(f"{self.process.args}: {self.log.read().decode()[-2000:]}")
        return json.loads(line)

    def end(self):
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(5)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


async def measured(child, party, options):
    await asyncio.sleep(options.settle)
    seen, (busy, _), at = Counter(party.seen), used(child.pid), time.monotonic()
    begun = busy
    most = 0.0
    while time.monotonic() < at + options.seconds:
        await asyncio.sleep(1)
        most = max(most, used(child.pid)[1])
    past = time.monotonic() - at
    busy = used(child.pid)[0] - busy
    crossed = {name: round((count - seen[name]) / past, 1) for name, count in party.seen.items() if name != "links"}
    return {"idle_core_percent": round(100 * busy / past, 2), "rss_mb": round(most, 1), "threads": threads(child.pid),
            "descriptors": descriptors(child.pid), "cpu_s_to_settled": round(begun, 2), "a_second": crossed, "links": party.seen["links"]}


def fit(points):
    """Least squares: intercept, slope, largest residual."""
    n = len(points)
    if n < 2:
        return None
    mx, my = sum(x for x, _ in points) / n, sum(y for _, y in points) / n
    slope = sum((x - mx) * (y - my) for x, y in points) / (sum((x - mx) ** 2 for x, _ in points) or 1)
    worst = max(abs(my + slope * (x - mx) - y) for x, y in points)
    return {"intercept": round(my - slope * mx, 3), "slope": float(f"{slope:.4g}"), "largest_residual": round(worst, 3)}


def fits(name, lines, fields):
    told = {field: fit([(line[name], line[field]) for line in lines]) for field in fields}
    print(json.dumps({"fit_over": name, **told}), flush=True)


SHARED = """
op_type("lookup", target_latency = 100 * ms, op_timeout = 1.0, utility = 3)
op_type("update", target_latency = 200 * ms, op_timeout = 2.0, utility = 2)
request(["read", "status"], op_type = "lookup")
request(["write", "zero", "flush", "trim"], op_type = "update")
plan("basic", weight = 1, rate = 300)
for i in range(VOLUMES):
    volume("volume-%d" % i, size = 64 * MiB, plan = "basic", gateways = 3)
rules(cold_from = 0.25, cold_time = 4, cold_units = 40, fall_multiple = 3, fall_time = 1,
      further_free = 5, further_share = 0.2, further_span = 10)
"""


async def serve(options):
    lines = []
    for stores in options.stores:
        party = Party()
        links = await asyncio.start_server(store_service(party), "0.0.0.0" if options.linked else "127.0.0.1", 0, backlog=4096)
        port = links.sockets[0].getsockname()[1]
        if not options.linked:
            links.close()
        listing = await asyncio.start_server(list_service(party, stores, port, options), "127.0.0.1", 0)
        at = listing.sockets[0].getsockname()[1]
        with tempfile.TemporaryDirectory() as folder:
            script = os.path.join(folder, "gateway.star")
            with open(script, "w") as file:
                file.write(f'gateway(listen = ["127.0.0.1:0"], list = "127.0.0.1:{at}", gateways = 1700, '
                           f'connect_timeout = {options.connect})\n')
                file.write(SHARED.replace("VOLUMES", str(options.volumes)))
            child = Child("serve", "--config", script)
            try:
                await asyncio.to_thread(child.first_line)
                line = {"role": "serve", "stores": stores, "volumes": options.volumes, **await measured(child, party, options)}
            finally:
                child.end()
        listing.close()
        links.close()
        lines.append(line)
        print(json.dumps(line), flush=True)
    fits("stores", lines, ["idle_core_percent", "rss_mb"])


NODE = {"discovery": "automatic", "failureDomains": list("abcdef"), "groupSize": 1700,
        "familyInfo": {"coldUnits": 4.0, "maxUnits": 6, "meanUnits": 2.0, "slotsTotal": 4000, "writes": [False]},
        "limits": {"connIdleS": 600.0, "dialTimeoutS": 0.25, "maxAttempts": 3, "maxRetryAfterS": 1.0},
        "profiles": [{"name": "look", "promiseS": 0.1, "deadlineS": 2.0, "effect": "free", "gain": 3.0}],
        "contracts": [{"name": "basic", "rate": 50.0, "weight": 1.0}],
        "rules": {"coldFrom": 0.25, "coldS": 10.0, "drainGraceS": 1.0, "fallS": 1.0, "tipMultiple": 2.0},
        "telemetry": {"fields": ["util"], "via": "answers"}, "tickS": 0.002}


async def node(options):
    lines = []
    for stores, clients in [(stores, clients) for stores in options.stores for clients in options.clients]:
        party = Party()
        links = await asyncio.start_server(http_store(party), "0.0.0.0", 0, backlog=4096)
        port = links.sockets[0].getsockname()[1]
        listing = await asyncio.start_server(discovery(party, stores, port, options), "127.0.0.1", 0)
        at = listing.sockets[0].getsockname()[1]
        told = {"name": "g0", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{at}", "seed": "0f",
                "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 16384}, "known": {"rev": 0, "all": True, "targets": []},
                "settings": json.loads(json.dumps(NODE))}
        told["settings"]["profiles"][0]["promiseS"] = options.target
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(told, file)
            file.flush()
            child = Child("node", "--config", file.name)
            try:
                told = (await asyncio.to_thread(child.first_line))["http"][0].rsplit(":", 1)
                await asyncio.sleep(1)
                open_clients = await asyncio.to_thread(guests, told[0], int(told[1]), clients)
                asked = await asyncio.to_thread(op_at_each, told[0], int(told[1]), stores) if options.linked else 0
                line = {"role": "node", "stores": stores, "clients": clients, "acked": asked, **await measured(child, party, options)}
            finally:
                child.end()
        listing.close()
        links.close()
        lines.append(line)
        print(json.dumps(line), flush=True)
    fits("clients" if len(options.clients) > 1 else "stores", lines, ["idle_core_percent", "rss_mb"])


def guests(host, port, count):
    """Clients that have asked one thing, had their answer, and say nothing more."""
    clients = []
    for _ in range(count):
        # At once: a connection that says nothing is closed after a third of the longest op timeout.
        clients.append(socket.create_connection((host, port)))
        clients[-1].sendall(b"GET /health/ready HTTP/1.1\r\nHost: g\r\n\r\n")
        clients[-1].recv(4096)
    return clients


def peers(host, port, count, lookups, rounds):
    """Each on its own connection, one question at a time."""
    all = [socket.create_connection((host, port)) for _ in range(count)]
    for number, peer in enumerate(all):
        peer.sendall(frame(1, struct.pack(">IHQ", MAGIC, VERSION, number)))
        ask(peer, b"", 4 + 1 + 14)
    for _ in range(rounds):
        for peer in all:
            peer.sendall(lookups)
        for peer in all:
            peer.recv(64)
    return all


def op_at_each(host, port, stores):
    """One op at each store, over a few connections, one after the other; how many were acked."""
    clients, acked = [socket.create_connection((host, port)) for _ in range(20)], 0
    for store in range(stores):
        client = clients[store % len(clients)]
        client.sendall(b"GET /look/%016x/%016x HTTP/1.1\r\nHost: g\r\nX-Correlation-Id: %016x\r\nX-Qos-Policy: basic\r\n"
                       b"X-Time-Left-Ms: 2000\r\nX-Placement: units=1,shard=%d,hosts=1\r\n\r\n" % (store, store, store, store))
        acked += client.recv(4096).startswith(b"HTTP/1.1 200")
    return acked


def ask(sock, asked, size):
    """Sends all, and reads as many bytes as their answers have; the time it took."""
    import threading

    at = time.monotonic()
    sender = threading.Thread(target=sock.sendall, args=(asked,))
    sender.start()
    while size > 0:
        size -= len(sock.recv(min(size, 1 << 20)))
    sender.join()
    return time.monotonic() - at


async def keeper(options):
    lines = []
    for places in options.places:
        party = Party()
        listing = await asyncio.start_server(list_service(party, 4000, 1, options), "127.0.0.1", 0)
        at = listing.sockets[0].getsockname()[1]
        with tempfile.TemporaryDirectory() as folder:
            script = os.path.join(folder, "keeper.star")
            with open(script, "w") as file:
                file.write(f'keeper(listen = "127.0.0.1:0", list = "127.0.0.1:{at}", folder = "{folder}/map")\n')
            child = Child("keeper", "--config", script)
            try:
                address = (await asyncio.to_thread(child.first_line))["keeper"].rsplit(":", 1)
                sock = socket.create_connection((address[0], int(address[1])))
                sock.sendall(frame(1, struct.pack(">IHQ", MAGIC, VERSION, 7)))
                await asyncio.to_thread(ask, sock, b"", 4 + 1 + 14)
                # Neighbours at other shards, so that none joins another's range.
                at = [struct.pack(">QQ", (i // 64 + 1) * 0x9E3779B97F4A7C15 % 2**64, i % 64) for i in range(places)]
                claims = b"".join(frame(5, struct.pack(">Q", i) + at[i] + struct.pack(">I", i % 4000)) for i in range(places))
                await asyncio.sleep(1)
                claimed = await asyncio.to_thread(ask, sock, claims, places * (4 + 1 + 8 + 1 + 12))
                rss, count = used(child.pid)[1], 200_000
                lookups = b"".join(frame(4, struct.pack(">Q", i) + at[i % places] + bytes(8)) for i in range(count))
                before = used(child.pid)[0]
                took = await asyncio.to_thread(ask, sock, lookups, count * (4 + 1 + 8 + 1 + 12))
                busy = used(child.pid)[0] - before
                alone, before = used(child.pid)[1], used(child.pid)[0]
                open_peers = await asyncio.to_thread(peers, address[0], int(address[1]), options.peers, lookups[:37], 0)
                hello, with_peers = used(child.pid)
                others = await asyncio.to_thread(peers, address[0], int(address[1]), options.peers, lookups[:37], 20)
                asked = used(child.pid)[0] - hello - (hello - before)
                one_by_one = {"peer_kb": round(1024 * (with_peers - alone) / options.peers, 1),
                              "hello_cpu_us": round(1e6 * (hello - before) / options.peers, 1),
                              "one_by_one_lookup_cpu_us": round(1e6 * asked / options.peers / 20, 2)} if options.peers else {}
                logged = sum(os.path.getsize(os.path.join(folder, "map", name)) for name in os.listdir(folder + "/map"))
                idle = await measured(child, party, options)
                line = {"role": "keeper", "places": places, "claims_a_second": round(places / claimed),
                        "lookups_a_second": round(count / took), "lookup_cpu_us": round(1e6 * busy / count, 2),
                        "log_bytes": logged, "rss_after_mb": round(rss, 1), "peers": len(open_peers) + len(others), **one_by_one, **idle}
            finally:
                child.end()
        listing.close()
        lines.append(line)
        print(json.dumps(line), flush=True)
    fits("places", lines, ["rss_after_mb", "log_bytes"])


async def changes(options):
    lines = []
    for volumes in options.volumes_listed:
        party = Party()
        listing = await asyncio.start_server(list_service(party, 1, 1, options), "127.0.0.1", 0)
        at = listing.sockets[0].getsockname()[1]
        with tempfile.TemporaryDirectory() as folder:
            shared, own, log = (os.path.join(folder, name) for name in ("shared.star", "gateway.star", "log"))
            os.mkdir(log)
            with open(shared, "w") as file:
                file.write(SHARED.replace("VOLUMES", str(volumes)))
            with open(own, "w") as file:
                file.write(f'gateway(listen = ["127.0.0.1:0"], list = "127.0.0.1:{at}", gateways = 1700, changes = "{log}", '
                           f'state = "{folder}/state")\n')

            def config(*words):
                done = subprocess.run([PROGRAM, "config", *words], capture_output=True, text=True)
                if done.returncode:
                    sys.exit(done.stderr + done.stdout)

            def size():
                return sum(os.path.getsize(os.path.join(log, name)) for name in os.listdir(log) if name.endswith(".log"))

            who = ["--changes", log, "--actor", "operations", "--reason", "capacity"]
            config("import", shared, *who)
            checkpoint = size()
            config("apply", "--set", "plan/basic:weight=2", *who)
            at_once = time.monotonic()
            config("apply", "--set", "plan/basic:weight=3", *who)
            applied = time.monotonic() - at_once
            an_entry = (size() - checkpoint) // 2
            child = Child("serve", "--config", own)
            try:
                await asyncio.to_thread(child.first_line)
                line = {"role": "serve", "volumes": volumes, "first_version_bytes": checkpoint, "entry_bytes": an_entry,
                        "apply_s": round(applied, 3),
                        **await measured(child, party, options)}
            finally:
                child.end()
        listing.close()
        lines.append(line)
        print(json.dumps(line), flush=True)
    fits("volumes", lines, ["first_version_bytes", "apply_s", "idle_core_percent", "rss_mb"])


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("run", choices=["serve", "node", "keeper", "changes"])
    parser.add_argument("--stores", type=int, nargs="+", default=[500, 1000, 2000, 4000])
    parser.add_argument("--places", type=int, nargs="+", default=[1000, 10000, 100000])
    parser.add_argument("--volumes", dest="volumes_listed", type=int, nargs="+", default=[100, 1000, 10000])
    parser.add_argument("--clients", type=int, nargs="+", default=[0])
    parser.add_argument("--target", type=float, default=0.1, help="the shortest target latency of the node run, in seconds")
    parser.add_argument("--peers", type=int, default=0, help="connections to the keeper beside the one that asks")
    parser.add_argument("--connect", type=float, default=10,
                        help="the serve run's connect time-out in seconds; one scripted process accepts for all stores")
    parser.add_argument("--linked", action="store_true")
    parser.add_argument("--whole-every", type=float, default=0, help="seconds between whole lists told unasked; 0: none")
    parser.add_argument("--delta-every", type=float, default=0, help="seconds between lists of one store that changed; 0: none")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--settle", type=float, default=5)
    options = parser.parse_args()
    options.volumes = options.volumes_listed[0] if options.run == "serve" else 0
    asyncio.run({"serve": serve, "node": node, "keeper": keeper, "changes": changes}[options.run](options))


if __name__ == "__main__":
    main()
