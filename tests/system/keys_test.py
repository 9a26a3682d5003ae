"""Keys: the account of a request, secrecy of keys from targets, and withdrawal, also on open connections and during an
outage of the platform.
"""

import http.client
import json
import time
import unittest

import fleet


class KeysTest(fleet.FleetTest):
    network = "127.32"
    arguments = ("--hosts", "4", "--zones", "2")

    def give_key(self, account="kiosk"):
        given = self.fleet.ctl("key", "give", account)
        self.assertEqual(given.returncode, 0, given.stderr)
        return json.loads(given.stdout.splitlines()[-1])

    def test_a_request_runs_for_the_account_of_its_key_and_nested_calls_too(self):
        for key, account in ((fleet.KEY, "kiosk"), (fleet.OTHER_KEY, "publisher")):
            response = self.fleet.request(self.fleet.nodes()[0], "/front/x", key=key,
                                          headers={"Dandelion-Account": "somebody"})
            self.assertEqual(response.status, 200)
            body = json.loads(response.body)
            self.assertEqual(body["account"], account)
            self.assertEqual(json.loads(body["calls"])["account"], account)

    def test_no_target_receives_a_key_wherever_a_caller_puts_it(self):
        for target in self.fleet.targets():
            self.fleet.control(target, forbidden=fleet.KEY)
        node = self.fleet.nodes()[0]
        self.assertEqual(self.fleet.request(node, "/front/x").status, 200)
        for path, headers, body in (("/front/x?key=" + fleet.KEY, {}, None),
                                    ("/front/" + fleet.KEY, {}, None),
                                    ("/front/x?key=demo%2Dkey%2Dkiosk", {}, None),
                                    ("/front/x", {"X-Key": fleet.KEY}, None),
                                    ("/front/x", {}, "key=" + fleet.KEY)):
            response = self.fleet.request(node, path, headers=headers, body=body, method="POST")
            self.assertEqual((response.status, response.reason), (400, "key_exposed"))
        trailer = ("POST /front/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + fleet.KEY +
                   "\r\nTransfer-Encoding: chunked\r\nTrailer: X-Late\r\n\r\n1\r\na\r\n0\r\nX-Late: " +
                   fleet.KEY + "\r\n\r\n")
        self.send_raw(node, trailer)
        for target in self.fleet.targets():
            self.assertEqual(self.fleet.runs(target)["forbidden_seen"], 0)

    def send_raw(self, node, text):
        import socket
        host, port = node["addresses"]["callers"].rsplit(":", 1)
        with socket.create_connection((host, int(port)), timeout=3) as connection:
            connection.sendall(text.encode())
            return connection.recv(65536)

    def test_routes_open_to_all_need_no_key_and_others_do(self):
        node = self.fleet.nodes()[0]
        self.assertEqual(self.fleet.request(node, "/open/x", key=None).status, 200)
        refused = self.fleet.request(node, "/front/x", key=None)
        self.assertEqual((refused.status, refused.outcome, refused.reason), (401, "not-run", "no_key"))
        refused = self.fleet.request(node, "/front/x", key="nonsense")
        self.assertEqual((refused.status, refused.reason), (401, "unknown_key"))
        self.assertEqual(self.fleet.request(node, "/nowhere").status, 404)

    def test_a_withdrawn_key_stops_on_open_connections_within_two_seconds(self):
        given = self.give_key()
        host, port = self.fleet.nodes()[3]["addresses"]["callers"].rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        headers = {"Authorization": "Bearer " + given["key"]}

        def request_status():
            connection.request("GET", "/front/x", headers=headers)
            response = connection.getresponse()
            response.read()
            return response.status

        fleet.wait_until(lambda: request_status() == 200, 5, "the key in force")
        started_at = time.monotonic()
        withdrawn = self.fleet.ctl("key", "withdraw", given["key_id"])
        self.assertEqual(withdrawn.returncode, 0, withdrawn.stdout)
        fleet.wait_until(lambda: request_status() == 401, 2, "refusal on the open connection")
        self.assertLess(time.monotonic() - started_at, 2)
        connection.close()

    def test_a_key_is_withdrawn_while_the_platform_is_down_and_recorded_later(self):
        given = self.give_key()
        for node in self.fleet.nodes():
            fleet.wait_until(lambda: self.fleet.request(node, "/front/x", key=given["key"]).status == 200, 5)
        self.fleet.set_log_fault(mode="down")
        try:
            withdrawn = self.fleet.ctl("key", "withdraw", given["key_id"], wait_ms=2000)
            self.assertEqual(withdrawn.returncode, 0, withdrawn.stdout)
            for node in self.fleet.nodes():
                refused = self.fleet.request(node, "/front/x", key=given["key"])
                self.assertEqual((refused.status, refused.reason), (401, "withdrawn_key"))
        finally:
            self.fleet.set_log_fault(mode="none")
        for node in self.fleet.nodes():
            fleet.wait_until(lambda: self.fleet.status(node)["pending_withdrawals"] == 0, 10, "entry in the log")
            self.assertEqual(self.fleet.request(node, "/front/x", key=given["key"]).status, 401)

    def test_a_withdrawn_key_stops_the_nested_calls_of_a_request_that_runs(self):
        given = self.give_key()
        node = self.fleet.nodes()[0]
        for each_node in self.fleet.nodes():
            fleet.wait_until(lambda: self.fleet.request(each_node, "/front/x", key=given["key"]).status == 200, 5)
        for target in self.fleet.targets("front"):
            self.fleet.control(target, service_ms=800)
        try:
            import threading
            responses = []
            caller = threading.Thread(target=lambda: responses.append(
                self.fleet.request(node, "/front/pay", key=given["key"], method="POST")))
            caller.start()
            time.sleep(0.2)
            self.fleet.ctl("key", "withdraw", given["key_id"])
            caller.join()
            # The request already runs at the first target; its nested call to the second is refused.
            self.assertEqual(responses[0].status, 502)
            self.assertIn(b"failed", responses[0].body)
        finally:
            for target in self.fleet.targets("front"):
                self.fleet.control(target, service_ms=2)

    def test_a_call_that_names_no_running_request_is_refused(self):
        node = self.fleet.nodes()[0]["addresses"]["target_port"]
        refused = fleet.exchange(node, "POST", "/back/x", {"Dandelion-Request": "0" * 32})
        self.assertEqual((refused.status, refused.reason), (400, "unknown_context"))
        refused = fleet.exchange(node, "POST", "/back/x")
        self.assertEqual((refused.status, refused.reason), (401, "no_key"))
        self.assertEqual(fleet.exchange(node, "POST", "/open/x").status, 200)


if __name__ == "__main__":
    unittest.main()
