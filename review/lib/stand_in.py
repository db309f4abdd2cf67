"""What the cases have in common: the node's process, discovery, HTTP heads, and the record.

The discovery here follows the protocol page, with pushed lists: `GET /catalog/members` and a watch that sends the whole
list first and an empty line every two seconds.
"""

import asyncio
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# What a case exits with; `run.sh` turns it into 0, 1 and 2. An error of Python exits with 1, and must not look like a result.
HELD, BROKEN, NOT_RUN = 0, 10, 2
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class NotRun(Exception):
    """The case could not run."""


def program(name):
    """The path of a built program."""
    path = os.path.join(ROOT, "target", "release", name)
    if not os.access(path, os.X_OK):
        raise NotRun(f"{path} is not built")
    return path


def run_command():
    """The command that starts a node, from the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
        return tomllib.load(file)["run"]


def free_port(kind=socket.SOCK_STREAM):
    """A port of the loopback address that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """The file `record.txt` of a case: a line for each thing that was sent, answered or run, with its time."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text, at=None):
        at = self.now() if at is None else at
        with self.lock:
            self.file.write(f"{at:9.3f} {text}\n")

    def say(self, text):
        """Writes a line to the record and to standard output."""
        self.write(text)
        with self.lock:
            self.file.flush()
        print(text, flush=True)


PR_SET_PDEATHSIG = 1
PRCTL = ctypes.CDLL(None, use_errno=True).prctl


def end_with_parent():
    """Has the system kill this process when the case ends, also if the case is killed and can't end it."""
    PRCTL(PR_SET_PDEATHSIG, signal.SIGKILL)


class Processes:
    """The processes that a case has started; all of them are ended at its end."""

    def __init__(self):
        self.folder = tempfile.mkdtemp(prefix="reelfall-review-")
        self.started = []

    def start(self, command, log_name, environment=None):
        log = open(os.path.join(self.folder, log_name), "a")
        process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=dict(os.environ, **(environment or {})),
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            preexec_fn=end_with_parent,
        )
        log.close()
        self.started.append(process)
        return process

    def log(self, log_name):
        with open(os.path.join(self.folder, log_name)) as file:
            return file.read()

    def end(self):
        for process in self.started:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Discovery:
    """The agent of a deployment whose lists are pushed. `servers` maps names to addresses."""

    def __init__(self, servers):
        self.servers = servers

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def list(self):
        endpoints = [
            {
                "name": name,
                "address": address,
                "zone": "lekki-dc",
                "type": "mid-box",
                "group": 0,
                "status": "active",
                "weight": 1.0,
                "since_ms": 0,
            }
            for name, address in self.servers.items()
        ]
        return {"index": 1, "snapshot": True, "endpoints": endpoints}

    async def serve(self, reader, writer):
        text = json.dumps(self.list()).encode()
        try:
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                if b"watch=1" not in request.split(b"\r\n", 1)[0]:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
                    await writer.drain()
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                line = text + b"\n"
                while True:
                    writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                    await writer.drain()
                    await asyncio.sleep(2)
                    line = b"\n"
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


# Name, share, quota in requests a second, as the wire page shows them.
TENANTS = [
    ("okoli-pay", 0.27, 80.0),
    ("ada-market", 0.24, 71.0),
    ("zuma-ride", 0.13, 39.0),
    ("ebi-loans", 0.08, 24.0),
    ("kano-mart", 0.08, 24.0),
    ("ifeoma-health", 0.06, 18.0),
    ("oyo-transit", 0.05, 15.0),
    ("benue-agro", 0.05, 15.0),
    ("ije-books", 0.04, 12.0),
]


def lagos_settings():
    """The settings of a node of lagos-flags, as the wire page shows them, for one node."""

    def category(name, effect, promise, deadline, worth, late_value):
        return {
            "name": name,
            "effect": effect,
            "promise": promise,
            "deadline": deadline,
            "worth": worth,
            "late-value": late_value,
            "dedup-window": 5.0,
            "key-scope": "all",
            "streamed": False,
        }

    return {
        "categories": [
            category("evaluate", "idempotent", 0.15, 0.6, 3.0, 0.2),
            category("toggle", "at_most_once", 0.2, 0.6, 5.0, 0.5),
            category("rollout", "at_most_once", 0.2, 0.5, 10.0, 0.2),
        ],
        "clients": {"marks-retry": False},
        "discovery": "push",
        "domain-type": "proxy",
        "extra": {"warm-keys": False},
        "failure-domains": ["ikeja-dc", "lekki-dc"],
        "goal": {"whole": 0.45, "worst-class": 0.1, "worst-tenant": 0.1, "worst-window": 0.35},
        "kinds": ["fast-box", "mid-box", "slow-box"],
        "layer": 0,
        "limits": {
            "cancelling": True,
            "conn-idle": 5.0,
            "connect-timeout": 0.075,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 51536,
            "max-attempts": 4,
            "max-retry-after": 0.3,
            "may-probe": False,
            "may-tell": False,
            "most-held": 128841,
            "retry-after": True,
            "second-copies": False,
            "streams-per-conn": 1,
        },
        "locality": "lekki-dc",
        "my-number": 0,
        "over-share-worth": 0.1,
        "prices": {
            "connection": 0.0,
            "cross-zone": 0.02,
            "discovery": 0.0,
            "handshake": 0.05,
            "late-fail": 0.05,
            "moves": 0.0,
            "origin": 0.0,
            "peer": 0.0,
            "probe": 0.0,
            "waste": 0.05,
        },
        "replicas-of-me": 1,
        "report": {"columns": [], "via": "silent"},
        "rules": {
            "answer-slack": 0.008,
            "cold-from": 0.33,
            "drain-grace": 0.5,
            "must-ask-in": 10.0,
            "overload-factor": 3.0,
            "tip-after": 1.0,
            "warm-after": 8.9,
        },
        "stages": ["flag-servers"],
        "tenants": [{"name": name, "portion": share, "quota-rps": quota} for name, share, quota in TENANTS],
        "tick": 0.002,
        "value-by": "work",
        "weight-kind": "nominal",
    }


class PlatformNode:
    """One node, started by the deploy file's command as the deployment page describes it."""

    def __init__(self, processes, discovery, memory_mb, sockets):
        self.port = free_port()
        listen = f"127.0.0.1:{self.port}"
        temporary = os.path.join(processes.folder, "tmp")
        os.makedirs(temporary)
        path = os.path.join(processes.folder, "config.json")
        config = {
            "name": "n1",
            "listen": listen,
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": discovery.list(),
            "settings": lagos_settings(),
        }
        with open(path, "w") as file:
            json.dump(config, file)
        environment = {
            "ROUTER_NAME": "n1",
            "ROUTER_LISTEN": listen,
            "ROUTER_DISCOVERY": discovery.address,
            "ROUTER_CONFIG": path,
            "TMPDIR": temporary,
        }
        self.process = processes.start(["/bin/sh", "-c", run_command()], "node.log", environment)

    async def wait_until_ready(self):
        end = time.monotonic() + 30
        while time.monotonic() < end and self.process.poll() is None:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise NotRun("the node did not get ready")

    def resident_mib(self):
        """The anonymous memory of the process, without the pages of its program; `None` once it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                fields = dict(line.split(":", 1) for line in file if ":" in line)
            return int(fields["RssAnon"].split()[0]) / 1024
        except (OSError, KeyError):
            return None


async def read_head(reader):
    """The first line of a message, and its headers with lower-case names."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.split("\r\n")
    pairs = (line.split(":", 1) for line in lines if ":" in line)
    return first, {name.lower(): value.strip() for name, value in pairs}


def request_head(method, request_id, service_class, time_left, length=None):
    """The head of a client's request in the form of the protocol page."""
    # Each tenant has its share of the requests; which one a request belongs to follows from its id.
    tenant = random.Random(request_id).choices([t[0] for t in TENANTS], [t[1] for t in TENANTS])[0]
    lines = [
        f"{method} /api HTTP/1.1",
        "Host: api.internal",
        f"X-Correlation-Id: {request_id}",
        f"X-Service-Class: {service_class}",
        f"X-Account: {tenant}",
        f"X-Time-Left: {time_left:.3f}",
    ]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


LOOP = asyncio.new_event_loop()


def run_to_end(case):
    """Runs a coroutine. What else still runs on its loop ends with the process."""
    return LOOP.run_until_complete(case)


def main(case):
    """Runs `case(record, processes)`, which returns whether the rule was broken, and exits with the result.

    The first argument of the program is the path of the record."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(sys.argv[1])
    processes = Processes()
    result = NOT_RUN
    try:
        result = BROKEN if case(record, processes) else HELD
    except BaseException as error:
        record.say(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        processes.end()
        record.say({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[result])
        record.file.close()
    sys.stdout.flush()
    os._exit(result)
