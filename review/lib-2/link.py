"""A proxy between the node and one member of the registry, which can fall silent."""

import socket
import threading
import time

PIECE = 65_536


class Link:
    """Forwards connections to an address. Once it is silent it still accepts, and holds back whatever either side sends."""

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self.target = (host, int(port))
        self.is_silent = threading.Event()
        self.last_sent_to_node = time.monotonic()
        self.listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        return f"127.0.0.1:{self.listener.getsockname()[1]}"

    def _accept(self):
        while True:
            node, _ = self.listener.accept()
            try:
                member = socket.create_connection(self.target)
            except OSError:
                node.close()
                continue
            for source, sink, to_node in ((node, member, False), (member, node, True)):
                threading.Thread(target=self._forward, args=(source, sink, to_node), daemon=True).start()

    def _forward(self, source, sink, to_node):
        try:
            while data := source.recv(PIECE):
                if self.is_silent.is_set():
                    continue
                if to_node:
                    self.last_sent_to_node = time.monotonic()
                sink.sendall(data)
        except OSError:
            pass
        if not self.is_silent.is_set():
            for side in (source, sink):
                try:
                    side.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
