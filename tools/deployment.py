"""Starts an example deployment on loopback as processes of their own.

Every process that is started is ended by its process id at the end, also after a failure.
"""

import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.request

HOST = "127.0.0.1"
BUILD = "build"


def free_ports(count):
    """Ports that were free a moment ago. They are held until all are known, so that they differ."""
    sockets = []
    for _ in range(count):
        held = socket.socket()
        held.bind((HOST, 0))
        sockets.append(held)
    ports = [held.getsockname()[1] for held in sockets]
    for held in sockets:
        held.close()
    return ports


class Deployment:
    """The processes of one example. `places` lists (failure domain, region) of the upstream VMs in turn."""

    def __init__(self, name, places, upstream, cores, memory_gib, vms=11, entries=3):
        self.name = name
        self.places = places
        self.upstream = upstream
        self.cores = cores
        self.memory_gib = memory_gib
        self.vm_count = vms
        self.entry_count = entries
        self.folder = tempfile.mkdtemp(prefix="cuminjunction-" + name + "-")
        self.processes = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop_all()
        shutil.rmtree(self.folder, ignore_errors=True)

    def start(self):
        self.start_platform()
        self.plan_entries()
        for index in range(self.entry_count):
            self.start_entry(index)
        for index in range(self.vm_count):
            self.start_vm(index)

    def spawn(self, name, command, read_port=False):
        errors = open(os.path.join(self.folder, name + ".err"), "w")
        process = subprocess.Popen(
            command, stdout=subprocess.PIPE if read_port else errors, stderr=errors, text=True)
        self.processes[name] = process
        if read_port:
            return json.loads(process.stdout.readline())["port"]
        return None

    def start_platform(self):
        command = [BUILD + "/platform_standin"]
        for index in range(self.vm_count):
            domain, region = self.places[index % len(self.places)]
            command += ["--worker", f"name={self.vm(index)},cores={self.cores},memory_gib={self.memory_gib},"
                        f"rack={self.rack(index)},domain={domain},region={region}"]
        port = self.spawn("platform", command, read_port=True)
        self.platform = f"http://{HOST}:{port}"

    def vm(self, index):
        return f"vm-{index + 1}"

    def rack(self, index):
        # Three VMs a rack.
        return f"rack-{index // 3 + 1}"

    def plan_entries(self):
        self.entries = []
        for index in range(self.entry_count):
            request, admin, membership, peer = free_ports(4)
            domain, region = self.places[index % len(self.places)]
            self.entries.append({"name": f"entry-{index + 1}", "request": request, "admin": admin,
                                 "membership": membership, "peer": peer, "domain": domain, "region": region})

    def seeds(self):
        return [f"{HOST}:{entry['membership']}" for entry in self.entries]

    def write_settings(self, name, settings):
        path = os.path.join(self.folder, name + ".yaml")
        with open(path, "w") as out:
            # JSON is YAML.
            json.dump(settings, out, indent=1)
        return path

    def start_daemon(self, settings):
        path = self.write_settings(settings["name"], settings)
        self.spawn(settings["name"], [BUILD + "/cuminjunctiond", "--settings", path])

    def start_entry(self, index):
        entry = self.entries[index]
        self.start_daemon({
            "name": entry["name"], "role": "entry", "region": entry["region"], "failure_domain": entry["domain"],
            "log": os.path.join(self.folder, entry["name"] + ".jsonl"),
            "listen": {"host": HOST, "request_port": entry["request"], "admin_port": entry["admin"],
                       "membership_port": entry["membership"], "peer_port": entry["peer"]},
            "seeds": self.seeds(), "platform": {"table_url": self.platform},
            "shards": 2, "drain_grace_ms": 300})

    def start_vm(self, index):
        name = self.vm(index)
        domain, region = self.places[index % len(self.places)]
        upstream_port = self.spawn(name + "-upstream", [BUILD + "/upstream_standin", "--slots", "8"], read_port=True)
        self.start_daemon({
            "name": name, "role": "agent", "region": region, "failure_domain": domain,
            "log": os.path.join(self.folder, name + ".jsonl"), "listen": {"host": HOST},
            "seeds": self.seeds(), "platform": {"table_url": self.platform},
            "upstream": {"announces": [self.upstream], "url": f"http://{HOST}:{upstream_port}", "probe_path": "/healthz",
                         "slots": 8, "connections": 64},
            "worker": {"runtime_url": f"{self.platform}/worker/{name}", "rack": self.rack(index),
                       "size": {"cores": self.cores, "memory_gib": self.memory_gib}}})

    def admin_url(self, index=0):
        return f"http://{HOST}:{self.entries[index]['admin']}"

    def request_targets(self):
        return [f"{HOST}:{entry['request']}" for entry in self.entries]

    def tool(self, *arguments, entry=0):
        """Runs the command-line tool; returns its exit code and output."""
        done = subprocess.run([BUILD + "/cuminjunction", "--entry", self.admin_url(entry), "--operator", "demo",
                               *arguments], capture_output=True, text=True)
        return done.returncode, done.stdout + done.stderr

    def get(self, url):
        with urllib.request.build_opener(urllib.request.ProxyHandler({})).open(url, timeout=10) as answer:
            return json.load(answer)

    def status(self, entry=0):
        return self.get(self.admin_url(entry) + "/v1/status")

    def wait_for(self, what, condition, seconds=60):
        """Waits until the condition holds; returns the seconds it took."""
        start = time.monotonic()
        while time.monotonic() - start < seconds:
            try:
                if condition():
                    return time.monotonic() - start
            except (OSError, ValueError, KeyError):
                pass
            time.sleep(0.1)
        raise SystemExit(f"{self.name}: {what} did not come about within {seconds} s")

    def stop(self, name, wait=20):
        process = self.processes.pop(name)
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
        try:
            return process.wait(wait)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for name in list(self.processes):
            self.stop(name)


LAKESHORE = dict(name="lakeshore", upstream="hamper-line-control", cores=16, memory_gib=60,
                 places=[("erie-a", "erie"), ("erie-b", "erie"), ("huron-a", "huron")])
VARDNICA = dict(name="vardnica", upstream="word-dictionary", cores=64, memory_gib=250,
                places=[("riga-a", "riga"), ("riga-b", "riga"), ("liepaja-a", "kurzeme")])
DEPLOYMENTS = {"lakeshore": LAKESHORE, "vardnica": VARDNICA}
