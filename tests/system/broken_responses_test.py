"""Broken responses of a target: what a caller receives through two hosts, in real processes."""

import signal
import threading
import time
import unittest

from store_fleet import KEY, REQUEST_ID_PLACEHOLDER, RawTargetServer, StoreFleet

# More than the buffers of an unread connection hold.
LONG_REQUEST_BYTES = 12 * 1024 * 1024
FIELDS = b"X-Request-Id: " + REQUEST_ID_PLACEHOLDER + b"\r\nX-Response-Signature: s\r\n"
START = b"HTTP/1.1 200 OK\r\n" + FIELDS


class BrokenResponsesTest(unittest.TestCase):
    """A caller, two hosts, and at the second host the target of the service that is called."""

    def setUp(self):
        self.fleet = StoreFleet("127.91", ["front", "back"], make_target=RawTargetServer)
        self.addCleanup(self.fleet.stop)
        self.assertTrue(self.fleet.wait_for(lambda: self.fleet.request(0, "/read/x") is not None))
        self.fleet.configure(3, [KEY], timeout="5000ms", max_body_bytes=2 * LONG_REQUEST_BYTES)
        self.assertTrue(self.fleet.wait_connected())
        self.target = self.fleet.targets[1]

    def send(self, path, request_bytes):
        """Returns the status and the body of the response; None and None if the connection ended without one."""
        response = self.fleet.request(0, path, "POST", body=b"x" * request_bytes, **{"X-Request-Deadline": "5000"})
        return (response.status, response.body) if response else (None, None)

    def check(self, raw_response, resets, expected):
        self.target.raw_response = raw_response
        self.target.resets = resets
        for path in ("/read/x", "/write/x"):
            for request_bytes in (0, LONG_REQUEST_BYTES):
                with self.subTest(response=raw_response, resets=resets, path=path, request_bytes=request_bytes):
                    runs = len(self.target.runs)
                    status, body = self.send(path, request_bytes)
                    self.assertEqual((status, body if status == 200 else None), expected)
                    self.assertGreater(len(self.target.runs), runs)

    # Guards against a part of a response that callers take for the whole: a reset that arrives while a long request
    # is still being written may look like the end of the response.
    def test_a_response_that_ends_in_a_reset_before_it_is_complete_is_a_502(self):
        self.check(START + b"\r\npart", True, (502, None))
        self.check(START + b"Content-Length: 9\r\n\r\npart", True, (502, None))
        self.check(START + b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", True, (502, None))

    # The same for the last responses that a stopping host waits for.
    def test_a_response_that_ends_in_a_reset_while_the_hosts_stop_is_a_502(self):
        self.target.raw_response = START + b"\r\npart"
        self.target.resets = True
        self.target.pause_s = 1
        responses = []
        caller = threading.Thread(target=lambda: responses.append(self.send("/write/x", LONG_REQUEST_BYTES)))
        caller.start()
        self.assertTrue(self.fleet.wait_for(lambda: self.target.runs))
        for node in self.fleet.nodes:
            node.send_signal(signal.SIGTERM)
        caller.join()
        self.assertEqual([status for status, _ in responses], [502])

    def test_a_complete_response_is_delivered_however_the_connection_ends(self):
        whole = (200, b"whole")
        self.check(START + b"\r\nwhole", False, whole)
        for resets in (False, True):
            self.check(START + b"Content-Length: 5\r\n\r\nwhole", resets, whole)
            self.check(START + b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", resets, whole)

    # Guards against an invalid status that is taken for that of an interim response: the host would wait for the final
    # one until the connection ends, or take the next bytes for it.
    def test_a_response_with_status_000_is_a_502_at_once(self):
        self.target.pause_s = 3
        broken = b"HTTP/1.1 000 \r\n" + FIELDS + b"Content-Length: 2\r\n\r\nno"
        for raw_response in (broken, broken + START + b"Content-Length: 2\r\n\r\nok"):
            with self.subTest(response=raw_response):
                self.target.raw_response = raw_response
                started_at = time.monotonic()
                status, _ = self.send("/write/x", 0)
                self.assertEqual(status, 502)
                # Before the target closes the connection.
                self.assertLess(time.monotonic() - started_at, self.target.pause_s)

    # Guards against a line of the head that reaches callers in a damaged form, or hides where the response ends.
    def test_a_response_with_a_blank_or_a_control_character_in_a_field_name_is_a_502(self):
        for name in (b"Content-Length ", b"Content Length", b" Content-Length", b"\tContent-Length", b"Content\x01Length",
                     b"\x00Content-Length", b"Content-Length\x7f"):
            with self.subTest(name=name):
                self.target.raw_response = START + name + b": 2\r\n\r\nok and more"
                self.assertEqual(self.send("/write/x", 0)[0], 502)


if __name__ == "__main__":
    unittest.main()
