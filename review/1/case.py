"""A server begins its answer before it has read a long body, without a length, and is reset in the middle of it."""

import os
import socket
import struct
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from deployment import BOUNDS, CannotRun, Deployment, Server, read_head, request_bytes, run_case, wait_until  # noqa: E402

BODY_BYTES = 4_000_000
ANSWER = b"".join(b"line %06d of the answer\n" % i for i in range(4000))
SENT_BEFORE_RESET = 60_000
REQUESTS = 20


class EarlyServer(Server):
    """Answers without a length as soon as it has the head of a request; the end of the channel ends the answer."""

    breaks_off = False

    def serve(self, connection):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
        head = read_head(connection)
        if head is None:
            return
        _, headers, rest = head
        if headers.get("expect-instance") != self.name:
            connection.sendall(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            return
        request_id = headers["request-id"]
        length = int(headers.get("content-length", "0"))
        self.record.write(f"server runs {request_id}, {len(rest)} of {length} bytes of its body read")
        answer = (f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Signature: 3e1b.{request_id}\r\n"
                  "Content-Type: text/plain\r\nConnection: close\r\n\r\n").encode()
        if self.breaks_off and length > 0:
            # SO_LINGER with 0 s: the channel ends with a reset.
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connection.sendall(answer + ANSWER[:SENT_BEFORE_RESET])
            connection.close()
            self.record.write(f"server reset the channel of {request_id} after {SENT_BEFORE_RESET} of {len(ANSWER)} "
                              "bytes of the body")
            return
        connection.sendall(answer + ANSWER)
        # Reads on, so that the channel ends without a reset.
        got = len(rest)
        while got < length:
            data = connection.recv(65536)
            if not data:
                break
            got += len(data)
        self.record.write(f"server has answered {request_id} whole")


def exchange(record, address, request_id, body):
    """@return Status, body and whether the answer is complete by its framing."""
    with socket.create_connection(address, timeout=10) as connection:
        record.write(f"client sends {request_id} with a body of {len(body)} bytes")
        connection.sendall(request_bytes("POST", "/early/x", request_id, body))
        head = read_head(connection)
        if head is None:
            return 0, b"", False
        line, headers, data = head
        status = int(line.split()[1])
        length = int(headers["content-length"])
        while len(data) < length:
            piece = connection.recv(65536)
            if not piece:
                return status, data, False
            data += piece
        return status, data, True


def case(record, trouble):
    deployment = Deployment(record)
    try:
        server = EarlyServer(record)
        deployment.bring_up(deployment.config(1, [{"pathPrefix": "/early/", "kind": "unsafe"}]), [server])
        wait_until("the gateway has the server",
                   lambda: exchange(record, deployment.front(), "warm", b"")[0] == 200)
        time.sleep(BOUNDS["contactWindowMs"] / 1000 + 1)
        server.breaks_off = trouble
        broken = []
        for i in range(REQUESTS):
            request_id = f"r{i}"
            try:
                status, data, whole = exchange(record, deployment.front(), request_id, bytes(BODY_BYTES))
            except OSError as error:
                record.write(f"client {request_id}: {type(error).__name__}: {error}")
                continue
            record.write(f"client {request_id}: status {status}, {len(data)} bytes, complete by its framing: {whole}, "
                         f"the server's body: {data == ANSWER}")
            if 200 <= status < 300 and whole and data != ANSWER:
                broken.append(f"MIXED: {request_id} got status {status} and a complete body of {len(data)} bytes; the "
                              f"server's has {len(ANSWER)}, and its channel was reset in the middle")
            if not trouble and not (status == 200 and whole and data == ANSWER):
                raise CannotRun(f"{request_id} was not answered whole without the disruption")
        return broken
    finally:
        deployment.stop()


run_case(case)
