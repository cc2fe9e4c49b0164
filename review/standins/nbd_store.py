"""A stand-in store of the store wire, version 2 (docs/store-protocol.md), with a cache and a medium.

A write is acked from the cache; a flush puts what was acked for the volume onto the medium. `lose_power`
drops the cache, as a store that dies does. It knows no moves."""

import asyncio
import struct
import time

MAGIC, VERSION = 0x554D4254, 2
READ, WRITE, ZERO, TRIM, FLUSH, STATUS = range(6)
NAMES = ["read", "write", "zero", "trim", "flush", "status"]
ACKED, ERROR, FENCED = 0, 1, 3
EXTENT_BYTES = 256 * 1024


def frame(kind, fields):
    return struct.pack(">IB", len(fields) + 1, kind) + fields


class NbdStore:
    def __init__(self, record, number, shard):
        self.record, self.number, self.shard = record, number, shard
        self.cache, self.medium = {}, {}  # (volume, extent) -> bytes
        self.flushes = 0
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def clock(self):
        return time.monotonic_ns() // 1000

    def unsafe(self):
        """The extents whose acked content is not on the medium."""
        return [at for at, data in self.cache.items() if self.medium.get(at) != data]

    def lose_power(self):
        self.cache = dict(self.medium)
        for writer in list(self.connections):
            writer.close()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                length, = struct.unpack(">I", await reader.readexactly(4))
                body = await reader.readexactly(length)
                kind, fields = body[0], body[1:]
                if kind == 1:
                    welcome = struct.pack(">IHQIQ", MAGIC, VERSION, self.number, self.shard, self.clock())
                    writer.write(frame(65, welcome))
                elif kind == 2:
                    self.dispatch(writer, fields)
                elif kind == 4:
                    writer.write(frame(69, fields[:8] + struct.pack(">QH", self.clock(), 0)))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def dispatch(self, writer, fields):
        number, _, volume, extent, _, work, offset, length, _, not_after, voids = struct.unpack_from(
            ">QQQQQBIIdQH", fields)
        data = fields[struct.calcsize(">QQQQQBIIdQH") + 8 * voids + 1:]
        durable = fields[struct.calcsize(">QQQQQBIIdQH") + 8 * voids]
        at, code, stretches = (volume, extent), ACKED, b""
        if self.clock() > not_after:
            code = FENCED
        elif work in (WRITE, ZERO, TRIM):
            content = bytearray(self.cache.get(at, bytes(EXTENT_BYTES)))
            content[offset:offset + length] = data if work == WRITE else bytes(length)
            self.cache[at] = bytes(content)
            if durable:
                self.medium[at] = self.cache[at]
        elif work == FLUSH:
            self.flushes += 1
            for key, content in self.cache.items():
                if key[0] == volume:
                    self.medium[key] = content
        elif work == READ:
            content = self.cache.get(at, bytes(EXTENT_BYTES))[offset:offset + length]
            writer.write(frame(66, struct.pack(">QI", number, offset) + content))
        elif work == STATUS:
            stretches = struct.pack(">IB", length, 1)
        self.record(f"store {self.number}: {NAMES[work]} of extent {extent} at {offset}, {length} bytes: "
                    f"{'done' if code == ACKED else 'fenced'}")
        answer = struct.pack(">QBQQBdHH", number, code, self.clock(), 0, 0, 0.0, 0, len(stretches) // 5)
        writer.write(frame(68, answer + stretches))
