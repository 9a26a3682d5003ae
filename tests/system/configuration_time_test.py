"""Time until an accepted configuration is in force on all nodes."""

import json
import time
import unittest

import fleet
from configuration_test import base_text


class ConfigurationTimeTest(fleet.FleetTest):
    network = "127.38"
    arguments = ("--hosts", "6", "--zones", "3")

    def account_rates(self, node):
        shown = self.fleet.ctl("account", "list", node=node)
        return [account["rate"] for account in json.loads(shown.stdout)]

    def test_each_of_many_changes_is_in_force_and_confirmed_everywhere_within_two_seconds(self):
        for rate in range(432, 462):
            changed_path = self.write(base_text().replace("rate = 400", f"rate = {rate}", 1))
            started_at = time.monotonic()
            self.assertEqual(self.fleet.ctl("apply", changed_path).returncode, 0)
            for index in range(len(self.fleet.nodes())):
                fleet.wait_until(lambda i=index, r=rate: self.account_rates(i)[0] == r, 2)
            self.assertLess(time.monotonic() - started_at, 2)


if __name__ == "__main__":
    unittest.main()
