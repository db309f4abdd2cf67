"""One service gets more requests than its rate; another service of the same process has a request at work.

With the trouble, five requests at once come to the service `admin`, whose rate is one a second with a burst of one; without
it, one. The rule is broken if the node ends, or if a request gets no answer.
"""

import http.client
import http.server
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import harness

WORK_SECONDS = 0.4

SETTINGS = """
[management]
address = "127.0.0.1:{management}"

[[listener]]
name = "client"
address = "127.0.0.1:{public}"

[[service]]
name = "admin"
limits = {{ rate = "1/s", burst = 1 }}
tries = {{ retry_after = "0.5ms" }}

[[service.class]]
name = "admin"
repeat = "safe"
aim = "150ms"
deadline = "600ms"

[[service.route]]
path = "/admin"

[[service.server]]
name = "flag-1"
address = "127.0.0.1:{server}"

[[service]]
name = "rollout"

[[service.class]]
name = "rollout"
repeat = "unsafe"
aim = "500ms"
deadline = "900ms"

[[service.route]]
path = "/rollout"

[[service.server]]
name = "flag-1"
address = "127.0.0.1:{server}"
"""


class Server:
    """A server of both services: a rollout takes WORK_SECONDS, anything else no time."""

    def __init__(self, record):
        server = self
        self.record = record

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                server.answer(self)

            def do_POST(self):
                server.record.write("server: a rollout has begun")
                self.rfile.read(int(self.headers["Content-Length"]))
                time.sleep(WORK_SECONDS)
                server.answer(self)

            def log_message(self, *_):
                pass

        self.http = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.http.daemon_threads = True
        threading.Thread(target=self.http.serve_forever, daemon=True).start()

    @property
    def port(self):
        return self.http.server_address[1]

    def answer(self, request):
        try:
            request.send_response(200)
            request.send_header("Content-Length", "2")
            request.end_headers()
            request.wfile.write(b"ok")
        except OSError:
            self.record.write("server: the node has gone before the answer")


def send(port, method, path, name):
    """The outcome of one request."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=3)
    try:
        body = b"x" if method == "POST" else None
        connection.request(method, path, body=body, headers={"X-Correlation-Id": name})
        response = connection.getresponse()
        response.read()
        return f"status {response.status}"
    except (OSError, http.client.HTTPException) as error:
        return f"no answer ({type(error).__name__})"
    finally:
        connection.close()


def body(case):
    server = Server(case.record)
    public, management = harness.free_port(), harness.free_port()
    settings = SETTINGS.format(management=management, public=public, server=server.port)
    node = case.start("node", [harness.NODE, "run", "--config", case.write_file("node.toml", settings)])
    harness.wait_for("the node", lambda: (harness.get(management, "/-/ready") or (0,))[0] == 200, 10)

    outcomes = {}

    def request(method, path, name):
        outcomes[name] = send(public, method, path, name)
        case.record.write(f"client: {method} {path} {name}: {outcomes[name]}")

    rollout = threading.Thread(target=request, args=("POST", "/rollout", "rollout-1"))
    rollout.start()
    time.sleep(0.1)
    count = 5 if harness.TROUBLE else 1
    admins = [threading.Thread(target=request, args=("GET", "/admin", f"admin-{n}")) for n in range(count)]
    for thread in admins:
        thread.start()
    for thread in [rollout, *admins]:
        thread.join()
    time.sleep(0.3)
    ended = node.poll()
    unanswered = sorted(name for name, outcome in outcomes.items() if not outcome.startswith("status"))
    case.record.write(f"the node's exit code: {ended}")
    if ended is not None:
        return f"the node ended with code {ended}; no answer to {', '.join(unanswered)}"
    if unanswered:
        return f"no answer to {', '.join(unanswered)}"
    return None


harness.run(os.path.dirname(os.path.abspath(__file__)), body)
