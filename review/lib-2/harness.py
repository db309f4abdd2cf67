"""What the scripts of cases 6 to 10 have in common: processes, free ports, a temporary folder and the record.

Every address is a loopback address. Everything that is started is ended, also when the case fails.
"""

import ctypes
import http.client
import os
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TESTBED = os.path.join(ROOT, "target", "release", "reelfall-testbed")
# What a script exits with; `run.sh` turns it into 0, 1 and 2.
HELD, BROKEN, NOT_RUN = 0, 10, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


PR_SET_PDEATHSIG = 1
PRCTL = ctypes.CDLL(None).prctl


def end_with_parent():
    """Has the system end a started process with the case, also if the case is killed."""
    PRCTL(PR_SET_PDEATHSIG, signal.SIGKILL)


class CaseCannotRun(Exception):
    """The case could not run, so it says nothing about the rule."""


class Record:
    """The file `record.txt`, in which each line has its time in seconds."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def write(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
            self._file.flush()

    def close(self):
        self._file.close()


class Case:
    """One run of a case: its temporary folder, its record and its processes."""

    def __init__(self, record_path):
        self.folder = tempfile.mkdtemp(prefix="reelfall-review-")
        self.record = Record(record_path)
        self._processes = []

    def start_program(self, name, arguments):
        """Starts the project's program by the command of the deploy file, with these arguments."""
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            command = tomllib.load(file)["run"]
        return self._start(name, ["/bin/sh", "-c", f"{command} {shlex.join(arguments)}"])

    def start_stand_in(self, name, arguments):
        """Starts one of the project's stand-ins."""
        if not os.access(TESTBED, os.X_OK):
            raise CaseCannotRun("the stand-ins are not built: review/build-2.sh")
        return self._start(name, [TESTBED, *arguments])

    def _start(self, name, arguments):
        """Starts a process in the root of the project; its output goes to files in the temporary folder."""
        environment = {**os.environ, "TMPDIR": self.folder}
        output = open(os.path.join(self.folder, f"{name}.out"), "ab")
        errors = open(os.path.join(self.folder, f"{name}.err"), "ab")
        process = subprocess.Popen(
            arguments, stdout=output, stderr=errors, cwd=ROOT, env=environment, preexec_fn=end_with_parent
        )
        output.close()
        errors.close()
        self._processes.append((name, process))
        self.record.write(f"started {name}")
        return process

    def output_of(self, name):
        """What a process has written to standard output."""
        with open(os.path.join(self.folder, f"{name}.out"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def errors_of(self, name):
        """What a process has written to standard error."""
        with open(os.path.join(self.folder, f"{name}.err"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def write_file(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def end(self):
        """Ends all processes, copies their log lines into the record, and removes the temporary folder."""
        for _, process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for _, process in self._processes:
            process.wait()
        for name in dict.fromkeys(name for name, _ in self._processes):
            for line in self.errors_of(name).splitlines()[-60:]:
                self.record.write(f"log of {name}: {line}")
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def free_port(kind=socket.SOCK_STREAM):
    """A free port of 127.0.0.1."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def wait_for(what, condition, seconds):
    """Waits until a condition holds, and returns its value."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise CaseCannotRun(f"{what}: not within {seconds} s")


def get(port, path, timeout=2.0, method="GET"):
    """Status and body of one call; None if there is no answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return response.status, response.read().decode("utf-8", "replace")
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def run(body):
    """Runs a case and exits with HELD, BROKEN or NOT_RUN. The first argument of the script is the path of the record."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    case = Case(sys.argv[1])
    code = NOT_RUN
    try:
        verdict = body(case)
        code = BROKEN if verdict else HELD
        case.record.write("the rule was broken: " + verdict if verdict else "the rule held")
        print(verdict or "the rule held")
    except CaseCannotRun as error:
        case.record.write(f"the case could not run: {error}")
        print(f"the case could not run: {error}", file=sys.stderr)
    except Exception:
        # An error of the script is no result.
        case.record.write(f"the case could not run: {traceback.format_exc(limit=0).strip()}")
        traceback.print_exc()
    finally:
        case.end()
    sys.exit(code)
