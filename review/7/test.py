"""A node with an entry of its own in a registry gets SIGTERM while the registry does not respond.

Clients keep connections and send requests on them for as long as they stay open; the server works on each for 2.9 s, and
the deadline of the class is 3 s. SIGKILL follows 3.75 s after SIGTERM (the longest deadline, 0.7 s, and 0.05 s more). The
rule is broken if a request that the server has received from the node gets no answer.
"""

import http.client
import http.server
import json
import os
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import harness

DEADLINE = 3.0
WORK_SECONDS = 2.9
KILL_AFTER = DEADLINE + 0.7 + 0.05
CLIENTS = 24
MEMBERS = 3

SETTINGS = """
[management]
address = "127.0.0.1:{management}"

[[listener]]
name = "client"
address = "127.0.0.1:{public}"

[[registry]]
name = "main"
members = [{members}]

[registry.entry]
path = "{entry}"
name = "n1"

[[service]]
name = "evaluate"

[[service.class]]
name = "evaluate"
repeat = "safe"
aim = "3s"
deadline = "3s"

[[service.route]]
path = "/api"

[[service.server]]
name = "flag-1"
address = "127.0.0.1:{server}"
"""


class Server:
    """A server that works on each late request for WORK_SECONDS, and on the first ones briefly."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Lock()
        self.received = set()
        server = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                server.handle(self)

            def log_message(self, *_):
                pass

        self.http = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.http.daemon_threads = True
        threading.Thread(target=self.http.serve_forever, daemon=True).start()

    @property
    def port(self):
        return self.http.server_address[1]

    def handle(self, request):
        name = request.headers["x-correlation-id"]
        with self.lock:
            self.received.add(name)
        self.record.write(f"server: {name} received")
        time.sleep(0.02 if name.startswith("first") else WORK_SECONDS)
        body = name.encode()
        try:
            request.send_response(200)
            request.send_header("Content-Length", str(len(body)))
            request.end_headers()
            request.wfile.write(body)
        except OSError:
            self.record.write(f"server: the node has gone before the answer to {name}")


class Client(threading.Thread):
    """A client that opens a connection, sends one short request, rests, and sends one more on the same connection.

    If the node has closed the connection meanwhile, the node has not taken the late request, and nothing is judged.
    """

    def __init__(self, case, number, port, sends_at):
        super().__init__(daemon=True)
        self.case, self.number, self.port = case, number, port
        self.sends_at = sends_at
        self.go = threading.Event()
        self.is_connected = threading.Event()
        self.outcome = None

    def run(self):
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=10)
        try:
            connection.connect()
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.request(connection, f"first-{self.number}")
            self.is_connected.set()
            self.go.wait()
            time.sleep(max(0.0, self.sends_at() - time.monotonic()))
            self.outcome = self.request(connection, self.name_of_request)
        except (OSError, http.client.HTTPException) as error:
            self.outcome = f"no answer ({type(error).__name__})"
        self.case.record.write(f"client {self.number}: {self.name_of_request}: {self.outcome}")

    @property
    def name_of_request(self):
        return f"late-{self.number}"

    def request(self, connection, name):
        connection.request("GET", "/api", headers={"X-Correlation-Id": name})
        response = connection.getresponse()
        body = response.read().decode()
        if response.status == 200 and body != name:
            return f"a foreign answer ({body})"
        return f"status {response.status}"


def freeze_registry(case, control):
    for member in range(1, MEMBERS + 1):
        answer = harness.get(control, f"/freeze?member={member}&on=1", method="POST")
        if answer is None or answer[0] != 200:
            raise harness.CaseCannotRun(f"the registry's control: {answer}")
    case.record.write("the registry's members stop to respond")


def body(case):
    server = Server(case.record)
    case.start_stand_in("registry", ["registry", "--members", str(MEMBERS)])
    line = harness.wait_for("the registry", lambda: case.output_of("registry").strip(), 10)
    addresses = json.loads(line.splitlines()[0])["addresses"]
    control = int(addresses["control"].rsplit(":", 1)[1])
    members = ", ".join(f'"{addresses[name]}"' for name in sorted(addresses) if name != "control")
    public, management = harness.free_port(), harness.free_port()
    settings = SETTINGS.format(
        management=management, public=public, members=members, entry="/n1", server=server.port
    )
    node = case.start_program("node", ["run", "--config", case.write_file("node.toml", settings)])
    harness.wait_for("the node's entry", lambda: "registered" in case.errors_of("node"), 15)

    stopped_at = [0.0]
    clients = []
    for number in range(CLIENTS):
        after = 0.3 + number * 0.03
        clients.append(Client(case, number, public, lambda after=after: stopped_at[0] + after))
    for client in clients:
        client.start()
    for client in clients:
        if not client.is_connected.wait(10):
            raise harness.CaseCannotRun("a client has no connection")
    if harness.TROUBLE:
        freeze_registry(case, control)
        time.sleep(0.1)
    stopped_at[0] = time.monotonic()
    node.send_signal(signal.SIGTERM)
    case.record.write("SIGTERM to the node")
    for client in clients:
        client.go.set()
    while time.monotonic() < stopped_at[0] + KILL_AFTER and node.poll() is None:
        time.sleep(0.005)
    if node.poll() is None:
        node.kill()
        case.record.write("SIGKILL to the node, which was still running")
    else:
        case.record.write("the node has ended")
    for client in clients:
        client.join(12)
    lost = [
        client.name_of_request
        for client in clients
        if client.name_of_request in server.received and not (client.outcome or "").startswith("status")
    ]
    served = sum((client.outcome or "") == "status 200" for client in clients)
    case.record.write(f"{served} late requests served, {len(lost)} forwarded and not answered")
    if lost:
        return f"{len(lost)} requests that the node had forwarded got no answer: {', '.join(lost)}"
    return None


harness.run(body)
