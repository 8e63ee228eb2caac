"""One runner of eight at a time crashes and comes back, in turn, while a submission with long tasks runs."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import fleet as lib

RUNNERS = 8
TASKS = 80
RUN_S = 45.0
CRASHES = 45
DOWN_S = 1.0
GAP_S = 1.0


def plan(task):
    return RUN_S, False, 1000


async def case(fleet):
    await fleet.start(["q"])
    await fleet.ready()
    await asyncio.sleep(2)
    name = lib.new_id()
    body = {"spec": "long", "steps": [{"count": TASKS, "cpu": 1000, "memMb": 100,
                                       "estRuntimeMs": int(RUN_S * 1000)}]}
    if not await fleet.submit("q", name, body):
        raise RuntimeError("not accepted")
    await asyncio.sleep(2)
    fleet.record.write("runs:", {runner.name: len(runner.running) for runner in fleet.runners})
    crashes = 0
    shown = await fleet.state("q", name)
    while crashes < CRASHES and shown in ("queued", "running"):
        runner = fleet.runners[crashes % RUNNERS]
        if lib.with_trouble():
            runner.crash()
        await asyncio.sleep(DOWN_S)
        if lib.with_trouble():
            await runner.start()
        await asyncio.sleep(GAP_S)
        crashes += 1
        shown = await fleet.state("q", name)
    failed = fleet.ledger.failed
    fleet.record.write("crashes:", crashes if lib.with_trouble() else 0, "state:", shown)
    fleet.record.write("runs that ended failed:", failed, "- attempts that the route allows:", 3)
    fleet.record.write("most crashes under one task:", max(fleet.ledger.crashed.values(), default=0))
    print("state", shown, "- ends failed:", failed, "- crashes:", crashes if lib.with_trouble() else 0)
    return shown != "failed"


if __name__ == "__main__":
    here = os.path.dirname(os.path.abspath(__file__))
    lib.run(case, os.path.join(here, "record.txt"), entries=3, agents=RUNNERS, plan=plan)
