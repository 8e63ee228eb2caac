"""One client hands in a large gang, for which the fleet has room. The small
submissions of others must go on."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
from deployment import BOUNDS, CannotRun, Deployment, main

AGENTS = 8
RUNNER_CPU = 16000
MEMBERS = 24000
MEMBER_CPU = 5
CLIENTS = 3
SMALL = 10
PAUSE_S = 0.25
TRAFFIC_S = 60


def run(case):
    assert MEMBERS * MEMBER_CPU < AGENTS * RUNNER_CPU
    with Deployment(case, entries=3, agents=AGENTS, cpu=RUNNER_CPU) as fleet:
        fleet.start()
        if fleet.trouble:
            gang = fleet.new_id()
            status = fleet.submit(gang, [{"count": MEMBERS, "cpu": MEMBER_CPU, "estRuntimeMs": 1000, "gang": True}],
                                  {"ms": 1000, "cpu": MEMBER_CPU})
            fleet.note("disruption", what="a large submission", id=gang, status=status)
            if status != 200:
                raise CannotRun("the gang was not accepted")
        steps = [{"count": 1, "cpu": 100, "memMb": 10, "estRuntimeMs": 200},
                 {"count": 1, "cpu": 100, "memMb": 10, "estRuntimeMs": 200, "after": [0]}]
        accepted, lock, end = [], threading.Lock(), time.monotonic() + TRAFFIC_S

        def client():
            for _ in range(SMALL):
                if time.monotonic() > end:
                    return
                name = fleet.new_id()
                if fleet.submit(name, steps, {"ms": 200, "cpu": 100, "mem": 10}, seconds=4) == 200:
                    with lock:
                        accepted.append(name)
                time.sleep(PAUSE_S)

        threads = [threading.Thread(target=client) for _ in range(CLIENTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if not accepted:
            raise CannotRun("no small submission was accepted")
        time.sleep(BOUNDS["finish_s"])
        # Judged are those whose turn has come and for which nothing runs: the first step has not begun, or it has
        # ended and the second one has not begun.
        lost, starts = [], {}
        for event in fleet.events():
            if event["event"] == "start":
                starts.setdefault(event["task"].split(".")[0], []).append(event["task"])
        for name in accepted:
            if name + ".0.1.0" not in starts.get(name, []):
                lost.append(name)
                fleet.note("stands_still", id=name, started=starts.get(name, []))
        silent = sum(line["event"] == "submit" and line["status"] is None for line in fleet.lines)
        begun = len(starts.get(gang, [])) if fleet.trouble else 0
        print("members of the gang started", begun, "accepted", len(accepted), "stand still", len(lost), "calls without an answer", silent)
        if lost:
            return ("LOST: %d of %d accepted submissions have had nothing running for %d s while the turn of a task has come"
                    % (len(lost), len(accepted), BOUNDS["finish_s"]))
        return None


main(run, __file__)
