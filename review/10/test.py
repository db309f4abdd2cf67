"""Clients read large answers slowly at a node of the platform that has 48 MB; see claim.txt.

The platform's part is played here: once the node's anonymous memory (without the pages of its program and without what the
system holds for its sockets) is over `memory_mb`, the node is killed, and the rule is broken.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from stand_in import HAS_TROUBLE, Discovery, PlatformNode, main, read_head, request_head, run_to_end

MEMORY_MB = 48
DESCRIPTORS = 1024
SERVERS = 6
CLIENTS = 160
LARGE_ANSWER, SMALL_ANSWER = 32_000_000, 2_000
READ_RATE, PIECE = 64_000, 8_192
STARTS_EVERY = 0.02
SECONDS = 20
DEADLINE = 0.6


class Server:
    """A server that writes each answer as fast as it is taken."""

    def __init__(self, record):
        self.record = record

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        length = LARGE_ANSWER if HAS_TROUBLE else SMALL_ANSWER
        try:
            while True:
                _, headers = await read_head(reader)
                self.record.write(f"server runs {headers['x-correlation-id']}")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length)
                for start in range(0, length, 65_536):
                    writer.write(bytes(min(65_536, length - start)))
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Clients:
    """Clients that read their answers at READ_RATE, and what became of the answers."""

    def __init__(self, record, port):
        self.record, self.port = record, port
        self.begun = self.complete = self.broken = 0

    async def read_answers(self, number, until):
        count = 0
        while time.monotonic() < until:
            count += 1
            await self.read_answer(f"{os.getpid():08x}{number:04x}{count:04x}")
            await asyncio.sleep(0.2)

    async def read_answer(self, request_id):
        try:
            # A small buffer, so that the reader takes no more than it has asked for.
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port, limit=PIECE)
        except OSError:
            self.record.write("a client can't connect")
            return
        self.record.write(f"client sends {request_id}")
        try:
            writer.write(request_head("GET", request_id, "evaluate", DEADLINE))
            first, headers = await read_head(reader)
            left = int(headers.get("content-length", 0))
            self.record.write(f"client gets {first.split()[1]} for {request_id}, {left} bytes announced")
            self.begun += 1
            while left > 0:
                piece = await reader.read(PIECE)
                if not piece:
                    raise ConnectionResetError
                left -= len(piece)
                await asyncio.sleep(len(piece) / READ_RATE)
            self.complete += 1
        except (OSError, asyncio.IncompleteReadError):
            self.broken += 1
            self.record.write(f"client's answer to {request_id} breaks off")
        finally:
            writer.close()


async def watch_memory(record, node, until):
    """The platform: kills the node over its limit. Returns the greatest memory seen, in MiB, and whether it was killed."""
    greatest, last_line = 0.0, 0.0
    while time.monotonic() < until and node.process.poll() is None:
        used = node.resident_mib() or 0.0
        greatest = max(greatest, used)
        if time.monotonic() - last_line > 0.5:
            last_line = time.monotonic()
            record.write(f"the node has {used:.1f} MiB")
        if used > MEMORY_MB:
            node.process.kill()
            node.process.wait()
            record.say(f"the platform kills the node: {used:.1f} MiB of {MEMORY_MB}")
            return greatest, True
        await asyncio.sleep(0.02)
    return greatest, node.process.poll() is not None


async def play(record, processes):
    servers = {f"s-{number}": await Server(record).start() for number in range(SERVERS)}
    discovery = Discovery(servers)
    await discovery.start()
    node = PlatformNode(processes, discovery, MEMORY_MB, DESCRIPTORS)
    await node.wait_until_ready()
    clients = Clients(record, node.port)
    until = time.monotonic() + SECONDS
    memory = asyncio.create_task(watch_memory(record, node, until))
    tasks = []
    for number in range(CLIENTS):
        if node.process.poll() is None:
            tasks.append(asyncio.create_task(clients.read_answers(number, until)))
        await asyncio.sleep(STARTS_EVERY)
    greatest, was_killed = await memory
    await asyncio.wait(tasks, timeout=3)
    record.say(
        f"greatest memory {greatest:.1f} MiB of {MEMORY_MB}; answers begun {clients.begun}, complete {clients.complete}, "
        f"broken off {clients.broken}"
    )
    return was_killed


main(lambda record, processes: run_to_end(play(record, processes)))
