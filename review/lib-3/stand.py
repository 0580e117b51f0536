"""Starts the project's programs as the deploy file does, on loopback addresses, with stand-ins around them.

The settings are the templates of `deploy/`, filled in with the values of a small deployment. The stand-ins (clients,
servers, operator) speak what the users' protocol page says.
"""

import contextlib
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "ficu95.example"
# The bounds of a small deployment.
BOUNDS = {"graceS": 8, "retryRatio": 0.2, "retrySlack": 52, "retryWindowS": 10}
ZONES = ("za", "zb", "zc")


def read_deploy_file():
    """@return The command and the template of each role of the deploy file, by the role's name."""
    roles = {}
    role = None
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        for line in file:
            if match := re.match(r"\[roles\.(\w+)\]", line):
                role = roles.setdefault(match.group(1), {})
            elif role is not None and (match := re.match(r"(run|template) = \"(.*)\"", line)):
                role[match.group(1)] = match.group(2)
    return roles


def fill_in(template, values):
    """Fills in a settings template: `{{a.b}}`, and sections `{{#a}}..{{/a}}`."""
    def find(path):
        value = values
        for key in path.split("."):
            if isinstance(value, list):
                value = value[int(key)] if int(key) < len(value) else None
            else:
                value = value.get(key) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def text(path):
        value = find(path)
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(value) if isinstance(value, list) else str(value)

    template = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?",
                      lambda m: m.group(2) if find(m.group(1)) not in (None, False) else "", template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: text(m.group(1)), template)


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def add(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
                self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


class CannotRun(Exception):
    pass


class System:
    """Control daemons and gateways on loopback addresses."""

    def __init__(self, record, controls=3, fronts=2, cloud=None, bounds=None):
        self.record = record
        self.roles = read_deploy_file()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = {}
        self.controls = controls
        self.fronts = fronts
        self.cloud = cloud
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.pick_network()

    def pick_network(self):
        """Picks a part of the loopback network and ports that are free there."""
        names = [f"core{i}" for i in range(self.controls)] + [f"front{i}" for i in range(self.fronts)]
        for _ in range(50):
            net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
            self.ips = {name: f"{net}.{i + 1}" for i, name in enumerate(names)}
            base = random.randrange(10, 30) * 1000
            self.ports = {"control": base, "front": base + 1, "ready": base + 2, "internal": base + 3}
            try:
                for ip in self.ips.values():
                    for port in [base + n for n in range(20)] + [9464]:
                        with socket.socket() as probe:
                            probe.bind((ip, port))
                return
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def start(self, name, bootstrap=False):
        role = self.roles["control" if name.startswith("core") else "gateway"]
        number = int(name[-1])
        ip = self.ips[name]
        seeds = [f"{self.ips[f'core{i}']}:{self.ports['control']}" for i in range(min(3, self.controls))]
        values = {"ip": ip, "region": "r1", "zone": ZONES[number % 3],
                  "internalPorts": [str(self.ports["internal"]), str(self.ports["internal"] + 15)], "seeds": seeds,
                  "bootstrap": bootstrap, "tolerate": {"machines": 1, "zones": 0, "regions": 0},
                  "dataDir": os.path.join(self.folder, name),
                  "listen": {"control": f"{ip}:{self.ports['control']}", "front": f"{ip}:{self.ports['front']}",
                             "ready": f"{ip}:{self.ports['ready']}"},
                  "limits": {"memoryMb": 256 if name.startswith("core") else 390,
                             "maxFds": 4096 if name.startswith("core") else 6150},
                  "bounds": self.bounds}
        if self.cloud:
            values["cloud"] = self.cloud
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            settings = fill_in(file.read(), values)
        path = os.path.join(self.folder, name + ".settings")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        command = role["run"].split(" ")
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun(f"{command[0]} is not built")
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "HOME": self.folder, "CAMPHORSAIL_NODE_FILE": path})
        self.record.add(f"started {name} at {ip}")

    def start_all(self):
        for i in range(self.controls):
            self.start(f"core{i}", bootstrap=True)
        for i in range(self.fronts):
            self.start(f"front{i}", bootstrap=True)

    def signal(self, name, number):
        self.record.add(f"signal {signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def call(self, name, method, path, body=None, timeout=3.0):
        """@return Status and text of a call to a control daemon; status 0 without an answer."""
        connection = http.client.HTTPConnection(self.ips[name], self.ports["control"], timeout=timeout)
        try:
            connection.request(method, path, body, {"Content-Type": "application/json"})
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        except (OSError, http.client.HTTPException):
            return 0, ""
        finally:
            connection.close()

    def call_any(self, method, path, body=None, limit_s=20.0, first=0):
        """Calls the control daemons in turn until one gives a clear answer, as the operator and the servers do."""
        end = time.monotonic() + limit_s
        i = first
        while time.monotonic() < end:
            status, text = self.call(f"core{i % self.controls}", method, path, body)
            if status and status < 500 and status not in (408, 429):
                return status, text
            i += 1
            time.sleep(0.1)
        return 0, ""

    def put_config(self, document):
        status, _ = self.call_any("PUT", "/-/config", json.dumps(document))
        self.record.add(f"configuration {document['version']} answered {status}")
        return status

    def is_ready(self, name):
        connection = http.client.HTTPConnection(self.ips[name], self.ports["ready"], timeout=1)
        try:
            connection.request("GET", "/-/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def front(self, name):
        return self.ips[name], self.ports["front"]

    def log(self, name):
        with open(os.path.join(self.folder, name + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def stop(self, keep=False):
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            process.wait()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


def wait_until(condition, limit_s, what):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise CannotRun(f"waited {limit_s} s in vain: {what}")


def route(name, prefix, kind, service, **more):
    """A route of the configuration, with the figures of a small site."""
    item = {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": 15000,
            "targetLatencyMs": 2000, "priority": 2, "service": service, "maxAttempts": 1, "public": False,
            "sticky": kind == "streaming", "resumable": False}
    if kind == "streaming":
        item["gapAimMs"] = 800
    item.update(more)
    return item


def configuration(version, routes, services, keys=("key-of-hule930-0001",)):
    listed = []
    for name, engine in services.items():
        item = {"name": name, "healthPath": "/health", "maxConnections": 360 if engine else 96, "protocol": "h1",
                "tls": False}
        if engine:
            item["engine"] = {"slots": 64, "kvCapacityTokens": 628662, "kvTokenBytes": 163840, "linkMbps": 180000.0,
                              "moves": True, "backups": True, "stride": 5, "most": 12, "pinMs": 4000.0,
                              "holdMs": 2000.0, "handleS": 5.0, "models": [{"name": "m"}]}
        listed.append(item)
    return {"version": version, "routes": routes, "services": listed,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "hule930", "apiKeys": list(keys), "priority": 1}]}


class Server:
    """A backend server that follows the protocol page. `serve` says what a request gets."""

    HEARTBEAT_S = 1.2

    def __init__(self, system, record, name, service, serve, slots=64, engine=True, zone="za", receive_bytes=None):
        """@param serve Called with this server and a `Call`; answers it."""
        self.system = system
        self.record = record
        self.name = name
        self.service = service
        self.serve = serve
        self.slots = slots
        self.engine = engine
        self.zone = zone
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = []
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self.stopped_pings = False
        self.listener = socket.socket()
        if receive_bytes:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(512)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._announce, daemon=True).start()

    def beat(self):
        self.sequence += 1
        body = {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "coldLeftMs": 0, "sequence": self.sequence,
                "born": self.born}
        if self.engine:
            body.update({"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}]})
        return self.system.call_any("PUT", f"/-/instances/{self.name}", json.dumps(body), limit_s=2,
                                    first=random.randrange(3))[0]

    def _announce(self):
        while not self.stopped.is_set() and not self.stopped_pings:
            self.beat()
            self.stopped.wait(self.HEARTBEAT_S)

    def _accept(self):
        while not self.stopped.is_set():
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._connection, args=(connection,), daemon=True).start()

    def _connection(self, connection):
        data = b""
        with connection, contextlib.suppress(OSError):
            while not self.stopped.is_set():
                while b"\r\n\r\n" not in data:
                    piece = connection.recv(65536)
                    if not piece:
                        return
                    data += piece
                head, _, data = data.partition(b"\r\n\r\n")
                line, *lines = head.decode("latin-1").split("\r\n")
                headers = {name.lower(): value for name, _, value in (item.partition(": ") for item in lines)}
                call = Call(self, connection, line.split(" ")[1], headers)
                call.rest = data
                call.length = int(headers.get("content-length", 0))
                if headers.get("expect-instance") not in (None, self.name):
                    call.read_body()
                    call.answer(421, b"", signed=False)
                else:
                    self.serve(self, call)
                if call.closes:
                    return
                data = call.rest

    def began(self, call):
        """Notes that the server has begun to work on a request."""
        with self.lock:
            self.runs.append(call.id)
        self.record.add(f"{self.name} runs {call.id}")

    def stop(self):
        self.stopped.set()
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


class Call:
    """A request at a server."""

    def __init__(self, server, connection, path, headers):
        self.server = server
        self.connection = connection
        self.path = path
        self.headers = headers
        self.id = headers.get("request-id", "")
        self.rest = b""
        self.length = 0
        self.closes = False

    def read_body(self):
        while len(self.rest) < self.length:
            piece = self.connection.recv(65536)
            if not piece:
                raise OSError("closed")
            self.rest += piece
        body, self.rest = self.rest[:self.length], self.rest[self.length:]
        return body

    def head(self, status, more="", signed=True):
        text = f"HTTP/1.1 {status} X\r\nRequest-Id: {self.id}\r\n"
        if signed:
            text += f"Response-Signature: {self.server.name}.{self.id}\r\n"
        self.connection.sendall((text + more + "\r\n").encode())

    def answer(self, status, body, more="", signed=True):
        self.head(status, f"{more}Content-Length: {len(body)}\r\n", signed)
        self.connection.sendall(body)

    def begin_stream(self, more=""):
        self.head(200, more + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")

    def event(self, number, payload):
        text = f"id: {number}\ndata: {payload}\n\n".encode()
        self.connection.sendall(f"{len(text):x}\r\n".encode() + text + b"\r\n")

    def end_stream(self):
        self.connection.sendall(b"0\r\n\r\n")

    def first_event(self):
        """@return Number of the first event that the answer has to hold."""
        return int(self.headers.get("last-event-id", 0)) + 1


class Client:
    """A client with one kept channel."""

    KEY = "key-of-hule930-0001"

    def __init__(self, address, receive_bytes=None):
        self.socket = socket.socket()
        if receive_bytes:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.socket.settimeout(20)
        self.socket.connect(address)
        self.data = b""

    def send(self, path, request_id, deadline_ms=15000, body=b"x", headers=(), method="POST"):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {request_id}",
                 f"Request-Deadline: {deadline_ms}", f"Credential: {self.KEY}", *headers,
                 f"Content-Length: {len(body)}"]
        self.socket.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def _more(self):
        piece = self.socket.recv(65536)
        if not piece:
            raise EOFError
        self.data += piece

    def _line(self):
        while b"\r\n" not in self.data:
            self._more()
        line, _, self.data = self.data.partition(b"\r\n")
        return line

    def _take(self, size):
        while len(self.data) < size:
            self._more()
        piece, self.data = self.data[:size], self.data[size:]
        return piece

    def read(self):
        """@return Status, headers, body, and how the answer ended: "whole", "closed" or "reset"; status 0 when the
        channel ended before the head."""
        status, headers, body = 0, {}, b""
        try:
            first = self._line().decode("latin-1")
            while True:
                line = self._line().decode("latin-1")
                if not line:
                    break
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            status = int(first.split(" ")[1])
            if headers.get("transfer-encoding") == "chunked":
                while size := int(self._line(), 16):
                    body += self._take(size)
                    self._take(2)
                self._line()
            else:
                body = self._take(int(headers.get("content-length", 0)))
            return status, headers, body, "whole"
        except EOFError:
            return status, headers, body + self.data, "closed"
        except OSError as error:
            return status, headers, body + self.data, "reset" if isinstance(error, ConnectionResetError) else str(error)

    def close(self, reset=False):
        if reset:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


def run_case(case, folder):
    """Runs `case(record, trouble)`, which returns True when the rule was broken; exits as the issue asks."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.add(f"trouble: {'yes' if trouble else 'no'}")
    try:
        broken = case(record, trouble)
        record.add("RESULT: the rule was broken" if broken else "RESULT: the rule held")
        code = 1 if broken else 0
    except CannotRun as error:
        record.add(f"RESULT: the case could not run: {error}")
        code = 2
    except Exception as error:  # Any other error is a fault of the case, not of the system.
        record.add(f"RESULT: the case could not run: {type(error).__name__}: {error}")
        code = 2
    record.close()
    return code
