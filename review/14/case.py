"""One runner in eight crashes, and later another one, each half a second after
it has started the only task of a submission. No run ends as failed."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
from deployment import CannotRun, Deployment, main

AGENTS = 8
CRASHES = 2
AFTER_START_S = 0.5
AWAY_S = 2.0
ATTEMPTS = 3


def run(case):
    with Deployment(case, entries=3, agents=AGENTS) as fleet:
        fleet.start([fleet.route("plans", "/plans/", attempts=ATTEMPTS)])
        name = fleet.new_id()
        if fleet.submit(name, [{"count": 1, "cpu": 1000, "memMb": 100, "estRuntimeMs": 3000}],
                        {"ms": 3000, "cpu": 1000, "mem": 100}) != 200:
            raise CannotRun("the submission was not accepted")
        starts = lambda: [e for e in fleet.runs(name) if e["event"] == "start"]
        crashes = 0
        while fleet.trouble and crashes < CRASHES:
            fleet.wait("next start", lambda: len(starts()) > crashes, 20)
            time.sleep(AFTER_START_S)
            runner = next(r for r in fleet.runners if r.name == starts()[-1]["who"])
            fleet.note("disruption", what="runner crashes", runner=runner.name)
            runner.kill()
            crashes += 1
            time.sleep(AWAY_S)
            fleet.set_command(runner, new_id=True)
            runner.start()
        state = fleet.wait_state(name, ("completed", "failed"), 30)
        failed = [e for e in fleet.runs(name) if e["event"] == "end" and e["how"] == "failed"]
        if state == "failed" and not failed:
            return "LOST: the submission is shown as failed, and no run of it has ended failed (maxAttempts %d)" % ATTEMPTS
        if state != "completed":
            raise CannotRun("the submission is shown as %s" % state)
        return None


main(run, __file__)
