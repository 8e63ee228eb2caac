"""A loopback proxy for one direction of calls that can be cut.

During a cut the bytes are held up, and nothing is refused or reset. Afterwards
they are delivered, also if the sender has closed its end meanwhile; those that
were held up follow `late_s` after the cut, as TCP retransmits with a growing
pause.
"""

import socket
import threading
import time


class Link:
    def __init__(self, host, target):
        self.target = target
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, 0))
        self.listener.listen(64)
        self.port = self.listener.getsockname()[1]
        self.open = threading.Event()
        self.open.set()
        self.late_s = 0.0
        threading.Thread(target=self.accept, daemon=True).start()

    def cut(self):
        self.open.clear()

    def heal(self, late_s):
        self.late_s = late_s
        self.open.set()

    def accept(self):
        while True:
            client, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(client,), daemon=True).start()

    def pass_on(self, what):
        """Waits until bytes may pass; those that had to wait pass later."""
        if not self.open.is_set():
            self.open.wait()
            time.sleep(self.late_s)

    def serve(self, client):
        # A connection that is opened during a cut gets through with the first
        # packet that is sent again after it.
        self.open.wait()
        try:
            server = socket.create_connection(self.target, timeout=5)
            server.settimeout(None)
        except OSError:
            client.close()
            return
        for end in (client, server):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        back = threading.Thread(target=self.copy, args=(server, client), daemon=True)
        back.start()
        self.copy(client, server)
        back.join()
        client.close()
        server.close()

    def copy(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                self.pass_on(data)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            for end in (source, sink):
                try:
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
