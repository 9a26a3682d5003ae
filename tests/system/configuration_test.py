"""Configuration changes: concurrent operators, platform outages and lost responses of the log."""

import json
import os
import signal
import subprocess
import threading
import unittest

import fleet


def base_text():
    with open(os.path.join(fleet.ROOT, "examples/demo/base.toml"), encoding="utf-8") as file:
        return file.read()


class ConfigurationTest(fleet.FleetTest):
    network = "127.37"
    arguments = ("--hosts", "6", "--zones", "3")

    def account_rates(self, node):
        shown = self.fleet.ctl("account", "list", node=node)
        return [account["rate"] for account in json.loads(shown.stdout)]

    def test_of_concurrent_operators_exactly_one_wins_each_version_and_all_nodes_agree(self):
        for round_number in range(3):
            version = json.loads(self.fleet.ctl("show").stdout)["document_version"]
            results = []

            def apply(rate, node, version=version, results=results):
                path = self.write(base_text().replace("rate = 400", f"rate = {rate}", 1))
                results.append(self.fleet.ctl(f"--from_version={version}", "apply", path, node=node).returncode)

            threads = [threading.Thread(target=apply, args=(500 + 10 * round_number + node, node)) for node in range(4)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.assertEqual(sorted(results), [0, 3, 3, 3])
            fleet.wait_until(lambda: len({json.dumps(self.account_rates(i)) for i in range(6)}) == 1, 2)

    def test_nodes_keep_serving_during_a_platform_outage_and_a_restarted_one_syncs_from_its_peers(self):
        self.fleet.set_log_fault(mode="down")
        node = self.fleet.nodes()[5]
        try:
            # The change stays undecided, and the document in force still applies.
            undecided = self.fleet.ctl("apply", self.write(base_text()), wait_ms=300)
            self.assertEqual(undecided.returncode, 5)
            self.assertEqual(self.fleet.request(self.fleet.nodes()[0], "/front/x").status, 200)
            self.fleet.signal(node, signal.SIGKILL)
            fleet.wait_until(lambda: not fleet.is_running(node["pid"]), 5)
            self.fleet.restart(node)
            fleet.wait_until(lambda: (self.fleet.status(node) or {}).get("ready"), 10, "configuration from peers")
            fleet.wait_until(lambda: self.fleet.request(node, "/front/x").status == 200, 10, "a successful response")
        finally:
            self.fleet.set_log_fault(mode="none")
        fleet.wait_until(lambda: self.fleet.status(node)["holds_slot"], 20, "its slot again")

    def test_a_lost_response_of_the_log_does_not_affect_a_change(self):
        self.fleet.set_log_fault(mode="lose")
        try:
            path = self.write(base_text().replace("rate = 400", "rate = 777", 1))
            self.assertEqual(self.fleet.ctl("apply", path).returncode, 0)
        finally:
            self.fleet.set_log_fault(mode="none")
        self.assertEqual(self.account_rates(0)[0], 777)

    def test_a_process_without_a_configuration_refuses_all_requests(self):
        settings = self.fleet.nodes()[0]["command"][2]
        with open(settings, encoding="utf-8") as file:
            text = file.read()
        text = text.replace("127.37.1.1", "127.37.9.1").replace("127.37.0.1:9100", "127.37.0.9:9100")
        text = "\n".join(line for line in text.splitlines() if not line.startswith("seeds"))
        child = subprocess.Popen([os.path.join(fleet.BUILD, "dandelionmountd"), "--settings", self.write(text)],
                                 stderr=subprocess.DEVNULL)
        try:
            refused = fleet.wait_until(lambda: fleet.exchange("127.37.9.1:8080", "GET", "/front/x", {
                "Authorization": "Bearer " + fleet.KEY}), 5)
            self.assertEqual((refused.status, refused.reason, refused.outcome), (503, "no_configuration", "not-run"))
        finally:
            child.kill()
            child.wait()


if __name__ == "__main__":
    unittest.main()
