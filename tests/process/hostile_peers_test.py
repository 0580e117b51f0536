"""Callers and backend servers that send without end, read slowly or not at all, at a gateway with a memory limit."""

import contextlib
import os
import random
import signal
import socket
import sys
import threading
import time
import unittest

from gateway_fleet import CALLER_PORT, HOST, FakeServer, GatewayFleet, wait_until

BINARIES = sys.argv.pop(1)
SEED = int(os.environ.get("CAMPHORSAIL_TEST_SEED", "20261205"))

MEMORY_LIMIT_MB = 128
# Largest part of the limit that outsiders may make a process hold.
MEMORY_FRACTION = 0.7
# Time for which outsiders go on, in seconds.
HOSTILE_S = 4.0
# Sound requests are answered within this time, in seconds. Their server takes none.
SOUND_S = 1.5
LARGE_BYTES = 6 << 20


class OddServer(FakeServer):
    """Answers as the last part of the path says: with a large body, or with bytes that do not end."""

    HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: {0}\r\nResponse-Signature: odd.{0}\r\n"
    CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n"
    # What is sent once, and what is sent again and again.
    KINDS = {
        "value": (HEAD + "X-Odd: ", b"x" * 65536),
        "headers": (HEAD, b"a:\r\n" * 16384),
        "interim": ("", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
        "unframed": (HEAD + "\r\n", b"x" * 65536),
        "chunks": (CHUNKED, b"10000\r\n" + b"x" * 65536 + b"\r\n"),
        "small-chunks": (CHUNKED, b"1\r\nx\r\n" * 8192),
        "extension": (CHUNKED + "1;", b"x" * 65536),
        "trailers": (CHUNKED + "0\r\n", b"a: b\r\n" * 8192),
        "refusal": ("HTTP/1.1 503 Full\r\nRequest-Id: {0}\r\nNot-Executed: 1\r\n\r\n", b"x" * 65536),
        "lines": (CHUNKED, b"10000\r\n" + b"~\n" * 32768 + b"\r\n"),
        "line": (CHUNKED, b"10000\r\n" + b"~" * 65536 + b"\r\n"),
        "events": (CHUNKED, b"3\r\n:\n\n\r\n" * 8192),
    }
    hostile = True

    def answer(self, request):
        kind = request.path.rsplit("/", 1)[1]
        request_id = request.headers["Request-Id"]
        if kind == "large":
            head = self.HEAD + f"Content-Length: {LARGE_BYTES}\r\n\r\n"
            request.connection.sendall(head.format(request_id).encode() + bytes(LARGE_BYTES))
            return
        if kind not in self.KINDS:
            super().answer(request)
            return
        begin, rest = self.KINDS[kind]
        request.close_connection = True
        with contextlib.suppress(OSError):
            request.connection.sendall(begin.format(request_id).encode())
            while self.hostile and not self.stopped.is_set():
                request.connection.sendall(rest)


class HostilePeersTest(unittest.TestCase):
    def setUp(self):
        self.random = random.Random(SEED)
        self.fleet = GatewayFleet(BINARIES)
        self.addCleanup(self.fleet.stop)
        for i in (1, 2, 3):
            self.fleet.start_control(i)
        self.fleet.start_gateway(1, [f"memory-limit-mb = {MEMORY_LIMIT_MB}", "descriptor-limit = 4096"])
        document = self.fleet.document(1)
        document["services"].append({"name": "odd", "healthPath": "/health"})
        for name, kind in (("odd", "safe"), ("odd-stream", "streaming")):
            document["routes"].append({**document["routes"][0], "name": name, "pathPrefix": f"/{name}/", "kind": kind,
                                       "service": "odd"})
        wait_until("a table is accepted", lambda: self.fleet.put_config(document) == 200)
        self.fleet.add_server("s1", "svc")
        self.odd = OddServer("s2", "odd", self.fleet)
        self.fleet.servers.append(self.odd)
        for path in ("/safe/x", "/odd/x"):
            wait_until("the gateway serves", lambda path=path: self.fleet.request(1, path, "warm")[0] == 200)
        self.stopping = threading.Event()
        self.threads = []
        self.addCleanup(self.end_hostile)

    def end_hostile(self):
        self.stopping.set()
        self.odd.hostile = False
        for thread in self.threads:
            thread.join()

    def run_hostile(self, count, function):
        for n in range(count):
            thread = threading.Thread(target=function, args=(n,))
            thread.start()
            self.threads.append(thread)

    def connect(self):
        return socket.create_connection((self.fleet.gateway_ip(1), CALLER_PORT), timeout=2)

    def send_without_end(self, begin, pieces):
        """Sends `begin` and then pieces again and again, on new connections when the gateway closes one."""
        choice = random.Random(self.random.random())
        while not self.stopping.is_set():
            with contextlib.suppress(OSError), self.connect() as connection:
                connection.sendall(begin)
                while not self.stopping.is_set():
                    connection.sendall(choice.choice(pieces))

    def check_sound_requests(self):
        """Sends sound requests while the others go on; checks their answers and the memory of the gateway."""
        began = time.monotonic()
        n = 0
        while time.monotonic() < began + HOSTILE_S:
            n += 1
            sent = time.monotonic()
            answer = self.fleet.request(1, "/safe/x", f"sound{n}")
            self.assertEqual(answer[:2], (200, f"sound{n}:x"))
            self.assertLess(time.monotonic() - sent, SOUND_S)
            time.sleep(0.05)
        self.assertIsNone(self.fleet.processes["gateway1"].poll())
        with open(f"/proc/{self.fleet.processes['gateway1'].pid}/status", encoding="ascii") as file:
            peak_kb = next(int(line.split()[1]) for line in file if line.startswith("VmHWM"))
        self.assertLess(peak_kb, MEMORY_LIMIT_MB * 1024 * MEMORY_FRACTION)

    def head(self, path, request_id, more=""):
        return (f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\nCredential: k1\r\n"
                f"Request-Deadline: 4000\r\n{more}").encode()

    # Guards against refused bodies that are kept while their callers send on.
    def test_callers_send_bodies_without_end(self):
        begin = self.head("/safe/x", "body", "Transfer-Encoding: chunked\r\n\r\n")
        pieces = [b"10000\r\n" + b"x" * 65536 + b"\r\n", b"1\r\nx\r\n" * 4096]
        self.run_hostile(100, lambda _: self.send_without_end(begin, pieces))
        self.check_sound_requests()

    def test_callers_send_heads_without_end(self):
        pieces = [b"a:\r\n" * 4096, b"X-Odd: " + b"x" * 4096 + b"\r\n", b"x"]
        self.run_hostile(100, lambda _: self.send_without_end(self.head("/safe/x", "head"), pieces))
        self.check_sound_requests()

    # Guards against answers that no limit counts once they are complete.
    def test_callers_ask_for_much_and_do_not_read(self):
        def ask(n):
            with contextlib.suppress(OSError), self.connect() as connection:
                connection.sendall(self.head("/odd/large", f"large{n}", "Content-Length: 0\r\n\r\n"))
                self.stopping.wait()
        self.run_hostile(60, ask)
        self.check_sound_requests()

    # Guards against a planned stop that cuts complete answers on their way to callers behind slow links.
    def test_planned_stop_waits_for_callers_that_read_slowly(self):
        with socket.socket() as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
            connection.settimeout(5)
            connection.connect((self.fleet.gateway_ip(1), CALLER_PORT))
            connection.sendall(self.head("/odd/large", "slow", "Content-Length: 0\r\n\r\n"))
            time.sleep(0.3)
            self.fleet.kill("gateway1", signal.SIGTERM)
            received = 0
            while data := connection.recv(65536):
                received += len(data)
                time.sleep(0.04)
        self.assertGreater(received, LARGE_BYTES)
        self.assertEqual(self.fleet.wait("gateway1"), 0)

    # Guards against bytes of a server that fill the memory or occupy the only thread.
    def test_servers_send_without_end(self):
        kinds = list(OddServer.KINDS)

        def ask(n):
            while not self.stopping.is_set():
                route = "odd-stream" if n % 2 else "odd"
                self.fleet.request(1, f"/{route}/{kinds[n % len(kinds)]}", f"odd{n}", timeout=2)
        self.run_hostile(2 * len(kinds), ask)
        self.check_sound_requests()


if __name__ == "__main__":
    unittest.main()
