"""Randomized soak: real hosts under faults drawn from a seed, checked by what callers and targets see.

    python3 tests/system/soak.py --seed N --seconds S [--hosts H] [--seeds A,B-C] [--regressions]

Prints one line for each broken promise, and ends with 1 if there was any:

LOST     a request that was sent whole on an open connection ended without a whole answer, or with an answer of
         the system's own in place of its run. One that reached no target may cross the close of its connection.
TWICE    an unsafe request ran more than once.
REFUSED  an unsafe request was answered with a status that promises that it has not run, and ran.
MIXED    a success without the whole body of the target for this very request.
CHANGED  a target got another body than the caller sent.
STOP     a host did not end with 0 and in time after SIGTERM.
DIED     a host ended by itself, or did not come up.

LOST does not count for a request that was on its way at, or shortly after, a kill, a pause or a broken path of the
host that took it from its caller or of the host of a target that ran it, nor for one that used up its time.
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

from store_fleet import CALLERS, KEY, STOP_WAIT_S, StoreFleet, TargetServer

CALLERS_OF_HOST = 4
# Every third caller reads its answers slowly, through a small buffer.
SLOW_CALLER = 3
SLOW_BUFFER_BYTES = 32768
SLOW_BYTES_PER_S = 5 << 20
BUDGET_S = 4.0
TIMEOUTS_S = (3, 4)
# A request that ends this close to the shortest time-out has used up its time.
TIME_MARGIN_S = 0.2
# How late after the budget an answer may still come.
ANSWER_SLACK_S = 1.0
# A close this soon after the last byte of a request may have crossed it.
CROSSING_S = 0.2
# How long after the end of an impairment a host counts as impaired.
SETTLE_S = 2.0
# A host keeps this much of its stop free; what it still holds by then is cut.
STOP_MARGIN_S = 0.8
STOP_SLACK_S = 0.3
START_LIMIT_S = 5
READINESS_INTERVAL_S = 0.5
PROMISE_NOT_RUN = (408, 421, 429, 503)
OWN_ANSWERS = (502, 504)
SILENCE = "silence after its time budget"


def make_body(request_id, size):
    """The body that belongs to one request: its id, the length and checksum of the rest, and the rest."""
    rest = (request_id.encode() * (size // len(request_id) + 1))[:size]
    return b"%s %d %d\n" % (request_id.encode(), size, zlib.crc32(rest)) + rest


class SoakTarget(TargetServer):
    """Works and answers as the path says: /ROUTE/WORK_MS/SIZE."""

    soak = None

    def answer(self, path, headers, body):
        request_id = headers["X-Request-Id"]
        _, route, work_ms, size = path.split("/")
        run = self.soak.note_run(request_id, self, route == "write")
        if str(zlib.crc32(body)) != headers["X-Body-Sum"]:
            self.soak.report("CHANGED", request_id, self.instance, f"body of {len(body)} bytes")
        time.sleep(int(work_ms) / 1000)
        run["ended"] = time.monotonic()
        return make_body(request_id, int(size))

    def handle_error(self, request, client_address):
        """A host that drops its connection to the target is judged by what its callers get."""


class Lost(Exception):
    """The connection ended, or fell silent, before a whole answer."""


class Caller(threading.Thread):
    """Sends requests to one host on a connection that it keeps until the host closes it."""

    def __init__(self, soak, host, number):
        super().__init__(daemon=True)
        self.soak, self.host, self.home = soak, host, host
        self.random = random.Random(f"{soak.seed}/{host}/{number}")
        self.is_slow = number % SLOW_CALLER == 0
        self.socket = None
        self.buffer = b""

    def run(self):
        while not self.soak.is_over:
            if self.socket is None and not self.connect():
                # Mostly waits for its own host to come back.
                self.host = self.home if self.random.random() < 0.7 else self.random.randrange(self.soak.hosts)
                time.sleep(0.05)
                continue
            self.exchange()
            time.sleep(self.random.choice((0, 0, 0.02, 0.2)))

    def connect(self):
        self.buffer = b""
        self.socket = socket.socket()
        if self.is_slow:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
        self.socket.settimeout(1)
        try:
            self.socket.connect((self.soak.fleet.ips[self.host], CALLERS))
            return True
        except OSError:
            self.close()
            return False

    def close(self):
        self.socket.close()
        self.socket = None

    def exchange(self):
        draw = self.random
        request_id = draw.randbytes(8).hex()
        is_unsafe = draw.random() < 0.5
        size = draw.choices((draw.randint(1000, 32000), draw.randint(100000, 600000), draw.randint(1 << 20, 6 << 20)),
                            (68, 20, 12))[0]
        body = draw.randbytes(draw.randint(0, 24000)) if is_unsafe else b""
        head = (f"{'POST' if is_unsafe else 'GET'} /{'write' if is_unsafe else 'read'}/{draw.randint(50, 400)}/{size} "
                f"HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: {request_id}\r\nX-Credential: {KEY}\r\n"
                f"X-Request-Deadline: {int(BUDGET_S * 1000)}\r\nX-Body-Sum: {zlib.crc32(body)}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode()
        sent = {"id": request_id, "host": self.host, "unsafe": is_unsafe, "began": time.monotonic()}
        try:
            self.send(head + body if draw.random() < 0.5 else head, body)
        except OSError:
            self.soak.count("cut while sending")
            self.close()
            return
        sent["sent"] = time.monotonic()
        try:
            status, headers, answer = self.read_answer(sent["sent"] + BUDGET_S + ANSWER_SLACK_S)
        except (Lost, OSError) as error:
            sent["ended"] = time.monotonic()
            self.close()
            self.soak.judge_loss(sent, str(error) or type(error).__name__)
            return
        sent["ended"] = time.monotonic()
        if headers.get("connection", "").lower() == "close":
            self.close()
        self.soak.judge_answer(sent, status, headers, answer)

    def send(self, first, body):
        """Sends the head, alone or with the body; the body goes in pieces with pauses between them."""
        if first.endswith(b"\r\n\r\n") and body:
            self.socket.sendall(first)
            pieces = self.random.randint(1, 5)
            step = len(body) // pieces + 1
            for at in range(0, len(body), step):
                time.sleep(self.random.uniform(0, 0.15))
                self.socket.sendall(body[at:at + step])
        else:
            self.socket.sendall(first)

    def read_more(self, until):
        left = until - time.monotonic()
        if left <= 0:
            raise Lost(SILENCE)
        self.socket.settimeout(left)
        data = self.socket.recv(65536)
        if not data:
            raise Lost("connection closed")
        if self.is_slow:
            time.sleep(len(data) / SLOW_BYTES_PER_S)
        return data

    def read_answer(self, until):
        status = 100
        while status < 200:
            while b"\r\n\r\n" not in self.buffer:
                self.buffer += self.read_more(until)
            head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
            lines = head.decode("latin-1").split("\r\n")
            status = int(lines[0].split()[1])
        headers = {name.lower(): value.strip() for name, value in (line.split(":", 1) for line in lines[1:])}
        length = int(headers["content-length"])
        pieces, got = [self.buffer], len(self.buffer)
        while got < length:
            try:
                pieces.append(self.read_more(until))
            except (Lost, OSError) as error:
                raise Lost(f"{error or type(error).__name__} after {got} of {length} bytes of its body") from error
            got += len(pieces[-1])
        answer = b"".join(pieces)
        self.buffer = answer[length:]
        return status, headers, answer[:length]


class Soak:
    """One seed: a fleet, its callers and its faults."""

    def __init__(self, seed, hosts):
        self.seed, self.hosts = seed, hosts
        self.random = random.Random(seed)
        self.lock = threading.Lock()
        self.counts, self.runs, self.refused = {}, {}, set()
        self.violations = 0
        self.is_over = False
        # Of each host: spans in which it was killed, paused or cut off, and the times of its planned stops.
        self.impaired = [[] for _ in range(hosts)]
        self.stops = [[] for _ in range(hosts)]
        self.busy_hosts = set()
        self.store_is_faulty = False
        self.version = 3
        target = type("Target", (SoakTarget,), {"soak": self})
        services = ["front"] + ["back"] * (hosts - 1)
        self.fleet = StoreFleet(f"127.{100 + seed % 100}", services, make_target=target)
        self.began = time.monotonic()

    def report(self, rule, request_id, place, what):
        with self.lock:
            self.violations += 1
        print(f"seed {self.seed} +{time.monotonic() - self.began:.2f}s {rule} {request_id} {place}: {what}", flush=True)

    def count(self, what):
        with self.lock:
            self.counts[what] = self.counts.get(what, 0) + 1

    # What callers and targets see.

    def note_run(self, request_id, target, is_unsafe):
        run = {"host": self.fleet.targets.index(target), "began": time.monotonic(), "ended": None}
        with self.lock:
            runs = self.runs.setdefault(request_id, [])
            runs.append(run)
            is_refused = request_id in self.refused
        if is_unsafe and len(runs) > 1:
            self.report("TWICE", request_id, target.instance, f"runs at hosts {[one['host'] for one in runs]}")
        if is_unsafe and is_refused:
            self.report("REFUSED", request_id, target.instance, "runs after a refusal")
        return run

    def is_excused(self, sent, runs, is_silent=False):
        places = {sent["host"], *(run["host"] for run in runs)}
        impaired = any(begin <= sent["ended"] and sent["began"] <= end + SETTLE_S
                       for place in places for begin, end in self.impaired[place])
        cut_by_end = any(stop + STOP_WAIT_S - STOP_MARGIN_S <= sent["ended"] <= stop + STOP_WAIT_S + STOP_SLACK_S
                         for place in places for stop in self.stops[place])
        out_of_time = sent["ended"] - sent["sent"] >= min(TIMEOUTS_S) - TIME_MARGIN_S
        return impaired or cut_by_end or (out_of_time and not is_silent)

    def describe(self, sent, runs):
        text = f"{'unsafe' if sent['unsafe'] else 'safe'}, {sent['ended'] - sent['sent']:.2f} s after its last byte"
        for run in runs:
            state = "at work" if run["ended"] is None or run["ended"] > sent["ended"] else "finished"
            text += f"; {state} at host {run['host']}, began {sent['ended'] - run['began']:.2f} s before"
        for place in sorted({sent["host"], *(run["host"] for run in runs)}):
            recent = [sent["ended"] - stop for stop in self.stops[place] if 0 < sent["ended"] - stop < 2 * STOP_WAIT_S]
            text += "".join(f"; SIGTERM of host {place} {before:.2f} s before" for before in recent)
        return text + ("; store at fault" if self.store_is_faulty else "")

    def judge_loss(self, sent, how):
        time.sleep(CROSSING_S)
        runs = list(self.runs.get(sent["id"], []))
        self.count("ended without an answer")
        crossed = not runs and sent["ended"] - sent["sent"] <= CROSSING_S
        if not crossed and not self.is_excused(sent, runs, how == SILENCE):
            self.report("LOST", sent["id"], f"host {sent['host']}", f"{how}; {self.describe(sent, runs)}")

    def judge_answer(self, sent, status, headers, answer):
        self.count(status)
        with self.lock:
            runs = list(self.runs.get(sent["id"], []))
            if sent["unsafe"] and status in PROMISE_NOT_RUN:
                self.refused.add(sent["id"])
        place = f"host {sent['host']}"
        if sent["unsafe"] and status in PROMISE_NOT_RUN and runs:
            self.report("REFUSED", sent["id"], place, f"{status}; {self.describe(sent, runs)}")
        if 200 <= status < 300 and not self.is_whole(sent["id"], headers, answer):
            self.report("MIXED", sent["id"], place, f"{status} with {len(answer)} bytes; {self.describe(sent, runs)}")
        if status in OWN_ANSWERS and runs and not self.is_excused(sent, runs):
            self.report("LOST", sent["id"], place, f"{status} in place of its run; {self.describe(sent, runs)}")

    @staticmethod
    def is_whole(request_id, headers, answer):
        line, _, rest = answer.partition(b"\n")
        words = line.split()
        return (headers.get("x-request-id") == request_id and "x-response-signature" in headers and
                words == [request_id.encode(), b"%d" % len(rest), b"%d" % zlib.crc32(rest)])

    # Faults. Each one that takes a while has a thread of its own, so that they overlap.

    def start(self, function, *arguments):
        threading.Thread(target=function, args=arguments, daemon=True).start()

    def restart(self, index, pause_s):
        """Starts a host again. A signal that comes before the program has its handlers ends it as any process."""
        time.sleep(pause_s)
        self.fleet.nodes[index] = self.fleet.start_node(index)
        if not self.fleet.wait(lambda: self.takes_callers(index), START_LIMIT_S):
            self.report("DIED", "-", f"host {index}", f"port still closed {START_LIMIT_S} s after its start")

    def paused_s(self, index, since):
        return sum(min(end, time.monotonic()) - begin for begin, end in self.impaired[index] if begin >= since)

    def stop_host(self, index, pause_s, again_after_s):
        node = self.fleet.nodes[index]
        began = time.monotonic()
        self.stops[index].append(began)
        node.send_signal(signal.SIGTERM)
        while node.poll() is None and time.monotonic() - began < 3 * STOP_WAIT_S:
            time.sleep(0.02)
        took = time.monotonic() - began - self.paused_s(index, began)
        if node.poll() is None:
            node.kill()
        if node.wait() != 0 or took > STOP_WAIT_S + STOP_SLACK_S:
            self.report("STOP", "-", f"host {index}", f"ended with {node.returncode} {took:.2f} s after SIGTERM")
        self.restart(index, pause_s)
        if again_after_s is not None:
            time.sleep(again_after_s)
            self.stop_host(index, pause_s, None)
        else:
            self.busy_hosts.discard(index)

    def takes_callers(self, index):
        try:
            socket.create_connection((self.fleet.ips[index], CALLERS), 1).close()
            return True
        except OSError:
            return False

    def kill_host(self, index, pause_s):
        span = [time.monotonic(), float("inf")]
        self.impaired[index].append(span)
        self.fleet.nodes[index].kill()
        self.fleet.nodes[index].wait()
        self.restart(index, pause_s)
        span[1] = time.monotonic()
        self.busy_hosts.discard(index)

    def pause_host(self, index, span_s):
        node = self.fleet.nodes[index]
        self.impaired[index].append((time.monotonic(), time.monotonic() + span_s))
        node.send_signal(signal.SIGSTOP)
        time.sleep(span_s)
        node.send_signal(signal.SIGCONT)

    def disturb_store(self, mode, span_s):
        self.store_is_faulty = True
        self.fleet.fault(mode=mode, ms=200)
        time.sleep(span_s)
        self.fleet.fault(mode="none")
        self.store_is_faulty = False

    def configure(self):
        self.version += self.random.randint(1, 3)
        more = [(f"late{self.version}", "safe", "back")] if self.random.random() < 0.5 else []
        timeout = f"{self.random.choice(TIMEOUTS_S)}s"
        if not self.store_is_faulty:
            self.fleet.configure(self.version, [KEY, f"key-{self.version}"], timeout=timeout, more_routes=more)

    def draw_fault(self):
        draw = self.random
        free = [index for index in range(self.hosts) if index not in self.busy_hosts]
        draw.shuffle(free)
        kind = draw.choices(("stop", "stop two", "hup", "pause", "kill", "configure", "store", "trim"),
                            (40, 15, 10, 8, 6, 12, 6, 3))[0]
        numbers = [draw.uniform(0, 0.5), draw.uniform(0.2, 1.5), draw.uniform(0.05, 0.8)]
        again = numbers[2] if draw.random() < 0.3 else None
        mode = draw.choice(("silent", "lose", "slow"))
        if kind in ("stop", "stop two"):
            # At least one host of the service stays.
            most = max(0, len(free) - 2)
            for index in free[:min(most, 2 if kind == "stop two" else 1)]:
                self.busy_hosts.add(index)
                self.start(self.stop_host, index, numbers[0], again)
        elif kind == "kill" and len(free) > 2:
            self.busy_hosts.add(free[0])
            self.start(self.kill_host, free[0], numbers[0])
        elif kind == "hup" and free:
            self.fleet.nodes[free[0]].send_signal(signal.SIGHUP)
        elif kind == "pause":
            self.start(self.pause_host, draw.randrange(self.hosts), numbers[1])
        elif kind == "configure":
            self.configure()
        elif kind == "store" and not self.store_is_faulty:
            self.start(self.disturb_store, mode, numbers[1])
        elif kind == "trim":
            self.fleet.fault(mode="trim")
        return kind

    def watch_readiness(self, index):
        """The platform's questions, which tell a stopping host that it is no longer sent callers."""
        while not self.is_over:
            self.fleet.is_ready(index)
            time.sleep(READINESS_INTERVAL_S)

    def watch_deaths(self):
        for index, node in enumerate(self.fleet.nodes):
            if index not in self.busy_hosts and node.poll() is not None:
                self.report("DIED", "-", f"host {index}", f"ended with {node.returncode}")
                self.restart(index, 0)

    def run(self, seconds):
        self.fleet.wait(lambda: self.fleet.ask(0, "/read/0/0") is not None)
        self.fleet.configure(self.version, [KEY], timeout=f"{TIMEOUTS_S[0]}s")
        if not self.fleet.wait_connected():
            raise RuntimeError("the fleet did not get connected; logs in " + self.fleet.dir)
        self.began = time.monotonic()
        callers = [Caller(self, host, number) for host in range(self.hosts) for number in range(CALLERS_OF_HOST)]
        for caller in callers:
            caller.start()
        for index in range(self.hosts):
            self.start(self.watch_readiness, index)
        next_fault = self.began + 0.5
        while time.monotonic() - self.began < seconds:
            self.watch_deaths()
            if time.monotonic() >= next_fault:
                kind = self.draw_fault()
                self.count(kind)
                next_fault = time.monotonic() + self.random.uniform(0.2, 1.5)
            time.sleep(0.02)
        self.is_over = True
        for caller in callers:
            caller.join(BUDGET_S + 2 * ANSWER_SLACK_S)
        self.fleet.wait(lambda: not self.busy_hosts and not self.store_is_faulty, 4 * STOP_WAIT_S)
        self.fleet.stop()
        counts = ", ".join(f"{what} {number}" for what, number in sorted(self.counts.items(), key=str))
        print(f"seed {self.seed}: {self.violations} violations; {counts}; logs in {self.fleet.dir}", flush=True)
        return self.violations


def read_seeds(text):
    """The seeds of a list such as 3,5-8."""
    seeds = []
    for word in text.split(","):
        first, _, last = word.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def read_regressions():
    path = os.path.join(os.path.dirname(os.path.abspath(__file__)), "soak_seeds.txt")
    with open(path, encoding="utf-8") as file:
        rows = [line.split()[:3] for line in file if line.strip() and not line.startswith("#")]
    return [(int(seed), int(hosts), float(seconds)) for seed, hosts, seconds in rows]


def main():
    parser = argparse.ArgumentParser(description="Runs hosts under faults drawn from a seed.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", help="several in place of one, as in 3,5-8")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--hosts", type=int, default=5)
    parser.add_argument("--regressions", action="store_true", help="the seeds of soak_seeds.txt, which failed once")
    arguments = parser.parse_args()
    cases = [(seed, arguments.hosts, arguments.seconds)
             for seed in read_seeds(arguments.seeds or str(arguments.seed))]
    if arguments.regressions:
        cases = read_regressions()
    violations = sum(Soak(seed, hosts).run(seconds) for seed, hosts, seconds in cases)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
