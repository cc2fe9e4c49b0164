"""Stand-ins of the platform of `umbertray node`, after the page PROTOCOL: a store, the agent of discovery, and
a client. All run on one asyncio loop in the process of the case."""

import asyncio
import contextlib
import json
import os

from base import CannotRun, first_line, run_command


async def read_message(reader):
    """Reads one HTTP/1.1 message with Content-Length: (first line, headers, body, time of the first byte)."""
    first = await reader.read(1)
    if not first:
        return None
    at = asyncio.get_running_loop().time()
    head = first + await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body, at


def message(first_line_text, headers, body=b""):
    lines = [first_line_text] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """A store that holds one shard and answers each request with 200 after `work` seconds.

    With `answer_lost` (a function of the request's id), it does the work and the answer never arrives: nothing
    comes back on that connection."""

    def __init__(self, uid, shard, zone, work, answer_lost=lambda request_id: False):
        self.uid, self.shard, self.zone, self.work = uid, shard, zone, work
        self.answer_lost = answer_lost
        self.state, self.boot_ms = "ready", 0
        #: (time of the first byte on the loop's clock, first line, id, milliseconds left that it was told), one
        #: for each request that came.
        self.arrivals = []

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return self

    def entry(self):
        return {"uid": self.uid, "endpoint": self.address, "az": self.zone, "model": "m",
                "pod_group": self.shard, "state": self.state, "capacity_hint": 1.0, "boot_ms": self.boot_ms}

    async def serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                line, headers, _, at = request
                request_id = headers.get("x-correlation-id", "")
                self.arrivals.append((at, line, request_id, int(headers.get("x-time-left-ms", "0"))))
                await asyncio.sleep(self.work)
                if self.answer_lost(request_id):
                    await reader.read(1)  # until the gateway ends the connection
                    return
                body = f"{self.uid} {request_id}".encode()
                writer.write(message("HTTP/1.1 200 OK", [("Content-Type", "text/plain")], body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


BEAT_S = 2.0


def time_to_beat():
    """The time until the next heartbeat of the watches."""
    return BEAT_S - asyncio.get_running_loop().time() % BEAT_S


class Agent:
    """The agent of discovery on one gateway's machine: the whole list, or a watch on its changes.

    While discovery is down it is silent: it takes connections and requests and answers nothing. Calls that
    still wait when discovery returns are answered then; a watch that fell silent stays so, and has to be
    opened anew."""

    def __init__(self, record, name, stores):
        self.record, self.name, self.stores = record, name, stores
        self.version = 1
        self.up = asyncio.Event()
        self.up.set()
        self.watches = []
        #: uid of a store -> when its change was first written to the gateway, on the loop's clock.
        self.told = {}

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        self.beating = asyncio.ensure_future(self.beat())
        return self

    async def beat(self):
        """An empty line to each open watch every 2 s, those of all agents at the same moments."""
        while True:
            await asyncio.sleep(time_to_beat())
            for watch in self.watches:
                self.write_line(watch, None)

    def list(self, complete, stores):
        return {"rev": self.version, "all": complete, "targets": [store.entry() for store in stores]}

    def go_down(self):
        self.up.clear()
        self.watches = []

    def return_(self):
        self.up.set()

    def change(self, changed):
        """Takes a change of stores; written to all open watches at once."""
        self.version += 1
        for watch in self.watches:
            self.write_line(watch, self.list(False, changed))

    def note_told(self, entries):
        now = asyncio.get_running_loop().time()
        for entry in entries["targets"]:
            if entry["state"] != "ready" and entry["uid"] not in self.told:
                self.told[entry["uid"]] = now
                self.record(f"{self.name}: told of {entry['uid']} {entry['state']}")

    def write_line(self, writer, value):
        text = ("" if value is None else json.dumps(value)) + "\n"
        writer.write(f"{len(text):x}\r\n{text}\r\n".encode())
        if value is not None:
            self.note_told(value)

    async def serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                target = request[0].split(" ")[1]
                self.record(f"{self.name}: discovery asked {target}" + ("" if self.up.is_set() else " (down)"))
                await self.up.wait()
                if writer.is_closing() or reader.at_eof():
                    return
                if "watch=1" in target:
                    return await self.serve_watch(reader, writer)
                whole = self.list(True, self.stores)
                writer.write(message("HTTP/1.1 200 OK", [("Content-Type", "application/json")],
                                     json.dumps(whole).encode()))
                self.note_told(whole)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer in self.watches:
                self.watches.remove(writer)
            with contextlib.suppress(RuntimeError):  # the loop may have ended by now
                writer.close()

    async def serve_watch(self, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.write_line(writer, self.list(True, self.stores))
        self.watches.append(writer)
        await reader.read(1)  # until the gateway ends the connection


class Gateway:
    """One gateway, started by the command of the deploy file with a configuration of its own."""

    def __init__(self, processes, record, name, agent, settings, seed, known):
        self.processes, self.record, self.name = processes, record, name
        self.agent, self.settings, self.seed, self.known = agent, settings, seed, known

    async def start(self):
        file = os.path.join(self.processes.folder, f"{self.name}.json")
        listen = "127.0.0.1:0"
        configuration = {
            "name": self.name, "listen": listen, "discovery": self.agent.address, "seed": self.seed,
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "known": self.known, "settings": self.settings}
        with open(file, "w", encoding="utf-8") as out:
            json.dump(configuration, out)
        self.child = self.processes.start(
            self.name, run_command(), ROUTER_CONFIG=file, ROUTER_NAME=self.name, ROUTER_LISTEN=listen,
            ROUTER_DISCOVERY=self.agent.address)
        line = await first_line(self.child, self.name)
        host, port = json.loads(line)["http"][0].rsplit(":", 1)
        self.host, self.port = host, int(port)
        for _ in range(300):
            if (await Client(self).get("/health/ready")) == 200:
                return self
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} was not ready within 30 s")


class Client:
    """One connection of a client to a gateway; one request at a time."""

    numbers = iter(range(1, 1 << 40))

    def __init__(self, gateway):
        self.gateway, self.reader, self.writer = gateway, None, None

    async def exchange(self, data):
        if self.writer is None or self.writer.is_closing() or self.reader.at_eof():
            self.reader, self.writer = await asyncio.open_connection(self.gateway.host, self.gateway.port)
        self.writer.write(data)
        answer = await read_message(self.reader)
        if answer is None:
            raise ConnectionResetError("closed without an answer")
        return answer

    async def get(self, path):
        line, _, _, _ = await self.exchange(message(f"GET {path} HTTP/1.1", [("Host", "origin.svc")]))
        self.writer.close()
        return int(line.split(" ")[1])

    async def ask(self, op_type, write, volume, key, plan, time_left_ms, shard, body=b""):
        """Sends one request. Returns (id, status or None if there was no answer, body)."""
        request_id = self.next_id = f"{next(Client.numbers):016x}"
        headers = [
            ("Host", "origin.svc"), ("X-Correlation-Id", request_id), ("X-Qos-Policy", plan),
            ("X-Time-Left-Ms", time_left_ms), ("X-Placement", f"units=1,shard={shard},hosts=1")]
        method = "PUT" if write else "GET"
        data = message(f"{method} /{op_type}/{volume:016x}/{key:016x} HTTP/1.1", headers, body)
        try:
            line, _, answer, _ = await self.exchange(data)
            return request_id, int(line.split(" ")[1]), answer
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            self.writer = None
            return request_id, None, b""
