"""One runner of 16 leaves as planned and starts again under its id. Its word that it
leaves is held up by a cut of the runner and arrives after the new lifetime has
been heard."""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
from deployment import BOUNDS, CannotRun, Deployment, main

RUNNER = 15
CUT_S = 5.0
LATE_S = 2.5
LABEL = "licensed"


def run(case):
    with Deployment(case, entries=3, agents=16, cut_runner=RUNNER) as fleet:
        runner = fleet.runners[RUNNER]
        runner.options["labels"] = runner.options["labels"] + [LABEL]
        fleet.set_command(runner)
        fleet.start()
        steps = [{"count": 1, "cpu": 100, "memMb": 10, "estRuntimeMs": 200, "requiredLabel": LABEL}]
        spec = {"ms": 200, "cpu": 100, "mem": 10}
        before = fleet.new_id()
        if fleet.submit(before, steps, spec) != 200 or fleet.wait_state(before, ("completed",), 10) is None:
            raise CannotRun("the runner does not work before it leaves")
        fleet.note("planned", what="the runner drains and leaves", runner=runner.name)
        runner.signal(signal.SIGTERM)
        events = lambda kind: [e for e in fleet.events() if e["who"] == runner.name and e["event"] == kind]
        # It has stopped its heartbeats and is about to say that it leaves.
        fleet.wait("end of the drain", lambda: events("leaving"), 10)
        time.sleep(0.1)
        cut_at = time.monotonic()
        if fleet.trouble:
            fleet.note("disruption", what="the runner is cut off from its machine", runner=runner.name)
            for link in fleet.links:
                link.cut()
        fleet.wait("the end of the runner", lambda: not runner.running(), 10)
        time.sleep(1)
        runner.start()
        time.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
        if fleet.trouble:
            for link in fleet.links:
                link.heal(LATE_S)
            fleet.note("disruption_over", after_s=round(time.monotonic() - cut_at, 2))
        time.sleep(LATE_S + BOUNDS["contactMs"] / 1000 + BOUNDS["recoveryS"])
        names = [fleet.new_id() for _ in range(3)]
        accepted = [name for name in names if fleet.submit(name, steps, spec) == 200]
        if not accepted:
            raise CannotRun("no submission was accepted")
        time.sleep(BOUNDS["finish_s"])
        lost = [name for name in accepted if not any(e["event"] == "start" for e in fleet.runs(name))]
        for name in accepted:
            print(name, fleet.state(name))
        if lost:
            return ("LOST: %d of %d accepted submissions have had nothing running for %d s while the turn of a task has come"
                    % (len(lost), len(accepted), BOUNDS["finish_s"]))
        return None


main(run, __file__)
