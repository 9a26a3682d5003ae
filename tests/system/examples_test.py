"""The example files of both sites are valid, alone and with their overlays."""

import os
import subprocess
import unittest

import fleet


class ExamplesTest(unittest.TestCase):
    def test_examples_are_valid(self):
        for site in ("oman", "taiwan"):
            folder = os.path.join(fleet.ROOT, "examples", site)
            done = subprocess.run([os.path.join(fleet.BUILD, "dandelionctl"), "check", folder + "/base.toml",
                                   folder + "/site.toml"], capture_output=True, text=True, check=False)
            self.assertEqual(done.returncode, 0, done.stderr)


if __name__ == "__main__":
    unittest.main()
