#!/usr/bin/env python3
"""Goodput, recovery and fairness while a deep service is slow, on real processes and stand-ins.

Three services in a chain over three zones: front calls middle, middle calls deep. Callers of eight client accounts,
two of them large, send more than the slow service can process, and retry immediately. For each scenario and variant of
the nodes (all mechanisms, or some disabled) prints the goodput before, during and after the trigger.
"""

import argparse
import hashlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../tests/system"))
import fleet  # noqa: E402

DEEP_SLOTS = 4  # of each target of the deep service
DEEP_MS = 20  # service time of the deep service
SLOW_FACTOR = 10  # factor on it while the service is slow
WORKERS = 3  # targets of each service
# Requests per second of each large and each small account, and payments per second of each small one.
LARGE_RATE = 90
SMALL_RATE = 8
PAY_RATE = 3
RETRIES = 3
# Times in seconds from the start of the load.
TRIGGER_START = 4
TRIGGER_END = 24
SECONDS = 34


def write_configuration(path):
    with open(path, "w", encoding="utf-8") as file:
        for number in range(8):
            key_hash = hashlib.sha256(f"key-{number}".encode()).hexdigest()
            file.write(f'[[account]]\nname = "account-{number}"\nrate = 2000\nburst = 2000\nkeys = ["{key_hash}"]\n')
        for name in ("front", "middle", "deep"):
            file.write(f'[[service]]\nname = "{name}"\nretries = 2\n')
            file.write(f'[[route]]\nprefix = "/{name}"\nservice = "{name}"\nidempotent = true\npriority = 4\n')
        file.write('[[route]]\nprefix = "/front/pay"\nservice = "front"\nidempotent = true\npriority = 9\n')


def write_plan(path, nodes, demand):
    """Writes a plan in which each account sends to several nodes; returns its lines."""
    lines = []
    for number in range(8):
        rate = (LARGE_RATE if number < 2 else SMALL_RATE) * demand
        for part in range(3):
            node = nodes[(number + part) % len(nodes)]
            lines.append((number, "list", f"{node['addresses']['callers']} key-{number} /front/list {rate / 3} {RETRIES}"))
        if number >= 2:
            node = nodes[number % len(nodes)]
            lines.append((number, "pay", f"{node['addresses']['callers']} key-{number} /front/pay {PAY_RATE} {RETRIES}"))
    with open(path, "w", encoding="ascii") as file:
        file.write("\n".join(line for _, _, line in lines) + "\n")
    return lines


def finished_runs(test_fleet):
    """Number of requests that the live targets of each service have finished."""
    targets = [target for target in test_fleet.targets() if fleet.is_running(target["pid"])]
    return {name: sum(test_fleet.runs(target)["finished"] for target in targets if target in test_fleet.targets(name))
            for name in ("front", "middle", "deep")}


def control_deep_targets(test_fleet, **options):
    for target in test_fleet.targets("deep"):
        test_fleet.control(target, **options)


def kill(test_fleet, processes):
    for process in processes:
        test_fleet.signal(process, signal.SIGKILL)
        fleet.wait_until(lambda p=process: not fleet.is_running(p["pid"]), 5)


def nodes_of(test_fleet, targets):
    return [node for target in targets for node in test_fleet.find("node", target["host"])]


class Scenario:
    """A fault from TRIGGER_START to TRIGGER_END, and the capacity that remains meanwhile."""

    def begin(self, test_fleet):
        pass

    def end(self, test_fleet):
        pass

    def capacity(self):
        """Requests per second that the deep service can process during the fault."""
        return WORKERS * DEEP_SLOTS * 1000 / (DEEP_MS * SLOW_FACTOR)


class Slow(Scenario):
    """The deep service takes ten times as long."""

    def begin(self, test_fleet):
        control_deep_targets(test_fleet, service_ms=DEEP_MS * SLOW_FACTOR)

    def end(self, test_fleet):
        control_deep_targets(test_fleet, service_ms=DEEP_MS)


class Misleading(Slow):
    """Like Slow, and the targets announce ten times the slots that they have."""

    def begin(self, test_fleet):
        control_deep_targets(test_fleet, service_ms=DEEP_MS * SLOW_FACTOR, announced_slots=DEEP_SLOTS * 10)

    def end(self, test_fleet):
        control_deep_targets(test_fleet, service_ms=DEEP_MS, announced_slots=DEEP_SLOTS)


class Lost(Slow):
    """Like Slow, and one target of each service is killed with its node."""

    def begin(self, test_fleet):
        super().begin(test_fleet)
        self.targets = [test_fleet.targets(name)[0] for name in ("front", "middle", "deep")]
        self.nodes = nodes_of(test_fleet, self.targets)
        kill(test_fleet, self.nodes + self.targets)

    def end(self, test_fleet):
        for process in self.nodes + self.targets:
            test_fleet.restart(process)
        for target in self.targets:
            address = target["addresses"]["requests"]
            fleet.wait_until(lambda a=address: fleet.exchange(a, "GET", "/runs"), 5)
        super().end(test_fleet)

    def capacity(self):
        return super().capacity() * (WORKERS - 1) / WORKERS


class Failing(Slow):
    """Like Slow, and one target responds to every request immediately with an error."""

    def begin(self, test_fleet):
        super().begin(test_fleet)
        test_fleet.control(test_fleet.targets("deep")[0], fail_share=1.0)

    def end(self, test_fleet):
        test_fleet.control(test_fleet.targets("deep")[0], fail_share=0)
        super().end(test_fleet)

    def capacity(self):
        return super().capacity() * (WORKERS - 1) / WORKERS


class Restart(Scenario):
    """All nodes are killed at once and restarted under continuing load."""

    def begin(self, test_fleet):
        nodes = test_fleet.nodes()
        kill(test_fleet, nodes)
        for node in nodes:
            test_fleet.restart(node)

    def capacity(self):
        return WORKERS * DEEP_SLOTS * 1000 / DEEP_MS


SCENARIOS = {"slow": Slow, "misleading": Misleading, "lost": Lost, "failing": Failing, "restart": Restart}


def start_fleet(without, network):
    test_fleet = fleet.Fleet(network, "--hosts", "9", "--zones", "3", "--services", "front,middle,deep", "--config",
                             "none", "--slots", "60", "--service-ms", "2", "--without", without, "--log-level", "error")
    configuration = os.path.join(test_fleet.dir, "overload.toml")
    write_configuration(configuration)
    assert test_fleet.ctl("apply", configuration).returncode == 0
    control_deep_targets(test_fleet, service_ms=DEEP_MS, slots=DEEP_SLOTS, announced_slots=DEEP_SLOTS)
    for node in test_fleet.nodes():
        fleet.wait_until(lambda n=node: test_fleet.status(n)["holds_slot"], 20)
    time.sleep(2)
    return test_fleet


def run_variant(scenario, without, network, demand, seed):
    test_fleet = start_fleet(without, network)
    try:
        plan = os.path.join(test_fleet.dir, "plan")
        lines = write_plan(plan, test_fleet.nodes(), demand)
        caller = subprocess.Popen([os.path.join(fleet.BUILD, "standins/standin_caller"), "--plan", plan, "--seconds",
                                   str(SECONDS), "--seed", str(seed)], stdout=subprocess.PIPE, text=True)
        reports = []
        reader = threading.Thread(target=lambda: reports.append(json.load(caller.stdout)))
        reader.start()
        started_at = time.monotonic()
        time.sleep(TRIGGER_START)
        scenario.begin(test_fleet)
        runs_at_start = finished_runs(test_fleet)
        time.sleep(max(0, started_at + TRIGGER_END - time.monotonic()))
        runs_during = {name: runs - runs_at_start[name] for name, runs in finished_runs(test_fleet).items()}
        scenario.end(test_fleet)
        reader.join()
        caller.wait()
        return summarize(scenario, lines, reports[0], runs_during)
    finally:
        test_fleet.stop()


def requests_between(report, first, last, kind="good"):
    return sum(report[kind + "_by_second"][first:last])


def total_after_trigger(reports, kind):
    """Requests from 5 s after the end of the trigger on, without the last second, whose responses may be cut off."""
    return sum(requests_between(report, TRIGGER_END + 5, SECONDS - 1, kind) for report in reports)


def summarize(scenario, lines, reports, runs_during):
    """Relates goodput to the demand before and after the trigger, and to the capacity of the slow service during it."""
    pairs = list(zip(lines, reports))
    during = (TRIGGER_START + 1, TRIGGER_END)
    seconds = during[1] - during[0]
    capacity = min(scenario.capacity(), sum(requests_between(report, *during, "sent") for report in reports) / seconds)
    offered = sum(report["sent"] for report in reports) / SECONDS
    good_during = sum(requests_between(report, *during) for _, report in pairs) / seconds
    pay = [report for (_, kind, _), report in pairs if kind == "pay"]
    pay_sent = sum(requests_between(report, *during, "sent") for report in pay)
    pay_good = sum(requests_between(report, *during) for report in pay)
    good_rates = {}
    sent_rates = {}
    for (number, _, _), report in pairs:
        good_rates[number] = good_rates.get(number, 0) + requests_between(report, *during) / seconds
        sent_rates[number] = sent_rates.get(number, 0) + requests_between(report, *during, "sent") / seconds
    fair_shares = {number: min(rate, capacity / len(sent_rates)) for number, rate in sent_rates.items()}
    by_second = [sum(report["good_by_second"][second] for report in reports) for second in range(SECONDS)]
    before = sum(by_second[1:TRIGGER_START]) / (TRIGGER_START - 1)
    recovered = next((second - TRIGGER_END for second in range(TRIGGER_END, SECONDS - 1)
                      if by_second[second] >= 0.9 * before), None)
    return {"offered/s": offered, "before/s": before, "during/s": good_during,
            "during of capacity": good_during / capacity,
            "good 5 s after": total_after_trigger(reports, "good") / total_after_trigger(reports, "sent"),
            "recovery s": recovered, "important served": pay_good / pay_sent,
            "worst of fair share": min(good_rates[number] / fair_shares[number] for number in good_rates),
            **{f"{name} runs per answer": runs / (TRIGGER_END - TRIGGER_START) / max(good_during, 0.1)
               for name, runs in runs_during.items()},
            "attempts per request": sum(report["attempts"] for report in reports) /
            sum(report["sent"] for report in reports)}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--variants", default=",shares,guard,allowance,guard+shares+allowance",
                        help="comma-separated variants, each a list of disabled mechanisms joined by +")
    parser.add_argument("--scenarios", default="slow", help="of " + ", ".join(SCENARIOS))
    parser.add_argument("--demand", type=float, default=1.0, help="factor on the demand")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    runs = [(name, variant) for name in options.scenarios.split(",") for variant in options.variants.split(",")]
    for index, (name, variant) in enumerate(runs):
        without = variant.replace("+", ",")
        result = run_variant(SCENARIOS[name](), without, f"127.{50 + index % 50}", options.demand, options.seed)
        print(f"{name}, {'without ' + without if without else 'all mechanisms'}, seed {options.seed}")
        for key, value in result.items():
            print(f"  {key:22} {'never' if value is None else format(value, '.2f')}")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
