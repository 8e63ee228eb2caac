"""Runs the example deployments and prints what happened. Started by tools/demo."""

import json
import subprocess
import sys
import time

from deployment import BUILD, DEPLOYMENTS, Deployment

# Requests of each deployment: a service's flows at a load its upstreams hold.
FLOWS = {
    "lakeshore": ["service=slot-check,account=growers,urgency=urgent,rate=300,timeout_ms=250,method=GET",
                  "service=gift-order,account=gift-houses,urgency=normal,rate=20,timeout_ms=1000,method=POST"],
    "vardnica": ["service=word-check,account=scrabble-league,urgency=urgent,rate=300,timeout_ms=250,method=GET",
                 "service=anagram-search,account=puzzle-apps,urgency=normal,rate=50,timeout_ms=1000,method=GET"],
}


def load(deployment, milliseconds):
    command = [BUILD + "/load_generator", "--duration-ms", str(milliseconds), "--threads", "1", "--connections", "32"]
    for target in deployment.request_targets():
        command += ["--target", target]
    for flow in FLOWS[deployment.name]:
        command += ["--flow", flow]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def agents_alive(deployment):
    members = deployment.status()["members"]
    return [m for m in members if m["role"] == "agent" and m["state"] == "alive"]


def show(title, text):
    print(f"--- {title}")
    print(text.rstrip())


def run(name):
    print(f"=== {name}")
    with Deployment(**DEPLOYMENTS[name]) as deployment:
        deployment.start()
        seconds = deployment.wait_for("all members", lambda: len(agents_alive(deployment)) == deployment.vm_count)
        print(f"{deployment.entry_count} entries and {deployment.vm_count} agents know one another after {seconds:.1f} s")
        code, output = deployment.tool("apply", f"examples/{name}/config.yaml")
        show(f"cuminjunction apply (exit code {code})", output)
        if code != 0:
            return False

        def in_force():
            members = deployment.status()["members"]
            return all(m["config_version"] == 1 for m in members)
        seconds = deployment.wait_for("version 1 in force", in_force, 20)
        print(f"version 1 is in force on all {deployment.entry_count + deployment.vm_count} nodes after {seconds:.1f} s")

        running = load(deployment, 6000)
        time.sleep(2)
        code, output = deployment.tool("drain", "upstream", "vm-1")
        show(f"cuminjunction drain upstream vm-1 under load (exit code {code})", output)
        summary = running.communicate()[0]
        show("requests, with vm-1 drained in their midst", summary)
        flows = [json.loads(line) for line in summary.splitlines() if line.startswith("{")]
        all_answered = bool(flows) and all(flow["answered"] == flow["sent"] for flow in flows)
        print(f"requests cut off or refused by the drain: {sum(flow['sent'] - flow['answered'] for flow in flows)}")
        deployment.wait_for("vm-1 leaving", lambda: any(
            m["name"] == "vm-1" and m["state"] in ("leaving", "left") for m in deployment.status()["members"]), 20)

        def jobs_done():
            attempts = deployment.get(deployment.platform + "/attempts")
            return any(a["end"] == "succeeded" for a in attempts["attempts"])
        deployment.wait_for("a batch job finished", jobs_done, 60)
        time.sleep(3)
        code, output = deployment.tool("jobs")
        show("cuminjunction jobs", output)
        code, output = deployment.tool("status")
        show("cuminjunction status", output)
        attempts = deployment.get(deployment.platform + "/attempts")["attempts"]
        violations = deployment.get(deployment.platform + "/violations")
        print(f"task attempts started: {len(attempts)}, succeeded: "
              f"{sum(a['end'] == 'succeeded' for a in attempts)}, violations: {json.dumps(violations)}")
        stops = {entry["name"]: deployment.stop(entry["name"]) for entry in deployment.entries}
        print(f"entries stopped with exit codes {stops}")
        broken = bool(violations["overlaps"]) or violations["overcommits"] > 0
        return all_answered and not broken and all(code == 0 for code in stops.values())


def main():
    names = sys.argv[1:] or list(DEPLOYMENTS)
    results = {name: run(name) for name in names}
    for name, good in results.items():
        print(f"{name}: {'done' if good else 'FAILED'}")
    return 0 if all(results.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
