"""Starts nodes on the stand-in store with small targets, and speaks to them as the platform does."""

import http.server
import json
import os
import select
import signal
import socket
import socketserver
import struct
import subprocess
import tempfile
import threading
import time

from fleet import BUILD, exchange

CALLERS, READINESS, ANNOUNCEMENTS, PEERS, OPERATORS, TARGET, PATH = 8080, 8081, 8082, 7000, 7015, 9000, 9201
KEY = "key-of-one"
STOP_WAIT_S = 4


class TargetServer(http.server.ThreadingHTTPServer):
    """A target that counts what it ran, and announces itself to its node."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, ip, service, instance):
        self.ran = []
        self.work_s = 0.0
        self.text = service.encode()
        self.may_answer = threading.Event()
        self.may_answer.set()
        self.instance = instance
        self.service = service
        self.sequence = 0
        self.announces = True
        self.ip = ip
        super().__init__((ip, TARGET), TargetHandler)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def answer(self, path, headers, body):
        """Runs one request; returns the body of its answer."""
        self.ran.append((headers["X-Request-Id"], dict(headers), body))
        time.sleep(self.work_s)
        self.may_answer.wait()
        return self.text

    def announce(self, state="ready"):
        self.sequence += 1
        beat = {"address": f"{self.ip}:{TARGET}", "born": 1700000000000,
                "information": {"service": self.service, "version": "v1", "zone": "a", "slots": 20},
                "status": {"state": state, "sequence": self.sequence, "coldRemaining": "0ms"}}
        return exchange(f"{self.ip}:{ANNOUNCEMENTS}", "POST", f"/v1/instances/{self.instance}/heartbeat",
                        {"Content-Type": "application/json"}, json.dumps(beat))


class TargetHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        text = self.server.answer(self.path, self.headers, body)
        self.send_response(200)
        self.send_header("X-Request-Id", self.headers["X-Request-Id"])
        self.send_header("X-Response-Signature", "s")
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)

    do_POST = do_GET

    def log_message(self, format, *arguments):
        pass


def record(key, value):
    """One record of a keyed topic, behind its length."""
    content = bytes([len(key)]) + key.encode() + value.encode()
    return struct.pack(">I", len(content)) + content


class StorePath(socketserver.ThreadingTCPServer):
    """One node's way to the store, which can be cut."""

    daemon_threads = True
    allow_reuse_address = True

    def __init__(self, address, store_address):
        self.store_address = store_address
        self.is_cut = False
        super().__init__(address, StorePathHandler)
        threading.Thread(target=self.serve_forever, daemon=True).start()


class StorePathHandler(socketserver.BaseRequestHandler):
    def handle(self):
        if self.server.is_cut:
            return
        host, port = self.server.store_address.rsplit(":", 1)
        with socket.create_connection((host, int(port))) as store:
            other = {store: self.request, self.request: store}
            while not self.server.is_cut:
                for ready in select.select(list(other), [], [], 0.05)[0]:
                    data = ready.recv(65536)
                    if not data:
                        return
                    other[ready].sendall(data)


class StoreFleet:
    """A store and nodes, from their start to their end."""

    def __init__(self, network, services, own_path=False, make_target=TargetServer):
        self.dir = tempfile.mkdtemp(prefix="dandelionmount-")
        self.store_address = f"{network}.0.1:9200"
        self.children = []
        self.ips = [f"{network}.1.{index + 1}" for index in range(len(services))]
        self.store = self.spawn([os.path.join(BUILD, "standins/standin_store"), "--address", self.store_address])
        self.targets = [make_target(ip, service, f"i-{index}")
                        for index, (ip, service) in enumerate(zip(self.ips, services))]
        # The first node's own way to the store, for tests that cut it.
        self.path = StorePath((self.ips[0], PATH), self.store_address) if own_path else None
        self.nodes = []
        for index in range(len(services)):
            self.nodes.append(self.start_node(index))
        self.announcing = True
        # A host that is paused keeps its own target waiting, and no other one.
        self.announcers = [threading.Thread(target=self.keep_announcing, args=(target,), daemon=True)
                           for target in self.targets]
        for announcer in self.announcers:
            announcer.start()

    def spawn(self, command, name="store"):
        output = open(os.path.join(self.dir, name + ".log"), "ab")
        child = subprocess.Popen(command, stdout=output, stderr=output, stdin=subprocess.DEVNULL)
        output.close()
        self.children.append(child)
        return child

    def start_node(self, index):
        ip = self.ips[index]
        path = os.path.join(self.dir, f"node-{index}.toml")
        store = f"{ip}:{PATH}" if index == 0 and self.path else self.store_address
        with open(path, "w", encoding="utf-8") as file:
            file.write(f"""[host]
name = "host-{index}"
zone = "a"
service = "{self.targets[index].service}"
caller_address = "{ip}:{CALLERS}"
readiness_address = "{ip}:{READINESS}"
announcement_address = "{ip}:{ANNOUNCEMENTS}"
target_address = "{ip}:{TARGET}"
peer_address = "{ip}:{PEERS}"
operator_address = "{ip}:{OPERATORS}"
announcement_interval = "200ms"
stop_wait = "{STOP_WAIT_S}s"
[platform]
store_address = "{store}"
[fleet]
key_withdrawal = "5s"
""")
        return self.spawn([os.path.join(BUILD, "dandelionmountd"), "--settings", path], f"node-{index}")

    def keep_announcing(self, target):
        while self.announcing:
            if target.announces:
                target.announce()
            time.sleep(0.15)

    def configure(self, version, keys, rate=1000, burst=1000, timeout="2000ms", more_routes=()):
        """Writes a configuration with one safe and one unsafe route, as the operators do."""
        routes = []
        for name, kind, service in (("read", "safe", "back"), ("write", "unsafe", "back"), ("own", "safe", "front"),
                                    *more_routes):
            routes.append({"name": name, "host": "one.example", "pathPrefix": f"/{name}/", "kind": kind,
                           "timeout": timeout, "targetLatency": "1s", "priority": 1, "service": service,
                           "maxAttempts": 2, "public": False})
        document = {"version": version, "routes": routes, "services": [{"name": "back"}, {"name": "front"}],
                    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000000, "headerTimeout": "3000ms",
                               "idleTimeout": "15000ms"},
                    "tenants": [{"name": "one", "apiKeys": keys, "priority": 1, "requestsPerS": rate,
                                 "burst": burst}]}
        answer = exchange(self.store_address, "POST", "/v1/log-append?topic=keyed.op&part=0", {},
                          record("config", json.dumps(document)))
        assert answer is not None and answer.status in (200, 503), answer

    def fault(self, **fields):
        assert exchange(self.store_address, "POST", "/fault", {}, json.dumps(fields)).status == 200

    def ask(self, index, path, method="GET", key=KEY, request_id=None, **headers):
        fields = {"Host": "one.example", "X-Request-Id": request_id or os.urandom(8).hex(),
                  "X-Request-Deadline": "2000"}
        if key:
            fields["X-Credential"] = key
        fields.update(headers)
        return exchange(f"{self.ips[index]}:{CALLERS}", method, path, fields)

    def is_ready(self, index):
        answer = exchange(f"{self.ips[index]}:{READINESS}", "GET", "/v1/ready")
        return answer is not None and answer.status == 200

    def status(self, index):
        answer = exchange(f"{self.ips[index]}:{OPERATORS}", "GET", "/status")
        return None if answer is None else json.loads(answer.body)

    def wait(self, check, limit=10):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if check():
                return True
            time.sleep(0.02)
        return False

    def wait_connected(self):
        """Waits until all nodes are ready and see each other with their targets."""
        def connected(index):
            status = self.status(index)
            return (status is not None and status["ready"] and len(status["hosts"]) == len(self.ips) - 1 and
                    all(host["connected"] and host["target"] == 2 for host in status["hosts"]))
        return self.wait(lambda: all(connected(index) for index in range(len(self.ips))))

    def stop(self):
        self.announcing = False
        for child in self.children:
            if child.poll() is None:
                child.send_signal(signal.SIGKILL)
            child.wait()
        for announcer in self.announcers:
            announcer.join()
        for server in self.targets + ([self.path] if self.path else []):
            server.shutdown()
            server.server_close()
