"""Randomized soak test: real hosts under faults drawn from a seed, checked by what callers and targets receive.

    python3 tests/system/soak.py --seed N --seconds S [--hosts H] [--seeds A,B-C] [--old-copies] [--rolling-stops]
                                 [--regressions]

Prints one line for each violated guarantee, and exits with 1 if there was any:

LOST     a request that was sent completely on an open connection ended without a complete response, or ran and
         ended with a gateway error in place of its result. A request that reached no target is exempt when it
         races with the close of its connection.
TWICE    an unsafe request ran more than once.
REFUSED  an unsafe request got a status that promises that it has not run, and ran.
MIXED    a success without the complete body that the target sent for this request.
CHANGED  a target received another body than the caller sent.
REPEATED with rolling stops, which lose no connection: a request ran more than once.
STOP     a host did not exit with 0 and in time after SIGTERM.
DIED     a host exited by itself, or did not start.

Exempt from LOST are requests that were in flight during, or shortly after, a kill or a pause of the host that received
them from their caller or of the host of a target that ran them; those that a planned stop of such a host cuts off at
the end of its stop wait; and those that ended after the shortest route timeout or just before it, unless the caller
was still waiting for the complete response when its time budget and a slack were over.
"""

import argparse
import os
import random
import signal
import socket
import sys
import threading
import time
import zlib

from store_fleet import CALLER_PORT, KEY, STOP_WAIT_S, StoreFleet, TargetServer

CALLERS_PER_HOST = 4
# Every third caller reads its responses slowly, through a small buffer.
SLOW_CALLER_INTERVAL = 3
SLOW_BUFFER_BYTES = 32768
SLOW_BYTES_PER_S = 5 << 20
TIME_BUDGET_S = 4.0
ROUTE_TIMEOUTS_S = (3, 4)
# A request that ends from this long before the shortest route timeout on counts as timed out.
TIME_MARGIN_S = 0.2
# How long callers wait for a response beyond the time budget.
RESPONSE_SLACK_S = 1.0
# A close this soon after the last byte of a request may race with it.
CLOSE_RACE_S = 0.2
# How long a host counts as impaired after a kill or a pause has ended.
RECOVERY_S = 2.0
# A stopping host cuts off the requests that still run this long before the end of its stop wait.
STOP_MARGIN_S = 0.8
STOP_SLACK_S = 0.3
START_LIMIT_S = 5
READINESS_INTERVAL_S = 0.5
# Rolling stops: how long all callers send, and how long they pause. Tasks of ended connections between hosts sleep up
# to 3 s, and 0.7 s of silence end a connection; new ones send no heartbeat for 3 s.
ROLLING_HOSTS = (0, 1)
BURST_S = 2
PAUSE_RANGE_S = (3.8, 5)
# The last stop begins this long before callers send again.
LAST_STOP_S = 0.3
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
GATEWAY_ERROR_STATUSES = (502, 504)
SILENCE = "silence after its time budget"


def make_body(request_id, size):
    """The body for one request: a line with its id, payload length and payload checksum, then the payload."""
    rest = (request_id.encode() * (size // len(request_id) + 1))[:size]
    return b"%s %d %d\n" % (request_id.encode(), size, zlib.crc32(rest)) + rest


class SoakTarget(TargetServer):
    """A target whose service time and response size are set by the path: /ROUTE/SERVICE_MS/SIZE."""

    soak = None

    def respond(self, path, headers, body):
        request_id = headers["X-Request-Id"]
        _, route, service_ms, size = path.split("/")
        run = self.soak.record_run(request_id, self, route == "write")
        if str(zlib.crc32(body)) != headers["X-Body-Sum"]:
            self.soak.report("CHANGED", request_id, self.instance, f"body of {len(body)} bytes")
        time.sleep(int(service_ms) / 1000)
        run["ended"] = time.monotonic()
        return make_body(request_id, int(size))

    def handle_error(self, request, client_address):
        """Ignored: the effects of a dropped connection are checked on the callers' side."""


class ConnectionLost(Exception):
    """The connection ended, or nothing more arrived, before the response was complete."""


class Caller(threading.Thread):
    """Sends requests to one host on a persistent connection until the host closes it."""

    def __init__(self, soak, host, number):
        super().__init__(daemon=True)
        self.soak, self.host, self.home_host = soak, host, host
        self.random = random.Random(f"{soak.seed}/{host}/{number}")
        self.is_slow = number % SLOW_CALLER_INTERVAL == 0
        self.socket = None
        self.buffer = b""

    def run(self):
        while not self.soak.is_finished:
            if self.socket is None and not self.connect():
                # Mostly retries its home host, which may be restarting, and otherwise tries another one.
                self.host = self.home_host if self.random.random() < 0.7 else self.random.randrange(self.soak.hosts)
                time.sleep(0.05)
                continue
            while self.soak.callers_pause and not self.soak.is_finished:
                time.sleep(0.02)
            self.exchange()
            time.sleep(self.random.choice((0, 0, 0.02, 0.2)))

    def connect(self):
        self.buffer = b""
        self.socket = socket.socket()
        if self.is_slow:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
        self.socket.settimeout(1)
        try:
            self.socket.connect((self.soak.fleet.ips[self.host], CALLER_PORT))
            return True
        except OSError:
            self.close()
            return False

    def close(self):
        self.socket.close()
        self.socket = None

    def exchange(self):
        rng = self.random
        request_id = rng.randbytes(8).hex()
        is_unsafe = rng.random() < 0.5
        size = rng.choices((rng.randint(1000, 32000), rng.randint(100000, 600000), rng.randint(1 << 20, 6 << 20)),
                           (68, 20, 12))[0]
        body = rng.randbytes(rng.randint(0, 24000)) if is_unsafe else b""
        head = (f"{'POST' if is_unsafe else 'GET'} /{'write' if is_unsafe else 'read'}/{rng.randint(50, 400)}/{size} "
                f"HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: {request_id}\r\nX-Credential: {KEY}\r\n"
                f"X-Request-Deadline: {int(TIME_BUDGET_S * 1000)}\r\nX-Body-Sum: {zlib.crc32(body)}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode()
        request = {"id": request_id, "host": self.host, "unsafe": is_unsafe, "began": time.monotonic()}
        try:
            self.send(head + body if rng.random() < 0.5 else head, body)
        except OSError:
            self.soak.count("cut while sending")
            self.close()
            return
        request["sent"] = time.monotonic()
        try:
            status, headers, response = self.read_response(request["sent"] + TIME_BUDGET_S + RESPONSE_SLACK_S)
        except (ConnectionLost, OSError) as error:
            request["ended"] = time.monotonic()
            self.close()
            self.soak.check_loss(request, str(error) or type(error).__name__)
            return
        request["ended"] = time.monotonic()
        if headers.get("connection", "").lower() == "close":
            self.close()
        self.soak.check_response(request, status, headers, response)

    def send(self, first, body):
        """Sends `first`: head and body at once, or the head alone and then the body in pieces, each after a pause."""
        if first.endswith(b"\r\n\r\n") and body:
            self.socket.sendall(first)
            pieces = self.random.randint(1, 5)
            step = len(body) // pieces + 1
            for at in range(0, len(body), step):
                time.sleep(self.random.uniform(0, 0.15))
                self.socket.sendall(body[at:at + step])
        else:
            self.socket.sendall(first)

    def read_more(self, deadline):
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0:
            raise ConnectionLost(SILENCE)
        self.socket.settimeout(remaining_s)
        data = self.socket.recv(65536)
        if not data:
            raise ConnectionLost("connection closed")
        if self.is_slow:
            time.sleep(len(data) / SLOW_BYTES_PER_S)
        return data

    def read_response(self, deadline):
        status = 100
        while status < 200:
            while b"\r\n\r\n" not in self.buffer:
                self.buffer += self.read_more(deadline)
            head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
            lines = head.decode("latin-1").split("\r\n")
            status = int(lines[0].split()[1])
        headers = {name.lower(): value.strip() for name, value in (line.split(":", 1) for line in lines[1:])}
        length = int(headers["content-length"])
        pieces, received = [self.buffer], len(self.buffer)
        while received < length:
            try:
                pieces.append(self.read_more(deadline))
            except (ConnectionLost, OSError) as error:
                raise ConnectionLost(f"{error or type(error).__name__} after {received} of {length} bytes of its "
                                     "body") from error
            received += len(pieces[-1])
        response = b"".join(pieces)
        self.buffer = response[length:]
        return status, headers, response[:length]


class Soak:
    """The run of one seed: a fleet, its callers and its faults."""

    def __init__(self, seed, hosts, has_old_copies=False, has_rolling_stops=False):
        self.seed, self.hosts = seed, hosts
        self.has_old_copies, self.has_rolling_stops = has_old_copies, has_rolling_stops
        self.callers_pause = False
        self.random = random.Random(seed)
        self.lock = threading.Lock()
        self.counts, self.runs, self.refused = {}, {}, set()
        self.violations = 0
        self.is_finished = False
        # For each host: intervals in which it was killed or paused, and the times of its planned stops.
        self.impaired = [[] for _ in range(hosts)]
        self.stops = [[] for _ in range(hosts)]
        self.busy_hosts = set()
        self.store_is_faulty = False
        self.version = 3
        target = type("Target", (SoakTarget,), {"soak": self})
        services = ["front"] + ["back"] * (hosts - 1)
        if has_rolling_stops:
            # A request that can go to neither back host fails. Of six hosts, these two are no rate allocators, so that
            # connections to them are idle while callers pause.
            services = ["back"] * len(ROLLING_HOSTS) + ["front"] * (hosts - len(ROLLING_HOSTS))
        self.fleet = StoreFleet(f"127.{100 + seed % 100}", services, make_target=target)
        self.started_at = time.monotonic()

    def report(self, rule, request_id, place, detail):
        with self.lock:
            self.violations += 1
        print(f"seed {self.seed} +{time.monotonic() - self.started_at:.2f}s {rule} {request_id} {place}: {detail}",
              flush=True)

    def count(self, kind):
        with self.lock:
            self.counts[kind] = self.counts.get(kind, 0) + 1

    # Checks of what callers and targets receive.

    def record_run(self, request_id, target, is_unsafe):
        run = {"host": self.fleet.targets.index(target), "began": time.monotonic(), "ended": None}
        with self.lock:
            runs = self.runs.setdefault(request_id, [])
            runs.append(run)
            is_refused = request_id in self.refused
        if is_unsafe and len(runs) > 1:
            self.report("TWICE", request_id, target.instance,
                        f"runs at hosts {[past_run['host'] for past_run in runs]}")
        if is_unsafe and is_refused:
            self.report("REFUSED", request_id, target.instance, "runs after a refusal")
        return run

    def is_exempt(self, request, runs, is_silent=False):
        involved_hosts = {request["host"], *(run["host"] for run in runs)}
        impaired = any(begin <= request["ended"] and request["began"] <= end + RECOVERY_S
                       for host in involved_hosts for begin, end in self.impaired[host])
        cut_by_stop = any(stop + STOP_WAIT_S - STOP_MARGIN_S <= request["ended"] <= stop + STOP_WAIT_S + STOP_SLACK_S
                          for host in involved_hosts for stop in self.stops[host])
        route_timeout_reached = request["ended"] - request["sent"] >= min(ROUTE_TIMEOUTS_S) - TIME_MARGIN_S
        return impaired or cut_by_stop or (route_timeout_reached and not is_silent)

    def describe(self, request, runs):
        text = \
            f"{'unsafe' if request['unsafe'] else 'safe'}, {request['ended'] - request['sent']:.2f} s after its last byte"
        for run in runs:
            state = "at work" if run["ended"] is None or run["ended"] > request["ended"] else "finished"
            text += f"; {state} at host {run['host']}, began {request['ended'] - run['began']:.2f} s before"
        for host in sorted({request["host"], *(run["host"] for run in runs)}):
            recent = [request["ended"] - stop for stop in self.stops[host]
                      if 0 < request["ended"] - stop < 2 * STOP_WAIT_S]
            text += "".join(f"; SIGTERM of host {host} {before:.2f} s before" for before in recent)
        return text + ("; store at fault" if self.store_is_faulty else "")

    def check_loss(self, request, cause):
        time.sleep(CLOSE_RACE_S)
        runs = list(self.runs.get(request["id"], []))
        self.count("ended without an answer")
        lost_close_race = not runs and request["ended"] - request["sent"] <= CLOSE_RACE_S
        if not lost_close_race and not self.is_exempt(request, runs, cause == SILENCE):
            self.report("LOST", request["id"], f"host {request['host']}", f"{cause}; {self.describe(request, runs)}")

    def check_response(self, request, status, headers, response):
        self.count(status)
        with self.lock:
            runs = list(self.runs.get(request["id"], []))
            if request["unsafe"] and status in NOT_EXECUTED_STATUSES:
                self.refused.add(request["id"])
        place = f"host {request['host']}"
        if request["unsafe"] and status in NOT_EXECUTED_STATUSES and runs:
            self.report("REFUSED", request["id"], place, f"{status}; {self.describe(request, runs)}")
        if 200 <= status < 300 and not self.is_complete(request["id"], headers, response):
            self.report("MIXED", request["id"], place,
                        f"{status} with {len(response)} bytes; {self.describe(request, runs)}")
        if self.has_rolling_stops and len(runs) > 1 and not self.is_exempt(request, runs):
            self.report("REPEATED", request["id"], place, f"{status}; {self.describe(request, runs)}")
        if status in GATEWAY_ERROR_STATUSES and runs and not self.is_exempt(request, runs):
            self.report("LOST", request["id"], place, f"{status} in place of its run; {self.describe(request, runs)}")

    @staticmethod
    def is_complete(request_id, headers, response):
        line, _, rest = response.partition(b"\n")
        words = line.split()
        return (headers.get("x-request-id") == request_id and "x-response-signature" in headers and
                words == [request_id.encode(), b"%d" % len(rest), b"%d" % zlib.crc32(rest)])

    # Faults. Each fault that takes time runs in its own thread, so that faults overlap.

    def start(self, function, *arguments):
        threading.Thread(target=function, args=arguments, daemon=True).start()

    def restart_host(self, index, pause_s):
        """Starts a host again and waits for its port: before it installs its handlers, a signal would kill it."""
        time.sleep(pause_s)
        self.fleet.nodes[index] = self.fleet.start_node(index)
        if not self.fleet.wait_for(lambda: self.accepts_callers(index), START_LIMIT_S):
            self.report("DIED", "-", f"host {index}", f"port still closed {START_LIMIT_S} s after its start")

    def paused_s(self, index, since):
        return sum(min(end, time.monotonic()) - begin for begin, end in self.impaired[index] if begin >= since)

    def stop_host(self, index, pause_s, second_stop_after_s):
        node = self.fleet.nodes[index]
        started_at = time.monotonic()
        self.stops[index].append(started_at)
        node.send_signal(signal.SIGTERM)
        while node.poll() is None and time.monotonic() - started_at < 3 * STOP_WAIT_S:
            time.sleep(0.02)
        elapsed_s = time.monotonic() - started_at - self.paused_s(index, started_at)
        if node.poll() is None:
            node.kill()
        if node.wait() != 0 or elapsed_s > STOP_WAIT_S + STOP_SLACK_S:
            self.report("STOP", "-", f"host {index}", f"ended with {node.returncode} {elapsed_s:.2f} s after SIGTERM")
        self.restart_host(index, pause_s)
        if second_stop_after_s is not None:
            time.sleep(second_stop_after_s)
            self.stop_host(index, pause_s, None)
        else:
            self.busy_hosts.discard(index)

    def accepts_callers(self, index):
        try:
            socket.create_connection((self.fleet.ips[index], CALLER_PORT), 1).close()
            return True
        except OSError:
            return False

    def kill_host(self, index, pause_s):
        interval = [time.monotonic(), float("inf")]
        self.impaired[index].append(interval)
        self.fleet.nodes[index].kill()
        self.fleet.nodes[index].wait()
        self.restart_host(index, pause_s)
        interval[1] = time.monotonic()
        self.busy_hosts.discard(index)

    def pause_host(self, index, duration_s):
        node = self.fleet.nodes[index]
        self.impaired[index].append((time.monotonic(), time.monotonic() + duration_s))
        node.send_signal(signal.SIGSTOP)
        time.sleep(duration_s)
        node.send_signal(signal.SIGCONT)

    def inject_store_fault(self, mode, duration_s):
        self.fleet.set_fault(mode=mode, ms=200)
        time.sleep(duration_s)
        self.fleet.set_fault(mode="none")
        self.store_is_faulty = False

    def configure(self):
        self.version += self.random.randint(1, 3)
        extra_routes = [(f"late{self.version}", "safe", "back")] if self.random.random() < 0.5 else []
        timeout = f"{self.random.choice(ROUTE_TIMEOUTS_S)}s"
        if not self.store_is_faulty:
            self.write_configuration(self.version, [KEY, f"key-{self.version}"], timeout=timeout,
                                     extra_routes=extra_routes)

    def write_configuration(self, *arguments, **settings):
        self.written = (arguments, settings)
        self.fleet.configure(*arguments, **settings)

    def restore_old_copies(self):
        """Lets the store come back from copies that are some seconds old. Operators write again what it has lost."""
        rng = random.Random(self.seed + 1000)
        while not self.is_finished:
            self.fleet.set_fault(mode="copy")
            time.sleep(rng.uniform(0.2, 3))
            if self.is_finished or not self.claim_store():
                continue
            self.fleet.set_fault(mode="down")
            time.sleep(rng.uniform(0, 0.5))
            self.fleet.set_fault(mode="restore")
            self.fleet.set_fault(mode="none")
            self.count("restore")
            time.sleep(rng.uniform(0, 1.5))
            arguments, settings = self.written
            self.fleet.configure(*arguments, **settings)
            self.store_is_faulty = False
            time.sleep(rng.uniform(0, 2))

    def claim_store(self):
        """Marks the store as faulty; returns False if it is so already."""
        with self.lock:
            was_faulty, self.store_is_faulty = self.store_is_faulty, True
        return not was_faulty

    def roll_stops(self):
        """Stops the hosts of the back service in turn while callers pause, with the store away so that they stay listed,
        and another host as all callers send again."""
        rng = random.Random(self.seed + 2000)
        while not self.is_finished:
            time.sleep(BURST_S)
            self.callers_pause = True
            began = time.monotonic()
            for index in rng.sample(ROLLING_HOSTS, len(ROLLING_HOSTS)):
                self.stop_when_available(index, rng.uniform(0, 0.5))
                time.sleep(rng.uniform(0.3, 1.2))
            if self.claim_store():
                self.start(self.inject_store_fault, "down", rng.uniform(1, 2))
            self.fleet.wait_for(lambda: self.busy_hosts.isdisjoint(ROLLING_HOSTS), 2 * STOP_WAIT_S)
            time.sleep(max(0, began + rng.uniform(*PAUSE_RANGE_S) - LAST_STOP_S - time.monotonic()))
            self.stop_when_available(rng.randrange(len(ROLLING_HOSTS), self.hosts), rng.uniform(0, 0.5))
            time.sleep(LAST_STOP_S)
            self.callers_pause = False
            self.count("rolling stops")

    def stop_when_available(self, index, pause_s):
        self.fleet.wait_for(lambda: index not in self.busy_hosts, 2 * STOP_WAIT_S)
        if not self.is_finished:
            self.busy_hosts.add(index)
            self.start(self.stop_host, index, pause_s, None)

    def inject_random_fault(self):
        rng = self.random
        available_hosts = [index for index in range(self.hosts) if index not in self.busy_hosts]
        rng.shuffle(available_hosts)
        kind = rng.choices(("stop", "stop two", "hup", "pause", "kill", "configure", "store", "trim"),
                           (40, 15, 10, 8, 6, 12, 6, 3))[0]
        durations_s = [rng.uniform(0, 0.5), rng.uniform(0.2, 1.5), rng.uniform(0.05, 0.8)]
        second_stop_after_s = durations_s[2] if rng.random() < 0.3 else None
        mode = rng.choice(("silent", "lose", "slow"))
        if kind in ("stop", "stop two"):
            # Two available hosts are left out, so that at least one host of the back service stays up.
            max_stops = max(0, len(available_hosts) - 2)
            for index in available_hosts[:min(max_stops, 2 if kind == "stop two" else 1)]:
                self.busy_hosts.add(index)
                self.start(self.stop_host, index, durations_s[0], second_stop_after_s)
        elif kind == "kill" and len(available_hosts) > 2:
            self.busy_hosts.add(available_hosts[0])
            self.start(self.kill_host, available_hosts[0], durations_s[0])
        elif kind == "hup" and available_hosts:
            self.fleet.nodes[available_hosts[0]].send_signal(signal.SIGHUP)
        elif kind == "pause":
            self.start(self.pause_host, rng.randrange(self.hosts), durations_s[1])
        elif kind == "configure":
            self.configure()
        elif kind == "store" and self.claim_store():
            self.start(self.inject_store_fault, mode, durations_s[1])
        elif kind == "trim":
            self.fleet.set_fault(mode="trim")
        return kind

    def poll_readiness(self, index):
        """Polls readiness as the platform does.

        Once two polls found it not ready, or after a time limit, a stopping host takes it that it gets no more callers.
        """
        while not self.is_finished:
            self.fleet.is_ready(index)
            time.sleep(READINESS_INTERVAL_S)

    def report_and_restart_dead_hosts(self):
        for index, node in enumerate(self.fleet.nodes):
            if index not in self.busy_hosts and node.poll() is not None:
                self.report("DIED", "-", f"host {index}", f"ended with {node.returncode}")
                self.restart_host(index, 0)

    def run(self, seconds):
        self.fleet.wait_for(lambda: self.fleet.request(0, "/read/0/0") is not None)
        self.write_configuration(self.version, [KEY], timeout=f"{ROUTE_TIMEOUTS_S[0]}s")
        if not self.fleet.wait_connected():
            raise RuntimeError("the fleet did not get connected; logs in " + self.fleet.dir)
        self.started_at = time.monotonic()
        callers = [Caller(self, host, number) for host in range(self.hosts) for number in range(CALLERS_PER_HOST)]
        for caller in callers:
            caller.start()
        for index in range(self.hosts):
            self.start(self.poll_readiness, index)
        if self.has_old_copies:
            self.start(self.restore_old_copies)
        if self.has_rolling_stops:
            self.start(self.roll_stops)
        next_fault = self.started_at + 0.5
        while time.monotonic() - self.started_at < seconds:
            self.report_and_restart_dead_hosts()
            if time.monotonic() >= next_fault and not self.has_rolling_stops:
                kind = self.inject_random_fault()
                self.count(kind)
                next_fault = time.monotonic() + self.random.uniform(0.2, 1.5)
            time.sleep(0.02)
        self.is_finished = True
        for caller in callers:
            caller.join(TIME_BUDGET_S + 2 * RESPONSE_SLACK_S)
        self.fleet.wait_for(lambda: not self.busy_hosts and not self.store_is_faulty, 4 * STOP_WAIT_S)
        self.fleet.stop()
        counts = ", ".join(f"{name} {number}" for name, number in sorted(self.counts.items(), key=str))
        print(f"seed {self.seed}: {self.violations} violations; {counts}; logs in {self.fleet.dir}", flush=True)
        return self.violations


def read_seeds(text):
    """Parses a list of seeds such as 3,5-8."""
    seeds = []
    for word in text.split(","):
        first, _, last = word.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def read_regressions():
    path = os.path.join(os.path.dirname(os.path.abspath(__file__)), "soak_seeds.txt")
    with open(path, encoding="utf-8") as file:
        rows = [line.split() for line in file if line.strip() and not line.startswith("#")]
    return [(int(row[0]), int(row[1]), float(row[2]), "--old-copies" in row, "--rolling-stops" in row) for row in rows]


def main():
    parser = argparse.ArgumentParser(description="Runs hosts under faults drawn from a seed.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", help="several in place of one, as in 3,5-8")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--hosts", type=int, default=5)
    parser.add_argument("--old-copies", action="store_true", help="the store also comes back from older copies")
    parser.add_argument("--rolling-stops", action="store_true",
                        help="stops in turn around pauses of all callers, in place of random faults")
    parser.add_argument("--regressions", action="store_true", help="the seeds of soak_seeds.txt, which failed once")
    arguments = parser.parse_args()
    cases = [(seed, arguments.hosts, arguments.seconds, arguments.old_copies, arguments.rolling_stops)
             for seed in read_seeds(arguments.seeds or str(arguments.seed))]
    if arguments.regressions:
        cases = read_regressions()
    violations = sum(Soak(seed, hosts, *options).run(seconds) for seed, hosts, seconds, *options in cases)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
