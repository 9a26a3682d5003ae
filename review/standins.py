"""Stand-ins for the review's scripts: the platform with its store, workers, and clients, as the users' pages describe
them. Everything runs on loopback addresses, with free ports and a temporary folder."""

import base64
import http.server
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
MEMORY_BYTES = 260 * 1024 * 1024  # memoryMb=260 in the settings of DEPLOY.md, read generously as MiB
HEARTBEAT_S = 1.5
GRACE_S = 6.0
KEY = "6wsjnbanfqasnmgkcuyj"


class Record:
    """What was sent, answered and run, one line each, with the seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, kind, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {kind} {text}\n")
            self.file.flush()


class QuietServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 1024

    def handle_error(self, request, client_address):
        """Clients and nodes close connections at any time."""


class StoreHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def reply(self, status, body, content_type="application/json"):
        self.send_response(status)
        self.send_header("Content-Type", content_type)
        self.send_header("Content-Length", str(len(body)))
        self.send_header("Store-Era", str(self.server.store.era))
        self.end_headers()
        self.wfile.write(body)

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        url = urlsplit(self.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path != "/v1/log-append":
            return self.reply(404, b"{}")
        if self.server.store.is_away:
            return self.reply(503, b"{}")
        status, answer = self.server.store.append(query["topic"], body, query.get("at"))
        self.reply(status, json.dumps(answer).encode())

    def do_GET(self):
        url = urlsplit(self.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if self.server.store.is_away:
            return self.reply(503, b"{}")
        if url.path == "/v1/log-newest":
            return self.reply(200, json.dumps(self.server.store.newest(query["topic"])).encode())
        if url.path == "/v1/log-read":
            era = self.server.store.era
            body = self.server.store.read(query["topic"], int(query["from"]), int(query.get("waitMs", 0)) / 1000)
            if self.server.store.is_away or era != self.server.store.era:
                return self.reply(503, b"{}")
            return self.reply(200, body, "application/octet-stream") if body else self.reply(410, b'{"first":0}')
        self.reply(404, b"{}")

    def log_message(self, format, *arguments):
        pass


class Store:
    """The platform's store: one partition for each topic, nothing expires."""

    def __init__(self, address):
        self.topics = {}
        self.era = 1
        self.is_away = False
        self.changed = threading.Condition()
        self.server = QuietServer(address, StoreHandler)
        self.server.store = self
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def append(self, topic, body, at):
        with self.changed:
            records = self.topics.setdefault(topic, [])
            if at is not None and int(at) != len(records):
                return 412, {"end": len(records)}
            offset = len(records)
            while body:
                length = struct.unpack(">I", body[:4])[0]
                records.append(body[4:4 + length])
                body = body[4 + length:]
            self.changed.notify_all()
            return 200, {"offset": offset, "end": len(records)}

    def write(self, topic, key, value):
        content = bytes([len(key)]) + key.encode() + value
        return self.append(topic, struct.pack(">I", len(content)) + content, None)

    def copy(self):
        with self.changed:
            return {topic: list(records) for topic, records in self.topics.items()}

    def go_away(self):
        """Answers 503 to everything from now on."""
        with self.changed:
            self.is_away = True
            self.changed.notify_all()

    def come_back(self, copy):
        """Back from the copy: what was written since is gone, and the next era begins."""
        with self.changed:
            self.topics = copy
            self.era += 1
            self.is_away = False

    def newest(self, topic):
        with self.changed:
            records = self.topics.setdefault(topic, [])
            newest = {}
            for offset, content in enumerate(records):
                key, value = content[1:1 + content[0]].decode(), content[1 + content[0]:]
                newest.pop(key, None)
                if value:
                    newest[key] = {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            return {"items": [newest[key] for key in sorted(newest)], "more": False, "end": len(records)}

    def read(self, topic, first, wait_s):
        with self.changed:
            records = self.topics.setdefault(topic, [])
            self.changed.wait_for(lambda: len(records) > first or self.is_away, wait_s)
            if first > len(records):
                return None
            body = struct.pack(">QQ", len(records), 0)
            return body + b"".join(struct.pack(">I", len(content)) + content for content in records[first:])


class WorkerHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    timeout = 10

    def do_GET(self):
        length = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(length)
        if len(body) == length:
            self.server.worker.run(self, body)

    do_POST = do_GET

    def answer(self, status, body=b"", **headers):
        self.send_response(status)
        self.send_header("X-Request-Id", self.headers["X-Request-Id"])
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Keep-Alive", "timeout=10")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format, *arguments):
        pass


class Worker:
    """A worker that runs each request for `work_s` and answers with its whole body and its receipt."""

    def __init__(self, machine, service, zone, record):
        self.machine, self.service, self.zone, self.record = machine, service, zone, record
        self.instance = "i-" + os.urandom(4).hex()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.work_s = 0.02
        self.slots = 100
        self.body_of = lambda path: b"answer to " + path.encode()
        self.runs = {}
        # Id and time of each run, in order.
        self.starts = []
        self.lock = threading.Lock()
        self.alive = True
        self.server = QuietServer((machine.ip, machine.ports["app"]), WorkerHandler)
        self.server.worker = self
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.announce, daemon=True).start()

    def run(self, handler, body):
        request_id = handler.headers["X-Request-Id"]
        if handler.headers.get("X-Target-Instance", self.instance) != self.instance:
            return handler.answer(421, X_Instance_Id=self.instance)
        with self.lock:
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self.starts.append((request_id, time.monotonic()))
        self.record.line("run", worker=self.machine.name, id=request_id, path=handler.path, body_bytes=len(body))
        time.sleep(self.work_s)
        handler.answer(200, self.body_of(handler.path), X_Response_Signature="r." + request_id)

    def announce(self):
        while self.alive:
            self.sequence += 1
            beat = {"address": f"{self.machine.ip}:{self.machine.ports['app']}", "born": self.born,
                    "information": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
                    "status": {"state": "ready", "sequence": self.sequence, "coldRemaining": "0ms"}}
            answer = exchange((self.machine.ip, self.machine.ports["control"]), "POST",
                              f"/v1/instances/{self.instance}/heartbeat", {"Content-Type": "application/json"},
                              json.dumps(beat).encode(), 1.0)
            time.sleep(HEARTBEAT_S if answer.status == 200 else 0.3)


class Answer:
    """A response as a client sees it; status 0 without a whole one."""

    def __init__(self, status=0, headers=None, body=b"", error=""):
        self.status, self.headers, self.body, self.error = status, headers or {}, body, error


def read_answer(connection, read_bytes=65536, pause_s=0.0):
    """Reads one response; with a pause, at most `read_bytes` at a time."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(4096)
        if not part:
            return Answer(error="connection closed before the answer")
        data += part
    head, data = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    headers = {name.lower(): value.strip() for name, value in (line.split(":", 1) for line in lines[1:])}
    status, length = int(lines[0].split()[1]), int(headers.get("content-length", 0))
    parts, received = [data], len(data)
    while received < length:
        part = connection.recv(min(read_bytes, length - received))
        if not part:
            return Answer(0, headers, b"".join(parts), f"answer {status} cut after {received} of {length} bytes")
        parts.append(part)
        received += len(part)
        if pause_s:
            time.sleep(pause_s)
    return Answer(status, headers, b"".join(parts))


def head_of(method, path, headers, body_bytes):
    fields = dict(headers)
    fields["Content-Length"] = str(body_bytes)
    return (f"{method} {path} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields.items()) + "\r\n").encode()


def exchange(address, method, path, headers, body=b"", timeout_s=5.0):
    """One request on a connection of its own."""
    try:
        with socket.create_connection(address, timeout_s) as connection:
            connection.settimeout(timeout_s)
            fields = {"Host": f"{address[0]}:{address[1]}", **headers}
            connection.sendall(head_of(method, path, fields, len(body)) + body)
            return read_answer(connection)
    except OSError as error:
        return Answer(error=f"{type(error).__name__}: {error}")


class Machine:
    """A sidecar machine: a worker and a node, which the platform starts, watches and starts again."""

    def __init__(self, deployment, index, service, zone, number):
        self.deployment, self.service, self.zone = deployment, service, zone
        self.name = f"sidecar-{zone}-{number}"
        self.ip = f"{deployment.network}.1.{index}"
        self.ports = deployment.ports
        self.peak_bytes = 0
        self.over_memory = 0
        self.ended = 0
        self.node = None
        self.log = os.path.join(deployment.folder, self.name + ".log")

    def fields(self):
        ports = self.ports
        return {"nodeName": self.name, "zone": self.zone, "service": self.service, "ip": self.ip,
                "appAddress": f"{self.ip}:{ports['app']}", "heartbeatInterval": f"{int(HEARTBEAT_S * 1000)}ms",
                "listen": {name: f"{self.ip}:{ports[name]}" for name in ("outbound", "readiness", "control")},
                "internalPortRange": [ports["first"], ports["last"]],
                "platform": {"address": "%s:%d" % self.deployment.store_address},
                "bounds": {"gracePeriod": f"{int(GRACE_S)}s", "revocation": "5000ms", "retryBudgetRatio": 0.2,
                           "retryBudgetSlack": 48, "budgetWindow": "10s"}}

    def start(self):
        deploy = self.deployment.deploy
        with open(os.path.join(ROOT, deploy["template"]), encoding="utf-8") as file:
            settings = render(file.read(), self.fields())
        path = os.path.join(self.deployment.folder, self.name + ".conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        environment = {"PATH": os.environ["PATH"], "LANG": "C.UTF-8", "DANDELIONMOUNT_CONFIG": path,
                       "HOME": self.deployment.folder}
        command = deploy["run"].split()
        command[0] = os.path.join(ROOT, command[0])
        with open(self.log, "ab") as log:
            self.node = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log,
                                         stdin=subprocess.DEVNULL)
        self.deployment.record.line("start", machine=self.name, pid=self.node.pid)

    def memory(self):
        try:
            with open(f"/proc/{self.node.pid}/status", encoding="utf-8") as file:
                found = re.search(r"VmRSS:\s+(\d+) kB", file.read())
                return int(found.group(1)) * 1024 if found else 0
        except OSError:
            return 0

    def is_ready(self):
        return exchange((self.ip, self.ports["readiness"]), "GET", "/v1/ready", {}, timeout_s=1.0).status == 200


def render(template, fields):
    """Fills in the placeholders that the deployed template uses: {{a.b}} and {{a.b|json}}."""
    def value_of(match):
        name, _, form = match.group(1).partition("|")
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if form == "json" else str(value)
    return re.sub(r"\{\{([^}]+)\}\}", value_of, template)


def free_ports(ip, count):
    """Ports that are free on the address; the same ones are used on all machines."""
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind((ip, 0))
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


class Deployment:
    """Store, machines with their nodes and workers, and the operator's config."""

    def __init__(self, folder, services, make_worker=Worker, watches_memory=True):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.network = f"127.{random.randint(60, 250)}"
        names = ("outbound", "readiness", "control", "app", "first", "last", "store")
        self.ports = dict(zip(names, free_ports(f"{self.network}.1.1", len(names))))
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)["roles"]["node"]
        self.store_address = (f"{self.network}.0.1", self.ports["store"])
        self.store = Store(self.store_address)
        # Named by their zone and their number in it, as the users' machines are.
        zones = [zone for _, zone in services]
        self.machines = [Machine(self, index + 1, service, zone, zones[:index + 1].count(zone))
                         for index, (service, zone) in enumerate(services)]
        self.workers = [make_worker(machine, machine.service, machine.zone, self.record) for machine in self.machines]
        self.running = True
        self.restart_delay_s = 1.0
        for machine in self.machines:
            machine.start()
        self.watches_memory = watches_memory
        self.watchers = [threading.Thread(target=self.watch, args=(machine,), daemon=True)
                         for machine in self.machines]
        for watcher in self.watchers:
            watcher.start()

    def watch(self, machine):
        """The platform: kills a process over its memory, and starts an ended one again after a short delay."""
        while self.running:
            used = machine.memory()
            machine.peak_bytes = max(machine.peak_bytes, used)
            if used > MEMORY_BYTES and self.watches_memory:
                machine.over_memory += 1
                self.record.line("kill", machine=machine.name, cause="over-memory", rss_mib=used >> 20)
                machine.node.kill()
                machine.node.wait()
            if machine.node.poll() is not None:
                machine.ended += 1
                self.record.line("ended", machine=machine.name, status=machine.node.returncode)
                time.sleep(self.restart_delay_s)
                if self.running:
                    machine.start()
            time.sleep(0.005)

    def configure(self, version, routes, max_body_bytes=67108864, keys=(KEY,), public=(), has_tenant=True):
        services = sorted({machine.service for machine in self.machines})
        document = {"version": version,
                    "routes": [{"name": f"r-{name}", "host": "books.example", "pathPrefix": f"/{name}/", "kind": kind,
                                "timeout": timeout, "targetLatency": "1000ms", "priority": 1, "service": service,
                                "maxAttempts": 2, "public": name in public} for name, kind, service, timeout in routes],
                    "services": [{"name": name, "healthCheckPath": "/health", "maxConnections": 748, "protocol": "h1",
                                  "tls": False} for name in services],
                    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": max_body_bytes, "headerTimeout": "3000ms",
                               "idleTimeout": "15000ms"},
                    "tenants": [{"name": "tenant1", "apiKeys": list(keys), "priority": 1,
                                 "requestsPerS": 500, "burst": 500}]}
        if not has_tenant:
            document["tenants"] = []
        self.store.write("keyed.op", "config", json.dumps(document).encode())
        self.record.line("config", version=version)

    def headers(self, budget_ms, key=KEY):
        return {"Host": "books.example", "X-Request-Id": os.urandom(8).hex(), "X-Request-Deadline": str(budget_ms),
                "X-Credential": key}

    def outbound(self, machine):
        return (machine.ip, machine.ports["outbound"])

    def wait_for(self, check, limit_s):
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if check():
                return True
            time.sleep(0.02)
        return False

    def wait_ready(self, path, limit_s=15):
        """Waits until each node is ready and a request from each machine is served several times in a row."""
        def served(machine):
            return all(exchange(self.outbound(machine), "GET", path, self.headers(2000)).status == 200
                       for _ in range(4))
        return self.wait_for(lambda: all(machine.is_ready() for machine in self.machines), limit_s) and \
            self.wait_for(lambda: all(served(machine) for machine in self.machines), limit_s)

    def stop(self):
        self.running = False
        for watcher in self.watchers:
            watcher.join()
        for worker in self.workers:
            worker.alive = False
        for machine in self.machines:
            if machine.node.poll() is None:
                machine.node.send_signal(signal.SIGKILL)
            machine.node.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class KeptClient:
    """A client that sends one request after the other on one connection, as long as the node keeps it open."""

    def __init__(self, deployment, machine, path):
        self.deployment, self.machine, self.path, self.record = deployment, machine, path, deployment.record
        self.running = True
        self.sent = self.answered = 0
        self.cut = []
        self.thread = threading.Thread(target=self.work, daemon=True)
        self.thread.start()

    def work(self):
        connection = None
        while self.running:
            if connection is None:
                try:
                    connection = socket.create_connection(self.deployment.outbound(self.machine), 1)
                    connection.settimeout(6)
                except OSError:
                    time.sleep(0.2)
                    continue
            headers = self.deployment.headers(5000)
            request_id = headers["X-Request-Id"]
            try:
                self.sent += 1
                connection.sendall(head_of("POST", self.path, headers, 200) + b"x" * 200)
                answer = read_answer(connection)
            except OSError as error:
                answer = Answer(error=type(error).__name__)
            self.record.line("answered", client="kept", id=request_id, status=answer.status,
                             error=answer.error.replace(" ", "_"))
            if answer.status:
                self.answered += 1
            else:
                self.cut.append(request_id)
            if not answer.status or answer.headers.get("connection", "").lower() == "close":
                connection.close()
                connection = None
            time.sleep(0.01)


def finish(deployment, clients):
    """Stops the kept clients and reports; 1 if more than three of their requests that ran got no answer, else 0."""
    for client in clients:
        client.running = False
    for client in clients:
        client.thread.join(8)
    runs = set()
    for worker in deployment.workers:
        runs.update(worker.runs)
    cut = [request_id for client in clients for request_id in client.cut]
    lost = [request_id for request_id in cut if request_id in runs]
    for machine in deployment.machines:
        report(deployment.record, f"{machine.name}: peak {machine.peak_bytes >> 20} MiB, killed {machine.over_memory} "
                                  f"times over {MEMORY_BYTES >> 20} MiB, ended {machine.ended} times")
    report(deployment.record, f"kept connections: {sum(client.sent for client in clients)} requests sent, {len(cut)} cut, "
                              f"{len(lost)} of these had been passed on to a worker")
    return 1 if len(lost) > 3 else 0


def report(record, text):
    record.line("summary", text=text.replace(" ", "_"))
    print(text)
