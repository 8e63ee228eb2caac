"""A small deployment for the cases: the project's daemon as separate processes
on loopback, with the stand-ins of the store and the runners.

  with Deployment(case_folder, entries=3, agents=7) as fleet:
      fleet.start()
      fleet.submit("0123456789abcdef", steps, spec)
      fleet.state("0123456789abcdef")

Each process has a loopback address of its own. record.txt gets one JSON line
for each call of a client with its answer, each start and end of a run, each
disturbance and each transaction that the store has rejected.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from link import Link

LIB = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(LIB))
DAEMON = "target/cuminjunctiond"
HOST = "shop.example"

# Bounds of the site file bai-kocaeli-grown.toml.
BOUNDS = {"maxHoldMs": 10000, "graceS": 6, "status_s": 120, "contactMs": 4000, "recoveryS": 15, "finish_s": 14,
          "drainMs": 4000, "evacuateMs": 5000}
HEARTBEAT_S = 1.5


class CannotRun(Exception):
    """The case could not be run; says nothing about the system."""


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Process:
    def __init__(self, name, command, cwd, output):
        self.name, self.command, self.cwd, self.output = name, command, cwd, output
        self.child = None

    def start(self):
        self.child = subprocess.Popen(self.command, cwd=self.cwd, stdin=subprocess.DEVNULL,
                                      stdout=open(self.output, "a"), stderr=subprocess.STDOUT)

    def signal(self, number):
        if self.running():
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()

    def running(self):
        return self.child is not None and self.child.poll() is None


class Deployment:
    def __init__(self, case, entries=3, agents=7, cpu=16000, mem=62500, runner_options=None, cut_runner=None):
        """`cut_runner` is the index of a runner whose connections with its agent, in both
        directions, go through self.links."""
        if not os.access(os.path.join(ROOT, DAEMON), os.X_OK):
            raise CannotRun("the daemon of the deploy file is not built")
        self.case = os.path.abspath(case)
        self.trouble = sys.argv[1:] != ["--without-disruption"]
        self.folder = tempfile.mkdtemp(prefix="cuminjunction-review-")
        self.lines, self.lock = [], threading.Lock()
        self.log = os.path.join(self.folder, "standins.log")
        self.net = random.randint(20, 220)
        self.used_hosts = 0
        self.policy_version = 0
        self.cut_runner, self.links = cut_runner, []
        self.runner_settings = {"cpu": cpu, "mem": mem, **(runner_options or {})}
        host = self.new_host()
        self.store_address = (host, free_port(host))
        self.store = Process("store", [sys.executable, os.path.join(LIB, "store.py"), host, str(self.store_address[1]), self.log],
                             LIB, os.path.join(self.folder, "store.out"))
        self.entries = [self.make_node("entry-%d" % i, "entry", i) for i in range(entries)]
        self.agents = [self.make_node("agent-%d" % i, "agent", i) for i in range(agents)]
        self.runners = [self.make_runner(i, agent) for i, agent in enumerate(self.agents)]

    def new_host(self):
        self.used_hosts += 1
        return "127.%d.%d.%d" % (self.net, random.randint(1, 250), self.used_hosts)

    def make_node(self, name, role, index):
        host = self.new_host()
        zone = "zone-%s" % "abc"[index % 3]
        lines = ['name: "%s"' % name, "role: %s" % role, 'region: "region"', 'failure_domain: "%s"' % zone, 'log: "-"']
        if role == "entry":
            lines.append("max_connections: 1500")
        lines += ["listen:", '  host: "%s"' % host, "  peer_port: %d" % free_port(host), "fleet:",
                  '  store: "%s:%d"' % self.store_address]
        process = Process(name, None, ROOT, os.path.join(self.folder, name + ".out"))
        process.host, process.zone = host, zone
        if role == "entry":
            process.front, process.ready = free_port(host), free_port(host)
            lines += ['  submissions: "%s:%d"' % (host, process.front), '  ready: "%s:%d"' % (host, process.ready),
                      "  stop_grace_ms: %d000" % BOUNDS["graceS"], "  state_retention_ms: %d000" % BOUNDS["status_s"],
                      "  processor_share: 0.12"]
        else:
            process.beats, process.app = free_port(host), free_port(host)
            runner_port = process.app
            if index == self.cut_runner:
                self.links = [Link(host, (host, process.app)), Link(host, (host, process.beats))]
                runner_port = self.links[0].port
            lines += ['  heartbeats: "%s:%d"' % (host, process.beats), '  runner: "%s:%d"' % (host, runner_port)]
        lines += ["  metrics_port: %d" % free_port(host), "  max_lease_ms: %d" % BOUNDS["maxHoldMs"],
                  "  evacuate_ms: %d" % BOUNDS["evacuateMs"]]
        settings = os.path.join(self.folder, name + ".yaml")
        with open(settings, "w") as file:
            file.write("\n".join(lines) + "\n")
        process.command = [DAEMON, "--settings", settings]
        return process

    def make_runner(self, index, agent):
        options = {"name": "runner-%d" % index, "id": "i-%08x" % random.getrandbits(32), "host": agent.host,
                   "port": agent.app, "service": "line",
                   "beats": "%s:%d" % (agent.host, self.links[1].port if index == self.cut_runner else agent.beats),
                   "zone": agent.zone, "labels": ["a", "r%d" % (index // 3)], "heartbeat_s": HEARTBEAT_S,
                   "drain_s": BOUNDS["drainMs"] / 1000, "max_hold_ms": BOUNDS["maxHoldMs"], "log": self.log, **self.runner_settings}
        runner = Process(options["name"], None, LIB, os.path.join(self.folder, options["name"] + ".out"))
        runner.options = options
        self.set_command(runner)
        return runner

    def set_command(self, runner, new_id=False):
        if new_id:
            runner.options["id"] = "i-%08x" % random.getrandbits(32)
        runner.command = [sys.executable, os.path.join(LIB, "runner.py"), json.dumps(runner.options)]

    def __enter__(self):
        return self

    def __exit__(self, *ignored):
        for process in self.entries + self.agents + self.runners + [self.store]:
            process.kill()
        self.write_record()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def note(self, event, **fields):
        with self.lock:
            self.lines.append({"t": time.time(), "who": fields.pop("who", "case"), "event": event, **fields})

    def events(self):
        """What the stand-ins have logged so far."""
        if not os.path.exists(self.log):
            return []
        found = []
        with open(self.log) as file:
            for line in file:
                if line.endswith("\n"):
                    found.append(json.loads(line))
        return found

    def write_record(self):
        lines = sorted(self.lines + self.events(), key=lambda line: line["t"])
        first = lines[0]["t"] if lines else 0
        with open(os.path.join(self.case, "record.txt"), "w") as file:
            for line in lines:
                file.write(json.dumps({**line, "t": round(line["t"] - first, 3)}) + "\n")

    def call(self, host, port, method, path, body=None, timeout=3.0, headers=None):
        """Returns (status, body), or (None, None) if there is no whole answer."""
        connection = http.client.HTTPConnection(host, port, timeout=timeout)
        try:
            connection.request(method, path, body, {"Host": HOST, "Content-Type": "application/json",
                                                    "X-Cuminjunction-Deadline-Ms": str(int(timeout * 1000)), **(headers or {})})
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        except (OSError, http.client.HTTPException):
            return None, None
        finally:
            connection.close()

    def operate(self, key, value):
        import base64
        body = json.dumps({"setKeys": [{"table": "op", "part": "", "key": key,
                                        "value": base64.b64encode(json.dumps(value).encode()).decode()}]})
        status, _ = self.call(*self.store_address, "POST", "/operator", body)
        if status != 200:
            raise CannotRun("the operator's write failed")

    def set_routes(self, routes):
        self.policy_version += random.randint(1, 5)
        self.operate("config", {"version": self.policy_version, "routes": routes,
                                "services": [{"name": "line", "enforcesCapacity": True}],
                                "limits": {"maxBodyBytes": 1 << 20}})
        self.note("config_acked", version=self.policy_version, routes=[route["name"] for route in routes])

    @staticmethod
    def route(name, prefix, attempts=3):
        return {"name": name, "host": HOST, "prefix": prefix, "service": "line", "priority": 0,
                "maxAttempts": attempts, "stretch": 2, "targetDurationMs": 1000}

    def start(self, routes=None):
        self.store.start()
        self.wait("the store", lambda: self.call(*self.store_address, "GET", "/v1/rows-parts?table=op")[0] == 200, 10)
        self.set_routes(routes or [self.route("plans", "/plans/")])
        for process in self.entries + self.agents + self.runners:
            process.start()
        self.wait("the entries", lambda: all(self.is_ready(entry) for entry in self.entries), 15)
        # All agents have reported to a planner once tasks start; heartbeats take up to 1.5 s.
        time.sleep(3)

    def is_ready(self, entry):
        return self.call(entry.host, entry.ready, "GET", "/v1/ready", timeout=1)[0] == 200

    @staticmethod
    def wait(what, condition, seconds):
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise CannotRun("no %s within %d s" % (what, seconds))
            time.sleep(0.05)

    @staticmethod
    def new_id():
        return "%016x" % random.getrandbits(64)

    def submit(self, name, steps, spec, prefix="/plans/", entries=None, seconds=10):
        """Hands a submission in, as the pages say: after no answer, a 502 or a 504 the same ID
        arrives again at any node. Returns the last status."""
        body = json.dumps({"spec": json.dumps(spec), "steps": steps})
        deadline = time.monotonic() + seconds
        status = None
        while time.monotonic() < deadline:
            entry = random.choice([e for e in (entries or self.entries)])
            status, _ = self.call(entry.host, entry.front, "POST", prefix + name, body)
            self.note("submit", who="client", id=name, entry=entry.name, status=status)
            if status is not None and status not in (429, 502, 503, 504):
                return status
            time.sleep(0.3)
        return status

    def state(self, name, prefix="/plans/", entry=None):
        """Asks until an entry answers with other than 503 or 504, three times at most."""
        for _ in range(3):
            asked = entry or random.choice([e for e in self.entries if e.running()])
            status, body = self.call(asked.host, asked.front, "GET", prefix + name)
            state = json.loads(body).get("state") if status == 200 else None
            self.note("state", who="client", id=name, entry=asked.name, status=status, state=state)
            if status not in (None, 503, 504):
                break
        return status, state

    def cancel(self, name, prefix="/plans/"):
        """Cancels until an entry answers with other than 503 or 504, three times at most."""
        for _ in range(3):
            asked = random.choice([e for e in self.entries if e.running()])
            status, _ = self.call(asked.host, asked.front, "DELETE", prefix + name)
            self.note("cancel", who="client", id=name, entry=asked.name, status=status)
            if status not in (None, 503, 504):
                break
        return status

    def wait_state(self, name, wanted, seconds, prefix="/plans/"):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            status, state = self.state(name, prefix)
            if state in wanted:
                return state
            time.sleep(0.5)
        return None

    def runs(self, name):
        """Starts and ends of the submission's tasks, as the runners saw them."""
        return [e for e in self.events() if e.get("task", "").startswith(name + ".")]

    def planner(self):
        """The entry that the others' logs name as the planner, by the highest epoch claimed."""
        best = (0, None)
        for entry in self.entries:
            with open(entry.output) as file:
                for line in file:
                    if '"event":"lease_claimed"' in line:
                        best = max(best, (json.loads(line)["epoch"], entry.name))
        return next((e for e in self.entries if e.name == best[1]), None)


def main(run, case):
    """Runs a case and exits with its result."""
    case = os.path.dirname(os.path.abspath(case))
    # Unwinds, so that the processes of the case are ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = run(case)
    except Exception as error:
        print("could not run:", repr(error))
        sys.exit(2)
    print("BROKEN: " + broken if broken else "held")
    sys.exit(1 if broken else 0)
