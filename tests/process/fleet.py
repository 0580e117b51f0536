"""Starts a fleet of real daemons and stand-in backend servers on loopback addresses, for the process tests."""

import hashlib
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

# Generous, so that no verdict depends on the machine's speed.
LIMIT_S = 60
VM_COUNT = 4
DOMAINS = ["fd1", "fd2", "fd3", "fd1"]


def wait_until(what, condition, limit_s=LIMIT_S):
    """Polls a condition and fails with its description when it does not become true."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError(f"timed out waiting until {what}")


class Relay:
    """Forwards TCP connections from one VM to another until it is cut."""

    def __init__(self, listen, target, source_ip):
        self.target = target
        self.source_ip = source_ip
        self.is_cut = False
        self.sockets = []
        self.lock = threading.Lock()
        self.listener = socket.create_server(listen, backlog=256, reuse_port=False)
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        """Drops all connections and refuses new ones."""
        with self.lock:
            self.is_cut = True
            for sock in self.sockets:
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
            self.sockets.clear()

    def heal(self):
        with self.lock:
            self.is_cut = False

    def close(self):
        self.cut()
        # Wakes the accepting thread, which would otherwise keep the port.
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            with self.lock:
                if self.is_cut:
                    client.close()
                    continue
            try:
                server = socket.create_connection(self.target, timeout=5, source_address=(self.source_ip, 0))
                server.settimeout(None)
            except OSError:
                client.close()
                continue
            with self.lock:
                self.sockets += [client, server]
            for a, b, way in ((client, server, "to"), (server, client, "from")):
                threading.Thread(target=self._pump, args=(a, b, way), daemon=True).start()

    def forward(self, sink, data, way):
        """@param way "to" the target or "from" it; for relays that do more."""
        sink.sendall(data)

    def _pump(self, source, sink, way):
        try:
            while data := source.recv(65536):
                self.forward(sink, data, way)
        except OSError:
            pass
        # The thread of the other direction ends too and closes its source.
        for sock in (source, sink):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        source.close()


class Fleet:
    """Four VMs in three failure domains; messages between them go through relays that a test can cut."""

    def __init__(self, binaries, with_relays=False):
        self.binaries = binaries
        self.folder = tempfile.mkdtemp(prefix="camphorsail-test-")
        self.processes = {}
        self.relays = {}
        self.secret = "0123456789abcdef0123456789abcdef"
        for name in ("peer", "announce", "admin"):
            path = os.path.join(self.folder, name + ".secret")
            with open(path, "w", encoding="utf-8") as file:
                file.write(self.secret)
            os.chmod(path, 0o600)
        if with_relays:
            for a in range(1, VM_COUNT + 1):
                for b in range(1, VM_COUNT + 1):
                    if a != b:
                        self.relays[a, b] = Relay((self.ip(b), self.relay_port(a)), (self.ip(b), 18083), self.ip(a))

    @staticmethod
    def ip(vm):
        return f"127.0.1.{vm}"

    @staticmethod
    def relay_port(from_vm):
        return 18100 + from_vm

    def start(self, vm):
        peers = []
        for other in range(1, VM_COUNT + 1):
            if other != vm:
                port = self.relay_port(vm) if self.relays else 18083
                peers.append(f"vm{other}={self.ip(other)}:{port}")
        self._spawn(f"vm{vm}", [
            "camphorsaild", "--vm", f"vm{vm}", "--failure-domain", DOMAINS[vm - 1],
            "--caller-listen", f"{self.ip(vm)}:18080", "--announce-listen", f"{self.ip(vm)}:18081",
            "--admin-listen", f"{self.ip(vm)}:18082", "--peer-listen", f"{self.ip(vm)}:18083",
            "--peers", ",".join(peers), "--data-folder", self.data_folder(vm), "--drain-delay-ms", "200",
            "--peer-secret-file", os.path.join(self.folder, "peer.secret"),
            "--announce-secret-file", os.path.join(self.folder, "announce.secret"),
            "--admin-secret-file", os.path.join(self.folder, "admin.secret")])

    def start_all(self):
        for vm in range(1, VM_COUNT + 1):
            self.start(vm)
        self.wait_ready(range(1, VM_COUNT + 1))

    def start_backend(self, name, kind, target, port, *flags):
        announce = []
        for vm in range(1, VM_COUNT + 1):
            announce += ["--announce", f"{self.ip(vm)}:18081"]
        self._spawn(name, ["camphorsail-fake-backend", "--id", name, "--kind", kind, "--target", target,
                           "--failure-domain", "fd1", "--address", "127.0.1.9", "--port", str(port),
                           "--announce-ms", "200", "--secret", self.secret, *announce, *flags])

    def _spawn(self, name, command):
        command[0] = os.path.join(self.binaries, command[0])
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            # Run by the test itself and stopped by its process id.
            self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def data_folder(self, vm):
        return os.path.join(self.folder, f"data-vm{vm}")

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def cut(self, vms):
        """Cuts the given VMs off from all others, in both directions."""
        for (a, b), relay in self.relays.items():
            if (a in vms) != (b in vms):
                relay.cut()

    def heal(self):
        for relay in self.relays.values():
            relay.heal()

    def request(self, vm, method, path, body=None, headers=None, port=18080, timeout=30):
        """Returns the status and the body as text."""
        connection = http.client.HTTPConnection(self.ip(vm), port, timeout=timeout)
        try:
            connection.request(method, path, json.dumps(body) if body is not None else None, headers or {})
            response = connection.getresponse()
            return response.status, response.read().decode()
        finally:
            connection.close()

    def try_request(self, *args, **kwargs):
        """Like request; status 0 when the VM cannot be reached."""
        try:
            return self.request(*args, **kwargs)
        except (OSError, http.client.HTTPException):
            return 0, ""

    def admin(self, vm, method, path, body=None):
        status, text = self.try_request(vm, method, "/admin/v1/" + path, body,
                                        {"Authorization": "Bearer " + self.secret}, port=18082)
        return status, json.loads(text) if text else {}

    def is_ready(self, vm):
        return self.try_request(vm, "GET", "/readyz")[0] == 200

    def wait_ready(self, vms):
        for vm in vms:
            wait_until(f"vm{vm} is ready", lambda vm=vm: self.is_ready(vm))

    def wait_servers(self, count):
        def complete(vm):
            status, body = self.admin(vm, "GET", "servers")
            serving = [s for s in body.get("servers", []) if s["state"] == "serving"]
            return status == 200 and len(serving) == count
        for vm in range(1, VM_COUNT + 1):
            wait_until(f"vm{vm} knows {count} servers", lambda vm=vm: complete(vm))

    def change(self, vm, change_id, base_version, edits):
        return self.admin(vm, "POST", "settings",
                          {"change_id": change_id, "base_version": base_version, "operator": "test", "edits": edits})

    def apply_accounts(self):
        """Creates the account `demo` with the key `demo-key`."""
        status, body = self.change(1, "setup", 0, [
            {"path": "fleet", "key": "total_target_ms", "value": 30000},
            {"path": "fleet", "key": "ttft_target_ms", "value": 10000},
            {"path": "fleet", "key": "model", "value": "model"},
            {"path": "fleet/demo", "key": "api_key_sha256", "value": [hashlib.sha256(b"demo-key").hexdigest()]},
            {"path": "fleet/demo/chat", "key": "tier", "value": 1},
            {"path": "fleet/demo/booking", "key": "tier", "value": 0},
            {"path": "fleet/demo/booking", "key": "idempotent", "value": False},
            {"path": "fleet/demo", "key": "default_class", "value": "chat"}])
        assert status == 200, body

    def chat(self, vm, max_tokens=8, stream=False, key="demo-key", timeout=60):
        return self.try_request(vm, "POST", "/v1/chat/completions",
                                {"model": "model", "max_tokens": max_tokens, "stream": stream,
                                 "messages": [{"role": "user", "content": "Plan breakfast."}]},
                                {"Authorization": "Bearer " + key, "Content-Type": "application/json"},
                                timeout=timeout)

    def book(self, vm, idempotency_key, timeout=60):
        return self.try_request(vm, "POST", "/v1/services/orders/book", {"item": idempotency_key},
                                {"Authorization": "Bearer demo-key", "Content-Type": "application/json",
                                 "X-Camphorsail-Class": "booking", "Idempotency-Key": idempotency_key},
                                timeout=timeout)

    def stop(self, failed):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for relay in self.relays.values():
            relay.close()
        if failed:
            for name in sorted(os.listdir(self.folder)):
                if name.endswith(".log"):
                    with open(os.path.join(self.folder, name), encoding="utf-8", errors="replace") as file:
                        print(f"--- last lines of {name}\n" + "".join(file.readlines()[-15:]))
        shutil.rmtree(self.folder, ignore_errors=True)
