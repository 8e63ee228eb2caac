"""Serving and filling tasks of 22 images each run side by side on two VMs. They
are cancelled, and those of 44 other images follow, as after a release. Then the
entry that plans is killed once. The tasks that last must go on, and what is
handed in afterwards must run."""

import hashlib
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
from deployment import BOUNDS, CannotRun, Deployment, main

AGENTS = 2
IMAGES = 22
RELEASES = 2
DOWN_S = 3.0
SMALL = 5


def image(kind, number):
    name = "%s-%d" % (kind, number)
    return "registry.example/%s@sha256:%s" % (name, hashlib.sha256(name.encode()).hexdigest())


def steps(kind, release, cpu, more):
    return [{"count": AGENTS, "maxPerServer": 1, "cpu": cpu, "memMb": 10, "estRuntimeMs": 100000,
             "image": image(kind, 100 * release + i), **more} for i in range(IMAGES)]


def running(fleet, name):
    active = set()
    for event in fleet.events():
        if event.get("task", "").startswith(name + "."):
            (active.add if event["event"] == "start" else active.discard)((event["task"], event["run"]))
    return len(active)


def run(case):
    with Deployment(case, entries=3, agents=AGENTS) as fleet:
        fleet.start()
        for release in range(RELEASES):
            serving, filling = fleet.new_id(), fleet.new_id()
            if fleet.submit(serving, steps("serve", release, 200, {"longRunning": True, "targetMs": 500}),
                            {"ms": 0, "cpu": 200, "mem": 10, "tail": 150}) != 200:
                raise CannotRun("the serving submission was not accepted")
            fleet.wait("start of the serving tasks", lambda: running(fleet, serving) == AGENTS * IMAGES, 15)
            if fleet.submit(filling, steps("fill", release, 60, {"fills": True, "checkpointed": True}),
                            {"ms": 100000, "cpu": 60, "mem": 10, "saves": True}) != 200:
                raise CannotRun("the filling submission was not accepted")
            fleet.wait("start of the filling tasks", lambda: running(fleet, filling) == AGENTS * IMAGES, 20)
            time.sleep(2)
            if release + 1 == RELEASES:
                break
            for name in (serving, filling):
                if fleet.cancel(name) != 200:
                    raise CannotRun("a submission was not cancelled")
            fleet.wait("end of the old tasks", lambda: running(fleet, serving) + running(fleet, filling) == 0, 10)
        if fleet.trouble:
            planner = fleet.planner()
            fleet.note("disruption", what="the entry that plans is killed", entry=planner.name, for_s=DOWN_S)
            planner.kill()
            time.sleep(DOWN_S)
            planner.start()
            fleet.wait("the entries", lambda: all(fleet.is_ready(entry) for entry in fleet.entries), 10)
            fleet.note("disruption_over")
        time.sleep(BOUNDS["recoveryS"] + BOUNDS["contactMs"] / 1000)
        small = [fleet.new_id() for _ in range(SMALL)]
        work = [{"count": 1, "cpu": 100, "memMb": 10, "estRuntimeMs": 200}]
        accepted = [name for name in small if fleet.submit(name, work, {"ms": 200, "cpu": 100, "mem": 10}) == 200]
        if not accepted:
            raise CannotRun("no submission was accepted")
        time.sleep(BOUNDS["finish_s"])
        lost = [name for name in accepted if not any(e["event"] == "start" for e in fleet.runs(name))]
        lasting = running(fleet, serving)
        fleet.note("result", never_started=len(lost), lasting_tasks_at_work=lasting)
        print("never started", len(lost), "of", len(accepted), "lasting tasks at work", lasting, "of", AGENTS * IMAGES)
        if lost or lasting == 0:
            return ("LOST: %d of %d accepted submissions have had nothing running for %d s while the turn of a task has come; "
                    "%d of %d tasks that last are at work" % (len(lost), len(accepted), BOUNDS["finish_s"], lasting, AGENTS * IMAGES))
        return None


main(run, __file__)
