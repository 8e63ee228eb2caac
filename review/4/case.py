"""Answers of the store are lost and its transactions performed late; clients that get no answer cancel."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import fleet as lib

LOST_SHARE = 0.35
LOST_S = 4.5
CLIENTS = 200
PATIENCE_S = 1.0
RUN_S = 40.0


def plan(task):
    return RUN_S, False, 500


async def client(fleet, number, cancelled):
    """Hands a submission in once and, without a definite answer, gives up and cancels it until that is acknowledged."""
    await asyncio.sleep(LOST_S * number / CLIENTS)
    name = lib.new_id()
    body = {"spec": "small", "steps": [{"count": 1, "cpu": 500, "memMb": 100, "estRuntimeMs": int(RUN_S * 1000)}]}
    status, _ = await fleet.request(fleet.entries[number % 3], "POST", "q", name, body, timeout=PATIENCE_S)
    if 200 <= status < 300 or status in (429, 503):
        return
    for attempt in range(10):
        machine = fleet.entries[(number + attempt) % 3]
        status, _ = await fleet.request(machine, "DELETE", "q", name, timeout=3.0)
        if 200 <= status < 300 or status == 410:
            cancelled[name] = (fleet.record.now(), status)
            return


async def case(fleet):
    await fleet.start(["q"])
    await fleet.ready()
    await asyncio.sleep(2)
    if lib.with_trouble():
        fleet.store.lost_share = LOST_SHARE
    cancelled = {}
    clients = [asyncio.create_task(client(fleet, number, cancelled)) for number in range(CLIENTS)]
    await asyncio.sleep(LOST_S)
    fleet.store.lost_share = 0.0
    ended = fleet.record.now()
    fleet.record.write("store: answers are lost no more")
    await asyncio.gather(*clients)
    # The last transaction is performed by then. What a cancelled submission runs has to be gone after a stretch of
    # cancel_ms + stopMs with no disturbance near.
    await asyncio.sleep(max(0, ended + fleet.store.late_s[1] - fleet.record.now()))
    bounds = lib.BOUNDS
    await asyncio.sleep((bounds["contactMs"] + bounds["cancel_ms"] + bounds["stopMs"]) / 1000 + 0.5)
    judged = fleet.record.now()
    running = {task.split(".")[0] for runner in fleet.runners for task in runner.running}
    broken = []
    for name, (acked, status) in cancelled.items():
        for start in fleet.ledger.start_times.get(name, []):
            fleet.record.write(name, f"cancel acknowledged with {status} at {acked:.3f}, a task started at {start:.3f}",
                               f"and runs on at {judged:.3f}" if name in running else "")
        if name in running:
            broken.append(name)
    started = sum(name in fleet.ledger.start_times for name in cancelled)
    fleet.record.write("clients that gave up and cancelled:", len(cancelled), "- of these started:", started,
                       "- still running without a disturbance near:", len(broken))
    print("cancelled", len(cancelled), "started", started, "still running", len(broken))
    return not broken


if __name__ == "__main__":
    here = os.path.dirname(os.path.abspath(__file__))
    lib.run(case, os.path.join(here, "record.txt"), entries=3, agents=4, plan=plan)
