"""A server leaves and is acknowledged; then processes are killed at the same moment, and an older ping of it comes late."""

import json
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-3"))

from stand import Client, Server, System, configuration, route, run_case, wait_until  # noqa: E402

# Half of the eight machines.
KILLED = ("core0", "core1", "core2", "front0")
# Time for which the killed processes are gone, and after which the ping comes that was sent before the server left.
DOWN_S = 2.0
LATE_S = 4.0
CONTACT_S = 3.0
# The server serves on for so long.
SERVES_S = 14.0


def case(record, trouble):
    system = System(record, fronts=5)
    servers = []
    arrivals = []

    def serve(server, call):
        call.read_body()
        if call.path == "/health":
            call.answer(200, b"", more=f"Instance-Id: {server.name}\r\n")
            return
        if call.path.startswith("/-/"):
            call.head(404, "Content-Length: 0\r\n")
            return
        arrivals.append((time.monotonic(), server.name, call.id))
        server.began(call)
        call.answer(200, b"x" * 800)

    try:
        system.start_all()
        document = configuration(1, [route("r-read", "/read/", "safe", "portal", timeoutMs=3000)], {"portal": False})
        wait_until(lambda: system.put_config(document) == 200, 20, "the configuration is accepted")
        servers = [Server(system, record, f"i-p{n}", "portal", serve, slots=6, engine=False) for n in (1, 2)]
        for i in range(5):
            wait_until(lambda i=i: system.is_ready(f"front{i}"), 20, "the gateways are ready")
        time.sleep(4)  # All machines are in touch from here on.
        leaving = servers[0]
        leaving.stopped_pings = True
        time.sleep(1.5)
        leaving.sequence += 1
        late_ping = json.dumps({"service": "portal", "address": f"127.0.0.1:{leaving.port}", "zone": "za",
                                "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0,
                                "sequence": leaving.sequence, "born": leaving.born})
        status, _ = system.call("core0", "DELETE", f"/-/instances/{leaving.name}",
                                json.dumps({"sequence": leaving.sequence + 1, "born": leaving.born}))
        left = time.monotonic()
        record.add(f"{leaving.name} has left, answered {status}")
        began = left
        if trouble:
            for name in KILLED:
                system.signal(name, signal.SIGKILL)
            for name in KILLED:
                system.processes[name].wait()
            time.sleep(DOWN_S)
            for name in KILLED:
                system.start(name)
            began = time.monotonic()
            time.sleep(max(0, left + LATE_S - time.monotonic()))
            status, _ = system.call_any("PUT", f"/-/instances/{leaving.name}", late_ping)
            record.add(f"an older ping of {leaving.name} comes late, answered {status}")
        in_touch = max(left + 2.0, began + CONTACT_S + 0.5)
        number = 0
        counted = {}
        while time.monotonic() < left + SERVES_S:
            number += 1
            for gateway in ("front0", "front1"):
                sent = time.monotonic()
                try:
                    client = Client(system.front(gateway))
                    client.send("/read/1", f"{gateway}-{number}", deadline_ms=3000)
                    status, _, _, end = client.read()
                    client.close()
                except OSError:
                    continue
                counted[f"{gateway}-{number}"] = sent
                if number % 10 == 1:
                    record.add(f"{gateway}-{number} answered {status} {end}")
            time.sleep(0.1)
        late = [(at, name, request) for at, name, request in arrivals
                if name == leaving.name and counted.get(request, 0) > in_touch]
        for gateway in ("front0", "front1"):
            record.add(f"{sum(1 for _, _, request in late if request.startswith(gateway))} requests of {gateway} reached "
                       f"{leaving.name} later than {in_touch - left:.1f} s after it had left")
        return bool(late)
    finally:
        for server in servers:
            server.stop()
        system.stop()


sys.exit(run_case(case, FOLDER))
