"""An HTTP/1.1 server on loopback, a thread for each connection."""

import http.server
import json
import socket
import threading


class NoAnswer(Exception):
    """Raised by a handler: the connection is closed without a response."""


class HttpService:
    """Passes each request to `handle(method, target, headers, body)`, which returns the status and
    the body of the response: bytes, or anything that becomes JSON."""

    def __init__(self, address, handle):
        service = self
        self._open = set()
        self._lock = threading.Lock()

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def handle(self):
                with service._lock:
                    service._open.add(self.connection)
                try:
                    super().handle()
                except OSError:
                    pass  # the peer was killed or its connection was reset by a fault
                finally:
                    with service._lock:
                        service._open.discard(self.connection)

            def answer(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                try:
                    status, content = handle(self.command, self.path, self.headers, body)
                except NoAnswer:
                    self.close_connection = True
                    return
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(content)))
                self.end_headers()
                self.wfile.write(content)

            do_GET = do_POST = do_PUT = do_DELETE = answer

            def log_message(self, *arguments):
                pass

        class Server(http.server.ThreadingHTTPServer):
            request_queue_size = 128
            daemon_threads = True

            def handle_error(self, request, client_address):
                pass  # connections break off during faults

        self._server = Server(address, Handler)
        self.port = self._server.server_address[1]
        threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True).start()

    def close(self):
        """Resets all connections at once, stops listening, and resets those that came meanwhile."""
        self._reset_all()
        self._server.shutdown()
        self._server.server_close()
        self._reset_all()

    def _reset_all(self):
        with self._lock:
            connections = list(self._open)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # closed meanwhile
