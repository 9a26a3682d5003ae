"""A node is stopped as planned, on its own, while the worker next to it finishes a request and makes a call for it."""

import os
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Seconds: when the parent is sent after SIGTERM, how long it works before its call, and how long the call works.
SENT_AT_S, PARENT_WORK_S, CALL_WORK_S = 1.0, 3.7, 0.8
STOPS = 3


class CallingWorker(standins.Worker):
    """A worker whose requests under /order/ make one call through its own node, on a connection that it keeps."""

    connection = None

    def __init__(self, machine, service, zone, record):
        super().__init__(machine, service, zone, record)
        self.calls = []

    def run(self, handler, body):
        if self.service != "front":
            return super().run(handler, body)
        self.record.line("run", worker=self.machine.name, id=handler.headers["X-Request-Id"], path=handler.path)
        if handler.path == "/order/x":
            time.sleep(PARENT_WORK_S)
        status = self.call()
        handler.answer(200 if status == 200 else 500, b"done", X_Response_Signature="r")

    def call(self):
        request_id = os.urandom(8).hex()
        headers = {"Host": "books.example", "X-Request-Id": request_id, "X-Request-Deadline": "1500"}
        sent_at = time.monotonic()
        self.record.line("sent", client="worker", id=request_id, path="/price/x")
        try:
            if self.connection is None:
                self.connection = socket.create_connection(self.machine.deployment.outbound(self.machine), 1)
                self.connection.settimeout(3)
            self.connection.sendall(standins.head_of("GET", "/price/x", headers, 0))
            answer = standins.read_answer(self.connection)
        except OSError as error:
            answer = standins.Answer(error=type(error).__name__)
        if not answer.status or answer.headers.get("connection", "").lower() == "close":
            if self.connection is not None:
                self.connection.close()
            self.connection = None
        self.record.line("answered", client="worker", id=request_id, status=answer.status,
                         error=answer.error.replace(" ", "_"))
        self.calls.append((request_id, sent_at, answer.status, time.monotonic()))
        return answer.status


def send_order(deployment, machine, path):
    headers = deployment.headers(6000)
    deployment.record.line("sent", client="order", id=headers["X-Request-Id"], path=path)
    answer = standins.exchange(deployment.outbound(machine), "POST", path, headers, b"order", 6)
    deployment.record.line("answered", client="order", id=headers["X-Request-Id"], status=answer.status)
    return answer.status


def main(folder):
    services = [("front", "zone-a"), ("pricebook", "zone-b"), ("pricebook", "zone-c")]
    deployment = standins.Deployment(folder, services, make_worker=CallingWorker)
    record = deployment.record
    try:
        deployment.configure(7, [("order", "unsafe", "front", "5500ms"), ("price", "safe", "pricebook", "1500ms")],
                             public=("price",))
        if not deployment.wait_ready("/price/x"):
            print("the deployment did not become ready")
            return 2
        front, other, worker = deployment.machines[0], deployment.machines[1], deployment.workers[0]
        lost = 0
        for _ in range(STOPS):
            # An order whose call opens the connection that the worker keeps.
            if not deployment.wait_for(lambda: send_order(deployment, other, "/order/quick") == 200, 15):
                print("no order was served before the stop")
                return 2
            time.sleep(3.5)
            for pricer in deployment.workers[1:]:
                pricer.work_s = CALL_WORK_S
            stopping, stopped_at = front.node, time.monotonic()
            if TROUBLE:
                record.line("sigterm", machine=front.name)
                stopping.send_signal(signal.SIGTERM)
            asker = threading.Thread(target=ask_readiness, args=(front, record, stopped_at + 6))
            asker.start()
            time.sleep(SENT_AT_S)
            status = send_order(deployment, front, "/order/x")
            while TROUBLE and stopping.poll() is None and time.monotonic() < stopped_at + standins.GRACE_S:
                time.sleep(0.01)
            if TROUBLE:
                standins.report(record, f"process ended {time.monotonic() - stopped_at:.2f} s after SIGTERM")
                if stopping.poll() is None:
                    stopping.kill()
            asker.join()
            request_id, sent_at, call_status, ended_at = worker.calls[-1]
            ran = any(request_id in pricer.runs for pricer in deployment.workers[1:])
            standins.report(record, f"call {request_id} sent {sent_at - stopped_at:.2f} s after SIGTERM, ran: {ran}, status "
                                    f"{call_status}, ended at {ended_at - stopped_at:.2f} s; its order: {status}")
            lost += ran and call_status == 0
            for pricer in deployment.workers[1:]:
                pricer.work_s = 0.02
        return 1 if lost else 0
    finally:
        deployment.stop()


def ask_readiness(machine, record, until):
    """The platform's question, once a second; the first one comes half a second after SIGTERM."""
    time.sleep(0.5)
    while time.monotonic() < until:
        record.line("ready", machine=machine.name, answer=machine.is_ready())
        time.sleep(1.0)


if __name__ == "__main__":
    sys.exit(main(os.path.dirname(os.path.abspath(__file__))))
