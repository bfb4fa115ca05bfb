"""Tests of the package lists: what .ci/packages and .ci/deploy_file.py accept, and how they refuse the rest."""

import os
import pathlib
import shutil
import subprocess
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
COMMANDS = 'build = "true"\nrun = "exec true"\nsim = "exec true"\n'
APT_STUB = "#!/bin/sh\necho \"apt-get $*\"\n"


class PackageListsTest(unittest.TestCase):
    """Runs copies of the scripts in a repository of the test's own, with an apt-get that only prints its words."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)
        shutil.copytree(ROOT / ".ci", self.root / ".ci")
        (self.root / "deploy").mkdir()
        self.deploy_file = self.root / "deploy/balancer.toml"
        stub = self.root / "bin/apt-get"
        stub.parent.mkdir()
        stub.write_text(APT_STUB)
        stub.chmod(0o755)

    def run_script(self, name):
        environment = {**os.environ, "PATH": f"{self.root / 'bin'}:{os.environ['PATH']}"}
        return subprocess.run([self.root / ".ci" / name], env=environment, capture_output=True, text=True)

    def assert_refused(self, reason):
        for script in ("packages", "deploy_file.py"):
            with self.subTest(script=script):
                result = self.run_script(script)
                self.assertEqual(result.returncode, 1)
                self.assertEqual(result.stdout, "", "nothing may be installed")
                self.assertEqual(len(result.stderr.splitlines()), 1, result.stderr)
                self.assertIn("deploy/balancer.toml", result.stderr)
                self.assertIn(reason, result.stderr)

    def test_a_missing_file_is_refused(self):
        self.assert_refused("cannot be read")

    def test_a_file_that_is_not_toml_is_refused(self):
        self.deploy_file.write_text(COMMANDS + 'packages = ["make"\n')
        self.assert_refused("cannot be parsed")

    def test_a_file_that_is_not_utf_8_is_refused(self):
        self.deploy_file.write_bytes(b'build = "\xff"\n')
        self.assert_refused("cannot be parsed")

    def test_a_list_of_another_shape_is_refused(self):
        for line in ("", "packages = []", 'packages = "make"', 'packages = { make = "4.3" }'):
            with self.subTest(line=line):
                self.deploy_file.write_text(COMMANDS + line)
                self.assert_refused("packages: a list with a package or more is wanted")

    def test_what_is_no_package_name_is_refused(self):
        for name in ('""', '"make cmake"', '"--purge"', '"Make"', "3"):
            with self.subTest(name=name):
                self.deploy_file.write_text(f"{COMMANDS}packages = [{name}]")
                self.assert_refused("is not the name of a package")

    def test_a_package_that_is_listed_twice_is_refused(self):
        self.deploy_file.write_text(COMMANDS + 'packages = ["make", "make"]')
        self.assert_refused("make is listed twice")

    def test_a_missing_command_is_refused(self):
        for key in ("build", "run", "sim"):
            with self.subTest(key=key):
                self.deploy_file.write_text(COMMANDS.replace(f"{key} =", "other =") + 'packages = ["make"]')
                self.assert_refused(f"{key}: a command is wanted")

    def test_a_package_in_both_lists_is_refused(self):
        self.deploy_file.write_text(COMMANDS + 'packages = ["make", "spin"]')
        result = self.run_script("packages")
        self.assertEqual(result.returncode, 1)
        self.assertEqual(result.stdout, "")
        self.assertEqual(len(result.stderr.splitlines()), 1, result.stderr)
        self.assertIn("spin stands here and in deploy/balancer.toml", result.stderr)

    def test_the_packages_are_printed_in_their_order(self):
        self.deploy_file.write_text(COMMANDS + 'packages = ["make", "g++"]')
        result = self.run_script("deploy_file.py")
        self.assertEqual((result.returncode, result.stdout, result.stderr), (0, "make\ng++\n", ""))

    def test_exactly_the_missing_packages_are_installed(self):
        self.deploy_file.write_text(COMMANDS + 'packages = ["make", "no-such-package-1", "no-such-package-2"]')
        result = self.run_script("packages")
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertEqual(
            result.stdout.splitlines(),
            ["apt-get update", "apt-get install -y --no-install-recommends no-such-package-1 no-such-package-2"],
        )


if __name__ == "__main__":
    unittest.main()
