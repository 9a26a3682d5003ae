"""The command-line tool: exit codes, errors and output."""

import json
import os
import subprocess
import unittest

import fleet


class CommandLineTest(fleet.FleetTest):
    network = "127.31"
    arguments = ("--hosts", "2", "--zones", "1")

    def test_a_file_with_an_error_is_refused_with_its_line_and_not_applied(self):
        before = json.loads(self.fleet.ctl("show").stdout)
        invalid_path = self.write('[[account]]\nname = "kiosk"\nrate = -5\nburst = 1\n')
        refused = self.fleet.ctl("apply", invalid_path)
        self.assertEqual(refused.returncode, 1)
        self.assertIn(invalid_path + ":3: account.rate: a number from", refused.stderr)
        self.assertEqual(json.loads(self.fleet.ctl("show").stdout), before)

    def test_check_contacts_no_node(self):
        ctl = self.fleet.description["ctl"]
        valid_path = os.path.join(fleet.ROOT, "examples/demo/base.toml")
        completed = subprocess.run([ctl, "--node", "127.0.0.1:1", "check", valid_path], check=False,
                                   capture_output=True)
        self.assertEqual(completed.returncode, 0)

    def test_an_unreachable_node_has_its_own_exit_code(self):
        ctl = self.fleet.description["ctl"]
        failed = subprocess.run([ctl, "--node", "127.0.0.1:1", "status"], check=False, capture_output=True)
        self.assertEqual(failed.returncode, 4)

    def test_unknown_commands_print_the_usage(self):
        failed = self.fleet.ctl("aply")
        self.assertEqual(failed.returncode, 2)
        self.assertIn("apply BASE", failed.stderr)

    def test_diff_shows_what_apply_would_change(self):
        with open(os.path.join(fleet.ROOT, "examples/demo/base.toml"), encoding="utf-8") as file:
            changed = self.write(file.read().replace("rate = 400", "rate = 401", 1))
        difference = json.loads(self.fleet.ctl("diff", changed).stdout)["difference"]
        self.assertIn("-rate = 400.0", difference)
        self.assertIn("+rate = 401.0", difference)

    def test_of_two_changes_from_one_version_the_second_gets_a_conflict(self):
        valid_path = os.path.join(fleet.ROOT, "examples/demo/base.toml")
        version = json.loads(self.fleet.ctl("show").stdout)["document_version"]
        first = self.fleet.ctl(f"--from_version={version}", "apply", valid_path)
        second = self.fleet.ctl(f"--from_version={version}", "apply", valid_path)
        self.assertEqual(first.returncode, 0)
        self.assertEqual(second.returncode, 3)

    def test_counters_and_accounts_can_be_read_by_scripts(self):
        counters = json.loads(self.fleet.ctl("counters").stdout)
        self.assertIn('dandelionmount_refusals_total{reason="over_rate"}', counters)
        accounts = json.loads(self.fleet.ctl("account", "list").stdout)
        self.assertEqual([account["name"] for account in accounts], ["kiosk", "publisher"])

    def test_bad_settings_stop_the_daemon_with_their_errors(self):
        invalid_path = self.write('[host]\nname = "x"\nslot = "one"\n')
        completed = subprocess.run([os.path.join(fleet.BUILD, "dandelionmountd"), "--settings", invalid_path],
                                   check=False,
                                   capture_output=True, text=True, timeout=10)
        self.assertEqual(completed.returncode, 2)
        self.assertIn(":3: host.slot: a whole number from 0", completed.stderr)
        self.assertIn("host.caller_address: needed here", completed.stderr)


if __name__ == "__main__":
    unittest.main()
