"""Starts the project's programs as a small deployment on loopback addresses, with stand-in servers and clients.

The commands come from deploy/system.toml and the settings from the templates that it names. All processes are ended by
their ids. What happens is written to record.txt in the folder of the case.
"""

import contextlib
import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
INTERNAL_PORTS = [19340, 19355]
CONTROL_PORT, FRONT_PORT, READY_PORT, METRICS_PORT = 19229, 19227, 19220, 9464
ZONES = ["buc-a", "buc-b", "buc-c"]
# The bounds and the smallest front machine of sites/aftar.toml.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
          "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000,
          "strictRevoke": True, "revokeMs": 5000, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 52,
          "recoverS": 12, "passMs": 120, "againS": 10}
FRONT_MEMORY_MB, FRONT_FDS = 260, 4100


class Unusable(Exception):
    """The case cannot run here."""


def render(template, fields):
    """Fills in a template of settings as DEPLOY.md tells it, as far as the templates of deploy/ need it."""
    def value_of(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                return None
        return value

    def section(match):
        value = value_of(match.group(1))
        return match.group(2) if value not in (None, False) else ""

    def text(match):
        value = value_of(match.group(1))
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(str(v) for v in value) if isinstance(value, list) else str(value)

    filled = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", text, filled)


def free_network():
    """@return The first three numbers of loopback addresses on which nobody listens."""
    for n in range(200):
        prefix = f"127.{64 + (os.getpid() + n) % 128}.{(os.getpid() // 128 + n) % 250}"
        try:
            for last in (1, 2, 3, 101, 102):
                for port in (INTERNAL_PORTS[0], INTERNAL_PORTS[1], CONTROL_PORT, FRONT_PORT, READY_PORT, METRICS_PORT):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"{prefix}.{last}", port))
            return prefix
        except OSError:
            continue
    raise Unusable("no free loopback addresses")


class Record:
    def __init__(self, folder):
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def add(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:9.3f} s  {text}\n")
            self.file.flush()


class Deployment:
    """Three control machines and some front machines."""

    def __init__(self, record, fronts=2, memory_mb=FRONT_MEMORY_MB, fds=FRONT_FDS, one_core=False):
        self.record = record
        self.fronts = fronts
        self.memory_mb, self.fds = memory_mb, fds
        # Each process sees one processor, as DEPLOY.md says of the machines.
        self.one_core = one_core
        self.network = free_network()
        self.folder = tempfile.mkdtemp(prefix="camphorsail-review-")
        self.processes = {}
        self.servers = []
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        for role in self.roles.values():
            if not os.access(os.path.join(ROOT, role["run"].split()[0]), os.X_OK):
                raise Unusable(f"{role['run']} is not built")

    def control_ip(self, i):
        return f"{self.network}.{i}"

    def front_ip(self, i):
        return f"{self.network}.{100 + i}"

    def _role(self, serves):
        return next((name, role) for name, role in self.roles.items() if serves in role["serves"])

    def _spawn(self, name, serves, ip, zone, bootstrap):
        role_name, role = self._role(serves)
        is_front = serves == "front"
        fields = {"node": name, "role": role_name, "class": role["on"], "serves": role["serves"], "ip": ip,
                  "zone": zone, "region": "ro-buc", "internalPorts": INTERNAL_PORTS,
                  "seeds": [f"{self.control_ip(i)}:{CONTROL_PORT}" for i in (1, 2, 3)], "bootstrap": bootstrap,
                  "tolerate": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
                  "listen": {"front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:{READY_PORT}"} if is_front
                  else {"control": f"{ip}:{CONTROL_PORT}"},
                  "limits": {"memoryMb": self.memory_mb if is_front else 256, "maxFds": self.fds if is_front else 4096}}
        if not is_front:
            fields["dataDir"] = os.path.join(self.folder, name + "-data")
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), fields)
        settings = os.path.join(self.folder, name + ".settings")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["CAMPHORSAIL_NODE_FILE"] = settings
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            pin = None
            if self.one_core:
                processors = sorted(os.sched_getaffinity(0))
                processor = processors[len(self.processes) % len(processors)]

                def pin():
                    os.sched_setaffinity(0, {processor})
            self.processes[name] = subprocess.Popen(role["run"].split(), cwd=ROOT, env=environment, preexec_fn=pin,
                                                    stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record.add(f"started {name}, process {self.processes[name].pid}, at {ip}")

    def start_control(self, i, bootstrap=False):
        self._spawn(f"core-{i}", "control", self.control_ip(i), ZONES[(i - 1) % 3], bootstrap)

    def start_front(self, i):
        self._spawn(f"front-{i}", "front", self.front_ip(i), ZONES[(i - 1) % 3], False)

    def start(self, config):
        for i in (1, 2, 3):
            self.start_control(i, bootstrap=True)
        for i in range(1, self.fronts + 1):
            self.start_front(i)
        wait_until("the configuration is acknowledged", lambda: self.put_config(config) == 200)
        for server in self.servers:
            server.start()
        for i in range(1, self.fronts + 1):
            wait_until(f"front-{i} is ready", lambda i=i: self.is_ready(i))

    def control_call(self, method, path, body=None, first=1, timeout=2.0):
        """Calls the control machines in turn until one gives a clear answer."""
        for n in range(3):
            connection = http.client.HTTPConnection(self.control_ip((first - 1 + n) % 3 + 1), CONTROL_PORT, timeout=timeout)
            try:
                connection.request(method, path, body, {"Content-Type": "application/json"})
                response = connection.getresponse()
                text = response.read().decode()
                if response.status < 500 and response.status not in (408, 429):
                    return response.status, text
            except (OSError, http.client.HTTPException):
                continue
            finally:
                connection.close()
        return 0, ""

    def put_config(self, config):
        status, _ = self.control_call("PUT", "/-/config", json.dumps(config))
        self.record.add(f"operator: configuration {config['version']} answered {status}")
        return status

    def is_ready(self, i):
        connection = http.client.HTTPConnection(self.front_ip(i), READY_PORT, timeout=1)
        try:
            connection.request("GET", "/-/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def memory_mb_of(self, name, field="VmRSS"):
        with open(f"/proc/{self.processes[name].pid}/status", encoding="ascii") as file:
            return next(int(line.split()[1]) / 1024 for line in file if line.startswith(field + ":"))

    def has_ended(self, name):
        return self.processes[name].poll() is not None

    def signal(self, name, number):
        self.record.add(f"{signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def stop(self):
        for server in self.servers:
            server.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def wait_until(what, condition, limit_s=25.0):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.1)
    raise Unusable(f"not within {limit_s:.0f} s: {what}")


def read_head(stream):
    """@return The first line and the headers by lower-case name; None at the end of the channel."""
    line = stream.readline(65536)
    if not line:
        return None
    headers = {}
    while True:
        text = stream.readline(65536)
        if text in (b"\r\n", b"\n", b""):
            break
        name, _, value = text.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").split(), headers


class Server:
    """A sound server: registers, answers 421 when another instance is meant, echoes the id, and runs each request.

    @param answer Called with the channel's socket, the method and path, the headers and the body of each request that
    runs. Sends the answer; returns False to end the channel.
    """

    def __init__(self, deployment, name, service, zone, answer, slots=64, engine=False):
        self.deployment, self.name, self.service, self.zone, self.answer = deployment, name, service, zone, answer
        self.slots, self.engine = slots, engine
        self.ip = f"{deployment.network}.{150 + len(deployment.servers)}"
        self.listener = socket.create_server((self.ip, 0), backlog=1024)
        self.port = self.listener.getsockname()[1]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.stopped = threading.Event()
        self.lock = threading.Lock()
        # Ids of the requests that ran, in their order.
        self.runs = []
        deployment.servers.append(self)

    def start(self):
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._ping, daemon=True).start()

    def stop(self):
        self.stopped.set()
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _ping(self):
        while not self.stopped.is_set():
            self.sequence += 1
            body = {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1",
                    "slots": self.slots, "state": "ready", "coldLeftMs": 0, "sequence": self.sequence, "born": self.born}
            if self.engine:
                body.update({"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}]})
            status, _ = self.deployment.control_call("PUT", f"/-/instances/{self.name}", json.dumps(body))
            if self.sequence == 1:
                self.deployment.record.add(f"server {self.name} registered at {self.ip}:{self.port}, answered {status}")
            self.stopped.wait(1.2)

    def _accept(self):
        while not self.stopped.is_set():
            try:
                channel, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(channel,), daemon=True).start()

    def _serve(self, channel):
        channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = channel.makefile("rb")
        with contextlib.suppress(OSError), channel, stream:
            while (request := read_head(stream)) is not None:
                (method, path, *_), headers = request
                body = stream.read(int(headers.get("content-length", 0)))
                request_id = headers.get("request-id", "")
                if headers.get("expect-instance", self.name) != self.name:
                    channel.sendall(b"HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + request_id.encode() +
                                    b"\r\nContent-Length: 0\r\n\r\n")
                    continue
                with self.lock:
                    self.runs.append(request_id)
                if self.answer(channel, method, path, headers, body) is False:
                    return


def head_of(headers, *lines, status="200 OK"):
    """@return The head of a sound answer to a request with these headers, without its last empty line."""
    request_id = headers.get("request-id", "")
    return "\r\n".join([f"HTTP/1.1 {status}", f"Request-Id: {request_id}", f"Response-Signature: 3e1b.{request_id}",
                        *lines, ""]).encode()


def run_case(folder, function):
    """Runs a case and exits with its result."""
    record = Record(folder)
    record.add(f"TROUBLE={1 if TROUBLE else 0}")
    result = COULD_NOT_RUN
    try:
        result = function(record)
    except Unusable as error:
        record.add(f"could not run: {error}")
        print(f"could not run: {error}")
    record.add(f"exit {result}")
    sys.exit(result)
