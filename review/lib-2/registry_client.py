"""A small client of the registry, after ZooKeeper's published records: opens a session and creates entries."""

import socket
import struct
import threading
import time

PING, CREATE, CLOSE = 11, 1, -11
PING_XID = -2
EPHEMERAL = 1
ALL_PERMISSIONS = 31
NODE_EXISTS = -110


def text(value):
    data = value.encode()
    return struct.pack(">i", len(data)) + data


class Session:
    """A session whose ephemeral entries last as long as it sends pings."""

    def __init__(self, address, timeout_ms):
        host, port = address.rsplit(":", 1)
        self.socket = socket.create_connection((host, int(port)), timeout=5)
        self.lock = threading.Lock()
        self.xid = 0
        self._send(struct.pack(">iqiqi", 0, 0, timeout_ms, 0, 16) + bytes(16) + b"\0")
        self._receive()
        threading.Thread(target=self._ping, args=(timeout_ms / 4000,), daemon=True).start()

    def create(self, path, data, flags):
        """Creates an entry that everybody may change."""
        with self.lock:
            self.xid += 1
            body = struct.pack(">ii", self.xid, CREATE) + text(path) + struct.pack(">i", len(data)) + data
            body += struct.pack(">ii", 1, ALL_PERMISSIONS) + text("world") + text("anyone")
            self._send(body + struct.pack(">i", flags))
            while True:
                answer = self._receive()
                xid, _, code = struct.unpack(">iqi", answer[:16])
                if xid == self.xid:
                    break
        if code not in (0, NODE_EXISTS):
            raise OSError(f"creating {path} failed with code {code}")

    def close(self):
        """Ends the session, so that its entries are removed."""
        with self.lock:
            self.xid += 1
            self._send(struct.pack(">ii", self.xid, CLOSE))

    def _ping(self, interval):
        while True:
            time.sleep(interval)
            with self.lock:
                try:
                    self._send(struct.pack(">ii", PING_XID, PING))
                except OSError:
                    return

    def _send(self, body):
        self.socket.sendall(struct.pack(">i", len(body)) + body)

    def _receive(self):
        (length,) = struct.unpack(">i", self._read(4))
        return self._read(length)

    def _read(self, length):
        data = b""
        while len(data) < length:
            part = self.socket.recv(length - len(data))
            if not part:
                raise OSError("the registry has closed the connection")
            data += part
        return data
