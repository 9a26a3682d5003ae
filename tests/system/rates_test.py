"""Rates over the fleet, measured from outside on real processes."""

import hashlib
import threading
import time
import unittest

import fleet

RATE = 60
BURST = 60


class RatesTest(fleet.FleetTest):
    network = "127.38"
    arguments = ("--hosts", "6", "--zones", "3", "--config", "none")

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.apply("")
        for node in cls.fleet.nodes():
            fleet.wait_until(lambda n=node: cls.fleet.status(n)["holds_slot"], 20, "slot")

    @classmethod
    def apply(cls, zones):
        """Puts the configuration in force, with these zones in it."""
        path = cls.fleet.dir + "/rates.toml"
        with open(path, "w", encoding="utf-8") as file:
            file.write(zones)
            for name, key in (("kiosk", fleet.KEY), ("publisher", fleet.OTHER_KEY)):
                key_hash = hashlib.sha256(key.encode()).hexdigest()
                file.write(f'[[account]]\nname = "{name}"\nrate = {RATE}\nburst = {BURST}\nkeys = ["{key_hash}"]\n')
            file.write('[[service]]\nname = "front"\n[[service]]\nname = "back"\n')
            file.write('[[route]]\nprefix = "/back"\nservice = "back"\nidempotent = true\n')
        assert cls.fleet.ctl("apply", path).returncode == 0
    def send(self, key, rate, seconds, nodes):
        """Sends at a steady rate and returns the send times of what was let through, and what was refused."""
        passed, refused, lock = [], [], threading.Lock()

        def one(node):
            sent = time.monotonic()
            answer = self.fleet.ask(node, "/back/x", key=key)
            with lock:
                (refused if answer and answer.status == 429 else passed).append(sent)

        threads = []
        began = time.monotonic()
        for number in range(int(rate * seconds)):
            pause = began + number / rate - time.monotonic()
            if pause > 0:
                time.sleep(pause)
            thread = threading.Thread(target=one, args=(nodes[number % len(nodes)],))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()
        return sorted(passed), refused

    def check_windows(self, passed):
        """No more than rate and burst over any window; the slack is for the time from sending to admission."""
        slack = 5
        for first in range(0, len(passed), 7):
            for last in range(first, len(passed), 7):
                window = passed[last] - passed[first]
                self.assertLessEqual(last - first + 1, RATE * (window + 0.1) + BURST + slack)

    def test_an_account_gets_no_more_than_its_rate_and_burst_over_all_hosts(self):
        time.sleep(2)
        passed, refused = self.send(fleet.KEY, 4 * RATE, 4, self.fleet.nodes())
        self.assertGreater(len(refused), 0)
        self.check_windows(passed)
        # It does get most of what it may have.
        self.assertGreater(len(passed), 0.8 * (RATE * 4 + BURST))

    def test_changes_of_the_zones_give_an_account_nothing_above_its_rate(self):
        time.sleep(2)
        passed = []
        load = threading.Thread(target=lambda: passed.extend(self.send(fleet.KEY, 4 * RATE, 10, self.fleet.nodes())[0]))
        load.start()
        for hosts in (1, 2, 1, 2):
            time.sleep(1.8)
            self.apply("".join(f'[[zone]]\nname = "zone-{zone}"\nhosts = {hosts}\n' for zone in "abc"))
        load.join()
        self.check_windows(sorted(passed))
        self.assertGreater(len(passed), BURST)

    def test_an_account_within_its_rate_is_not_refused_beside_one_that_is_far_above(self):
        time.sleep(2)
        noisy = threading.Thread(target=self.send, args=(fleet.KEY, 4 * RATE, 4, self.fleet.nodes()))
        noisy.start()
        # All of it enters at one host.
        passed, refused = self.send(fleet.OTHER_KEY, 0.7 * RATE, 4, self.fleet.nodes()[:1])
        noisy.join()
        self.assertLessEqual(len(refused), 0.01 * (len(passed) + len(refused)))


if __name__ == "__main__":
    unittest.main()
