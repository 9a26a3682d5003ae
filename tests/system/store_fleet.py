"""Runs nodes on the stand-in store with in-process targets, and sends requests to them as callers do."""

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

CALLER_PORT, READINESS_PORT, ANNOUNCEMENT_PORT, PEER_PORT, OPERATOR_PORT, TARGET_PORT, STORE_PROXY_PORT = \
    8080, 8081, 8082, 7000, 7015, 9000, 9201
KEY = "key-of-one"
STOP_WAIT_S = 4


class TargetServer(http.server.ThreadingHTTPServer):
    """A target that records its runs and announces itself to its node."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, ip, service, instance, handler=None):
        self.runs = []
        self.service_time_s = 0.0
        self.response_body = service.encode()
        self.response_allowed = threading.Event()
        self.response_allowed.set()
        self.instance = instance
        self.born = 1700000000000
        self.service = service
        self.sequence = 0
        self.announces = True
        self.ip = ip
        super().__init__((ip, TARGET_PORT), handler or TargetHandler)
        threading.Thread(target=self.serve_forever, args=(0.02,), daemon=True).start()

    def respond(self, path, headers, body):
        """Runs one request; returns the body of its response."""
        self.runs.append((headers["X-Request-Id"], dict(headers), body))
        time.sleep(self.service_time_s)
        self.response_allowed.wait()
        return self.response_body

    def announce(self, state="ready"):
        self.sequence += 1
        heartbeat = {"address": f"{self.ip}:{TARGET_PORT}", "born": self.born,
                     "information": {"service": self.service, "version": "v1", "zone": "a", "slots": 20},
                     "status": {"state": state, "sequence": self.sequence, "coldRemaining": "0ms"}}
        return exchange(f"{self.ip}:{ANNOUNCEMENT_PORT}", "POST", f"/v1/instances/{self.instance}/heartbeat",
                        {"Content-Type": "application/json"}, json.dumps(heartbeat))


class CrashingTargetServer(TargetServer):
    """A target whose process ends when it runs a request for a path with "deadly", and is back after a while."""

    downtime_s = 0.7
    # Time from the start of such a run to the crash, and whether the target announces itself until then.
    time_to_crash_s = 0.03
    announces_until_crash = True

    def __init__(self, ip, service, instance):
        self.is_down = False
        self.connections = []
        self.crash_lock = threading.Lock()
        self.crashes = 0
        super().__init__(ip, service, instance)

    def get_request(self):
        connection, address = super().get_request()
        self.connections.append(connection)
        return connection, address

    def respond(self, path, headers, body):
        response_body = super().respond(path, headers, body)
        if "deadly" in path:
            self.announces = self.announces and self.announces_until_crash
            time.sleep(self.time_to_crash_s)
            with self.crash_lock:
                self.crash()
        return response_body

    def handle_error(self, request, client_address):
        """Runs go on after a crash, and can't respond."""

    def crash(self):
        if self.is_down:
            return
        self.crashes += 1
        self.is_down = True
        self.announces = False
        self.shutdown()
        self.server_close()
        connections, self.connections = self.connections, []
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        threading.Timer(self.downtime_s, self.restart).start()

    def restart(self):
        self.socket = socket.socket(self.address_family, self.socket_type)
        self.server_bind()
        self.server_activate()
        self.born += 1000
        self.is_down = False
        self.announces = True
        threading.Thread(target=self.serve_forever, args=(0.02,), daemon=True).start()


class TargetHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        response_body = self.server.respond(self.path, self.headers, body)
        self.send_response(200)
        self.send_header("X-Request-Id", self.headers["X-Request-Id"])
        self.send_header("X-Response-Signature", "s")
        self.send_header("Content-Length", str(len(response_body)))
        self.end_headers()
        self.wfile.write(response_body)

    do_POST = do_GET

    def log_message(self, format, *arguments):
        pass


REQUEST_ID_PLACEHOLDER = b"<request id>"


class RawTargetServer(TargetServer):
    """A target that sends fixed bytes as its response before it reads the body of a request, and then ends the
    connection."""

    # With REQUEST_ID_PLACEHOLDER where the id of the request is to be repeated.
    raw_response = b""
    # Whether the connection ends with a reset or is closed in order.
    resets = False
    # How long the response is on its way before the connection ends.
    pause_s = 0.1

    def __init__(self, ip, service, instance):
        super().__init__(ip, service, instance, RawTargetHandler)


class RawTargetHandler(TargetHandler):
    def do_GET(self):
        server = self.server
        server.runs.append((self.headers["X-Request-Id"], dict(self.headers), b""))
        self.connection.sendall(server.raw_response.replace(REQUEST_ID_PLACEHOLDER, self.headers["X-Request-Id"].encode()))
        time.sleep(server.pause_s)
        self.close_connection = True
        if server.resets:
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.connection.close()
            return
        self.connection.shutdown(socket.SHUT_WR)
        # A close with unread bytes would reset the connection.
        while self.connection.recv(65536):
            pass

    do_POST = do_GET


def encode_record(key, value):
    """One record of a keyed topic, prefixed with its length."""
    content = bytes([len(key)]) + key.encode() + value.encode()
    return struct.pack(">I", len(content)) + content


class StoreProxy(socketserver.ThreadingTCPServer):
    """A TCP proxy between one node and the store; while `is_cut` is set, it closes all connections, also new ones."""

    daemon_threads = True
    allow_reuse_address = True

    def __init__(self, address, store_address):
        self.store_address = store_address
        self.is_cut = False
        super().__init__(address, StoreProxyHandler)
        threading.Thread(target=self.serve_forever, daemon=True).start()


class StoreProxyHandler(socketserver.BaseRequestHandler):
    def handle(self):
        if self.server.is_cut:
            return
        host, port = self.server.store_address.rsplit(":", 1)
        with socket.create_connection((host, int(port))) as store:
            opposite = {store: self.request, self.request: store}
            while not self.server.is_cut:
                for ready in select.select(list(opposite), [], [], 0.05)[0]:
                    data = ready.recv(65536)
                    if not data:
                        return
                    opposite[ready].sendall(data)


class StoreFleet:
    """A store, its nodes and their targets."""

    def __init__(self, network, services, has_store_proxy=False, make_target=TargetServer, store_delay_s=0):
        self.dir = tempfile.mkdtemp(prefix="dandelionmount-")
        self.store_address = f"{network}.0.1:9200"
        self.children = []
        self.ips = [f"{network}.1.{index + 1}" for index in range(len(services))]
        store_command = [os.path.join(BUILD, "standins/standin_store"), "--address", self.store_address]
        if store_delay_s:
            store_command = ["sh", "-c", 'sleep "$0"; exec "$@"', str(store_delay_s), *store_command]
        self.store = self.spawn(store_command)
        self.targets = [make_target(ip, service, f"i-{index}")
                        for index, (ip, service) in enumerate(zip(self.ips, services))]
        # Proxy between the first node and the store, for tests that disconnect that node only.
        self.store_proxy = StoreProxy((self.ips[0], STORE_PROXY_PORT), self.store_address) if has_store_proxy else None
        self.nodes = []
        for index in range(len(services)):
            self.nodes.append(self.start_node(index))
        self.announcing = True
        # One thread for each target: a paused host blocks only the announcements of its own target.
        self.announcers = [threading.Thread(target=self.announce_periodically, args=(target,), daemon=True)
                           for target in self.targets]
        for announcer in self.announcers:
            announcer.start()
        # The nodes start concurrently with the store, and may respond before it listens.
        if not self.wait_for(self.is_store_listening):
            self.stop()
            raise RuntimeError("the store did not start; logs in " + self.dir)

    def is_store_listening(self):
        host, port = self.store_address.rsplit(":", 1)
        try:
            socket.create_connection((host, int(port)), timeout=1).close()
            return True
        except OSError:
            return False

    def spawn(self, command, name="store"):
        output = open(os.path.join(self.dir, name + ".log"), "ab")
        child = subprocess.Popen(command, stdout=output, stderr=output, stdin=subprocess.DEVNULL)
        output.close()
        self.children.append(child)
        return child

    def start_node(self, index):
        ip = self.ips[index]
        path = os.path.join(self.dir, f"node-{index}.toml")
        store = f"{ip}:{STORE_PROXY_PORT}" if index == 0 and self.store_proxy else self.store_address
        with open(path, "w", encoding="utf-8") as file:
            file.write(f"""[host]
name = "host-{index}"
zone = "a"
service = "{self.targets[index].service}"
caller_address = "{ip}:{CALLER_PORT}"
readiness_address = "{ip}:{READINESS_PORT}"
announcement_address = "{ip}:{ANNOUNCEMENT_PORT}"
target_address = "{ip}:{TARGET_PORT}"
peer_address = "{ip}:{PEER_PORT}"
operator_address = "{ip}:{OPERATOR_PORT}"
announcement_interval = "200ms"
stop_wait = "{STOP_WAIT_S}s"
[platform]
store_address = "{store}"
[fleet]
key_withdrawal = "5s"
""")
        return self.spawn([os.path.join(BUILD, "dandelionmountd"), "--settings", path], f"node-{index}")

    def announce_periodically(self, target):
        while self.announcing:
            if target.announces:
                target.announce()
            time.sleep(0.15)

    def configure(self, version, keys, rate=1000, burst=1000, timeout="2000ms", extra_routes=(),
                  max_body_bytes=1000000, public=False):
        """Writes a configuration with safe and unsafe routes to the store, as operators do. Public routes need no key."""
        routes = []
        for name, kind, service in (("read", "safe", "back"), ("write", "unsafe", "back"), ("own", "safe", "front"),
                                    *extra_routes):
            routes.append({"name": name, "host": "one.example", "pathPrefix": f"/{name}/", "kind": kind,
                           "timeout": timeout, "targetLatency": "1s", "priority": 1, "service": service,
                           "maxAttempts": 2, "public": public})
        document = {"version": version, "routes": routes, "services": [{"name": "back"}, {"name": "front"}],
                    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": max_body_bytes, "headerTimeout": "3000ms",
                               "idleTimeout": "15000ms"},
                    "tenants": [{"name": "one", "apiKeys": keys, "priority": 1, "requestsPerS": rate,
                                 "burst": burst}]}
        response = exchange(self.store_address, "POST", "/v1/log-append?topic=keyed.op&part=0", {},
                            encode_record("config", json.dumps(document)))
        # With the fault "lose" the store appends the record and responds with 503.
        assert response is not None and response.status in (200, 503), response

    def set_fault(self, **fields):
        assert exchange(self.store_address, "POST", "/fault", {}, json.dumps(fields)).status == 200

    def request(self, index, path, method="GET", key=KEY, request_id=None, body=None, **headers):
        fields = {"Host": "one.example", "X-Request-Id": request_id or os.urandom(8).hex(),
                  "X-Request-Deadline": "2000"}
        if key:
            fields["X-Credential"] = key
        fields.update(headers)
        return exchange(f"{self.ips[index]}:{CALLER_PORT}", method, path, fields, body)

    def is_ready(self, index):
        response = exchange(f"{self.ips[index]}:{READINESS_PORT}", "GET", "/v1/ready")
        return response is not None and response.status == 200

    def status(self, index):
        response = exchange(f"{self.ips[index]}:{OPERATOR_PORT}", "GET", "/status")
        return None if response is None else json.loads(response.body)

    def wait_for(self, check, limit=10):
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            if check():
                return True
            time.sleep(0.02)
        return False

    def wait_connected(self):
        """Waits until each node is ready, connected to all others, and lists their targets as ready."""
        def connected(index):
            status = self.status(index)
            return (status is not None and status["ready"] and len(status["hosts"]) == len(self.ips) - 1 and
                    all(host["connected"] and host["target"] == 2 for host in status["hosts"]))
        return self.wait_for(lambda: all(connected(index) for index in range(len(self.ips))))

    def stop(self):
        self.announcing = False
        for child in self.children:
            if child.poll() is None:
                child.send_signal(signal.SIGKILL)
            child.wait()
        for announcer in self.announcers:
            announcer.join()
        for server in self.targets + ([self.store_proxy] if self.store_proxy else []):
            server.shutdown()
            server.server_close()
