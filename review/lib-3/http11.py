"""A small HTTP/1.1 server with kept connections, for the stand-ins."""

import json
import socket
import socketserver
from http.server import BaseHTTPRequestHandler


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = -1

    def setup(self):
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def log_message(self, *args):
        pass

    def _serve(self):
        size = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(size) if size else b""
        answer = self.server.handle_call(self.command, self.path, self.headers, body)
        if answer is None:
            self.close_connection = True
            return
        status, content = answer
        data = json.dumps(content, separators=(",", ":")).encode()
        self.send_response_only(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()

    do_GET = do_POST = do_PUT = do_DELETE = _serve


class Server(socketserver.ThreadingMixIn, socketserver.TCPServer):
    """`handle_call(method, path, headers, body)` returns (status, JSON value),
    or None to close the connection without an answer."""

    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, address, handle_call):
        self.handle_call = handle_call
        super().__init__(address, Handler)

    def handle_error(self, request, client_address):
        pass
