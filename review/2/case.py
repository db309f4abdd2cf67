"""A request whose last byte was written gets no answer, as its server hangs while it reads the body. See claim.txt."""

import array
import asyncio
import fcntl
import os
import random
import signal
import socket
import sys
import termios
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from stand_in import HAS_TROUBLE, Discovery, NotRun, PlatformNode, main, request_head, run_to_end

MEMORY_MB = 48
DESCRIPTORS = 1024
SERVERS = 8
SECONDS = 25
# At BURST_AT, clients begin large bodies. At HANG_AT these servers, half of them, hang, in the middle of those bodies. The
# clients write on at RESUME_AT.
BURST_AT = 4.0
HANG_AT = 5.0
RESUME_AT = 5.5
HANGING = ["s-0", "s-1", "s-2", "s-3"]
SMALL_PER_SECOND = 40
LARGE_PER_SECOND = 2
BURST = 60
# In bytes: so much that it does not fit into the buffers between the node and one server, and so little that a client
# can write all of it although the node stops reading. How much that is depends on the system, hence a range.
LARGE_BODY = (4_000_000, 4_700_000)
FIRST_PIECE = 100_000
DEADLINE = 0.6
# An answer is late after the deadline and lost half a second later; the check waits ten times as long.
LOST_AFTER = 5.0


class Request:
    """One request of a client, on a connection of its own."""

    def __init__(self, number, length, resume_at=None):
        self.id = f"{os.getpid():08x}{number:08x}"
        self.length = length
        # When the client writes on after the first piece of its body, on the clock of the system.
        self.resume_at = resume_at
        self.written_at = None
        self.status = None
        # Bytes that the node's machine had not acknowledged when the client stopped waiting.
        self.unacknowledged = None

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
        self.unacknowledged = unacknowledged(connection)
        waited = "not written" if self.written_at is None else f"{record.now() - self.written_at:.3f} s after its last byte"
        record.write(f"client gets {self.status} for {self.id}, {waited}, {self.unacknowledged} bytes unacknowledged")
        connection.close()

    def write(self, connection, method, name, record):
        try:
            connection.sendall(request_head(method, self.id, name, DEADLINE, self.length))
            body = bytes(self.length or 0)
            connection.sendall(body[:FIRST_PIECE])
            if self.resume_at is not None:
                time.sleep(max(0, self.resume_at - time.monotonic()))
            connection.sendall(body[FIRST_PIECE:])
            self.written_at = record.now()
        except OSError:
            pass

    def is_lost(self, record):
        """Whether its last byte was written, and no answer has come long after its time."""
        if self.written_at is None or self.status != "none":
            return False
        return record.now() - self.written_at > DEADLINE + LOST_AFTER


def unacknowledged(connection):
    """Bytes that were written to a connection and that the other machine has not acknowledged."""
    count = array.array("i", [0])
    fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, count)
    return count[0]


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


async def play(record, processes):
    servers = await start_servers(processes)
    discovery = Discovery({name: address for name, (_, address) in servers.items()})
    await discovery.start()
    node = PlatformNode(processes, discovery, MEMORY_MB, DESCRIPTORS)
    await node.wait_until_ready()
    arrivals = random.Random(3)
    begin = time.monotonic()
    requests, threads = [], []

    def send(length, resume_at=None):
        requests.append(Request(len(requests), length, resume_at))
        threads.append(threading.Thread(target=requests[-1].send, args=(node.port, record), daemon=True))
        threads[-1].start()

    waiting = list(HANGING) if HAS_TROUBLE else []
    low, high = LARGE_BODY
    burst = [low + (high - low) * number // BURST for number in range(BURST)]
    arrivals.shuffle(burst)
    while (now := time.monotonic() - begin) < SECONDS:
        if burst and now > BURST_AT:
            send(burst.pop(), begin + RESUME_AT)
        for name in waiting if now > HANG_AT else []:
            servers[name][0].send_signal(signal.SIGSTOP)
            record.say(f"{name} hangs from now on")
        waiting = waiting if now <= HANG_AT else []
        is_large = arrivals.random() < LARGE_PER_SECOND / (LARGE_PER_SECOND + SMALL_PER_SECOND)
        send(arrivals.randrange(*LARGE_BODY) if is_large else None)
        await asyncio.sleep(0.008 if burst and now > BURST_AT else arrivals.expovariate(LARGE_PER_SECOND + SMALL_PER_SECOND))
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
    record.say(f"of these with every byte acknowledged by the node's machine: {sum(1 for r in lost if r.unacknowledged == 0)}")
    for request in lost[:9]:
        record.say(f"  {request.id}, {request.length} bytes, {request.unacknowledged} of them unacknowledged")
    if min(statuses.get("large 200", 0), statuses.get("small 200", 0)) < 20:
        raise NotRun("the load did not reach the servers")
    return bool(lost)


main(lambda record, processes: run_to_end(play(record, processes)))
