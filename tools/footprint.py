"""Measures memory and processor time of real entries and agents without requests, by number of agents.

Prints one JSON line a figure, as the benches do, with the slope per agent and its value at 800 agents.
Run by `tools/bench footprint`.
"""

import json
import os
import time

from deployment import LAKESHORE, Deployment

COUNTS = (10, 40, 80)
TARGET_AGENTS = 800
TARGET_ENTRIES = 12
ENTRIES = 3
SETTLE_SECONDS = 6
MEASURE_SECONDS = 12
TICKS = os.sysconf("SC_CLK_TCK")


def figure(metric, value, unit, target=None):
    print(json.dumps({"bench": "footprint", "metric": metric, "value": round(value, 4), "unit": unit,
                      "target": None if target is None else f"<= {target}",
                      "ok": None if target is None else value <= target}), flush=True)


def processor_seconds(pid):
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_mib(pid):
    with open(f"/proc/{pid}/status") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0


def mean(values):
    values = list(values)
    return sum(values) / len(values)


def measure(count):
    """Mean (memory in MiB, percent of a core) of the entries and of the agents."""
    with Deployment(**LAKESHORE, vms=count, entries=ENTRIES) as deployment:
        deployment.start()
        deployment.wait_for("all members", lambda: sum(
            m["role"] == "agent" and m["state"] == "alive" for m in deployment.status()["members"]) == count)
        deployment.tool("apply", "examples/lakeshore/config.yaml")
        time.sleep(SETTLE_SECONDS)
        pids = {"entry": [deployment.processes[f"entry-{i + 1}"].pid for i in range(ENTRIES)],
                "agent": [deployment.processes[f"vm-{i + 1}"].pid for i in range(count)]}
        before = {pid: processor_seconds(pid) for group in pids.values() for pid in group}
        start = time.monotonic()
        time.sleep(MEASURE_SECONDS)
        elapsed = time.monotonic() - start
        return {role: (mean(memory_mib(pid) for pid in group),
                       mean((processor_seconds(pid) - before[pid]) / elapsed * 100 for pid in group))
                for role, group in pids.items()}


def line_fit(points):
    """Slope and intercept of the least squares line."""
    mean_x = mean(x for x, _ in points)
    mean_y = mean(y for _, y in points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


def main():
    results = {count: measure(count) for count in COUNTS}
    for role in ("entry", "agent"):
        for index, (quantity, unit, target) in enumerate((("memory", "MiB", 64), ("processor", "% of a core", 3.5))):
            points = [(count, result[role][index]) for count, result in results.items()]
            for count, value in points:
                figure(f"{role}_{quantity}_at_{count}", value, unit, target)
            slope, base = line_fit(points)
            figure(f"{role}_{quantity}_slope", slope, unit + " an agent")
            figure(f"{role}_{quantity}_at_{TARGET_AGENTS}", base + slope * TARGET_AGENTS, unit, target)


if __name__ == "__main__":
    main()
