"""Nodes on the platform's store: what callers and targets see, through faults of the store and of the nodes."""

import os
import signal
import socket
import threading
import time
import unittest

from store_fleet import CALLERS, KEY, STOP_WAIT_S, StoreFleet


class StoreFleetTest(unittest.TestCase):
    """Each test has a fleet of two targets that answer for one service, and one in front."""

    network = 40
    # Whether the host in front has a way of its own to the store, which can be cut.
    own_path = False

    def setUp(self):
        StoreFleetTest.network += 1
        self.fleet = StoreFleet(f"127.{StoreFleetTest.network}", ["front", "back", "back"], self.own_path)
        self.addCleanup(self.fleet.stop)

    def start(self, **settings):
        self.assertTrue(self.fleet.wait(lambda: self.fleet.ask(0, "/read/x") is not None))
        self.assertEqual(self.fleet.ask(0, "/read/x").status, 503)
        self.fleet.configure(3, [KEY, "second"], **settings)
        self.assertTrue(self.fleet.wait_connected())


class TurnedAwayTest(StoreFleetTest):
    """The host in front is cut off from the store alone."""

    own_path = True

    def test_a_host_that_the_store_turns_away_goes_on_by_what_other_hosts_know(self):
        self.start()
        self.fleet.path.is_cut = True
        lost = time.monotonic()
        while time.monotonic() - lost < 6:
            self.assertEqual(self.fleet.ask(0, "/read/x").status, 200)
            time.sleep(0.05)
        self.fleet.configure(5, ["second"])
        self.assertTrue(self.fleet.wait(lambda: self.fleet.ask(0, "/read/x").status == 401, 2))
        self.assertEqual(self.fleet.ask(0, "/read/x", key="second").status, 200)


class RawCaller:
    """One connection to a host, on which a request is sent and its answer read bit by bit."""

    small_buffer_bytes = 32768

    def __init__(self, ip):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.small_buffer_bytes)
        self.socket.settimeout(5)
        self.socket.connect((ip, CALLERS))

    def send_head(self, method, path, body_bytes=0):
        self.socket.sendall((f"{method} {path} HTTP/1.1\r\nHost: one.example\r\n"
                             f"X-Request-Id: {os.urandom(8).hex()}\r\nX-Request-Deadline: 2000\r\n"
                             f"X-Credential: {KEY}\r\nContent-Length: {body_bytes}\r\n\r\n").encode())

    def read(self, pause_s=0.0, keeps=False):
        """The status and the size of the body that came until the answer or the connection ended."""
        head, body_bytes = b"", 0
        try:
            while b"\r\n\r\n" not in head:
                data = self.socket.recv(1024)
                if not data:
                    return None, 0
                head += data
            head, rest = head.split(b"\r\n\r\n", 1)
            body_bytes = len(rest)
            lengths = [line for line in head.split(b"\r\n") if line.lower().startswith(b"content-length:")]
            while body_bytes < int(lengths[0].split(b":")[1]):
                data = self.socket.recv(self.small_buffer_bytes)
                if not data:
                    break
                body_bytes += len(data)
                time.sleep(pause_s)
        except OSError:
            pass
        finally:
            if not keeps:
                self.socket.close()
        return (int(head.split()[1]) if head else None), body_bytes


class StoreTest(StoreFleetTest):
    """All hosts have the same way to the store."""

    def test_a_request_runs_once_with_its_account_and_no_key(self):
        self.start()
        answer = self.fleet.ask(0, "/write/x", "POST", request_id="r1", **{"X-Tenant": "forged"})
        self.assertEqual((answer.status, answer.body), (200, b"back"))
        ran = [one for target in self.fleet.targets for one in target.ran if one[0] == "r1"]
        self.assertEqual(len(ran), 1)
        headers = ran[0][1]
        self.assertEqual((headers["X-Tenant"], headers["X-Caller-Service"], headers["Host"]),
                         ("one", "front", "one.example"))
        self.assertNotIn(KEY, str(headers))
        self.assertIn(headers["X-Target-Instance"], ("i-1", "i-2"))
        self.assertLessEqual(int(headers["X-Request-Deadline"]), 2000)
        self.assertEqual(self.fleet.ask(0, "/read/x", key=None).status, 401)
        self.assertEqual(self.fleet.ask(0, "/read/x", key="unknown").status, 401)
        self.assertEqual(self.fleet.ask(0, "/nowhere/x").status, 404)
        self.assertEqual(self.fleet.ask(0, "/read/../write/x").status, 400)

    def test_a_withdrawn_key_stops_while_the_store_is_there_and_all_keys_do_when_it_is_gone(self):
        self.start()
        self.fleet.configure(5, ["second"])
        self.assertTrue(self.fleet.wait(lambda: self.fleet.ask(0, "/read/x").status == 401, 2))
        self.fleet.fault(mode="silent")
        lost = time.monotonic()
        self.assertEqual(self.fleet.ask(0, "/read/x", key="second").status, 200)
        self.assertTrue(self.fleet.wait(lambda: self.fleet.ask(0, "/read/x", key="second").status == 503, 6))
        self.assertLess(time.monotonic() - lost, 5)
        self.fleet.fault(mode="none")
        self.assertTrue(self.fleet.wait(lambda: self.fleet.ask(0, "/read/x", key="second").status == 200, 5))

    def test_a_configuration_comes_through_lost_answers_and_dropped_history(self):
        self.start()
        self.fleet.fault(mode="lose")
        self.fleet.configure(7, ["third"])
        self.fleet.fault(mode="trim")
        self.fleet.fault(mode="none")
        self.assertTrue(self.fleet.wait(lambda: self.fleet.ask(0, "/read/x", key="third").status == 200, 5))
        self.fleet.configure(4, [KEY])
        time.sleep(0.3)
        self.assertEqual(self.fleet.ask(0, "/read/x", key="third").status, 200)

    def test_a_leaving_target_gets_nothing_after_its_word_was_taken(self):
        self.start()
        leaving = self.fleet.targets[1]
        leaving.announces = False
        self.assertEqual(leaving.announce("draining").status, 200)
        leaving.ran.clear()
        for _ in range(30):
            self.assertEqual(self.fleet.ask(0, "/read/x").status, 200)
        self.assertEqual(leaving.ran, [])

    def test_a_killed_node_costs_requests_nothing_and_comes_back(self):
        self.start()
        self.fleet.nodes[1].send_signal(signal.SIGKILL)
        self.fleet.nodes[1].wait()
        statuses = [self.fleet.ask(0, "/read/x").status for _ in range(20)]
        self.assertEqual(statuses, [200] * 20)
        self.fleet.nodes[1] = self.fleet.start_node(1)
        self.assertTrue(self.fleet.wait_connected())

    def test_a_planned_stop_cuts_off_no_request(self):
        self.start()
        for target in self.fleet.targets:
            target.work_s = 0.2
        statuses = []
        ended = threading.Event()

        def load(index):
            while not ended.is_set():
                answer = self.fleet.ask(index, "/write/x", "POST")
                statuses.append("lost" if answer is None else answer.status)

        threads = [threading.Thread(target=load, args=(0,)) for _ in range(8)]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        self.fleet.nodes[2].send_signal(signal.SIGTERM)
        self.assertEqual(self.fleet.nodes[2].wait(5), 0)
        ended.set()
        for thread in threads:
            thread.join()
        self.assertEqual(set(statuses), {200})

    def begin_stop(self, index):
        """Sends SIGTERM and asks twice whether the host is ready, as the platform does before it looks away."""
        self.fleet.nodes[index].send_signal(signal.SIGTERM)
        for _ in range(2):
            self.assertTrue(self.fleet.wait(lambda: not self.fleet.is_ready(index)))

    def takes_connections(self, index):
        try:
            socket.create_connection((self.fleet.ips[index], CALLERS), 1).close()
            return True
        except ConnectionRefusedError:
            return False

    # Guards against a stop that ends while an answer is still being written to a slow caller.
    def test_a_planned_stop_waits_for_a_caller_that_reads_a_large_answer_slowly(self):
        self.start()
        for target in self.fleet.targets:
            target.text = bytes(8 << 20)
        caller = RawCaller(self.fleet.ips[0])
        self.addCleanup(caller.socket.close)
        caller.send_head("GET", "/read/x")
        self.assertTrue(self.fleet.wait(lambda: any(target.ran for target in self.fleet.targets)))
        self.begin_stop(0)
        self.assertEqual(caller.read(pause_s=0.005), (200, 8 << 20))
        self.assertEqual(self.fleet.nodes[0].wait(5), 0)

    # Guards against a stop that ends while a request that arrived in pieces is with its target.
    def test_a_planned_stop_waits_for_a_request_whose_body_was_half_sent_when_the_port_closed(self):
        self.start()
        for target in self.fleet.targets:
            target.work_s = 0.6
        caller = RawCaller(self.fleet.ips[0])
        self.addCleanup(caller.socket.close)
        caller.send_head("POST", "/write/x", 20000)
        caller.socket.sendall(bytes(10000))
        # The host then waits a moment for the store to take its record away.
        self.fleet.fault(mode="silent")
        self.begin_stop(0)
        self.assertTrue(self.fleet.wait(lambda: not self.takes_connections(0)))
        caller.socket.sendall(bytes(10000))
        self.assertEqual(caller.read(), (200, len("back")))
        self.assertEqual(self.fleet.nodes[0].wait(5), 0)

    # Guards against a stop that ends while the reply to another host is still being written.
    def test_a_planned_stop_waits_for_a_large_reply_that_another_host_takes_slowly(self):
        self.start()
        leaving = self.fleet.targets[2]
        leaving.announces = False
        self.assertEqual(leaving.announce("draining").status, 200)
        target = self.fleet.targets[1]
        target.text = bytes(12 << 20)
        target.may_answer.clear()
        answers = []
        caller = threading.Thread(target=lambda: answers.append(self.fleet.ask(0, "/write/x", "POST")))
        caller.start()
        self.assertTrue(self.fleet.wait(lambda: target.ran))
        self.begin_stop(1)
        # From here on only the request keeps the host.
        time.sleep(0.4)
        # The other host takes nothing for less than the time after which a link counts as lost.
        self.fleet.nodes[0].send_signal(signal.SIGSTOP)
        target.may_answer.set()
        time.sleep(0.45)
        self.fleet.nodes[0].send_signal(signal.SIGCONT)
        caller.join()
        self.assertEqual((answers[0].status, len(answers[0].body)), (200, 12 << 20))
        self.assertEqual(self.fleet.nodes[1].wait(5), 0)

    def test_a_planned_stop_ends_in_time_while_the_store_says_nothing(self):
        self.start()
        self.fleet.fault(mode="silent")
        began = time.monotonic()
        self.fleet.nodes[1].send_signal(signal.SIGTERM)
        self.assertEqual(self.fleet.nodes[1].wait(6), 0)
        self.assertLess(time.monotonic() - began, 4)

    # Guards against a request that can't be passed on: it held its caller until the timeout, and a slot of its target for good.
    def test_a_trace_with_a_body_is_refused(self):
        self.start()
        caller = RawCaller(self.fleet.ips[0])
        caller.send_head("TRACE", "/read/x", 4)
        caller.socket.sendall(b"body")
        self.assertEqual(caller.read()[0], 400)

    # Guards against a request that is taken late in a stop and cut when the host ends.
    def test_a_stopping_host_refuses_what_may_outlast_it(self):
        self.start()
        for target in self.fleet.targets:
            target.work_s = 1.8
        first, late = RawCaller(self.fleet.ips[0]), RawCaller(self.fleet.ips[0])
        for caller in (first, late):
            self.addCleanup(caller.socket.close)
        # Its connection counts as open for requests once it has carried one.
        late.send_head("GET", "/nowhere/x")
        self.assertEqual(late.read(keeps=True)[0], 404)
        first.send_head("POST", "/write/x")
        self.assertTrue(self.fleet.wait(lambda: any(target.ran for target in self.fleet.targets)))
        self.begin_stop(0)
        self.assertTrue(self.fleet.wait(lambda: not self.takes_connections(0)))
        time.sleep(1)
        for target in self.fleet.targets:
            target.work_s = 1.95
        late.send_head("POST", "/write/x")
        self.assertEqual(late.read()[0], 503)
        self.assertEqual(first.read()[0], 200)
        self.assertEqual(sum(len(target.ran) for target in self.fleet.targets), 1)
        self.assertEqual(self.fleet.nodes[0].wait(STOP_WAIT_S), 0)

    def test_settings_are_read_again_and_bad_ones_refused(self):
        self.start()
        path = f"{self.fleet.dir}/node-0.toml"
        with open(path, "a", encoding="utf-8") as file:
            file.write("[log]\nlevel = \"loud\"\n")
        self.fleet.nodes[0].send_signal(signal.SIGHUP)
        log = f"{self.fleet.dir}/node-0.log"

        def log_text():
            with open(log, encoding="utf-8") as file:
                return file.read()

        self.assertTrue(self.fleet.wait(lambda: "settings refused" in log_text()))
        self.assertEqual(self.fleet.ask(0, "/read/x").status, 200)

    def test_an_account_gets_its_rate_over_all_nodes_and_not_more(self):
        self.start(rate=20, burst=20)
        time.sleep(1)
        began = time.monotonic()
        admitted = 0
        while time.monotonic() - began < 5:
            for index in range(3):
                admitted += self.fleet.ask(index, "/own/x").status == 200
        self.assertLessEqual(admitted, (20 * 5 + 20) * 1.1 + 20)
        self.assertGreaterEqual(admitted, 20 * 5 * 0.9)


if __name__ == "__main__":
    unittest.main()
