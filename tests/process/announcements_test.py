"""Announcements of another sender, and departures of servers across restarts, on the deployed path as processes."""

import concurrent.futures
import json
import signal
import sys
import time
import unittest

from gateway_fleet import CONTROL_VMS, GATEWAYS, GatewayFleet, wait_until

BINARIES = sys.argv.pop(1)
CONTROLS = range(1, CONTROL_VMS + 1)
# A server that is leaving gets no new requests after this time.
DRAIN_S = 2
LEAVING_TOGETHER = 40
# A silent server counts as gone after this time.
SILENCE_S = 3


class AnnouncementTestCase(unittest.TestCase):
    def setUp(self):
        self.fleet = GatewayFleet(BINARIES)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        wait_until("a table is accepted", lambda: self.fleet.put_config(self.fleet.document(1)) == 200)
        self.first = self.fleet.add_server("s1", "svc")
        self.second = self.fleet.add_server("s2", "svc")
        self.number = 0
        self.wait_until_served()

    def wait_until_served(self):
        for i in range(1, GATEWAYS + 1):
            wait_until("the gateways serve", lambda i=i: self.ask(i) == 200)

    def ask(self, gateway):
        self.number += 1
        return self.fleet.request(gateway, "/safe/x", f"q{self.number}-g{gateway}")[0]

    def runs_of(self, server, requests=30):
        """@return How many of further requests reach the server; each must be served."""
        before = len(server.runs)
        for n in range(requests):
            self.assertEqual(self.ask(1 + n % GATEWAYS), 200)
            time.sleep(0.02)
        return len(server.runs) - before

    def announce(self, name, only=None, **fields):
        """Sends what a server says of itself. @return Status; 0 when no control VM accepts it."""
        announcement = {"service": "svc", "address": f"127.0.0.1:{self.first.port}", "zone": "z1", "version": "v1",
                        "slots": 8, "state": "ready", "coldLeftMs": 0, "sequence": self.first.sequence + 1,
                        "born": self.first.born}
        announcement.update(fields)
        body = json.dumps({key: value for key, value in announcement.items() if value is not None})
        return self.fleet.control_call("PUT", f"/-/instances/{name}", body, only=only)[0]

    def leave(self, server, only=None, born=None):
        body = json.dumps({"sequence": server.sequence + 1, "born": born or server.born})
        return self.fleet.control_call("DELETE", f"/-/instances/{server.name}", body, only=only)[0]

    def restart(self, names):
        """Kills processes together, and starts them again with their disks."""
        for name in names:
            self.fleet.kill(name, signal.SIGKILL)
        for name in names:
            self.fleet.wait(name)
        for name in names:
            if name.startswith("control"):
                self.fleet.start_control(int(name[-1]))
            else:
                self.fleet.start_gateway(int(name[-1]))

    def restart_core_and_a_gateway(self):
        self.restart([f"control{i}" for i in CONTROLS] + ["gateway1"])

    def assert_no_process_ended(self):
        for name, process in self.fleet.processes.items():
            self.assertIsNone(process.poll(), name)


class AnotherSenderTest(AnnouncementTestCase):
    def test_changing_announcements_end_no_process(self):
        # Guards against control VMs that end when a server has changed its kind and falls silent.
        models = [{"name": "m", "version": 1, "adapters": []}]
        for sequence, more in enumerate(({"models": models}, {}, {"service": "svc"}, {"service": "none"}), start=1):
            self.announce("w", sequence=sequence, **{"service": "none", **more})
            time.sleep(0.3)
        time.sleep(SILENCE_S + 1)
        self.assert_no_process_ended()
        self.assertEqual(self.leave(self.second), 200)
        self.assert_no_process_ended()

    def test_announcements_under_the_id_of_a_server_change_nothing(self):
        # Guards against a working server that gets no requests after another sender has used its id.
        for i in CONTROLS:
            self.announce("s1", only=[i], service="none", sequence=1000)
            self.announce("s1", only=[i], service="none", state="draining", sequence=1000)
            self.announce("s1", only=[i], address="127.0.0.1:9", sequence=1001)
            self.announce("s1", only=[i], service=None, sequence=1002)
            self.announce("s1", only=[i], state="asleep", sequence=1003)
        for _ in range(3):
            time.sleep(0.5)
            self.assertGreater(self.runs_of(self.first), 0)
        self.assert_no_process_ended()


class DepartureTest(AnnouncementTestCase):
    def late_announcement(self):
        """What `first` sent before it left, when it arrives long after that."""
        self.first.stopped.set()
        time.sleep(0.6)
        return {"sequence": self.first.sequence + 1}

    def test_server_that_left_stays_out_after_a_restart(self):
        # Guards against a late announcement that brings a server back that all restarted VMs have forgotten.
        late = self.late_announcement()
        self.assertEqual(self.leave(self.first, only=[1]), 200)
        self.restart_core_and_a_gateway()
        self.wait_until_served()
        self.assertEqual(self.announce("s1", **late), 200)
        time.sleep(DRAIN_S)
        self.assertEqual(self.runs_of(self.first), 0)

    def test_draining_server_stays_out_after_a_restart(self):
        # The same for a server that announced that it is shutting down, and whose later messages are lost.
        late = self.late_announcement()
        self.assertEqual(self.announce("s1", state="draining", sequence=self.first.sequence + 2), 200)
        self.restart_core_and_a_gateway()
        self.wait_until_served()
        self.assertEqual(self.announce("s1", **late), 200)
        time.sleep(DRAIN_S)
        self.assertEqual(self.runs_of(self.first), 0)

    def test_departure_survives_the_vm_that_acknowledged_it(self):
        # Guards against an acknowledgement before any other VM knows of the departure.
        late = self.late_announcement()
        self.assertEqual(self.leave(self.first, only=[2]), 200)
        self.fleet.kill("control2", signal.SIGKILL)
        self.fleet.wait("control2")
        self.assertEqual(self.announce("s1", only=[1], **late), 200)
        time.sleep(DRAIN_S)
        self.assertEqual(self.runs_of(self.first), 0)

    def test_unknown_server_that_leaves_stays_out(self):
        # Guards against an acknowledged departure that a VM does not keep, because it has not heard of the server.
        late = self.late_announcement()
        self.restart_core_and_a_gateway()
        self.wait_until_served()
        self.assertEqual(self.leave(self.first), 200)
        self.assertEqual(self.announce("s1", **late), 200)
        time.sleep(DRAIN_S)
        self.assertEqual(self.runs_of(self.first), 0)

    def test_servers_that_leave_together_are_acknowledged_at_once(self):
        # Guards against servers that have to repeat a departure, because more leave together than are committed at once.
        with concurrent.futures.ThreadPoolExecutor(LEAVING_TOGETHER) as pool:
            answers = list(pool.map(lambda n: self.fleet.control_call("DELETE", f"/-/instances/x{n}", only=[1])[0],
                                    range(LEAVING_TOGETHER)))
        self.assertEqual(answers, [200] * LEAVING_TOGETHER)

    def test_departure_of_an_earlier_start_changes_nothing(self):
        # Guards against a late message of an earlier start that takes the present one out of service.
        earlier = self.first.born - 1000
        self.assertEqual(self.leave(self.first, born=earlier), 200)
        time.sleep(1)
        self.assertGreater(self.runs_of(self.first), 0)

    def test_departure_without_a_quorum_is_not_acknowledged(self):
        # Guards against an acknowledgement of what is lost with the VM that gave it.
        for i in (2, 3):
            self.fleet.kill(f"control{i}", signal.SIGKILL)
            self.fleet.wait(f"control{i}")
        self.assertEqual(self.leave(self.first, only=[1]), 0)
        self.first.stopped.set()
        for i in (2, 3):
            self.fleet.start_control(i)
        wait_until("the departure is acknowledged", lambda: self.leave(self.first, only=[1]) == 200)
        self.wait_until_served()
        self.assertEqual(self.runs_of(self.first), 0)


if __name__ == "__main__":
    unittest.main(verbosity=2)
