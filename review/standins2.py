"""Stand-ins of the second review: the platform with its store, workers and clients, and the nodes under test.

A case starts a Deployment, lets clients send requests, causes its disruption and judges what the clients and the
workers saw. All traffic stays on loopback addresses: each machine has one of its own, and the same ports.
"""

import base64
import http.server
import json
import os
import random
import re
import select
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STORE_DELAY_S = 0.004
HEARTBEAT_INTERVAL_S = 1.5
GRACE_PERIOD_S = 6.0
MEMORY_MB = 260
MAX_BODY_BYTES = 67108864
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
LOSS_SLACK_S = 0.2
IDLE_TIMEOUT_S = 15.0
WORKER_IDLE_S = 10
began = time.monotonic()


def now():
    """Seconds since the start of the case."""
    return time.monotonic() - began


class Record:
    """The lines of record.txt: what was sent, answered and run."""

    def __init__(self):
        self.lines = []
        self.lock = threading.Lock()

    def add(self, text, at=None):
        with self.lock:
            self.lines.append((now() if at is None else at, text))

    def write(self, folder):
        with self.lock, open(os.path.join(folder, "record.txt"), "w", encoding="utf-8") as file:
            for at, text in sorted(self.lines):
                file.write(f"{at:8.3f} {text}\n")


record = Record()


def free_ports(ips, count):
    """Ports that are free at all of the addresses."""
    ports = []
    while len(ports) < count:
        port = random.randrange(21000, 32000)
        try:
            for ip in ips:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((ip, port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


class HttpServer(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 512

    def handle_error(self, request, client_address):
        """A peer that breaks off is no error of the stand-in."""


class Store(HttpServer):
    """The platform's store: topics with one partition, its newest records, and waiting reads."""

    def __init__(self, ip, port):
        self.address = f"{ip}:{port}"
        self.topics = {}
        self.changed = threading.Condition()
        super().__init__((ip, port), StoreHandler)
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def append(self, topic, contents, at=None):
        """Appends records; returns their first offset and the end, or nothing if the topic does not end at `at`."""
        with self.changed:
            records = self.topics.setdefault(topic, [])
            if at is not None and at != len(records):
                return None, len(records)
            offset = len(records)
            records.extend(contents)
            self.changed.notify_all()
            return offset, len(records)

    def put(self, topic, key, value):
        self.append(topic, [bytes([len(key)]) + key.encode() + value.encode()])

    def read(self, topic, start, wait_s):
        with self.changed:
            self.changed.wait_for(lambda: len(self.topics.get(topic, [])) > start, wait_s)
            records = self.topics.get(topic, [])
            return len(records), records[start:]

    def newest(self, topic):
        newest = {}
        with self.changed:
            records = list(self.topics.get(topic, []))
        for offset, content in enumerate(records):
            key, value = content[1:1 + content[0]].decode(), content[1 + content[0]:]
            newest.pop(key, None)
            if value:
                newest[key] = (value, offset)
        return newest, len(records)


class StoreHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_GET(self):
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(self.path).query))
        time.sleep(STORE_DELAY_S)
        if self.path.startswith("/v1/log-newest"):
            newest, end = self.server.newest(query["topic"])
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (value, offset) in newest.items()]
            self.reply(200, "application/json", json.dumps({"items": items, "more": False, "end": end}).encode())
        elif self.path.startswith("/v1/log-read"):
            start = int(query["from"])
            end, records = self.server.read(query["topic"], start, int(query.get("waitMs", 0)) / 1000)
            if start > end:
                self.reply(410, "application/json", b'{"first":0}')
                return
            body = struct.pack(">QQ", end, 0) + b"".join(struct.pack(">I", len(each)) + each for each in records)
            self.reply(200, "application/octet-stream", body)
        else:
            self.reply(404, "text/plain", b"")

    def do_POST(self):
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(self.path).query))
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        time.sleep(STORE_DELAY_S)
        if not self.path.startswith("/v1/log-append"):
            self.reply(404, "text/plain", b"")
            return
        if query["topic"] in ("keyed.op", "keyed.servers"):
            self.reply(403, "text/plain", b"")
            return
        contents = []
        while body:
            length = struct.unpack(">I", body[:4])[0]
            contents.append(body[4:4 + length])
            body = body[4 + length:]
        offset, end = self.server.append(query["topic"], contents, int(query["at"]) if "at" in query else None)
        if offset is None:
            self.reply(412, "application/json", json.dumps({"end": end}).encode())
        else:
            self.reply(200, "application/json", json.dumps({"offset": offset, "end": end}).encode())

    def reply(self, status, kind, body):
        self.send_response(status)
        self.send_header("Store-Era", "1")
        self.send_header("Content-Type", kind)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format, *arguments):
        pass


class Worker(HttpServer):
    """An application worker: runs `slots` requests at a time, queues a few more and rejects the rest unrun."""

    def __init__(self, machine, service, instance, slots=64, queue=64, work_s=0.1):
        self.machine, self.service, self.instance = machine, service, instance
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.beats = True
        self.is_leaving = False
        self.lock = threading.Condition()
        self.running = self.waiting = 0
        # Each run: request id, start, end or nothing while at work, and the outcome.
        self.runs = []
        self.is_open = True
        self.connections = set()
        super().__init__((machine.ip, machine.ports["app"]), WorkerHandler)
        threading.Thread(target=self.serve_forever, args=(0.02,), daemon=True).start()
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    def make_heartbeat(self, state="ready"):
        self.sequence += 1
        return json.dumps({"address": f"{self.machine.ip}:{self.machine.ports['app']}", "born": self.born,
                           "information": {"service": self.service, "version": "v1", "zone": self.machine.zone,
                                           "slots": self.slots},
                           "status": {"state": state, "sequence": self.sequence, "coldRemaining": "0ms"}})

    def call_control(self, call, body):
        """Calls the control address of the own machine; returns the status, or nothing."""
        answer = exchange(self.machine.ip, self.machine.ports["control"], "POST",
                          f"/v1/instances/{self.instance}/{call}", {"Content-Type": "application/json"},
                          body.encode(), 1.0)
        return answer and answer[0]

    def send_heartbeats(self):
        while self.is_open:
            if self.beats:
                self.call_control("heartbeat", self.make_heartbeat())
            time.sleep(HEARTBEAT_INTERVAL_S if self.machine.is_up else 0.1)

    def runs_of(self, request_id):
        with self.lock:
            return [run for run in self.runs if run["id"] == request_id]

    def run(self, request_id, duration_s, connection):
        """Runs one request; returns "done", "dropped" if its connection closed, or "full" if it did not run."""
        with self.lock:
            if self.running >= self.slots and self.waiting >= self.queue:
                return "full"
            self.waiting += 1
            self.lock.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
            self.running += 1
            run = {"id": request_id, "began": now(), "ended": None, "outcome": "at work", "worker": self.instance}
            self.runs.append(run)
        record.add(f"worker {self.instance} runs {request_id}")
        until = time.monotonic() + duration_s
        outcome = "done"
        while outcome == "done" and time.monotonic() < until:
            readable, _, _ = select.select([connection], [], [], max(0, min(0.1, until - time.monotonic())))
            if readable and is_closed(connection):
                outcome = "dropped"
        with self.lock:
            self.running -= 1
            run["ended"], run["outcome"] = now(), outcome
            self.lock.notify_all()
        record.add(f"worker {self.instance} ends {request_id} {outcome}")
        return outcome

    def finish_request(self, request, client_address):
        self.connections.add(request)
        try:
            super().finish_request(request, client_address)
        finally:
            self.connections.discard(request)

    def end(self):
        """Exits, with all its connections."""
        self.is_open = False
        self.shutdown()
        self.server_close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        record.add(f"worker {self.instance} exits")


def is_closed(connection):
    """Whether the other side has closed or reset the connection."""
    if not select.select([connection], [], [], 0)[0]:
        return False
    try:
        return connection.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True


class WorkerHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    timeout = WORKER_IDLE_S

    def do_GET(self):
        worker = self.server
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        request_id = self.headers.get("X-Request-Id", "")
        expected = self.headers.get("X-Target-Instance")
        if expected and expected != worker.instance:
            self.reply(421, {"X-Instance-Id": worker.instance, "X-Request-Id": request_id}, b"")
            return
        outcome = worker.run(request_id, worker.work_s, self.connection)
        if outcome == "full":
            self.reply(503, {"X-Not-Executed": "1", "X-Request-Id": request_id}, b"")
        elif outcome == "done":
            self.reply(200, {"X-Request-Id": request_id, "X-Response-Signature": f"s.{request_id}"},
                       f"{request_id} by {worker.instance}".encode())
        else:
            self.close_connection = True

    do_POST = do_DELETE = do_GET

    def reply(self, status, headers, body):
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        if self.server.is_leaving:
            self.send_header("Server-Leaving", "1")
        self.send_header("Keep-Alive", f"timeout={WORKER_IDLE_S}")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format, *arguments):
        pass


class Connection:
    """A client's connection, which it keeps for several requests."""

    def __init__(self, ip, port, timeout_s=1.0):
        self.socket = socket.create_connection((ip, port), timeout_s)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""

    def send(self, method, path, headers, body=b""):
        head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        self.socket.sendall(head.encode() + b"\r\n" + body)

    def receive(self, until):
        """Returns status, headers and body, or nothing if the connection ended first; raises at the time limit."""
        while b"\r\n\r\n" not in self.buffer:
            if not self.read_more(until):
                return None
        head, rest = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        headers = {name.lower(): value.strip() for name, value in (line.split(":", 1) for line in lines[1:])}
        length = int(headers.get("content-length", 0))
        self.buffer = rest
        while len(self.buffer) < length:
            if not self.read_more(until):
                return None
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return int(lines[0].split()[1]), headers, body

    def read_more(self, until):
        self.socket.settimeout(max(0.001, until - time.monotonic()))
        try:
            data = self.socket.recv(65536)
        except ConnectionError:
            return False
        self.buffer += data
        return bool(data)

    def close(self):
        self.socket.close()


def exchange(ip, port, method, path, headers, body=b"", timeout_s=5.0):
    """One request on a connection of its own; nothing when there is no complete answer."""
    try:
        connection = Connection(ip, port, timeout_s)
    except OSError:
        return None
    try:
        connection.send(method, path, {"Host": f"{ip}:{port}", **headers}, body)
        return connection.receive(time.monotonic() + timeout_s)
    except OSError:
        return None
    finally:
        connection.close()


class Machine:
    """A machine with a node and, beside it, a worker."""

    def __init__(self, deployment, number, ip, zone, service):
        self.deployment, self.ip, self.zone, self.service = deployment, ip, zone, service
        self.name = f"sidecar-{zone}-{number}"
        self.ports = deployment.ports
        self.process = None
        self.is_up = False
        self.misses = 0
        self.starts = []
        self.stop_signals = []
        self.worker = None
        self.peak_mb = 0.0
        self.memory_kills = []

    def settings_path(self):
        """Renders the template of the deploy file for this machine."""
        ports = self.ports
        fields = {"nodeName": self.name, "zone": self.zone, "service": self.service, "ip": self.ip,
                  "listen.outbound": f"{self.ip}:{ports['outbound']}",
                  "listen.readiness": f"{self.ip}:{ports['readiness']}",
                  "listen.control": f"{self.ip}:{ports['control']}", "appAddress": f"{self.ip}:{ports['app']}",
                  "internalPortRange.0": ports["peer"], "internalPortRange.1": ports["operator"],
                  "heartbeatInterval": "1500ms", "bounds.gracePeriod": "6s", "bounds.revocation": "5000ms",
                  "bounds.retryBudgetRatio": 0.2, "bounds.retryBudgetSlack": 48, "bounds.budgetWindow": "10s",
                  "platform.address": self.deployment.store.address}
        with open(os.path.join(ROOT, "deploy/dandelionmount.toml.in"), encoding="utf-8") as file:
            text = file.read()

        def fill(match):
            value = fields[match.group(1)]
            return json.dumps(value) if match.group(2) else str(value)

        path = os.path.join(self.deployment.folder, self.name + ".conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, text))
        return path

    def start(self):
        environment = {"PATH": os.environ["PATH"], "DANDELIONMOUNT_CONFIG": self.settings_path()}
        with open(os.path.join(self.deployment.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen([os.path.join(ROOT, "target/dandelionmountd")], cwd=ROOT, env=environment,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.misses = 0
        self.starts.append(now())
        self.is_up = True
        record.add(f"platform starts {self.name}")

    def signal(self, number):
        if number == signal.SIGTERM:
            self.stop_signals.append(now())
        record.add(f"platform sends {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def wait_for_end(self, limit_s=GRACE_PERIOD_S):
        """Waits until the process has ended; kills it at the limit, as the platform does."""
        try:
            status = self.process.wait(limit_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            status = self.process.wait()
        self.is_up = False
        record.add(f"process of {self.name} ended with {status}")
        return status

    def memory_mb(self):
        """Resident memory of the process; bytes that it has not read yet are left out."""
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2 ** 20
        except (OSError, IndexError):
            return 0.0

    def check_memory(self):
        """Kills the process if it exceeds the machine's memory, and starts it again, as the platform does."""
        if not self.is_up or self.process.poll() is not None:
            return
        used_mb = self.memory_mb()
        self.peak_mb = max(self.peak_mb, used_mb)
        if used_mb > MEMORY_MB:
            self.process.kill()
            self.memory_kills.append(now())
            record.add(f"platform kills {self.name}: {used_mb:.0f} MB of {MEMORY_MB} MB")
            self.wait_for_end()
            time.sleep(1)
            self.start()

    def is_ready(self):
        answer = exchange(self.ip, self.ports["readiness"], "GET", "/v1/ready", {}, timeout_s=0.9)
        return answer is not None and answer[0] == 200

    def is_in(self):
        return self.misses < 2

    def takes_clients(self):
        """Whether clients send new work: not after two misses, unless fewer than half of the zone's nodes are in."""
        zone = [machine for machine in self.deployment.machines if machine.zone == self.zone]
        return self.is_in() or 2 * sum(machine.is_in() for machine in zone) < len(zone)

    def status(self):
        answer = exchange(self.ip, self.ports["operator"], "GET", "/status", {}, timeout_s=1.0)
        return json.loads(answer[2]) if answer and answer[0] == 200 else None


class Deployment:
    """The platform, the machines of a small deployment and their workers."""

    def __init__(self, services, routes, tenants, slots=64, queue=64, work_s=0.1, zones=None):
        network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        ips = [f"{network}.{number + 2}" for number in range(len(services))]
        names = ["outbound", "readiness", "control", "app", "peer", "operator", "store"]
        self.ports = dict(zip(names, free_ports([f"{network}.1", *ips], len(names))))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(f"{network}.1", self.ports["store"])
        zones = zones or [f"zone-{'abc'[number % 3]}" for number in range(len(services))]
        self.machines = [Machine(self, number + 1, ip, zones[number], services[number])
                         for number, ip in enumerate(ips)]
        self.tenants, self.routes = tenants, routes
        for machine in self.machines:
            machine.start()
        for number, machine in enumerate(self.machines):
            machine.worker = Worker(machine, machine.service, f"i-{number + 1}", slots, queue, work_s)
        self.is_polling = True
        for machine in self.machines:
            threading.Thread(target=self.poll_readiness, args=(machine,), daemon=True).start()
            threading.Thread(target=self.watch_memory, args=(machine,), daemon=True).start()

    @property
    def workers(self):
        return [machine.worker for machine in self.machines if machine.worker]

    def configure(self, version):
        """Writes a config to the store, as the operator does."""
        services = sorted({route["service"] for route in self.routes} | {m.service for m in self.machines})
        document = {"version": version, "routes": self.routes, "services": [{"name": name} for name in services],
                    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY_BYTES,
                               "headerTimeout": "3000ms", "idleTimeout": f"{IDLE_TIMEOUT_S:.0f}s"}, "tenants": self.tenants}
        self.store.put("keyed.op", "config", json.dumps(document))
        record.add(f"store acknowledges config {version}")

    def poll_readiness(self, machine):
        while self.is_polling:
            machine.misses = 0 if machine.is_ready() else machine.misses + 1
            time.sleep(1)

    def watch_memory(self, machine):
        while self.is_polling:
            machine.check_memory()
            time.sleep(0.005)

    def wait_until_connected(self, limit_s=15):
        """Waits until every node is ready, and connected to all others with their targets ready."""
        def is_connected(machine):
            status = machine.status()
            return (status is not None and status["ready"] and status["target"] != "" and
                    len(status["hosts"]) == len(self.machines) - 1 and
                    all(host["connected"] and host["target"] == 2 for host in status["hosts"]))
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if all(is_connected(machine) for machine in self.machines):
                return True
            time.sleep(0.1)
        return False

    def runs_of(self, request_id):
        return [run for worker in self.workers for run in worker.runs_of(request_id)]

    def end(self):
        self.is_polling = False
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()


def route(name, service, kind="safe", timeout="3000ms", latency="1s", public=False, attempts=2, priority=1):
    return {"name": name, "host": "app.example", "pathPrefix": f"/{name}/", "kind": kind, "timeout": timeout,
            "targetLatency": latency, "priority": priority, "service": service, "maxAttempts": attempts,
            "public": public}


def new_id():
    return os.urandom(8).hex()


class Client(threading.Thread):
    """A client that keeps its connection, waits between its requests, and follows the platform's pages."""

    def __init__(self, machine, method, path, key, budget_s, think_s, results, spread_s=None):
        super().__init__(daemon=True)
        self.spread_s = think_s[1] if spread_s is None else spread_s
        self.machine, self.method, self.path, self.key = machine, method, path, key
        self.budget_s, self.think_s, self.results = budget_s, think_s, results
        self.connection = None
        self.used_at = 0.0
        self.is_stopping = False

    def run(self):
        time.sleep(random.uniform(0, self.spread_s))
        while not self.is_stopping:
            if self.machine.takes_clients() and self.connect():
                self.send_request()
            time.sleep(random.uniform(*self.think_s))

    def connect(self):
        """Opens a connection if none is kept, or if it was idle for four fifths of the limit."""
        if self.connection and (now() - self.used_at > 0.8 * IDLE_TIMEOUT_S or is_closed(self.connection.socket)):
            self.connection.close()
            self.connection = None
        if self.connection is None:
            try:
                self.connection = Connection(self.machine.ip, self.machine.ports["outbound"])
            except OSError:
                return False
        return True

    def send_request(self):
        result = {"id": new_id(), "machine": self.machine, "method": self.method, "answer": None}
        headers = {"Host": "app.example", "X-Request-Id": result["id"],
                   "X-Request-Deadline": int(self.budget_s * 1000)}
        if self.key:
            headers["X-Credential"] = self.key
        result["sent"] = now()
        wait_s = 0.0
        try:
            self.connection.send(self.method, self.path, headers)
            answer = self.connection.receive(time.monotonic() + self.budget_s + 1)
            result["answer"] = answer and answer[0]
            if answer and answer[0] in (429, 503):
                wait_s = min(float(answer[1].get("retry-after", 0)), self.budget_s / 3)
        except socket.timeout:
            result["answer"] = "silence"
            answer = None
        except OSError:
            answer = None
        result["ended"] = self.used_at = now()
        record.add(f"client at {self.machine.name} sends {result['id']} {self.method} {self.path}", result["sent"])
        record.add(f"client at {self.machine.name} gets {result['answer'] or 'a closed connection'} for "
                   f"{result['id']}", result["ended"])
        self.results.append(result)
        if not answer or answer[1].get("connection", "").lower() == "close":
            self.connection.close()
            self.connection = None
        time.sleep(wait_s)


def finish(folder, deployment, verdict, text):
    """Writes the record, ends all processes and leaves with the verdict."""
    record.add(f"verdict: {text}")
    record.write(folder)
    print(text, flush=True)
    deployment.end()
    sys.stdout.flush()
    os._exit(verdict)
