"""A TCP proxy on loopback that can delay what comes over new connections."""

import socket
import threading


class Link:
    def __init__(self, address, target):
        self.address, self._target = address, target
        self._open_to_target = threading.Event()
        self._open_to_target.set()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(128)
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def delay(self):
        """Connections that come from now on reach the target only after deliver_delayed()."""
        self._open_to_target = threading.Event()
        self._delayed = self._open_to_target

    def deliver_new(self):
        """Connections that come from now on are forwarded at once; earlier ones stay delayed."""
        self._open_to_target = threading.Event()
        self._open_to_target.set()

    def deliver_delayed(self):
        self._delayed.set()

    def _accept(self, listener):
        while True:
            near, _ = listener.accept()
            threading.Thread(target=self._forward, args=(near, self._open_to_target),
                             daemon=True).start()

    def _forward(self, near, may_connect):
        may_connect.wait()
        try:
            far = socket.create_connection(self._target, 2)
        except OSError:
            near.close()
            return
        threading.Thread(target=self._copy, args=(far, near), daemon=True).start()
        self._copy(near, far)

    @staticmethod
    def _copy(source, sink):
        try:
            while data := source.recv(65536):
                sink.sendall(data)
        except OSError:
            pass
        try:
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass
