"""Planned stops and failures of targets and nodes under load, and a rolling restart of all nodes."""

import signal
import time
import unittest

import fleet


class PlannedStopsTest(fleet.FleetTest):
    network = "127.36"
    arguments = ("--hosts", "6", "--zones", "3", "--service-ms", "20")

    def check_all_succeeded(self, responses):
        failures = [(host, response and (response.status, response.reason)) for _, host, response in responses
                    if response is None or response.status != 200]
        self.assertEqual(failures, [])
        self.assertGreater(len(responses), 50)

    def test_a_target_that_drains_finishes_all_requests(self):
        load = fleet.Load(self.fleet, "/front/pay/drain", threads=4, method="POST")
        time.sleep(1)
        target = self.fleet.targets("front")[0]
        self.fleet.signal(target, signal.SIGTERM)
        self.assertTrue(self.fleet.wait_for_exit(target))
        self.fleet.restart(target)
        time.sleep(1)
        self.check_all_succeeded(load.stop())

    def test_a_target_that_stops_announcing_gets_no_requests_after_three_seconds(self):
        target = self.fleet.targets("front")[0]
        load = fleet.Load(self.fleet, "/front/silent", threads=4)
        time.sleep(0.5)
        self.fleet.control(target, announces=False)
        time.sleep(3)
        before = self.fleet.runs(target)["total"]
        time.sleep(1.5)
        after = self.fleet.runs(target)["total"]
        self.fleet.control(target, announces=True)
        load.stop()
        self.assertEqual(before, after)

    def test_a_target_whose_node_is_killed_gets_no_requests_after_three_seconds(self):
        target = self.fleet.targets("front")[0]
        node = self.fleet.find("node", target["host"])[0]
        load = fleet.Load(self.fleet, "/front/gone", threads=4)
        time.sleep(0.5)
        node["away"] = True
        self.fleet.signal(node, signal.SIGKILL)
        fleet.wait_until(lambda: not fleet.is_running(node["pid"]), 5)
        time.sleep(3)
        before = self.fleet.runs(target)["total"]
        time.sleep(1)
        after = self.fleet.runs(target)["total"]
        self.fleet.restart(node)
        fleet.wait_until(lambda: (self.fleet.status(node) or {}).get("holds_slot"), 15, "slot")
        node["away"] = False
        load.stop()
        self.assertEqual(before, after)

    def test_all_nodes_are_restarted_in_sequence_and_no_request_is_cut_off(self):
        load = fleet.Load(self.fleet, "/front/pay/rolling", threads=4, method="POST")
        time.sleep(1)
        for node in self.fleet.nodes():
            # Callers switch to other nodes, as clients do when the port is closed.
            node["away"] = True
            self.fleet.signal(node, signal.SIGTERM)
            self.assertTrue(self.fleet.wait_for_exit(node))
            self.fleet.restart(node)
            fleet.wait_until(lambda n=node: (self.fleet.status(n) or {}).get("holds_slot"), 15, "slot")
            node["away"] = False
        time.sleep(1)
        self.check_all_succeeded(load.stop())


if __name__ == "__main__":
    unittest.main()
