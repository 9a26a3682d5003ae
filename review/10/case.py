"""DRAIN: a planned stop of a node makes it forget that its worker has left."""

import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins2 as s2  # noqa: E402

KEY = "6wsjnbanfqasnmgkcuyj"
BUDGET_S = 6.0
# How late the last heartbeat before the deregistration arrives.
LATE_BEAT_S = 5.0
# How long the worker goes on serving after the acknowledgement.
STAYS_S = 7.5


def main():
    routes = [s2.route("notes", "records", kind="unsafe", timeout="3s", latency="1s")]
    tenants = [{"name": "one", "apiKeys": [KEY], "priority": 1}]
    deployment = s2.Deployment(["desk", "records", "records"], routes, tenants, work_s=0.5,
                               zones=["zone-a", "zone-b", "zone-c"])
    deployment.configure(3)
    if not deployment.wait_until_connected():
        s2.finish(HERE, deployment, s2.NOT_RUN, "the deployment did not start")
    results = []
    clients = [s2.Client(deployment.machines[0], "POST", "/notes/1", KEY, BUDGET_S, (0.2, 0.6), results)
               for _ in range(20)]
    for client in clients:
        client.start()
    time.sleep(5)
    machine = deployment.machines[1]
    worker = machine.worker
    if s2.TROUBLE:
        machine.signal(signal.SIGTERM)
        time.sleep(0.9)
    worker.beats = False
    late_beat = worker.make_heartbeat()
    beat_sent = s2.now()
    s2.record.add(f"worker {worker.instance} sends a heartbeat that arrives late")
    time.sleep(0.05)
    worker.is_leaving = True
    status = worker.call_control("deregister", "{}")
    if status != 200:
        s2.finish(HERE, deployment, s2.NOT_RUN, f"the deregistration got {status}")
    left = s2.now()
    s2.record.add(f"{machine.name} acknowledges that worker {worker.instance} leaves")
    if s2.TROUBLE:
        machine.wait_for_end()
        machine.start()
    time.sleep(max(0.0, beat_sent + LATE_BEAT_S - s2.now()))
    status = worker.call_control("heartbeat", late_beat)
    s2.record.add(f"the late heartbeat of worker {worker.instance} arrives and gets {status}")
    time.sleep(max(0.0, left + STAYS_S - s2.now()))
    worker.end()
    time.sleep(1)
    for client in clients:
        client.is_stopping = True
    time.sleep(0.9)
    # The machine is in touch again from the stable window after its start on.
    from_s = max(left + s2.DRAIN_S, machine.starts[-1] + s2.STABLE_WINDOW_S)
    late = [run for run in worker.runs if run["began"] > from_s]
    total = sum(run["began"] > from_s for each in deployment.workers for run in each.runs)
    for run in late:
        s2.record.add(f"late: {run['id']} runs {run['began'] - left:.2f} s after the acknowledgement")
    cut = [run for run in worker.runs if run["outcome"] in ("at work", "dropped")]
    for run in cut:
        answers = [result["answer"] for result in results if result["id"] == run["id"]]
        s2.record.add(f"cut by the worker's exit: {run['id']}, its client got {answers}")
    text = (f"{len(late)} of {total} requests ran at the worker that had left, later than {from_s - left:.2f} s after "
            f"the acknowledgement; its exit cut {len(cut)}")
    s2.finish(HERE, deployment, s2.BROKEN if late else s2.HELD, text)


main()
