"""A small deployment on loopback addresses: the project's programs as processes, started by the deploy file, with
stand-ins for the platform, the operator, servers and clients."""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"

# The bounds and limits of sites/aftar.toml as a process gets them (DEPLOY.md).
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
          "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000,
          "strictRevoke": True, "revokeMs": 5000, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 52,
          "recoverS": 12, "passMs": 120, "againS": 10}
FRONT_LIMITS = {"cpuShare": 0.38, "cores": 1, "memoryMb": 390, "maxFds": 6150, "linkMbps": 1500.0, "diskMb": 0}
CORE_LIMITS = {"cpuShare": 0.15, "cores": 1, "memoryMb": 256, "maxFds": 4096, "linkMbps": 1000.0, "diskMb": 128}


# A case ends itself after this time.
LIMIT_S = 116


class CannotRun(Exception):
    """The case could not run; nothing is said about the rule."""


def wait_until(what, check, limit_s=20.0):
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        if check():
            return
        time.sleep(0.05)
    raise CannotRun(f"waited {limit_s} s in vain until {what}")


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
            self.file.flush()


def render(template, fields):
    """Fills in a settings template as DEPLOY.md says, for the plain placeholders that the project uses."""

    def value(match):
        item = fields
        for name in match.group(1).split("."):
            if isinstance(item, list):
                item = item[int(name)] if int(name) < len(item) else None
            else:
                item = item.get(name) if item is not None else None
        if item is None:
            return ""
        if isinstance(item, bool):
            return "true" if item else "false"
        return ",".join(map(str, item)) if isinstance(item, list) else str(item)

    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", value, template)


def read_roles():
    """@return The roles of the deploy file, each with its texts."""
    roles, role = {}, None
    with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
        for line in file:
            if match := re.match(r"\[roles\.(\w+)\]", line):
                role = roles.setdefault(match.group(1), {})
            elif role is not None and (match := re.match(r'(\w+) = "([^"]*)"', line)):
                role[match.group(1)] = match.group(2)
    return roles


class Deployment:
    def __init__(self, record, gateways=1, front_limits=None):
        self.roles = read_roles()
        self.record = record
        self.front_limits = {**FRONT_LIMITS, **(front_limits or {})}
        self.gateways = gateways
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = {}
        self.servers = []
        self.stopping = threading.Event()
        self._choose_addresses()

    def _choose_addresses(self):
        for _ in range(50):
            self.network = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
            base = random.randint(10000, 28000)
            self.ports = {"front": base, "ready": base + 1, "control": base + 2, "internal": base + 3}
            probes = [(self.control_ip(i), p) for i in range(1, 4) for p in range(base, base + 20)]
            probes += [(self.gateway_ip(i), p) for i in range(1, self.gateways + 1) for p in range(base, base + 20)]
            try:
                for address in probes:
                    with socket.socket() as probe:
                        probe.bind(address)
                return
            except OSError:
                continue
        raise CannotRun("no free ports")

    def control_ip(self, i):
        return f"{self.network}.{i}"

    def gateway_ip(self, i):
        return f"{self.network}.{100 + i}"

    def _start(self, role, name, fields):
        fields = {**fields, "node": name, "role": role, "region": "ro-buc", "bounds": BOUNDS,
                  "internalPorts": [self.ports["internal"], self.ports["internal"] + 15],
                  "seeds": [f"{self.control_ip(i)}:{self.ports['control']}" for i in (1, 2, 3)],
                  "tolerate": {"machines": 1, "zones": 0, "regions": 0}}
        spec = self.roles[role]
        with open(os.path.join(ROOT, spec["template"]), encoding="utf-8") as file:
            text = render(file.read(), fields)
        path = os.path.join(self.folder, name + ".settings")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen(
                spec["run"].split(), cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={"PATH": os.environ["PATH"], "CAMPHORSAIL_NODE_FILE": path})
        self.record.write(f"start {name} pid={self.processes[name].pid}")

    def start_control(self, i, bootstrap=True):
        self._start("control", f"control{i}", {
            "ip": self.control_ip(i), "zone": f"z{i}", "bootstrap": bootstrap, "limits": CORE_LIMITS,
            "dataDir": os.path.join(self.folder, f"data{i}"),
            "listen": {"control": f"{self.control_ip(i)}:{self.ports['control']}"}})

    def start_gateway(self, i):
        ip = self.gateway_ip(i)
        self._start("gateway", f"gateway{i}", {
            "ip": ip, "zone": f"z{i}", "bootstrap": True, "limits": self.front_limits,
            "listen": {"front": f"{ip}:{self.ports['front']}", "ready": f"{ip}:{self.ports['ready']}"}})

    def start(self):
        if not os.path.exists(os.path.join(ROOT, "target/bin/camphorsaild")):
            raise CannotRun("target/bin/camphorsaild is missing: run the build of deploy/system.toml first")
        for i in (1, 2, 3):
            self.start_control(i)
        for i in range(1, self.gateways + 1):
            self.start_gateway(i)

    def front(self, i=1):
        return (self.gateway_ip(i), self.ports["front"])

    def call(self, method, path, body=None, only=None, timeout=1.0):
        """Calls the control machines in turn, as callers of `control` do. @return Status and text, or (0, "")."""
        last = (0, "")
        for i in only or (1, 2, 3):
            connection = http.client.HTTPConnection(self.control_ip(i), self.ports["control"], timeout=timeout)
            try:
                connection.request(method, path, body, {"Content-Type": "application/json"})
                response = connection.getresponse()
                last = (response.status, response.read().decode())
                if last[0] < 500 and last[0] not in (408, 429):
                    return last
            except (OSError, http.client.HTTPException):
                pass
            finally:
                connection.close()
        return last

    def config(self, version, routes, limits=None):
        full = []
        for route in routes:
            full.append({"name": "r-" + route["pathPrefix"].strip("/"), "host": HOST, "timeoutMs": 15000,
                         "targetLatencyMs": 2000, "priority": 0, "service": "huvo11a", "maxAttempts": 1,
                         "public": False, "sticky": False, "resumable": False, "gapAimMs": 800, **route})
        return {"version": version, "routes": full,
                "services": [{"name": "huvo11a", "healthPath": "/health", "maxConnections": 96, "protocol": "h1",
                              "tls": False}],
                "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                                     "idleTimeoutMs": 15000},
                "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}]}

    def put_config(self, document, **options):
        text = json.dumps(document)
        status, answer = self.call("PUT", "/-/config", text, **options)
        self.record.write(f"operator PUT config version={document['version']} bytes={len(text)} -> {status}")
        return status, answer

    def is_ready(self, i=1):
        connection = http.client.HTTPConnection(self.gateway_ip(i), self.ports["ready"], timeout=1)
        try:
            connection.request("GET", "/-/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def bring_up(self, document, servers):
        """Starts everything and waits until each gateway serves."""
        self.start()
        wait_until("the first configuration is acknowledged", lambda: self.put_config(document)[0] == 200)
        for server in servers:
            self.servers.append(server)
            server.join(self)
        for i in range(1, self.gateways + 1):
            wait_until(f"gateway{i} is ready", lambda i=i: self.is_ready(i))

    def signal(self, name, number):
        self.record.write(f"signal {signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def stop(self):
        self.stopping.set()
        for server in self.servers:
            server.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept", self.folder, file=sys.stderr)


class Server:
    """A stand-in server. A subclass answers the requests in `serve`, with the bytes that it wants to send."""

    def __init__(self, record, name="i-7f3a91c2", service="huvo11a"):
        self.record = record
        self.name = name
        self.service = service
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.stopped = threading.Event()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)

    def join(self, deployment):
        self.deployment = deployment
        self.listener.bind((f"{deployment.network}.{201 + len(deployment.servers)}", 0))
        self.listener.listen(128)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()
        wait_until(f"{self.name} is registered", self.heartbeat)
        threading.Thread(target=self._beat, daemon=True).start()

    def heartbeat(self):
        self.sequence += 1
        body = {"service": self.service, "address": self.address, "zone": "z1", "version": "v1", "slots": 64,
                "state": "ready", "coldLeftMs": 0, "sequence": self.sequence, "born": self.born}
        return self.deployment.call("PUT", f"/-/instances/{self.name}", json.dumps(body))[0] == 200

    def _beat(self):
        while not self.stopped.wait(1.2):
            self.heartbeat()

    def _accept(self):
        while not self.stopped.is_set():
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._run, args=(connection,), daemon=True).start()

    def _run(self, connection):
        try:
            self.serve(connection)
        except OSError:
            pass
        finally:
            connection.close()

    def serve(self, connection):
        raise NotImplementedError

    def stop(self):
        self.stopped.set()
        self.listener.close()


def read_head(connection, data=b""):
    """@return The head of a message as (first line, headers in lower case), and the bytes behind it; None at the end."""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(65536)
        if not piece:
            return None
        data += piece
    head, rest = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(":")
        headers[name.strip().lower()] = text.strip()
    return lines[0], headers, rest


def request_bytes(method, path, request_id, body=b"", deadline_ms=15000, more=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {request_id}",
             f"Request-Deadline: {deadline_ms}", f"Credential: {KEY}", *more]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def run_case(case):
    """Runs a case: `case(record, trouble)` returns the list of what broke the rule. Exits as the review's scripts do."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble={int(trouble)}")

    def give_up(number, _frame):
        record.write(f"ended by signal {number}")
        sys.exit(2)

    # Ends the processes that the case started also when the case is ended, or takes too long.
    signal.signal(signal.SIGTERM, give_up)
    signal.signal(signal.SIGALRM, give_up)
    signal.alarm(LIMIT_S)
    try:
        broken = case(record, trouble)
    except Exception as error:  # pylint: disable=broad-except
        record.write(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        if os.environ.get("KEEP") == "1":
            raise
        sys.exit(2)
    for line in broken:
        record.write("BROKEN " + line)
        print("broken:", line)
    record.write("result: " + ("broken" if broken else "held"))
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
