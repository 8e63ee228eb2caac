"""Stand-ins of the users' platform for the cases 6 to 10: the metadata store, runners, the operator and callers, and
the project's own daemons as separate processes. Everything is on loopback addresses and the real clock.

The store and the runners follow PROTOCOL.md. Rates are not limited; nothing is lost, late or refused unless a case asks
for it.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
DAEMON = os.path.join(ROOT, "target", "cuminjunctiond")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 503: "Service Unavailable"}

# Bounds of vardu-klasteris.
MAX_HOLD_MS = 6000
STOP_MS = 900
SAVE_S = 0.5
RESTORE_S = 0.25
HEARTBEAT_S = 1.5
ROW_BYTES = 65536
CALL_BYTES = 1_000_000
CALL_ENTRIES = 100
HISTORY_S = 20
TX_S = 0.003
LISTED_ENDS = 500


class Record:
    """The lines of record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")


class HttpServer(asyncio.Protocol):
    """One connection of an HTTP/1.1 server. `handler` maps (method, path, headers, body) to (status, object)."""

    def __init__(self, owner):
        self.owner = owner
        self.buffer = b""
        self.transport = None
        self.busy = False

    def connection_made(self, transport):
        self.transport = transport
        self.owner.connections.add(self)

    def connection_lost(self, _error):
        self.owner.connections.discard(self)

    def data_received(self, data):
        self.buffer += data
        self.process()

    def process(self):
        if self.busy:
            return
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return
        lines = self.buffer[:end].decode("latin-1").split("\r\n")
        method, path, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        size = int(headers.get("content-length", "0"))
        if len(self.buffer) < end + 4 + size:
            return
        body = self.buffer[end + 4:end + 4 + size]
        self.buffer = self.buffer[end + 4 + size:]
        self.busy = True
        asyncio.ensure_future(self.answer(method, path, headers, body))

    async def answer(self, method, path, headers, body):
        status, value = await self.owner.handle(method, path, headers, body)
        text = json.dumps(value, separators=(",", ":")).encode()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                                 % (status, REASONS.get(status, "Other").encode(), len(text)) + text)
        self.busy = False
        self.process()


class Server:
    """A listening HTTP server that can be closed, with all of its connections, and opened again."""
    def __init__(self, host, port):
        self.host = host
        self.port = port
        self.connections = set()
        self.server = None

    async def open(self):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: HttpServer(self), self.host, self.port, backlog=256)

    def close(self):
        self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    async def handle(self, method, path, headers, body):
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store: rows-tx, rows-get and rows-feed."""

    def __init__(self, host, port, record):
        super().__init__(host, port)
        self.record = record
        self.rows = {}
        self.version = 0
        self.history = []
        self.forgotten = 0
        self.changed = asyncio.Event()
        self.refused_calls = []

    def name(self, entry):
        return (entry["table"], entry.get("part", ""), entry["key"])

    def shown(self, name, value, version, deleted=False):
        row = {"table": name[0], "part": name[1], "key": name[2], "value": value, "schemaVersion": version}
        if deleted:
            row["deleted"] = True
        return row

    def apply(self, puts, removes):
        self.version += 1
        now = time.monotonic()
        for name, value in puts:
            self.rows[name] = (value, self.version)
            self.history.append((now, self.version, name, value, False))
        for name in removes:
            if self.rows.pop(name, None) is not None:
                self.history.append((now, self.version, name, "", True))
        while self.history and now - self.history[0][0] > HISTORY_S:
            self.forgotten = self.history.pop(0)[1]
        self.changed.set()
        self.changed = asyncio.Event()

    def put_config(self, config):
        """What the operator writes; the return is its ack."""
        value = base64.b64encode(json.dumps(config).encode()).decode()
        self.apply([(("op", "", "config"), value)], [])

    def stamp(self):
        return {"schemaVersion": self.version, "nowMs": int(time.monotonic() * 1000)}

    async def handle(self, method, path, headers, body):
        url = urlsplit(path)
        query = {key: values[0] for key, values in parse_qs(url.query, keep_blank_values=True).items()}
        if method == "POST" and url.path == "/v1/rows-tx":
            await asyncio.sleep(TX_S)
            return self.transact(body)
        if method == "GET" and url.path == "/v1/rows-get":
            return self.get(query)
        if method == "GET" and url.path == "/v1/rows-feed":
            return await self.feed(query)
        return 404, {}

    def transact(self, body):
        call = json.loads(body)
        expects, puts, removes = call.get("expect", []), call.get("setKeys", []), call.get("remove", [])
        problem = None
        if len(body) > CALL_BYTES:
            problem = f"the call has {len(body)} bytes, of at most {CALL_BYTES}"
        elif len(expects) + len(puts) + len(removes) > CALL_ENTRIES:
            problem = f"the call has over {CALL_ENTRIES} entries"
        for entry in puts:
            size = len(base64.b64decode(entry["value"]))
            if size > ROW_BYTES:
                problem = f"the value of {entry['table']}/{entry['key']} has {size} bytes, of at most {ROW_BYTES}"
        if problem:
            self.refused_calls.append(time.monotonic())
            if len(self.refused_calls) % 100 == 1:
                self.record.write(f"store: 400, {problem} (refusal {len(self.refused_calls)})")
            return 400, {"error": problem}
        if any(self.rows.get(self.name(entry), ("", 0))[1] != entry["schemaVersion"] for entry in expects):
            rows = [self.shown(self.name(entry), *self.rows[self.name(entry)])
                    for entry in expects if self.name(entry) in self.rows]
            return 412, {"rows": rows, **self.stamp()}
        self.apply([(self.name(entry), entry["value"]) for entry in puts], [self.name(entry) for entry in removes])
        return 200, self.stamp()

    def get(self, query):
        names = sorted((name for name in self.rows
                        if name[0] == query["table"] and name[1] == query.get("part", "")
                        and name[2] >= query.get("from", "") and ("to" not in query or name[2] < query["to"])),
                       key=lambda name: name[2].encode())
        limit = min(500, int(query.get("limit", "500")))
        rows, size = [], 0
        for name in names[:limit]:
            size += len(self.rows[name][0])
            if rows and size > CALL_BYTES:
                break
            rows.append(self.shown(name, *self.rows[name]))
        return 200, {"rows": rows, "hasMore": len(rows) < len(names), **self.stamp()}

    async def feed(self, query):
        after = int(query["after"])
        deadline = time.monotonic() + min(30000, int(query.get("waitMs", "0"))) / 1000
        while True:
            if after < self.forgotten:
                return 410, {}
            rows = [self.shown(name, value, version, deleted)
                    for _, version, name, value, deleted in self.history
                    if version > after and name[0] == query["table"]][:500]
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, **self.stamp()}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class FarStore(Server):
    """The store as a machine in another region reaches it: each way takes `delay_s` longer."""

    def __init__(self, store, host, port, delay_s):
        super().__init__(host, port)
        self.store = store
        self.delay_s = delay_s

    async def handle(self, method, path, headers, body):
        await asyncio.sleep(self.delay_s)
        answer = await self.store.handle(method, path, headers, body)
        await asyncio.sleep(self.delay_s)
        return answer


class Run:
    def __init__(self, task, run, work_s, checkpoint):
        self.task = task
        self.run = run
        self.work_s = work_s
        # Work that the checkpoint holds, in seconds.
        self.done_before = int(checkpoint, 16) / 1000 if checkpoint else 0.0
        self.begun = time.monotonic() + (RESTORE_S if checkpoint else 0.0)
        self.checkpointed = False
        self.paces = [(self.begun, 100)]

    def worked(self):
        now = time.monotonic()
        total = self.done_before
        for index, (since, percent) in enumerate(self.paces):
            until = self.paces[index + 1][0] if index + 1 < len(self.paces) else now
            total += max(0.0, until - max(since, self.begun)) * percent / 100
        return total

    def saved(self):
        if not self.checkpointed:
            return ""
        worked = int(self.worked() / SAVE_S) * SAVE_S
        return f"{int(worked * 1000):016x}" if worked > 0 else ""


class Ledger:
    """What all runners have started and ended."""

    def __init__(self, record):
        self.record = record
        self.starts = []
        self.ends = []
        self.running = {}
        # Tasks of which an end as done was taken note of.
        self.noted = set()
        # Starts after such an end, and starts beside a run.
        self.twice = []

    def note(self, task):
        self.noted.add(task)

    def started(self, runner, run):
        if run.task in self.noted:
            self.twice.append(run.task)
            self.record.write(f"TWICE: {run.task} starts, and its end as done was taken note of")
        elif self.running.get(run.task):
            self.twice.append(run.task)
            self.record.write(f"TWICE: {run.task} starts beside run {self.running[run.task][0][1].run}")
        self.starts.append((time.monotonic(), run.task, run.run, runner.name))
        self.running.setdefault(run.task, []).append((runner, run))
        self.record.write(f"{runner.name}: {run.task} run {run.run} starts")

    def ended(self, runner, run, how):
        self.ends.append((time.monotonic(), run.task, run.run, runner.name, how))
        self.running[run.task] = [entry for entry in self.running[run.task] if entry[1] is not run]
        self.record.write(f"{runner.name}: {run.task} run {run.run} ends {how}")

    def runs_of(self, submission):
        return [entry for task, entries in self.running.items() if task.startswith(submission + ".")
                for entry in entries]

    def ends_of(self, submission, how):
        return {end[1] for end in self.ends if end[1].startswith(submission + ".") and end[4] == how}

    def starts_of(self, submission):
        return [start for start in self.starts if start[1].startswith(submission + ".")]


class Runner(Server):
    """A runner. `work_of` maps a task's text to (seconds of work, checkpointed, lasts)."""

    def __init__(self, name, host, port, control, record, ledger, cpu=64000, mem_mb=256000, labels=("a", "r1-1")):
        super().__init__(host, port)
        self.name = name
        self.control = control
        self.record = record
        self.ledger = ledger
        self.capacity = {"cpu": cpu, "memMb": mem_mb, "gpu": 0}
        self.labels = list(labels)
        self.life = 0
        self.up = False
        self.jobs = []

    async def start(self):
        self.life += 1
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.begun = time.monotonic()
        self.fence = 0
        self.lease = 0.0
        self.runs = {}
        self.specs = {}
        self.forgotten = 0
        self.ended_list = []
        self.next_end = 1
        self.closed_runs = {}
        self.sequence = 0
        self.change = asyncio.Event()
        self.up = True
        await self.open()
        self.jobs = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.settle())]

    def crash(self):
        """All that runs is lost, connections break, and nothing is sent."""
        self.up = False
        self.close()
        for job in self.jobs:
            job.cancel()
        for run in list(self.runs.values()):
            self.ledger.ended(self, run, "lost")
        self.runs = {}
        self.record.write(f"{self.name}: crashes")

    def clock(self):
        return int((time.monotonic() - self.begun) * 1000)

    async def beat(self):
        while True:
            self.sequence += 1
            body = {"service": "words", "address": f"{self.host}:{self.port}", "zone": "riga-a", "version": "v1",
                    "slots": 8, "state": "ready", "coldLeftMs": 0, "capacity": self.capacity, "labels": self.labels,
                    "clockMs": self.clock(), "sequence": self.sequence, "born": self.born}
            status, _ = await call(self.control, "POST", f"/v1/instances/{self.id}/heartbeat", body, timeout=1.0)
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.3)

    def end(self, run, how):
        del self.runs[run.task]
        self.closed_runs[run.task] = max(run.run, self.closed_runs.get(run.task, 0))
        saved = "" if how == "done" else run.saved()
        self.ended_list.append([self.next_end, run.task, run.run, how, saved])
        self.next_end += 1
        self.ledger.ended(self, run, how)
        self.change.set()
        self.change = asyncio.Event()

    async def settle(self):
        while True:
            await asyncio.sleep(0.02)
            if self.runs and time.monotonic() > self.lease:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in list(self.runs.values()):
                if run.work_s is not None and run.worked() >= run.work_s:
                    self.end(run, "done")

    def extend(self, until_ms):
        if until_ms is not None:
            until = min(until_ms, self.clock() + MAX_HOLD_MS)
            self.lease = max(self.lease, self.begun + until / 1000)

    def stamp(self):
        return {"clockMs": self.clock(), "born": self.born}

    async def handle(self, method, path, headers, body):
        life = self.life
        call_body = json.loads(body) if body else {}
        target = headers.get("x-cuminjunction-target-instance", "")
        if target and target != self.id:
            return 421, self.stamp()
        fence = call_body.get("fence", 0)
        if fence < self.fence:
            return 409, {**self.stamp(), "reason": "fence"}
        self.fence = fence
        if path == "/v1/run-start":
            return self.run_start(call_body)
        if path == "/v1/run-stop":
            return self.run_stop(call_body, life)
        if path == "/v1/pace":
            return self.pace(call_body)
        if path == "/v1/hold":
            return await self.hold(call_body)
        return 404, {}

    def run_start(self, order):
        task, number = order["task"], order["run"]
        if order["untilMs"] <= self.clock():
            return 409, {**self.stamp(), "reason": "late"}
        self.extend(order["untilMs"])
        if task in self.runs and self.runs[task].run == number:
            return 200, self.stamp()
        if number <= self.closed_runs.get(task, 0) or task in self.runs:
            return 409, {**self.stamp(), "reason": "old"}
        spec = json.loads(order["spec"])
        used = sum(self.specs[name]["cpu"] for name in self.runs)
        if used + spec["cpu"] > self.capacity["cpu"]:
            return 409, {**self.stamp(), "reason": "room"}
        run = Run(task, number, spec["work_s"], order.get("checkpoint", ""))
        run.checkpointed = spec.get("checkpointed", False)
        self.runs[task] = run
        self.specs[task] = spec
        self.ledger.started(self, run)
        return 200, self.stamp()

    def run_stop(self, order, life):
        task, number = order["task"], order["run"]
        run = self.runs.get(task)
        if run is not None and run.run == number:
            asyncio.get_running_loop().call_later(STOP_MS / 3000, self.stopped, run, life)
        else:
            self.closed_runs[task] = max(number, self.closed_runs.get(task, 0))
        return 200, self.stamp()

    def stopped(self, run, life):
        if self.up and life == self.life and self.runs.get(run.task) is run:
            self.end(run, "stopped")

    def pace(self, order):
        run = self.runs.get(order["task"])
        if run is not None and run.run == order["run"]:
            run.paces.append((time.monotonic(), order["percent"]))
            self.record.write(f"{self.name}: {run.task} run {run.run} is paced to {order['percent']}%")
        return 200, self.stamp()

    def figure(self, run):
        """The fifth entry of a row of runningCount."""
        return self.specs[run.task]["cpu"]

    async def hold(self, order):
        self.extend(order.get("untilMs"))
        for end in self.ended_list:
            if end[0] <= order["lastSeen"] and end[3] == "done":
                self.ledger.note(end[1])
        self.ended_list = [end for end in self.ended_list if end[0] > order["lastSeen"]]
        wait_s = min(2000, order.get("waitMs", 0)) / 1000
        if wait_s > 0 and not self.ended_list:
            try:
                await asyncio.wait_for(self.change.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        rows = [[run.task, run.run, run.saved(), self.percent(run), self.figure(run)] for run in self.runs.values()]
        return 200, {**self.stamp(), "runningCount": rows, "ended": self.ended_list[:LISTED_ENDS]}

    def percent(self, run):
        return 100 if run.work_s is None else min(100, int(100 * run.worked() / run.work_s))


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """One call on a connection of its own. Returns (status, object); status 0 without an answer."""
    host, port = address.rsplit(":", 1)
    try:
        return await asyncio.wait_for(_call(host, int(port), method, path, body, headers or {}), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, {}


async def _call(host, port, method, path, body, headers):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in {"Host": f"{host}:{port}", **headers}.items()]
        lines += ["Content-Type: application/json", f"Content-Length: {len(data)}", "Connection: close", "", ""]
        writer.write("\r\n".join(lines).encode() + data)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        size = 0
        for line in head[1:]:
            name, _, value = line.partition(":")
            if name.strip().lower() == "content-length":
                size = int(value)
        text = await reader.readexactly(size)
        value = json.loads(text) if text else {}
        return int(head[0].split(" ")[1]), value
    finally:
        writer.close()


class Daemon:
    """One process of the project."""

    def __init__(self, name, settings, folder):
        self.name = name
        self.settings = os.path.join(folder, name + ".yaml")
        self.log = os.path.join(folder, name + ".log")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(settings)
        self.process = None

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([DAEMON, "--settings", self.settings], cwd=ROOT, stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL,
                                            env={"PATH": os.environ.get("PATH", ""), "LANG": "C"})

    def kill(self):
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None

    def events(self, event):
        with open(self.log, encoding="utf-8", errors="replace") as log:
            return [line for line in log if f'"event":"{event}"' in line]


class Fleet:
    """A small deployment: a store, entries and side machines, each with a runner and an agent."""

    def __init__(self, folder, runner_class=Runner):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="cuminjunction-review-")
        self.net = f"127.{random.randint(16, 240)}.{random.randint(1, 250)}"
        self.store = Store(f"{self.net}.1", 8169, self.record)
        self.ledger = Ledger(self.record)
        self.runner_class = runner_class
        self.far = None
        self.entries = []
        self.agents = []
        self.runners = []

    def add_entry(self, region="riga", store=None):
        number = len(self.entries) + 1
        ip = f"{self.net}.{10 + number}"
        settings = f"""name: "front-{number}"
role: entry
region: "{region}"
failure_domain: "{region}-a"
log: "-"
max_connections: 1500
listen:
  host: "{ip}"
  peer_port: 7720
fleet:
  store: "{store or self.store.host}:8169"
  submissions: "{ip}:8161"
  ready: "{ip}:8167"
  metrics_port: 9464
  max_lease_ms: {MAX_HOLD_MS}
  stop_grace_ms: 6000
  state_retention_ms: 120000
  processor_share: 0.25
"""
        entry = Daemon(f"front-{number}", settings, self.folder)
        entry.address = f"{ip}:8161"
        entry.ready = f"{ip}:8167"
        self.entries.append(entry)
        return entry

    def add_side(self, **options):
        number = len(self.agents) + 1
        ip = f"{self.net}.{100 + number}"
        settings = f"""name: "side-{number}"
role: agent
region: "riga"
failure_domain: "riga-a"
log: "-"
listen:
  host: "{ip}"
  peer_port: 7720
fleet:
  store: "{self.store.host}:8169"
  heartbeats: "{ip}:8166"
  runner: "{ip}:8165"
  metrics_port: 9464
  max_lease_ms: {MAX_HOLD_MS}
"""
        self.agents.append(Daemon(f"side-{number}", settings, self.folder))
        runner = self.runner_class(f"runner-{number}", ip, 8165, f"{ip}:8166", self.record, self.ledger, **options)
        self.runners.append(runner)
        return runner

    async def start(self, config):
        await self.store.open()
        if self.far is not None:
            await self.far.open()
        self.store.put_config(config)
        for runner in self.runners:
            await runner.start()
        for daemon in self.entries + self.agents:
            daemon.start()

    async def wait_ready(self, seconds=15):
        """True once all entries are ready, one plans and it has heard all runners."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            answers = [(await call(entry.ready, "GET", "/v1/ready"))[0] for entry in self.entries]
            reported = sum(any('"alive":true' in line for line in entry.events("worker_reported")) for entry in
                           self.entries)
            if all(status == 200 for status in answers) and reported > 0:
                heard = set()
                for entry in self.entries:
                    for line in entry.events("worker_reported"):
                        value = json.loads(line)
                        if value["alive"]:
                            heard.add(value["vm"])
                if len(heard) == len(self.agents):
                    return True
            await asyncio.sleep(0.2)
        return False

    async def post(self, entry, path, host, body, log=True):
        status, _ = await call(entry.address, "POST", path, body,
                               {"Host": host, "X-Cuminjunction-Deadline-Ms": "3000"})
        if log:
            self.record.write(f"caller: POST {path} at {entry.name}: {status or 'no answer'}")
        return status

    async def state(self, entry, path, host, log=True):
        status, value = await call(entry.address, "GET", path, None,
                                   {"Host": host, "X-Cuminjunction-Deadline-Ms": "3000"})
        shown = value.get("state", "") if isinstance(value, dict) else ""
        if log:
            self.record.write(f"caller: GET {path} at {entry.name}: {status or 'no answer'} {shown}")
        return status, shown

    def stop(self):
        for daemon in self.entries + self.agents:
            daemon.kill()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def new_id():
    return f"{random.getrandbits(64):016x}"


def main(case, runner_class=Runner):
    """Runs `case(fleet)`, which returns True if the rule held. Exits with 0, 1 or, if it could not run, 2."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    fleet = Fleet(folder, runner_class)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    result = 2
    try:
        held = asyncio.run(asyncio.wait_for(case(fleet), 110))
        result = 2 if held is None else 0 if held else 1
    except Exception as error:  # Any error of a stand-in means that the case could not run.
        fleet.record.write(f"the case could not run: {error!r}")
    finally:
        fleet.stop()
    fleet.record.write({0: "the rule held", 1: "the rule was BROKEN", 2: "the case could not run"}[result])
    fleet.record.file.close()
    print(open(os.path.join(folder, "record.txt"), encoding="utf-8").read().splitlines()[-1])
    sys.exit(result)
