"""A request whose last byte was written gets no answer, as its server hangs while it reads the body. See claim.txt."""

import asyncio
import os
import random
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from stand_in import HAS_TROUBLE, Discovery, NotRun, PlatformNode, main, request_head, run_to_end

MEMORY_MB = 48
DESCRIPTORS = 1024
SERVERS = 8
SECONDS = 30
# From then on these servers, three in eight, hang as soon as they are in the middle of a large body.
HANG_AT = 5
HANGING = ["s-0", "s-1", "s-2"]
SMALL_PER_SECOND = 40
LARGE_PER_SECOND = 6
# In bytes: so much that it does not fit into the buffers between the node and one server, and so little that a client
# can write all of it although the node stops reading. How much that is depends on the system, hence a range.
LARGE_BODY = (5_500_000, 7_000_000)
# How fast clients write large bodies, in bytes a second.
WRITE_RATE = 2_000_000
PIECE = 50_000
DEADLINE = 0.6
# An answer is late after the deadline and lost half a second later; the check waits ten times as long.
LOST_AFTER = 5.0


class Request:
    """One request of a client, on a connection of its own."""

    def __init__(self, number, length):
        self.id = f"{os.getpid():08x}{number:08x}"
        self.length = length
        self.written_at = None
        self.status = None

    def send(self, port, record):
        method, name = ("GET", "evaluate") if self.length is None else ("POST", "toggle")
        record.write(f"client sends {self.id}, {name}, {self.length or 0} bytes")
        connection = socket.create_connection(("127.0.0.1", port))
        writer = threading.Thread(target=self.write, args=(connection, method, name, record), daemon=True)
        writer.start()
        # The client waits for the answer from its last byte on. It gives up writing, too, in the end.
        connection.settimeout(DEADLINE + LOST_AFTER + 6)
        try:
            first = connection.recv(4096).split(b"\r\n", 1)[0].split()
            self.status = first[1].decode() if len(first) > 1 else "closed"
        except TimeoutError:
            self.status = "none"
        except OSError:
            self.status = "reset"
        waited = "not written" if self.written_at is None else f"{record.now() - self.written_at:.3f} s after its last byte"
        record.write(f"client gets {self.status} for {self.id}, {waited}")
        connection.close()

    def write(self, connection, method, name, record):
        try:
            connection.sendall(request_head(method, self.id, name, DEADLINE, self.length))
            for start in range(0, self.length or 0, PIECE):
                connection.sendall(bytes(min(PIECE, self.length - start)))
                time.sleep(PIECE / WRITE_RATE)
            self.written_at = record.now()
        except OSError:
            pass

    def is_lost(self, record):
        """Whether its last byte was written, and no answer has come long after its time."""
        if self.written_at is None or self.status not in ("none", None):
            return False
        return record.now() - self.written_at > DEADLINE + LOST_AFTER


async def start_servers(processes):
    program = os.path.join(os.path.dirname(os.path.abspath(__file__)), "server.py")
    servers = {}
    for number in range(SERVERS):
        name = f"s-{number}"
        process = processes.start([sys.executable, program, processes.folder, name], name + ".log")
        path = os.path.join(processes.folder, name + ".address")
        for _ in range(200):
            if os.path.exists(path):
                break
            await asyncio.sleep(0.05)
        else:
            raise NotRun(f"{name} did not start")
        servers[name] = (process, processes.log(name + ".address"))
    return servers


def reads_large_body(processes, name):
    """Whether the last thing that a server has noted is that it reads a large body."""
    lines = processes.log(name + ".runs").splitlines()
    what, _, length = lines[-1].split() if lines else ("", "", "0")
    return what == "reads" and int(length) >= LARGE_BODY[0]


async def play(record, processes):
    servers = await start_servers(processes)
    discovery = Discovery({name: address for name, (_, address) in servers.items()})
    await discovery.start()
    node = PlatformNode(processes, discovery, MEMORY_MB, DESCRIPTORS)
    await node.wait_until_ready()
    arrivals = random.Random(3)
    begin = time.monotonic()
    requests, threads = [], []
    waiting = list(HANGING) if HAS_TROUBLE else []
    while time.monotonic() - begin < SECONDS:
        for name in waiting[:]:
            if time.monotonic() - begin > HANG_AT and reads_large_body(processes, name):
                servers[name][0].send_signal(signal.SIGSTOP)
                record.say(f"{name} hangs from now on")
                waiting.remove(name)
        is_large = arrivals.random() < LARGE_PER_SECOND / (LARGE_PER_SECOND + SMALL_PER_SECOND)
        request = Request(len(requests), arrivals.randrange(*LARGE_BODY) if is_large else None)
        requests.append(request)
        threads.append(threading.Thread(target=request.send, args=(node.port, record), daemon=True))
        threads[-1].start()
        await asyncio.sleep(arrivals.expovariate(LARGE_PER_SECOND + SMALL_PER_SECOND))
    while any(thread.is_alive() for thread in threads):
        await asyncio.sleep(0.1)
    for name in servers:
        for line in processes.log(name + ".runs").splitlines():
            record.write(f"{name} {line}")
    return judge(requests, record)


def judge(requests, record):
    statuses = {}
    for request in requests:
        kind = ("large" if request.length else "small") + " " + str(request.status)
        statuses[kind] = statuses.get(kind, 0) + 1
    lost = [request for request in requests if request.is_lost(record)]
    record.say(f"answers: {dict(sorted(statuses.items()))}")
    record.say(f"no answer {DEADLINE + LOST_AFTER:.1f} s after the last byte was written: {len(lost)}")
    for request in lost[:5]:
        record.say(f"  {request.id}, {request.length} bytes, last byte written at {request.written_at:.3f}")
    if min(statuses.get("large 200", 0), statuses.get("small 200", 0)) < 20:
        raise NotRun("the load did not reach the servers")
    return bool(lost)


main(__file__, lambda record, processes: run_to_end(play(record, processes)))
