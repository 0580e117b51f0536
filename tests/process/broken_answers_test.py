"""Answers of backend servers that are not valid, as callers see them at a gateway."""

import json
import sys
import threading
import time
import unittest

from gateway_fleet import GatewayFleet, wait_until
from raw_server import RawServer, read_body

BINARIES = sys.argv.pop(1)
# A failed attempt is reported at once. The routes and classes allow at least 4 s.
AT_ONCE_S = 2.0
LARGE_BYTES = 3 << 20

MALFORMED_HEADS = {
    "status-000": "HTTP/1.1 000 Odd\r\n",
    "status-099": "HTTP/1.1 099 Odd\r\n",
    "status-600": "HTTP/1.1 600 Odd\r\n",
    "status-0200": "HTTP/1.1 0200 OK\r\n",
    "blank-in-name": "HTTP/1.1 200 OK\r\nX Odd: 1\r\n",
    "control-in-name": "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n",
    "blank-before-colon": "HTTP/1.1 200 OK\r\nX-Odd : 1\r\n",
    "control-in-value": "HTTP/1.1 200 OK\r\nX-Odd: \x01\r\n",
    "continued-header": "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n 2\r\n",
}

SHORT_BODY = "Connection: close\r\nContent-Length: 2\r\n\r\nok"


def events(begin, end):
    return "".join(f"id: {i}\ndata: {i}\n\n" for i in range(begin, end)).encode()


class GatewayTest(unittest.TestCase):
    EVENTS = 12

    @classmethod
    def setUpClass(cls):
        cls.fleet = GatewayFleet(BINARIES)
        cls.addClassCleanup(cls.fleet.stop)
        for i in (1, 2, 3):
            cls.fleet.start_control(i)
        cls.fleet.start_gateway(1)
        document = cls.fleet.document(1)
        document["routes"].append({**document["routes"][-1], "name": "once", "pathPrefix": "/once/", "maxAttempts": 1,
                                   "resumable": False})
        wait_until("a table is accepted", lambda: cls.fleet.put_config(document) == 200)
        for name in ("raw1", "raw2"):
            server = RawServer(cls.answer)
            cls.addClassCleanup(server.stop)
            threading.Thread(target=cls.announce, args=(name, server), daemon=True).start()
        wait_until("the gateway serves", lambda: cls.fleet.request(1, "/safe/sound", "warm")[0] == 200)

    @classmethod
    def announce(cls, name, server):
        sequence = 0
        born = int(time.time() * 1000)
        while not server.stopped.wait(0.2):
            sequence += 1
            body = {"service": "svc", "address": f"127.0.0.1:{server.port}", "zone": "z1", "version": "v1",
                    "slots": 8, "state": "ready", "coldLeftMs": 0, "sequence": sequence, "born": born}
            cls.fleet.control_call("PUT", f"/-/instances/{name}", json.dumps(body))

    @classmethod
    def answer(cls, connection, path, headers, body):
        """Answers as the last part of the path says."""
        kind = path.rsplit("/", 1)[1]
        first = int(headers.get("last-event-id", -1)) + 1
        more = f"Request-Id: {headers['request-id']}\r\nResponse-Signature: s.{headers['request-id']}\r\n"
        ok = f"HTTP/1.1 200 OK\r\n{more}".encode()
        if kind in MALFORMED_HEADS:
            read_body(connection, headers, body)
            connection.sendall(f"{MALFORMED_HEADS[kind]}{more}{SHORT_BODY}".encode())
            # The end of the connection must not be what shows that the answer is not valid.
            connection.recv(1)
        else:
            read_body(connection, headers, body)
            connection.sendall(ok + b"\r\n" + events(first, cls.EVENTS))

    def ask(self, path, body="x"):
        """@return Status, text, whether the answer is whole, and the time that it took, in seconds."""
        began = time.monotonic()
        answer = self.fleet.request(1, path, f"{path}-{len(body)}-{began:.6f}", body=body)
        return (*answer, time.monotonic() - began)

    # Guards against an answer that is not valid and reaches a caller, or that lets the caller wait.
    def test_malformed_head_is_no_answer(self):
        for kind in MALFORMED_HEADS:
            for route in ("safe", "unsafe", "stream", "once"):
                for size in (1, 10, LARGE_BYTES):
                    with self.subTest(kind=kind, route=route, size=size):
                        status, text, _, took = self.ask(f"/{route}/{kind}", "x" * size)
                        self.assertEqual(status, 502, text)
                        self.assertLess(took, AT_ONCE_S)


if __name__ == "__main__":
    unittest.main()
