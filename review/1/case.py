"""An unsafe request that has run is refused. See claim.txt."""

import asyncio
import os
import random
import socket
import struct
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from stand_in import HAS_TROUBLE, Discovery, NotRun, PlatformNode, main, read_head, request_head, run_to_end

MEMORY_MB = 48
DESCRIPTORS = 1024
SERVERS = 6
SECONDS = 40
# Clients that send a body of 64 KiB at 70 kB a second, faster than the slowest that the pages allow, one request after the other. Together with the other clients
# they have at most a third of the descriptors in use for requests.
SLOW_CLIENTS = 240
SLOW_BODY = 64 << 10
SLOW_RATE = 70_000
# Clients that send a body of 6,000 bytes at once.
USUAL_BODY = 6_000
USUAL_PER_SECOND = 40
RESET_SHARE = 0.05
DEADLINE = 0.6
WORK = (0.004, 0.012)


class Servers:
    """Servers that run a request once its last byte has come. A few answers are lost: the connection is reset."""

    def __init__(self, record):
        self.record = record
        self.random = random.Random(7)
        self.run_ids = {}
        self.effects = {}
        self.resets = set()

    async def start(self):
        addresses = {}
        for number in range(SERVERS):
            server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
            addresses[f"s-{number}"] = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return addresses

    async def serve(self, reader, writer):
        try:
            while True:
                _, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await self.run(headers["x-correlation-id"], body)
                if HAS_TROUBLE and self.random.random() < RESET_SHARE:
                    self.resets.add(headers["x-correlation-id"])
                    self.record.write(f"server resets {headers['x-correlation-id']}")
                    linger = struct.pack("ii", 1, 0)
                    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    return writer.transport.abort()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def run(self, request_id, body):
        toggle = body.split(b" ", 1)[0].decode()
        self.run_ids[request_id] = self.run_ids.get(request_id, 0) + 1
        self.effects[toggle] = self.effects.get(toggle, 0) + 1
        self.record.write(f"server runs {request_id}, {toggle}")
        await asyncio.sleep(self.random.uniform(*WORK))


class Clients:
    def __init__(self, record, port):
        self.record = record
        self.port = port
        self.statuses = {}
        self.refused = []
        self.last_id = 0
        self.idle = []

    def next_id(self):
        self.last_id += 1
        return f"{os.getpid():08x}{self.last_id:08x}"

    def note(self, request_id, toggle, status):
        self.record.write(f"client gets {status} for {request_id}, {toggle}")
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if status in ("429", "503"):
            self.refused.append(request_id)

    async def connection(self):
        while self.idle:
            reader, writer, since = self.idle.pop()
            if time.monotonic() - since < 2 and not reader.at_eof():
                return reader, writer
            writer.close()
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def toggle(self, toggle, length, rate=None):
        """Sends one request and returns the status of its answer, `none` if there is none 2 s after its time."""
        request_id = self.next_id()
        body = toggle.encode().ljust(length - 1) + b"\n"
        reader, writer = await self.connection()
        try:
            head = request_head("POST", request_id, "toggle", DEADLINE, length)
            self.record.write(f"client sends {request_id}, {toggle}, {length} bytes")
            if rate is None:
                writer.write(head + body)
            else:
                writer.write(head)
                for start in range(0, length, 4096):
                    writer.write(body[start : start + 4096])
                    await asyncio.sleep(4096 / rate)
            status = await asyncio.wait_for(self.answer(reader, writer), DEADLINE + 2)
        except TimeoutError:
            status = "none"
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            status = "closed"
            writer.close()
        self.note(request_id, toggle, status)
        return status

    async def answer(self, reader, writer):
        first, headers = await read_head(reader)
        await reader.readexactly(int(headers.get("content-length", 0)))
        if headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self.idle.append((reader, writer, time.monotonic()))
        return first.split()[1]

    async def send_slowly(self, number, until):
        count = 0
        while time.monotonic() < until:
            count += 1
            await self.toggle(f"slow-{number}-{count}", SLOW_BODY, SLOW_RATE)
            await asyncio.sleep(0.02)

    async def send_and_retry(self, number):
        """As the wire page says, the client of an unsafe request tries again after a refusal only, with a new id."""
        toggle = f"toggle-{number}"
        for _ in range(3):
            if await self.toggle(toggle, USUAL_BODY) not in ("429", "503"):
                return
            await asyncio.sleep(0.05)


async def play(record, processes):
    servers = Servers(record)
    discovery = Discovery(await servers.start())
    await discovery.start()
    node = PlatformNode(processes, discovery, MEMORY_MB, DESCRIPTORS)
    await node.wait_until_ready()
    clients = Clients(record, node.port)
    until = time.monotonic() + SECONDS
    tasks = []
    for number in range(SLOW_CLIENTS):
        tasks.append(asyncio.create_task(clients.send_slowly(number, until)))
        await asyncio.sleep(0.004)
    arrivals = random.Random(11)
    number = 0
    while time.monotonic() < until:
        number += 1
        tasks.append(asyncio.create_task(clients.send_and_retry(number)))
        await asyncio.sleep(arrivals.expovariate(USUAL_PER_SECOND))
    await asyncio.wait(tasks, timeout=10)
    refused = [request_id for request_id in clients.refused if request_id in servers.run_ids]
    twice = [toggle for toggle, times in servers.effects.items() if times > 1]
    record.say(f"answers: {dict(sorted(clients.statuses.items()))}; reset by servers: {len(servers.resets)}")
    record.say(f"refused although it has run: {len(refused)} {refused[:5]}")
    record.say(f"toggles that ran twice, as clients retry what is refused: {len(twice)} {twice[:5]}")
    if clients.statuses.get("200", 0) < 1000:
        raise NotRun("the load did not reach the servers: " + processes.log("node.log")[-1000:])
    return bool(refused or twice)


main(lambda record, processes: run_to_end(play(record, processes)))
