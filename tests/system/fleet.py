"""Runs a fleet of real processes for system tests, and sends requests to it as callers and operators do."""

import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.environ.get("DANDELIONMOUNT_BUILD", os.path.join(ROOT, "build/release"))
KEY = "demo-key-kiosk"
OTHER_KEY = "demo-key-publisher"


class Response:
    """The response to one request."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body
        self.outcome = headers.get("Dandelion-Outcome", "")
        self.reason = headers.get("Dandelion-Reason", "")


def exchange(address, method, path, headers=None, body=None, timeout=5):
    """Sends one request on a new connection; None when the connection is lost."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return Response(response.status, dict(response.getheaders()), response.read())
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Fleet:
    """A fleet started by scripts/fleet, and control of its processes."""

    def __init__(self, network, *arguments):
        self.dir = tempfile.mkdtemp(prefix="dandelionmount-")
        self.process = subprocess.Popen(
            [sys.executable, os.path.join(ROOT, "scripts/fleet"), "--dir", self.dir, "--network", network,
             "--build", BUILD, *arguments], stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
        line = self.process.stdout.readline()
        if "ready" not in line:
            raise RuntimeError("fleet did not start: " + self.process.stderr.read())
        with open(os.path.join(self.dir, "fleet.json"), encoding="utf-8") as file:
            self.description = json.load(file)

    def stop(self):
        for process in self.description["processes"]:
            try:
                os.kill(process["pid"], signal.SIGCONT)
            except ProcessLookupError:
                pass
        self.process.terminate()
        self.process.wait(20)
        for process in self.description["processes"]:
            try:
                os.kill(process["pid"], signal.SIGKILL)
            except ProcessLookupError:
                pass
            if "child" in process:
                process["child"].wait()
        self.process.stdout.close()
        self.process.stderr.close()

    def find(self, role, host=None):
        return [process for process in self.description["processes"]
                if process["role"] == role and (host is None or process["host"] == host)]

    def nodes(self):
        return self.find("node")

    def targets(self, service=None):
        return [process for process in self.find("target")
                if service is None or process["command"][process["command"].index("--service") + 1] == service]

    def signal(self, process, number):
        os.kill(process["pid"], number)

    def restart(self, process):
        """Starts a replacement for a process that has ended, with the same command and thus the same slot."""
        if "child" in process:
            process["child"].wait()
        with open(process["log"], "ab") as output:
            child = subprocess.Popen(process["command"], stdout=output, stderr=output, stdin=subprocess.DEVNULL)
        process["pid"] = child.pid
        process["child"] = child

    def wait_for_exit(self, process, limit=40):
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            if not is_running(process["pid"]):
                return True
            time.sleep(0.02)
        return False

    def ctl(self, *command, node=0, wait_ms=10000):
        operators = self.nodes()[node]["addresses"]["operators"]
        return subprocess.run([self.description["ctl"], "--node", operators, f"--wait_ms={wait_ms}", "--json",
                               *command], capture_output=True, text=True, timeout=60, check=False)

    def status(self, node):
        response = exchange(node["addresses"]["operators"], "GET", "/status", timeout=1)
        return json.loads(response.body) if response else None

    def control(self, target, **options):
        response = exchange(target["addresses"]["requests"], "POST", "/control", body=json.dumps(options))
        assert response is not None and response.status == 200

    def runs(self, target):
        return json.loads(exchange(target["addresses"]["requests"], "GET", "/runs").body)

    def set_log_fault(self, **fault):
        assert exchange(self.description["log"], "POST", "/fault", body=json.dumps(fault)).status == 200

    def request(self, node, path, key=KEY, method="GET", headers=None, body=None, timeout=5):
        all_headers = {"Authorization": "Bearer " + key} if key else {}
        all_headers.update(headers or {})
        return exchange(node["addresses"]["callers"], method, path, all_headers, body, timeout)

    def counter(self, node, name):
        response = exchange(node["addresses"]["operators"], "GET", "/metrics")
        for line in response.body.decode().splitlines():
            if line.startswith("dandelionmount_" + name + " "):
                return float(line.rsplit(" ", 1)[1])
        return 0.0


def is_running(pid):
    """Whether a process runs; a zombie does not."""
    try:
        with open(f"/proc/{pid}/stat", encoding="ascii") as file:
            return file.read().rsplit(")", 1)[1].split()[0] != "Z"
    except FileNotFoundError:
        return False


def wait_until(check, limit, what="condition"):
    """Polls until the check holds; fails the test on timeout."""
    deadline = time.monotonic() + limit
    while time.monotonic() < deadline:
        result = check()
        if result:
            return result
        time.sleep(0.03)
    raise AssertionError(f"timed out after {limit} s waiting for: {what}")


class FleetTest(unittest.TestCase):
    """Base of tests that share one fleet for each test class."""

    network = "127.30"
    arguments = ()

    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(cls.network, *cls.arguments)

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()

    def write(self, text):
        """Writes a temporary file, which is removed after the test."""
        handle, path = tempfile.mkstemp(suffix=".toml")
        with os.fdopen(handle, "w", encoding="utf-8") as file:
            file.write(text)
        self.addCleanup(os.unlink, path)
        return path


class Load:
    """Caller threads that send requests in the background and record the responses.

    Nodes marked "away" get no requests.
    """

    def __init__(self, fleet, path, threads=4, method="GET", pause=0.01, headers=None):
        self.fleet = fleet
        self.path = path
        self.method = method
        self.pause = pause
        self.headers = headers
        self.responses = []
        self.lock = threading.Lock()
        self.stopped = False
        self.threads = [threading.Thread(target=self.run, args=(number,)) for number in range(threads)]
        for thread in self.threads:
            thread.start()

    def run(self, number):
        count = 0
        while not self.stopped:
            nodes = [node for node in self.fleet.nodes() if not node.get("away")]
            node = nodes[(number + count) % len(nodes)]
            count += 1
            headers = self.headers(number, count) if self.headers else None
            sent_at = time.monotonic()
            response = self.fleet.request(node, self.path, method=self.method, headers=headers, timeout=15)
            with self.lock:
                self.responses.append((sent_at, node["host"], response))
            time.sleep(self.pause)

    def stop(self):
        self.stopped = True
        for thread in self.threads:
            thread.join()
        return self.responses
