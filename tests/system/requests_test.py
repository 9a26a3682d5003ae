"""Requests under failure: at-most-once execution, complete responses, idempotency keys, bounded retries."""

import hashlib
import json
import os
import random
import signal
import threading
import time
import unittest

import fleet


class RequestsTest(fleet.FleetTest):
    network = "127.33"
    arguments = ("--hosts", "6", "--zones", "3")

    def test_repeats_of_an_idempotency_key_run_once_at_whichever_node_they_arrive(self):
        nodes = self.fleet.nodes()
        before = sum(self.fleet.runs(target)["paths"].get("/front/pay/once", 0) for target in self.fleet.targets("front"))
        responses = []
        lock = threading.Lock()

        def pay(node):
            response = self.fleet.request(node, "/front/pay/once", method="POST", body="amount=1",
                                          headers={"Idempotency-Key": "at-once"}, timeout=10)
            with lock:
                responses.append(response)

        threads = [threading.Thread(target=pay, args=(node,)) for node in nodes * 2]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        after = sum(self.fleet.runs(target)["paths"].get("/front/pay/once", 0) for target in self.fleet.targets("front"))
        self.assertLessEqual(after - before, 1)
        successes = [response for response in responses if response.status == 200]
        for response in successes:
            self.assertEqual(response.headers["Dandelion-Request"], successes[0].headers["Dandelion-Request"])
        later = self.fleet.request(nodes[0], "/front/pay/once", method="POST", body="amount=1",
                                   headers={"Idempotency-Key": "at-once"})
        self.assertEqual(later.status, 200)
        other = self.fleet.request(nodes[0], "/front/pay/once", method="POST", body="amount=2",
                                   headers={"Idempotency-Key": "at-once"})
        self.assertEqual((other.status, other.reason), (400, "key_mismatch"))

    def test_repeats_of_an_idempotency_key_run_once_across_changes_of_the_zones_and_replaced_nodes(self):
        nodes = self.fleet.nodes()

        def pay(node, key):
            return self.fleet.request(node, "/front/pay/change", method="POST", body="amount=1",
                                      headers={"Idempotency-Key": key}, timeout=10)

        keys = [f"change-{number}" for number in range(30)]
        first = {key: pay(nodes[0], key) for key in keys}
        with open(os.path.join(fleet.ROOT, "examples/demo/base.toml"), encoding="utf-8") as file:
            base = file.read()
        zones = "".join(f'[[zone]]\nname = "zone-{zone}"\nhosts = 1\n' for zone in "abc")
        self.assertEqual(self.fleet.ctl("apply", self.write(base + zones)).returncode, 0)
        second = {key: pay(nodes[3], key) for key in keys}
        # The first node is replaced: the new process gets the change of the zones only from the log and its peers.
        self.fleet.signal(nodes[0], signal.SIGKILL)
        fleet.wait_until(lambda: not fleet.is_running(nodes[0]["pid"]), 5)
        self.fleet.restart(nodes[0])
        fleet.wait_until(lambda: (self.fleet.status(nodes[0]) or {}).get("holds_slot"), 20, "slot")
        third = {key: pay(nodes[0], key) for key in keys}
        self.assertEqual(self.fleet.ctl("apply", self.write(base)).returncode, 0)
        runs = {}
        for target in self.fleet.targets("front"):
            report = self.fleet.runs(target)
            runs["change"] = runs.get("change", 0) + report["paths"].get("/front/pay/change", 0)
        self.assertLessEqual(runs["change"], len(keys))
        for key in keys:
            self.assertEqual(first[key].status, 200)
            for later in (second[key], third[key]):
                self.assertEqual((later.status, later.reason), (200, ""))
                self.assertEqual(later.headers["Dandelion-Request"], first[key].headers["Dandelion-Request"])

    def test_requests_run_at_most_once_and_get_no_truncated_responses(self):
        for target in self.fleet.targets("front"):
            self.fleet.control(target, cut_share=0.3)
        try:
            outcomes = {}
            for number in range(60):
                node = self.fleet.nodes()[number % 6]
                response = self.fleet.request(node, "/front/pay/cut", method="POST")
                outcomes[response.outcome] = outcomes.get(response.outcome, 0) + 1
                if response.outcome == "ran":
                    json.loads(response.body)
                else:
                    self.assertEqual((response.status, response.outcome), (502, "unknown"))
            self.assertGreater(outcomes.get("unknown", 0), 0)
        finally:
            for target in self.fleet.targets("front"):
                self.fleet.control(target, cut_share=0)
        for target in self.fleet.targets("front"):
            self.assertLessEqual(self.fleet.runs(target)["most_for_one_request"], 1)

    def test_a_deadline_ends_a_request_at_once_with_an_unknown_outcome(self):
        for target in self.fleet.targets("front"):
            self.fleet.control(target, service_ms=1500)
        try:
            started_at = time.monotonic()
            response = self.fleet.request(self.fleet.nodes()[0], "/front/pay", method="POST",
                                          headers={"Dandelion-Timeout": "200"})
            elapsed = time.monotonic() - started_at
            self.assertEqual((response.status, response.outcome), (504, "unknown"))
            self.assertIn("Retry-After", response.headers)
            self.assertLess(elapsed, 0.5)
        finally:
            for target in self.fleet.targets("front"):
                self.fleet.control(target, service_ms=2)


class FaultsTest(fleet.FleetTest):
    """Nodes killed, and nodes and targets paused, at random times under load."""

    network = "127.34"
    arguments = ("--hosts", "6", "--zones", "3")

    def test_a_request_runs_at_most_once_and_its_reported_outcome_is_correct(self):
        seed = 1
        print("faults run, seed", seed)
        rng = random.Random(seed)
        load = fleet.Load(self.fleet, "/front/pay/faults", threads=6, method="POST", pause=0.02)
        kinds = []
        # Targets are not killed, because their run counts are checked at the end.
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            kind = rng.choice(("kill node", "freeze node", "freeze target"))
            processes = self.fleet.nodes() if "node" in kind else self.fleet.targets()
            process = rng.choice(processes)
            kinds.append(kind)
            if kind == "kill node":
                self.fleet.signal(process, signal.SIGKILL)
                fleet.wait_until(lambda p=process: not fleet.is_running(p["pid"]), 5)
                time.sleep(rng.uniform(0.1, 1.0))
                self.fleet.restart(process)
            else:
                self.fleet.signal(process, signal.SIGSTOP)
                time.sleep(rng.uniform(0.2, 3.0))
                self.fleet.signal(process, signal.SIGCONT)
            time.sleep(rng.uniform(0.1, 1.0))
        responses = load.stop()
        time.sleep(1)
        runs = {}
        for target in self.fleet.targets("front"):
            for request_id, count in self.fleet.runs(target)["runs"].items():
                runs[request_id] = runs.get(request_id, 0) + count
        outcomes = {}
        for _, _, response in responses:
            outcome = response.outcome if response else "connection lost"
            outcomes[outcome] = outcomes.get(outcome, 0) + 1
            request_id = response.headers.get("Dandelion-Request") if response else None
            if request_id is None:
                continue
            self.assertLessEqual(runs.get(request_id, 0), 1)
            if response.outcome == "not-run":
                self.assertEqual(runs.get(request_id, 0), 0)
            if response.outcome == "ran":
                self.assertEqual(runs.get(request_id, 0), 1)
        self.assertLessEqual(max(runs.values()), 1)
        print("faults", kinds, "outcomes", outcomes)
        self.assertGreater(outcomes.get("ran", 0), 100)


class RetriesTest(fleet.FleetTest):
    """A call chain of depth six in which every response of the last service is truncated."""

    network = "127.35"
    arguments = ("--hosts", "6", "--zones", "1", "--services", "one,two,three,four,five,six", "--config", "none")

    def test_attempts_over_the_whole_call_tree_stay_within_the_retry_allowance(self):
        path = self.fleet.dir + "/chain.toml"
        names = ("one", "two", "three", "four", "five", "six")
        with open(path, "w", encoding="utf-8") as file:
            key_hash = hashlib.sha256(fleet.KEY.encode()).hexdigest()
            file.write(f'[[account]]\nname = "kiosk"\nrate = 1000\nburst = 1000\nkeys = ["{key_hash}"]\n')
            for name in names:
                file.write(f'[[service]]\nname = "{name}"\nretries = 3\n')
                file.write(f'[[route]]\nprefix = "/{name}"\nservice = "{name}"\nidempotent = true\n')
        applied = self.fleet.ctl("apply", path)
        self.assertEqual(applied.returncode, 0, applied.stderr + applied.stdout)
        for node in self.fleet.nodes():
            fleet.wait_until(lambda: self.fleet.status(node)["ready"], 5)
        fleet.wait_until(lambda: self.fleet.request(self.fleet.nodes()[0], "/one/x").status == 200, 10)
        for target in self.fleet.targets("six"):
            self.fleet.control(target, cut_share=1.0)
        before = {target["host"]: self.fleet.runs(target)["total"] for target in self.fleet.targets()}
        requests = 20
        for _ in range(requests):
            self.fleet.request(self.fleet.nodes()[0], "/one/x")
        runs = sum(self.fleet.runs(target)["total"] - before[target["host"]] for target in self.fleet.targets())
        # A request makes six calls and at most three retries over its whole call tree. With three retries at each hop
        # it would make 4 + 16 + ... + 4096 calls.
        self.assertLessEqual(runs, requests * (6 + 3))


if __name__ == "__main__":
    unittest.main()
