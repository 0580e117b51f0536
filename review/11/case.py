"""Another writer sends pings under an id of its own: of a service that isn't named, and then with a field missing."""

import json
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-3"))

from stand import Client, Server, System, configuration, route, run_case, wait_until  # noqa: E402

CONTROLS = 3
# The rule names three ends of processes in a day, on half of the core.
ROUNDS = 3
# Time after the pings in which the processes are watched.
WATCH_S = 8.0


def serve(server, call):
    call.read_body()
    if call.path == "/health":
        call.answer(200, b"", more=f"Instance-Id: {server.name}\r\n")
        return
    server.began(call)
    call.answer(200, b"x" * 800)


def case(record, trouble):
    system = System(record, controls=CONTROLS, fronts=2)
    servers = []
    stopped = threading.Event()
    ends = {f"core{i}": 0 for i in range(CONTROLS)}

    def watch():
        """The platform: starts a process again that has ended."""
        while not stopped.is_set():
            for name in ends:
                code = system.processes[name].poll()
                if code is not None:
                    ends[name] += 1
                    record.add(f"{name} has ended by itself with {code}")
                    time.sleep(0.2)
                    system.start(name)
            stopped.wait(0.05)

    def ask(number):
        client = Client(system.front("front0"))
        client.send("/read/1", f"read-{number}", deadline_ms=3000)
        status, _, _, end = client.read()
        client.close()
        return f"{status} {end}"

    try:
        system.start_all()
        document = configuration(1, [route("r-read", "/read/", "safe", "portal", timeoutMs=3000)], {"portal": False})
        wait_until(lambda: system.put_config(document) == 200, 20, "the configuration is accepted")
        servers = [Server(system, record, f"i-p{n}", "portal", serve, slots=6, engine=False) for n in (1, 2)]
        for name in ("front0", "front1"):
            wait_until(lambda name=name: system.is_ready(name), 20, "the gateways are ready")
        time.sleep(4)  # All machines are in touch from here on.
        threading.Thread(target=watch, daemon=True).start()
        number = 0
        for turn in range(ROUNDS):
            if trouble:
                ping = {"service": "other", "address": "127.0.0.1:9", "zone": "za", "version": "v1", "slots": 4,
                        "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": int(time.time() * 1000),
                        "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}]}
                for missing in ([], ["models"]):
                    for name in missing:
                        del ping[name]
                    status, _ = system.call(f"core{turn % CONTROLS}", "PUT", f"/-/instances/w-{turn}", json.dumps(ping))
                    record.add(f"ping {ping['sequence']} of w-{turn}, without {missing}, answered {status}")
                    ping["sequence"] += 1
                    time.sleep(1.2)
            end = time.monotonic() + WATCH_S
            while time.monotonic() < end:
                number += 1
                record.add(f"read-{number} answered {ask(number)}")
                time.sleep(0.5)
            wait_until(lambda: system.is_ready("front0"), 20, "the gateway is ready")
        stopped.set()
        record.add(f"processes that ended by themselves: {ends}")
        return sum(1 for count in ends.values() if count >= ROUNDS) * 2 >= CONTROLS
    finally:
        stopped.set()
        time.sleep(0.5)
        for server in servers:
            server.stop()
        system.stop()


sys.exit(run_case(case, FOLDER))
