"""The example files of both sites are valid with their overlays."""

import os
import subprocess
import unittest

import fleet


class ExamplesTest(unittest.TestCase):
    def test_examples_are_valid(self):
        for site in ("oman", "taiwan"):
            folder = os.path.join(fleet.ROOT, "examples", site)
            completed = subprocess.run([os.path.join(fleet.BUILD, "dandelionctl"), "check", folder + "/base.toml",
                                        folder + "/site.toml"], capture_output=True, text=True, check=False)
            self.assertEqual(completed.returncode, 0, completed.stderr)


if __name__ == "__main__":
    unittest.main()
