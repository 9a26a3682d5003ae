"""Planned stops in turn: two nodes are restarted, then the node that takes requests for their workers is stopped."""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORK_S = 1.0
ROUNDS = 4
REQUESTS = 8
# Seconds from the last request before the stops.
FIRST_STOP_S, SECOND_STOP_S, LAST_STOP_S, SENT_AT_S = 1.5, 2.5, 7.2, 7.7
STORE_DOWN_AT_S, STORE_UP_AT_S = 3.25, 4.55


def ask_readiness(machine, until):
    """The platform's question, once a second; the first one comes half a second after SIGTERM."""
    time.sleep(0.5)
    while time.monotonic() < until:
        machine.is_ready()
        time.sleep(1.0)


def stop(deployment, machine):
    deployment.record.line("sigterm", machine=machine.name)
    machine.node.send_signal(signal.SIGTERM)
    threading.Thread(target=ask_readiness, args=(machine, time.monotonic() + 4), daemon=True).start()


def set_store(deployment, is_down):
    deployment.record.line("store", state="down" if is_down else "up")
    deployment.store.is_away = is_down


def send(deployment, machine, path, results):
    headers = deployment.headers(5000)
    sent_at = time.monotonic()
    answer = standins.exchange(deployment.outbound(machine), "GET", path, headers, timeout_s=6)
    deployment.record.line("answered", machine=machine.name, id=headers["X-Request-Id"], status=answer.status,
                           receipt="x-response-signature" in answer.headers, took_s=round(time.monotonic() - sent_at, 3))
    results.append((headers["X-Request-Id"], answer, sent_at, time.monotonic()))


def main(folder):
    services = [("ledger", "zone-a"), ("front", "zone-b"), ("billing", "zone-c"),
                ("ledger", "zone-a"), ("billing", "zone-b"), ("billing", "zone-c")]
    deployment = standins.Deployment(folder, services)
    deployment.restart_delay_s = 0.5
    record = deployment.record
    machines, ledgers = deployment.machines, [deployment.workers[0], deployment.workers[3]]
    try:
        deployment.configure(7, [("history", "safe", "ledger", "4000ms")], public=("history",))
        if not deployment.wait_ready("/history/x"):
            print("the deployment did not become ready")
            return 2
        time.sleep(4)
        lost = 0
        for _ in range(ROUNDS):
            results = []
            for ledger in ledgers:
                ledger.work_s = 0.005
            for _ in range(24):
                send(deployment, machines[1], "/history/x", results)
            began = time.monotonic()
            for ledger in ledgers:
                ledger.work_s = WORK_S

            def wait_until(after_s):
                time.sleep(max(0, began + after_s - time.monotonic()))
            steps = [(FIRST_STOP_S, lambda: stop(deployment, machines[0])),
                     (SECOND_STOP_S, lambda: stop(deployment, machines[3])),
                     (STORE_DOWN_AT_S, lambda: set_store(deployment, True)),
                     (STORE_UP_AT_S, lambda: set_store(deployment, False)),
                     (LAST_STOP_S, lambda: stop(deployment, machines[1]))]
            for at_s, step in steps if TROUBLE else []:
                wait_until(at_s)
                step()
            wait_until(SENT_AT_S)
            results, threads = [], []
            for _ in range(REQUESTS):
                threads.append(threading.Thread(target=send, args=(deployment, machines[1], "/history/x", results)))
                threads[-1].start()
            for thread in threads:
                thread.join()
            for request_id, answer, sent_at, ended_at in results:
                starts = [at for ledger in ledgers for ran_id, at in ledger.starts if ran_id == request_id]
                at_work = any(at < ended_at < at + WORK_S for at in starts)
                own = answer.status != 200 and "x-response-signature" not in answer.headers
                lost += bool(own and at_work)
                standins.report(record, f"{request_id}: sent {sent_at - began - LAST_STOP_S:.2f} s after SIGTERM, runs "
                                        f"{len(starts)}, status {answer.status} after {ended_at - sent_at:.2f} s, worker at "
                                        f"work: {at_work}")
            time.sleep(5)
        standins.report(record, f"requests broken off for an answer of the node's own while their worker was at work: {lost}")
        return 1 if lost else 0
    finally:
        deployment.stop()


if __name__ == "__main__":
    sys.exit(main(os.path.dirname(os.path.abspath(__file__))))
