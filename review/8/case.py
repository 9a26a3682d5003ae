"""LOST: a planned stop under load drops requests that still wait for a worker."""

import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins2 as s2  # noqa: E402

KEY = "6wsjnbanfqasnmgkcuyj"
BUDGET_S = 10.0
TIMEOUT_S = 8.5
# The worker serves about 20 / 1.1 requests a second, and each client sends the next one after its answer, so that about 120
# requests wait for 6.5 s, within their time.
CLIENTS = 145
SLOTS = 22
WORK_S = 1.1
USUAL_S = 20.0
# Time over which the clients send their first requests.
SPREAD_S = 5.0
AFTER_S = 10.0


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
    grace_over = stop + s2.GRACE_PERIOD_S
    at_work = any(run["began"] <= grace_over and (run["ended"] is None or run["ended"] >= last_sixth) for run in runs)
    return not (at_work and result["sent"] <= stop + 3)


def main():
    routes = [s2.route("catalog", "records", timeout="8500ms", latency="8500ms", public=True)]
    tenants = [{"name": "one", "apiKeys": [KEY], "priority": 1}]
    deployment = s2.Deployment(["desk", "desk", "records"], routes, tenants, slots=SLOTS, queue=SLOTS,
                               work_s=WORK_S, zones=["zone-a", "zone-a", "zone-b"])
    deployment.configure(3)
    if not deployment.wait_until_connected():
        s2.finish(HERE, deployment, s2.NOT_RUN, "the deployment did not start")
    results = []
    stopped = deployment.machines[0]
    clients = [s2.Client(stopped, "GET", "/catalog/1", None, BUDGET_S, (0.1, 0.5), results, SPREAD_S)
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
    time.sleep(3)
    # Requests that came later than 2.5 s after SIGTERM are another case.
    lost = [result for result in results if result["answer"] is None and result["sent"] <= stop + 2.5 and
            is_loss(deployment, result, stop)]
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
