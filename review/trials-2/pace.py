"""Trial: a filling task is paced to 0% beside a serving task, which is then cancelled. Usage: pace.py"""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import platform2 as p

ROUTES = [{"name": name, "host": "words.example", "prefix": f"/{name}/", "kind": "non_idempotent", "timeoutMs": 3000,
           "targetDurationMs": 1000, "priority": priority, "service": "words", "maxAttempts": 3, "stretch": 2.0}
          for name, priority in (("indexer", 0), ("rebuild", 2))]
CONFIG = {"version": 3, "routes": ROUTES, "services": [{"name": "words", "enforcesCapacity": True}],
          "limits": {"maxBodyBytes": 262144}}
SERVING = {"spec": json.dumps({"cpu": 13000, "work_s": None, "serves": True}),
           "steps": [{"count": 1, "cpu": 13000, "memMb": 1000, "estRuntimeMs": 500, "longRunning": True, "image": "serving",
                      "targetMs": 25}]}
FILLING = {"spec": json.dumps({"cpu": 7000, "work_s": 6}),
           "steps": [{"count": 2, "cpu": 7000, "memMb": 1000, "estRuntimeMs": 6000, "image": "filling", "fills": True}]}


class LoadedRunner(p.Runner):
    """Tells a tail latency that grows with the load of the serving task and with the work of filling ones."""

    base_ms = 15.0

    def figure(self, run):
        if not self.specs[run.task].get("serves"):
            return self.specs[run.task]["cpu"] * run.paces[-1][1] // 100
        filling = sum(other.paces[-1][1] / 100 for other in self.runs.values() if other is not run)
        return int(self.base_ms + 6 * filling)


async def case(fleet):
    for _ in range(2):
        fleet.add_entry()
    runner = fleet.add_side()
    await fleet.start(CONFIG)
    if not await fleet.wait_ready():
        return None
    serving, filling = p.new_id(), p.new_id()
    await fleet.post(fleet.entries[0], "/indexer/" + serving, "words.example", SERVING)
    await asyncio.sleep(2)
    await fleet.post(fleet.entries[0], "/rebuild/" + filling, "words.example", FILLING)
    await asyncio.sleep(2)
    # The load of the serving task grows above its target for a while.
    runner.base_ms = 30.0
    await asyncio.sleep(2.5)
    status, _ = await p.call(fleet.entries[0].address, "DELETE", "/indexer/" + serving, None, {"Host": "words.example"})
    fleet.record.write(f"caller: DELETE {serving}: {status}")
    await asyncio.sleep(40)
    for _, run in fleet.ledger.runs_of(filling):
        fleet.record.write(f"{run.task} is at {run.paces[-1][1]}% and has done {run.worked():.1f} s of its work")
    return len(fleet.ledger.ends_of(filling, "done")) == 2


p.main(case, LoadedRunner)
