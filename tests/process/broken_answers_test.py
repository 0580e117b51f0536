"""Answers of backend servers that are not valid or are cut off, as callers see them at a gateway and at an entry."""

import json
import sys
import tempfile
import threading
import time
import unittest

import path_harness
from gateway_fleet import GatewayFleet, wait_until
from raw_server import RawServer, read_body, reset

BINARIES = sys.argv.pop(1)
# A failed attempt is reported at once. The routes and classes allow at least 4 s.
AT_ONCE_S = 2.0
LARGE_BYTES = 3 << 20
# Time in which the caller's side fills the buffers of a connection, in seconds.
FILL_S = 0.1

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
        resumed = "last-event-id" in headers
        first = int(headers.get("last-event-id", -1)) + 1
        more = f"Request-Id: {headers['request-id']}\r\nResponse-Signature: s.{headers['request-id']}\r\n"
        ok = f"HTTP/1.1 200 OK\r\n{more}".encode()
        if kind in MALFORMED_HEADS:
            read_body(connection, headers, body)
            connection.sendall(f"{MALFORMED_HEADS[kind]}{more}{SHORT_BODY}".encode())
            # The end of the connection must not be what shows that the answer is not valid.
            connection.recv(1)
        elif kind == "cut" or (kind == "cut-once" and not resumed):
            # Without a length, and in front of the rest of the request. Events are whole.
            connection.sendall(ok + b"\r\n" + events(first, first + 3))
            time.sleep(FILL_S)
            reset(connection)
        elif kind == "cut-at-once":
            connection.sendall(ok + b"\r\n" + events(first, first + 3))
            reset(connection)
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

    # Guards against a part of an answer that looks whole: its connection is reset while the request is still being
    # written.
    def test_early_answer_that_is_reset_is_not_whole(self):
        for kind in ("cut", "cut-at-once"):
            for route in ("safe", "unsafe", "stream", "once"):
                for size in (1, 10, LARGE_BYTES):
                    with self.subTest(kind=kind, route=route, size=size):
                        status, text, is_whole, _ = self.ask(f"/{route}/{kind}", "x" * size)
                        self.assertTrue(status == 502 or (status == 200 and not is_whole), (status, text, is_whole))

    # Guards against events that are lost or doubled where a stream is resumed after such an answer.
    def test_stream_is_resumed_after_an_early_answer_that_is_reset(self):
        for size in (1, LARGE_BYTES):
            status, text, is_whole, _ = self.ask("/stream/cut-once", "x" * size)
            self.assertEqual((status, is_whole), (200, True))
            self.assertEqual(text.encode(), events(0, self.EVENTS))


class EntryTest(unittest.TestCase):
    ONCE = {"X-Camphorsail-Idempotent": "false"}
    TOKENS = b"".join(b'data: {"id":"c","choices":[{"index":0,"delta":{"content":"t%d "}}]}\n\n' % i for i in range(3))

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = path_harness.Fleet(BINARIES, folder.name)
        self.addCleanup(self.fleet.stop)
        self.fleet.start_daemon()
        self.answers = 0
        self.answered_at = 0.0
        self.server = RawServer(self.answer)
        self.addCleanup(self.server.stop)
        for kind, target in (("service", "svc"), ("model", "menu-plan")):
            threading.Thread(target=self.announce, args=(kind, target), daemon=True).start()
        path_harness.wait_for(lambda: self.ask("sound").status == 200, "the service")

    def announce(self, kind, target):
        sequence = 0
        headers = {"X-Camphorsail-Secret": path_harness.SECRET, "Content-Type": "application/json"}
        while not self.server.stopped.wait(0.2):
            sequence += 1
            body = {"id": f"raw-{kind}", "incarnation": 1, "sequence": sequence, "address": f"127.0.0.1:{self.server.port}",
                    "failure_domain": "fd1", "kind": kind, "targets": [target], "capacity": 8,
                    "checks_fencing_tokens": True, "leaving": False, "running": 0, "waiting": 0, "kv_usage": 0.0,
                    "cached_blocks": [], "evicted_blocks": [], "cache_gap": False, "age_ms": 0}
            path_harness.exchange(self.fleet.backends_port, path_harness.request_bytes(
                "POST", "/backend/v1/announce", headers, json.dumps(body).encode()))

    def answer(self, connection, path, headers, body):
        self.answers += 1
        if path.startswith("/v1/chat/"):
            # Without a length, and in front of the rest of the request. Events are whole.
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + self.TOKENS)
            time.sleep(FILL_S)
            reset(connection)
            return
        kind = path.rsplit("/", 1)[1]
        if kind in MALFORMED_HEADS or (kind.startswith("once-") and self.answers == 1):
            read_body(connection, headers, body)
            head = MALFORMED_HEADS[kind.removeprefix("once-")]
            self.answered_at = time.monotonic()
            connection.sendall(f"{head}{SHORT_BODY}".encode())
            connection.recv(1)
        elif kind.startswith("cut"):
            self.answered_at = time.monotonic()
            connection.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + b"p" * int(kind.removeprefix("cut")))
            time.sleep(FILL_S)
            reset(connection)
        else:
            read_body(connection, headers, body)
            connection.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nsound")

    def ask(self, kind, body=b"x", headers=None):
        self.answers = 0
        return self.fleet.post(f"/v1/services/svc/{kind}", body, headers)

    def check_failure(self, kind, size):
        answer = self.ask(kind, b"x" * size, self.ONCE)
        took = time.monotonic() - self.answered_at
        self.assertEqual((answer.status, json.loads(answer.body)["error"]["code"]), (409, "outcome_unknown"))
        self.assertLess(took, AT_ONCE_S)
        # Otherwise the router would suspend the server for longer after each failure.
        self.assertEqual(self.ask("sound").status, 200)

    def test_malformed_head_is_no_answer(self):
        for kind in MALFORMED_HEADS:
            for size in (1, 10, LARGE_BYTES):
                with self.subTest(kind=kind, size=size):
                    self.check_failure(kind, size)
        self.assertIsNone(self.fleet.daemon.process.poll())

    def test_request_that_may_run_again_gets_the_next_answer(self):
        for kind in MALFORMED_HEADS:
            with self.subTest(kind=kind):
                answer = self.ask(f"once-{kind}")
                self.assertEqual((answer.status, answer.body), (200, b"sound"))

    def test_early_answer_that_is_reset_is_not_whole(self):
        for part in (12, 200_000):
            for size in (1, 10, LARGE_BYTES):
                with self.subTest(part=part, size=size):
                    self.check_failure(f"cut{part}", size)

    def test_stream_that_is_reset_is_not_whole(self):
        self.fleet.wait_for_models(["menu-plan"])
        for size in (1, 10, LARGE_BYTES):
            with self.subTest(size=size):
                answer = self.fleet.chat("soup", stream=True, headers=self.ONCE, metadata="x" * size)
                self.assertEqual(answer.status, 200, answer.body)
                self.assertEqual(json.loads(answer.events()[-1])["error"]["code"], "stream_cut")


if __name__ == "__main__":
    unittest.main()
