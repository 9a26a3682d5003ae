"""Nodes on the record store: what a planned stop promises for requests that a host has read."""

import os
import random
import signal
import socket
import threading
import time
import unittest

from store_fleet import CALLER_PORT, KEY, STOP_WAIT_S, StoreFleet, TargetServer


class KeptCaller(threading.Thread):
    """Sends requests on one connection, with a pause after each response, until the host closes it."""

    def __init__(self, fleet, index, method, path, key, timeout_s, max_pause_s, results):
        super().__init__(daemon=True)
        self.fleet, self.index, self.method, self.path, self.key = fleet, index, method, path, key
        self.timeout_s, self.max_pause_s, self.results = timeout_s, max_pause_s, results
        self.is_stopping = False

    def run(self):
        connection = None
        while not self.is_stopping:
            time.sleep(random.uniform(0, self.max_pause_s))
            try:
                connection = connection or socket.create_connection((self.fleet.ips[self.index], CALLER_PORT), 1)
            except OSError:
                time.sleep(0.1)
                continue
            if not self.exchange(connection):
                connection.close()
                connection = None

    def exchange(self, connection):
        """Sends one request and records its result; returns whether the connection can be used again."""
        request_id = os.urandom(8).hex()
        key = f"X-Credential: {self.key}\r\n" if self.key else ""
        result = {"id": request_id, "sent": time.monotonic(), "status": None, "ended": None, "reason": ""}
        head = b""
        try:
            connection.settimeout(self.timeout_s + 2)
            connection.sendall((f"{self.method} {self.path} HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: {request_id}\r\n"
                                f"X-Request-Deadline: {int(self.timeout_s * 1000)}\r\n{key}"
                                "Content-Length: 0\r\n\r\n").encode())
            while b"\r\n\r\n" not in head:
                data = connection.recv(65536)
                if not data:
                    break
                head += data
        except OSError:
            pass
        result["ended"] = time.monotonic()
        lines = head.split(b"\r\n")
        if b"\r\n\r\n" in head:
            result["status"] = int(lines[0].split()[1])
            reasons = [line.split(b": ")[1].decode() for line in lines if line.startswith(b"Dandelion-Reason")]
            result["reason"] = reasons[0] if reasons else ""
        self.results.append(result)
        return result["status"] is not None and b"connection: close" not in head.lower()


class SlowWriteTarget(TargetServer):
    """A target that takes long for requests that write."""

    write_time_s = 2.6

    def respond(self, path, headers, body):
        response_body = super().respond(path, headers, body)
        if path.startswith("/write/"):
            time.sleep(self.write_time_s)
        return response_body


class StoreStopsTest(unittest.TestCase):
    network = 80

    def start(self, services, timeout="2000ms", make_target=TargetServer, **settings):
        StoreStopsTest.network += 1
        self.fleet = StoreFleet(f"127.{StoreStopsTest.network}", services, make_target=make_target)
        self.addCleanup(self.fleet.stop)
        self.fleet.configure(3, [KEY], timeout=timeout, **settings)
        self.assertTrue(self.fleet.wait_connected())

    def start_callers(self, count, index, method, path, key, timeout_s, max_pause_s):
        results = []
        self.callers = [KeptCaller(self.fleet, index, method, path, key, timeout_s, max_pause_s, results)
                        for _ in range(count)]
        for caller in self.callers:
            caller.start()
        return results

    def stop_node(self, index):
        """Stops a host as the platform does; returns when the signal was sent and when the process ended."""
        node = self.fleet.nodes[index]
        stop_began = time.monotonic()
        node.send_signal(signal.SIGTERM)
        while node.poll() is None and time.monotonic() < stop_began + STOP_WAIT_S:
            self.fleet.is_ready(index)
            time.sleep(0.2)
        self.assertEqual(node.wait(1), 0)
        return stop_began, time.monotonic()

    def end_callers(self):
        for caller in self.callers:
            caller.is_stopping = True
        for caller in self.callers:
            caller.join()

    def runs_of(self, request_id):
        return sum(run[0] == request_id for target in self.fleet.targets for run in target.runs)

    def check_results(self, results, stop_began):
        """No request of the stop ended without a response, and none that was refused has run or runs later."""
        of_stop = [result for result in results if result["ended"] >= stop_began and result["sent"] < stop_began + STOP_WAIT_S]
        # A request that crosses the close of its connection has not been read.
        lost = [result for result in of_stop
                if result["status"] is None and (self.runs_of(result["id"]) or result["ended"] - result["sent"] > 0.2)]
        self.assertEqual([(result["sent"] - stop_began, result["ended"] - stop_began) for result in lost], [])
        self.assertLessEqual({result["status"] for result in of_stop}, {200, 503, None})
        refused = [result for result in of_stop if result["status"] == 503]
        self.assertEqual([result for result in refused if self.runs_of(result["id"])], [])
        return of_stop

    # Guards against requests without a key that a stopping host takes until its process ends, and whose connections
    # end with it.
    def test_a_stopping_host_answers_each_request_on_a_public_route(self):
        self.start(["front", "back", "back"], public=True)
        for target in self.fleet.targets:
            target.service_time_s = 0.8
        results = self.start_callers(60, 0, "GET", "/read/x", None, 2, 5)
        time.sleep(5)
        stop_began, _ = self.stop_node(0)
        self.end_callers()
        of_stop = self.check_results(results, stop_began)
        self.assertGreater(sum(result["status"] == 200 for result in of_stop), 10)

    # Guards against refusals of requests that end long before the process does, because they might take longer.
    def test_a_stopping_host_serves_short_requests_until_shortly_before_its_end(self):
        self.start(["front", "back", "back"], timeout="3500ms", make_target=SlowWriteTarget)
        for target in self.fleet.targets:
            target.service_time_s = 0.05
        results = self.start_callers(30, 0, "GET", "/read/x", KEY, 3.5, 3)
        time.sleep(5)
        # Delays the end of the process.
        slow = KeptCaller(self.fleet, 0, "POST", "/write/x", KEY, 3.5, 0.01, slow_results := [])
        slow.start()
        time.sleep(0.1)
        slow.is_stopping = True
        stop_began, ended = self.stop_node(0)
        slow.join()
        self.end_callers()
        self.assertEqual([result["status"] for result in slow_results], [200])
        of_stop = self.check_results(results, stop_began)
        self.assertEqual({(result["status"], result["reason"]) for result in of_stop} - {(None, "")}, {(200, "")})
        # Some of them were sent when a run of the longest time would not have ended any more.
        self.assertGreater(max(result["sent"] for result in of_stop if result["status"] == 200), ended - 2)

    def check_stop_beside_a_queue(self, callers_host, stopped_host):
        """Stops a host while more requests wait for the only target of their service than it serves until the end."""
        self.start(["front", "back"], timeout="8500ms", public=True)
        target = self.fleet.targets[1]
        target.service_time_s = 0.9
        results = self.start_callers(110, callers_host, "GET", "/read/x", None, 10, 0.3)
        time.sleep(6)
        stop_began, _ = self.stop_node(stopped_host)
        for caller in self.callers:
            caller.is_stopping = True
        runs_before = len(target.runs)
        time.sleep(1.5)
        of_stop = self.check_results([result for result in results if result["sent"] < stop_began + 2], stop_began)
        self.end_callers()
        return stop_began, of_stop, runs_before

    # Guards against requests that wait for a worker of another host when theirs stops: they were dropped with its
    # process, though it could be proved that they had not run.
    def test_a_stopping_host_answers_requests_that_wait_for_another_host(self):
        stop_began, of_stop, _ = self.check_stop_beside_a_queue(0, 0)
        # Those that could be served were: 18 runs at a time, started up to 1.2 s before the process ended.
        self.assertGreater(sum(result["status"] == 200 for result in of_stop), 36)
        self.assertGreater(sum(result["status"] == 503 for result in of_stop), 0)

    # The same queue beside the stopping host.
    def test_a_stopping_host_answers_requests_that_wait_for_its_own_target(self):
        self.check_stop_beside_a_queue(1, 1)


if __name__ == "__main__":
    unittest.main()
