"""A backend server whose answers are written byte by byte."""

import contextlib
import socket
import struct
import threading

# A small buffer, so that a large request is still being written when its answer arrives.
RECEIVE_BYTES = 64 * 1024
TIME_LIMIT_S = 10


class RawServer:
    """Reads the head of each request and leaves the rest of the connection to a function."""

    def __init__(self, answer):
        """@param answer Called with the connection, the path, the headers by lower-case name and the first bytes of
        the body that have arrived. The connection is closed when it returns."""
        self.answer = answer
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.port = self.listener.getsockname()[1]
        self.stopped = threading.Event()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.stopped.is_set():
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        connection.settimeout(TIME_LIMIT_S)
        with connection, contextlib.suppress(OSError):
            data = b""
            while b"\r\n\r\n" not in data:
                piece = connection.recv(4096)
                if not piece:
                    return
                data += piece
            head, _, body = data.partition(b"\r\n\r\n")
            request, *lines = head.decode("latin-1").split("\r\n")
            headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}
            self.answer(connection, request.split(" ")[1], headers, body)

    def stop(self):
        self.stopped.set()
        # Closing alone would leave it listening until the thread that accepts wakes up.
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


def reset(connection):
    """Closes a connection with a TCP reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


def read_body(connection, headers, body):
    """@return The whole body of a request with a length."""
    while len(body) < int(headers.get("content-length", 0)):
        piece = connection.recv(65536)
        if not piece:
            break
        body += piece
    return body
