"""A loopback proxy in front of one server, which delays, resets, silences or cuts connections."""

import socket
import struct
import threading
import time


class FaultProxy:
    def __init__(self, target_port):
        self.target_port = target_port
        self.delay_s = 0.0
        # Which way bytes are dropped while the connections stay open: "to", "from" or none.
        self.silenced = None
        self.refusing = False
        self.pairs = []
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def heal(self):
        self.delay_s = 0.0
        self.silenced = None
        self.refusing = False

    def reset_all(self):
        with self.lock:
            pairs, self.pairs = self.pairs, []
        for pair in pairs:
            for sock in pair:
                try:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    sock.shutdown(socket.SHUT_RDWR)
                    sock.close()
                except OSError:
                    pass

    def close(self):
        self.refusing = True
        self.reset_all()
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()

    def _accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            if self.refusing:
                client.close()
                continue
            try:
                server = socket.create_connection(("127.0.0.1", self.target_port), timeout=5)
                server.settimeout(None)
            except OSError:
                client.close()
                continue
            with self.lock:
                self.pairs.append((client, server))
            threading.Thread(target=self._pump, args=(client, server, "to"), daemon=True).start()
            threading.Thread(target=self._pump, args=(server, client, "from"), daemon=True).start()

    def _pump(self, source, sink, way):
        try:
            while data := source.recv(65536):
                if self.delay_s:
                    time.sleep(self.delay_s)
                if self.silenced != way:
                    sink.sendall(data)
        except OSError:
            pass
        for sock in (source, sink):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        source.close()
