"""An agent's process is killed for 3.5 s while more than 500 runs on its runner end."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import fleet as lib

AGENTS = 7
TASKS = 4550
RUN_S = 12.0
DOWN_S = 3.5


def plan(task):
    return RUN_S, False, 60


async def case(fleet):
    await fleet.start(["q"])
    await fleet.ready()
    await asyncio.sleep(2)
    name = lib.new_id()
    body = {"spec": "many", "steps": [{"count": TASKS, "cpu": 60, "memMb": 50, "estRuntimeMs": int(RUN_S * 1000)}]}
    if not await fleet.submit("q", name, body):
        raise RuntimeError("not accepted")
    until = fleet.record.now() + 20
    while fleet.ledger.starts < TASKS and fleet.record.now() < until:
        await asyncio.sleep(0.05)
    first_end = min(run["end"] for runner in fleet.runners for run in runner.running.values())
    runs = {runner.name: len(runner.running) for runner in fleet.runners}
    fleet.record.write("runs:", runs)
    if max(runs.values()) <= 500:
        raise RuntimeError("no runner has more than 500 runs")
    busiest = max(range(len(fleet.runners)), key=lambda i: len(fleet.runners[i].running))
    agent = fleet.agents[busiest]
    await asyncio.sleep(max(0, first_end - time.monotonic() - 0.3))
    if lib.with_trouble():
        await agent.kill()
    await asyncio.sleep(DOWN_S)
    fleet.record.write(fleet.runners[busiest].name, "lists", len(fleet.runners[busiest].ended), "ends")
    if lib.with_trouble():
        await agent.start()
    until = fleet.record.now() + 40
    while fleet.record.now() < until and await fleet.state("q", name) != "completed":
        await asyncio.sleep(0.5)
    fleet.record.write("state:", await fleet.state("q", name))
    await asyncio.sleep(2)
    twice = fleet.ledger.twice()
    fleet.record.write("starts:", fleet.ledger.starts, "for", TASKS, "tasks")
    fleet.record.write("tasks started again after an end done that was taken note of:", len(twice), *twice[:5])
    print("starts", fleet.ledger.starts, "tasks", TASKS, "started again after a noted done:", len(twice))
    return not twice


if __name__ == "__main__":
    here = os.path.dirname(os.path.abspath(__file__))
    lib.run(case, os.path.join(here, "record.txt"), entries=3, agents=AGENTS, plan=plan)
