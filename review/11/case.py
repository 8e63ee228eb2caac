"""A wide checkpointed submission runs while all entries lose power for 9.5 s.

The leases lapse, so each task ends with a checkpoint. Afterwards small
submissions are handed in; each must go on to its second step and be shown as
completed, since there is room for it many times over.
"""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
from deployment import BOUNDS, CannotRun, Deployment, main

TASKS = 4000
DOWN_S = 9.5
SMALL = 5
RUNNER_CPU = 32000


def started(fleet, name):
    return sum(event["event"] == "start" for event in fleet.runs(name))


def run(case):
    with Deployment(case, entries=3, agents=2, cpu=RUNNER_CPU) as fleet:
        fleet.start()
        wide = fleet.new_id()
        if fleet.submit(wide, [{"count": TASKS, "cpu": 5, "memMb": 5, "estRuntimeMs": 20000, "checkpointed": True}],
                        {"ms": 20000, "cpu": 5, "mem": 5, "saves": True}) != 200:
            raise CannotRun("the wide submission was not accepted")
        fleet.wait("start of all tasks", lambda: started(fleet, wide) >= TASKS, 20)
        time.sleep(3)
        if fleet.trouble:
            fleet.note("disruption", what="all entries lose power", for_s=DOWN_S)
            for entry in fleet.entries:
                entry.kill()
            time.sleep(DOWN_S)
            for entry in fleet.entries:
                entry.start()
            fleet.wait("the entries", lambda: all(fleet.is_ready(entry) for entry in fleet.entries), 10)
            fleet.note("disruption_over")
        # The rules with a time bound hold again.
        time.sleep(BOUNDS["recoveryS"] + BOUNDS["contactMs"] / 1000)
        small = [fleet.new_id() for _ in range(SMALL)]
        steps = [{"count": 1, "cpu": 100, "memMb": 10, "estRuntimeMs": 200},
                 {"count": 1, "cpu": 100, "memMb": 10, "estRuntimeMs": 200, "after": [0]}]
        accepted = [name for name in small if fleet.submit(name, steps, {"ms": 200, "cpu": 100, "mem": 10}) == 200]
        if not accepted:
            raise CannotRun("no small submission was accepted")
        time.sleep(BOUNDS["finish_s"])
        lost = []
        for name in accepted:
            runs = fleet.runs(name)
            first_done = [e for e in runs if e["event"] == "end" and e["how"] == "done" and e["task"].endswith(".0.0.0")]
            second_begun = [e for e in runs if e["event"] == "start" and e["task"].endswith(".0.1.0")]
            state = fleet.state(name)[1]
            print(name, state, bool(first_done), bool(second_begun))
            if not second_begun:
                lost.append(name)
        state = fleet.state(wide)[1]
        print("wide", state)
        rejected = [e for e in fleet.events() if e["event"] == "transaction_rejected"]
        print("rejected", len(rejected), rejected[:1])
        if lost:
            return ("LOST: %d of %d accepted submissions have had nothing running for %d s while the turn of a task has come"
                    % (len(lost), len(accepted), BOUNDS["finish_s"]))
        return None


main(run, __file__)
