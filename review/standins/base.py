"""What all cases share: the record, processes, free ports and the commands of the deploy file.

Everything runs on loopback addresses and on the real clock, with Python's standard library alone.
"""

import asyncio
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "umbertray")

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
#: Stand-ins that are held up for longer would blur the times that the verdicts rest on.
MOST_LAG_S = 0.2
#: A run that takes longer has no verdict.
MOST_RUN_S = 110


class CannotRun(Exception):
    """The case could not be played; this says nothing about the rule."""


def trouble():
    """Whether the disruption is played (TROUBLE=0: not)."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_command():
    """The command of one gateway, from the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
        return tomllib.load(file)["run"]


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """Writes record.txt: one line for each thing sent, answered or run, with the seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


class Processes:
    """The processes of a case. Ends them all, and removes the temporary folder, on leaving."""

    def __init__(self, record):
        self.record = record
        self.children = []
        self.folder = tempfile.mkdtemp(prefix="umbertray-review-")

    def __enter__(self):
        signal.signal(signal.SIGTERM, lambda *_: (_ for _ in ()).throw(KeyboardInterrupt()))
        return self

    def __exit__(self, *_):
        for child in self.children:
            self.kill(child)
        shutil.rmtree(self.folder, ignore_errors=True)

    def start(self, name, command, **environment):
        """Starts a process from the root of the repository, with its log in the temporary folder."""
        log = open(os.path.join(self.folder, f"{name}-{len(self.children)}.log"), "wb")
        arguments = ["/bin/sh", "-c", command] if isinstance(command, str) else command
        child = subprocess.Popen(
            arguments, cwd=ROOT, env={**os.environ, "TMPDIR": self.folder, **environment},
            stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=log)
        child.log_name = log.name
        self.children.append(child)
        self.record(f"start {name}: {command if isinstance(command, str) else ' '.join(command[1:])}")
        return child

    def kill(self, child):
        if child.poll() is None:
            child.send_signal(signal.SIGCONT)
            child.kill()
        child.wait()


async def watch_lag(lag):
    """Notes by how much the loop of the stand-ins is late, at most."""
    while True:
        began = time.monotonic()
        await asyncio.sleep(0.02)
        lag[0] = max(lag[0], time.monotonic() - began - 0.02)


def run(play, folder):
    """Plays a case on one asyncio loop; returns its exit code."""
    record = Record(folder)

    async def on_loop(processes):
        # What still runs when the case is over ends with the process.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        lag = [0.0]
        watching = asyncio.ensure_future(watch_lag(lag))
        result = await asyncio.wait_for(play(record, processes), MOST_RUN_S)
        watching.cancel()
        record(f"the stand-ins were late by {lag[0]:.3f} s at most")
        if lag[0] > MOST_LAG_S:
            raise CannotRun("the stand-ins were held up: the machine was too busy for a verdict")
        return result

    try:
        with Processes(record) as processes:
            return asyncio.run(on_loop(processes))
    except Exception as error:  # whatever it is: no verdict was reached
        record(f"could not run: {error!r}")
        return COULD_NOT_RUN


async def first_line(child, name):
    """The first line that a process prints; the case cannot run without it."""
    os.set_blocking(child.stdout.fileno(), False)
    line = b""
    for _ in range(1500):
        line += child.stdout.read() or b""
        if b"\n" in line:
            return line.split(b"\n")[0].decode()
        if child.poll() is not None:
            break
        await asyncio.sleep(0.02)
    with open(child.log_name, encoding="utf-8", errors="replace") as log:
        raise CannotRun(f"{name} did not start: {log.read()[-500:]}")
