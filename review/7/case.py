"""LOST: a stopping node takes requests on public routes until its process ends, and drops them."""

import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins2 as s2  # noqa: E402

KEY = "6wsjnbanfqasnmgkcuyj"
BUDGET_S = 6.0
TIMEOUT_S = 3.0
CLIENTS = 100
WORK_S = 1.5
USUAL_S = 14.0
AFTER_S = 9.0


def is_loss(deployment, result, stop):
    """Whether the rule counts this request, whose connection ended without an answer."""
    lasted = result["ended"] - result["sent"]
    runs = deployment.runs_of(result["id"])
    if not stop <= result["ended"] <= stop + s2.GRACE_PERIOD_S + 1:
        return False
    if not runs and lasted <= s2.LOSS_SLACK_S:
        return False
    if lasted >= min(TIMEOUT_S, BUDGET_S):
        return False
    last_sixth = stop + s2.GRACE_PERIOD_S * 5 / 6
    at_work = any(run["ended"] is None or run["ended"] >= last_sixth for run in runs)
    return not (at_work and result["sent"] <= stop + 3)


def main():
    is_public = os.environ.get("PUBLIC", "1") != "0"
    routes = [s2.route("titles", "records", timeout="3s", latency="2s", public=is_public)]
    tenants = [{"name": "one", "apiKeys": [KEY], "priority": 1}]
    deployment = s2.Deployment(["desk", "records", "records"], routes, tenants, work_s=WORK_S,
                               zones=["zone-a", "zone-b", "zone-c"])
    deployment.configure(3)
    if not deployment.wait_until_connected():
        s2.finish(HERE, deployment, s2.NOT_RUN, "the deployment did not start")
    results = []
    stopped = deployment.machines[0]
    clients = [s2.Client(stopped, "GET", "/titles/1", None if is_public else KEY, BUDGET_S, (2, 11.5), results)
               for _ in range(CLIENTS)]
    for client in clients:
        client.start()
    time.sleep(USUAL_S)
    stop = s2.now()
    if s2.TROUBLE:
        stopped.signal(signal.SIGTERM)
        stopped.wait_for_end()
        ended = s2.now()
        stopped.start()
    time.sleep(max(0.0, stop + AFTER_S - s2.now()))
    for client in clients:
        client.is_stopping = True
    time.sleep(BUDGET_S / 2 + 1)
    lost = [result for result in results if result["answer"] is None and is_loss(deployment, result, stop)]
    for result in lost:
        runs = deployment.runs_of(result["id"])
        s2.record.add(f"lost: {result['id']} sent {result['sent'] - stop:+.2f} s and cut {result['ended'] - stop:+.2f} s "
                      f"from SIGTERM, runs at a worker: {len(runs)}")
    answers = {}
    for result in results:
        answers[result["answer"]] = answers.get(result["answer"], 0) + 1
    text = f"{len(lost)} of {len(results)} requests lost; answers {answers}"
    if s2.TROUBLE:
        text += f"; the process ended {ended - stop:.2f} s after SIGTERM"
    s2.finish(HERE, deployment, s2.BROKEN if lost else s2.HELD, text)


main()
