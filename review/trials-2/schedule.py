"""Trial: one submission with many occurrences that are all due; whether others still run. Usage: schedule.py"""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import platform2 as p

ROUTES = [{"name": name, "host": "words.example", "prefix": f"/{name}/", "kind": "non_idempotent", "timeoutMs": 3000,
           "targetDurationMs": 1000, "priority": 2, "service": "words", "maxAttempts": 3, "stretch": 2.0}
          for name in ("check", "rebuild")]
CONFIG = {"version": 3, "routes": ROUTES, "services": [{"name": "words", "enforcesCapacity": True}],
          "limits": {"maxBodyBytes": 262144}}
REPEATS = 15000
TASK = {"count": 1, "cpu": 100, "memMb": 10, "estRuntimeMs": 300}
SPEC = json.dumps({"cpu": 100, "work_s": 0.3})


async def case(fleet):
    for _ in range(2):
        fleet.add_entry()
        fleet.add_side()
    await fleet.start(CONFIG)
    if not await fleet.wait_ready():
        return None
    body = {"spec": SPEC, "steps": [dict(TASK, after=[step - 1] if step else []) for step in range(5)],
            "repeatCount": REPEATS, "startAtMs": int(time.time() * 1000) - REPEATS * 1000, "intervalMs": 1000}
    if await fleet.post(fleet.entries[0], "/rebuild/" + p.new_id(), "words.example", body) != 200:
        return None
    others = []
    for number in range(10):
        await asyncio.sleep(1)
        others.append(p.new_id())
        await fleet.post(fleet.entries[number % 2], "/check/" + others[-1], "words.example", {"spec": SPEC, "steps": [TASK]})
    await asyncio.sleep(20)
    done = sum(len(fleet.ledger.ends_of(submission, "done")) for submission in others)
    planners = sum(len(entry.events("planner_started")) for entry in fleet.entries)
    fleet.record.write(f"{done} of {len(others)} other submissions have run; {len(fleet.store.refused_calls)} calls refused "
                       f"by the store; {planners} planners")
    return done == len(others)


p.main(case)
