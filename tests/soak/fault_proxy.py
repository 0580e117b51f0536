"""A loopback relay in front of one server, which delays, resets, silences or cuts connections."""

import socket
import struct
import time

from fleet import Relay


class FaultProxy(Relay):
    def __init__(self, target_port):
        self.delay_s = 0.0
        # Which way bytes are dropped while the connections stay open: "to", "from" or none.
        self.silenced = None
        super().__init__(("127.0.0.1", 0), ("127.0.0.1", target_port), "127.0.0.1")
        self.port = self.listener.getsockname()[1]

    def heal(self):
        super().heal()
        self.delay_s = 0.0
        self.silenced = None

    def reset_all(self):
        with self.lock:
            sockets, self.sockets = self.sockets, []
        for sock in sockets:
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.shutdown(socket.SHUT_RDWR)
                sock.close()
            except OSError:
                pass

    def forward(self, sink, data, way):
        if self.delay_s:
            time.sleep(self.delay_s)
        if self.silenced != way:
            super().forward(sink, data, way)
