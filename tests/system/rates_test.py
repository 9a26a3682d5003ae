"""Rate limits of accounts over the whole fleet, measured by callers."""

import hashlib
import threading
import time
import unittest

import fleet

RATE = 60  # requests per second
BURST = 60  # requests


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
        """Puts a configuration with these zones in force."""
        path = cls.fleet.dir + "/rates.toml"
        with open(path, "w", encoding="utf-8") as file:
            file.write(zones)
            for name, key in (("kiosk", fleet.KEY), ("publisher", fleet.OTHER_KEY)):
                key_hash = hashlib.sha256(key.encode()).hexdigest()
                file.write(f'[[account]]\nname = "{name}"\nrate = {RATE}\nburst = {BURST}\nkeys = ["{key_hash}"]\n')
            file.write('[[service]]\nname = "front"\n[[service]]\nname = "back"\n')
            file.write('[[route]]\nprefix = "/back"\nservice = "back"\nidempotent = true\n')
        assert cls.fleet.ctl("apply", path).returncode == 0

    def send_at_rate(self, key, rate, seconds, nodes):
        """Sends at a steady rate; returns the send times of requests not refused with 429, and of those refused."""
        admitted, refused, lock = [], [], threading.Lock()

        def send_one(node):
            sent_at = time.monotonic()
            response = self.fleet.request(node, "/back/x", key=key)
            with lock:
                (refused if response and response.status == 429 else admitted).append(sent_at)

        threads = []
        started_at = time.monotonic()
        for number in range(int(rate * seconds)):
            pause = started_at + number / rate - time.monotonic()
            if pause > 0:
                time.sleep(pause)
            thread = threading.Thread(target=send_one, args=(nodes[number % len(nodes)],))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()
        return sorted(admitted), refused

    def check_windows(self, admitted):
        """Checks that admissions stay within rate and burst, in windows between every seventh admission.

        The slack, some requests and 0.1 s, covers the time from sending to admission.
        """
        slack_requests = 5
        for first in range(0, len(admitted), 7):
            for last in range(first, len(admitted), 7):
                window = admitted[last] - admitted[first]
                self.assertLessEqual(last - first + 1, RATE * (window + 0.1) + BURST + slack_requests)

    def test_an_account_gets_no_more_than_its_rate_and_burst_over_all_hosts(self):
        time.sleep(2)  # longer than BURST / RATE, so that the burst is full again
        admitted, refused = self.send_at_rate(fleet.KEY, 4 * RATE, 4, self.fleet.nodes())
        self.assertGreater(len(refused), 0)
        self.check_windows(admitted)
        # The account gets most of what its rate and burst allow.
        self.assertGreater(len(admitted), 0.8 * (RATE * 4 + BURST))

    def test_changes_of_the_zones_give_an_account_nothing_above_its_rate(self):
        time.sleep(2)  # longer than BURST / RATE, so that the burst is full again
        admitted = []
        load = threading.Thread(target=lambda: admitted.extend(
            self.send_at_rate(fleet.KEY, 4 * RATE, 10, self.fleet.nodes())[0]))
        load.start()
        for hosts in (1, 2, 1, 2):
            time.sleep(1.8)  # four changes within the 10 s of load
            self.apply("".join(f'[[zone]]\nname = "zone-{zone}"\nhosts = {hosts}\n' for zone in "abc"))
        load.join()
        self.check_windows(sorted(admitted))
        self.assertGreater(len(admitted), BURST)

    def test_an_account_within_its_rate_is_not_refused_beside_one_that_is_far_above(self):
        time.sleep(2)  # longer than BURST / RATE, so that the burst is full again
        noisy = threading.Thread(target=self.send_at_rate, args=(fleet.KEY, 4 * RATE, 4, self.fleet.nodes()))
        noisy.start()
        # All of its requests enter at one host.
        admitted, refused = self.send_at_rate(fleet.OTHER_KEY, 0.7 * RATE, 4, self.fleet.nodes()[:1])
        noisy.join()
        self.assertLessEqual(len(refused), 0.01 * (len(admitted) + len(refused)))


if __name__ == "__main__":
    unittest.main()
