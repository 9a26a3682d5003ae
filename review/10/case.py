"""UNASKED: a request is smuggled inside the body of another one."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins2 as s2  # noqa: E402

KEY = "6wsjnbanfqasnmgkcuyj"
REQUESTS = 20
# The transfer coding of the client's body; without trouble, the same body comes with its length.
CODING = "gzip"


def main():
    routes = [s2.route("titles", "records", public=True), s2.route("notes", "records", kind="unsafe")]
    tenants = [{"name": "one", "apiKeys": [KEY], "priority": 1}]
    deployment = s2.Deployment(["desk", "records"], routes, tenants, work_s=0.02, zones=["zone-a", "zone-b"])
    deployment.configure(3)
    if not deployment.wait_until_connected():
        s2.finish(HERE, deployment, s2.NOT_RUN, "the deployment did not start")
    machine = deployment.machines[0]
    outer, inner = [], []
    for _ in range(REQUESTS):
        outer.append(s2.new_id())
        inner.append(s2.new_id())
        body = (f"GET /titles/1 HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: {inner[-1]}\r\n"
                "X-Request-Deadline: 2000\r\n\r\n").encode()
        headers = {"Host": "app.example", "X-Request-Id": outer[-1], "X-Request-Deadline": 2000, "X-Credential": KEY}
        headers.update({"Transfer-Encoding": CODING} if s2.TROUBLE else {"Content-Length": len(body)})
        connection = s2.Connection(machine.ip, machine.ports["outbound"])
        head = "POST /notes/1 HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        connection.socket.sendall(head.encode() + b"\r\n" + body)
        s2.record.add(f"client sends {outer[-1]} with a body of {len(body)} bytes")
        answers = []
        try:
            while len(answers) < 2:
                answer = connection.receive(time.monotonic() + 0.5)
                if answer is None:
                    break
                answers.append(answer[0])
        except OSError:
            pass
        connection.close()
        s2.record.add(f"client gets {answers} on the connection of {outer[-1]}")
    smuggled = [each for each in inner if deployment.runs_of(each)]
    ran = [each for each in outer if deployment.runs_of(each)]
    text = (f"{len(smuggled)} of {REQUESTS} requests that were part of a body ran; {len(ran)} of {REQUESTS} that the "
            "client sent ran")
    if not s2.TROUBLE and len(ran) != REQUESTS:
        s2.finish(HERE, deployment, s2.NOT_RUN, text)
    s2.finish(HERE, deployment, s2.BROKEN if smuggled else s2.HELD, text)


main()
