"""A small deployment on loopback: the project's programs, and stand-ins of the platform's store, of runners and clients.

The programs are started with the commands and the templates of deploy/system.toml. Each machine has a loopback address
of its own. The stand-ins follow PROTOCOL.md. Everything runs on the real clock.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Figures of the site vardu-klasteris-grown.
BOUNDS = {"contactMs": 4000, "ackMs": 6000, "graceS": 6, "maxHoldMs": 10000, "stopMs": 200, "cancel_ms": 4000,
          "visible_ms": 3000, "finish_s": 14, "status_s": 120, "recoveryS": 15, "saveS": 2.0, "restoreMs": 250}
PLATFORM = {"rowBytes": 65536, "txMs": 3.0, "maxEntries": 100, "maxBytes": 1_000_000}


class Record:
    """Writes record.txt: one line for each event, with the time since the start in seconds."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, *words):
        self.file.write(f"{self.now():8.3f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


def pick_network():
    """Returns the first two numbers of a part of 127.0.0.0/8 on which the fixed ports of the templates are free."""
    for _ in range(50):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for port in (9464, 7720, 8161, 8166, 8167, 8169):
                with socket.socket() as probe:
                    probe.bind((net + ".1", port))
            return net
        except OSError:
            continue
    raise RuntimeError("no free loopback addresses")


async def read_message(reader):
    """Returns the first line, the headers and the body of an HTTP/1.1 message, or None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line.decode("latin-1").split(" ", 2), headers, body


async def call(address, method, path, body=None, headers=None, timeout=5.0, source=None):
    """Sends a request on a connection of its own. Returns (status, parsed body); the status is 0 without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}", "Connection: close"]
            if body is not None:
                lines.append("Content-Type: application/json")
            lines += [f"{name}: {value}" for name, value in {"Host": "none", **(headers or {})}.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            message = await read_message(reader)
            if message is None:
                return 0, None
            try:
                parsed = json.loads(message[2]) if message[2] else None
            except ValueError:
                parsed = None
            return int(message[0][1]), parsed
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()


class HttpServer:
    """Serves handle(method, path, headers, body) -> (status, object) on one address. A status of 0 answers nothing."""

    def __init__(self, address, handle):
        self.address = address
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address, backlog=512, limit=2 ** 22)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                (method, path, _), headers, body = message
                status, answer = await self.handle(method, path, headers, body)
                if status == 0:
                    break
                data = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's store of rows, form "table"."""

    def __init__(self, address, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Condition()
        self.http = HttpServer(address, self.handle)
        # Set while the store turns every call away with 503.
        self.refusing = False
        self.refused_sizes = 0
        # Share of the transactions that get no answer and are performed later, after a time from this range.
        self.lost_share = 0.0
        self.late_s = (1.0, 6.0)
        self.late_tasks = set()

    async def put(self, table, key, value):
        async with self.changed:
            self.version += 1
            self.rows[(table, "", key)] = (base64.b64encode(value).decode(), self.version, False)
            self.changed.notify_all()

    def row(self, name):
        value, version, deleted = self.rows[name]
        row = {"table": name[0], "part": name[1], "key": name[2], "schemaVersion": version}
        return {**row, "deleted": True} if deleted else {**row, "value": value}

    def live(self, name):
        return name in self.rows and not self.rows[name][2]

    def answer(self, **fields):
        return {"schemaVersion": self.version, "nowMs": int(time.monotonic() * 1000), **fields}

    async def handle(self, method, path, headers, body):
        if self.refusing:
            return 503, {}
        path, _, text = path.partition("?")
        query = {}
        for pair in filter(None, text.split("&")):
            key, _, value = pair.partition("=")
            query[key] = re.sub("%([0-9A-Fa-f]{2})", lambda m: chr(int(m[1], 16)), value)
        if (method, path) == ("POST", "/v1/rows-tx"):
            if random.random() < self.lost_share:
                task = asyncio.create_task(self.perform_late(body))
                self.late_tasks.add(task)
                task.add_done_callback(self.late_tasks.discard)
                # The connection delivers nothing further.
                await asyncio.sleep(5)
                return 0, {}
            return await self.transact(body)
        if (method, path) == ("GET", "/v1/rows-get"):
            return self.read(query)
        if (method, path) == ("GET", "/v1/rows-feed"):
            return await self.feed(query)
        return 404, {}

    def refusal(self, body, entries, puts):
        """Returns why a transaction is not valid, by the limits that PROTOCOL.md states, or None."""
        if len(entries) > PLATFORM["maxEntries"]:
            return "more than 100 entries"
        if len(body) > PLATFORM["maxBytes"]:
            return "more than 1 MB"
        for put in puts:
            size = len(base64.b64decode(put["value"]))
            if size > PLATFORM["rowBytes"]:
                return f"a value of {size} bytes, which is more than rowBytes, in {put['table']}/{put['key']}"
        return None

    async def perform_late(self, body):
        await asyncio.sleep(random.uniform(*self.late_s))
        status, _ = await self.transact(body)
        for put in json.loads(body).get("setKeys", []):
            if put["table"] == "submission" and status == 200:
                self.record.write("store: performs a transaction late that stores submission", put["key"])

    async def transact(self, body):
        await asyncio.sleep(PLATFORM["txMs"] / 1000)
        call_ = json.loads(body)
        expects, puts, removes = (call_.get(key, []) for key in ("expect", "setKeys", "remove"))
        name = lambda entry: (entry["table"], entry.get("part", ""), entry["key"])
        if any(name(entry)[0] in ("op", "servers") for entry in puts + removes):
            return 403, {}
        why = self.refusal(body, expects + puts + removes, puts)
        if why:
            self.refused_sizes += 1
            if self.refused_sizes <= 20 or self.refused_sizes % 100 == 0:
                self.record.write("store: 400 to a transaction:", why, f"(number {self.refused_sizes})")
            return 400, {"error": why}
        held = [(name(e), self.rows[name(e)][1] if self.live(name(e)) else 0, e["schemaVersion"]) for e in expects]
        if any(have != want for _, have, want in held):
            return 412, self.answer(rows=[self.row(n) for n, have, _ in held if have])
        async with self.changed:
            self.version += 1
            for put in puts:
                self.rows[name(put)] = (put["value"], self.version, False)
            for entry in removes:
                self.rows[name(entry)] = ("", self.version, True)
            self.changed.notify_all()
        return 200, self.answer()

    def read(self, query):
        names = sorted(n for n in self.rows if self.live(n) and n[:2] == (query.get("table"), query.get("part", ""))
                       and n[2] >= query.get("from", "") and ("to" not in query or n[2] < query["to"]))
        limit = min(int(query.get("limit", 500)), 500)
        rows, size = [], 0
        for entry in names:
            row = self.row(entry)
            size += len(row["value"]) + 150
            if len(rows) >= limit or (rows and size > PLATFORM["maxBytes"]):
                return 200, self.answer(rows=rows, hasMore=True)
            rows.append(row)
        return 200, self.answer(rows=rows, hasMore=False)

    async def feed(self, query):
        table, after = query.get("table"), int(query.get("after", 0))
        newer = lambda: [n for n in self.rows if n[0] == table and self.rows[n][1] > after]
        async with self.changed:
            try:
                async with asyncio.timeout(int(query.get("waitMs", 0)) / 1000):
                    await self.changed.wait_for(lambda: newer() or self.refusing)
            except asyncio.TimeoutError:
                pass
        if self.refusing:
            return 503, {}
        rows = [self.row(n) for n in sorted(newer(), key=lambda n: self.rows[n][1])]
        return 200, self.answer(rows=rows)


class Ledger:
    """What all runners have run, as TWICE judges it."""

    def __init__(self, record):
        self.record = record
        self.starts = 0
        # Times of the starts, by submission.
        self.start_times = {}
        self.running = {}
        # Tasks whose run has ended as done, and those of which that end was taken note of.
        self.done = {}
        self.noted = {}
        # Starts after a run of the task has ended as done: (task, run, time).
        self.after_done = []
        self.both = []
        self.failed = 0
        # Crashes of runners under each task.
        self.crashed = {}

    def begin(self, runner, task, run):
        self.starts += 1
        self.start_times.setdefault(task.split(".")[0], []).append(self.record.now())
        if self.running.get(task):
            self.both.append((task, run))
            self.record.write(runner, "starts", task, "run", run, "while it runs on", *self.running[task])
        if task in self.done:
            self.after_done.append((task, run, self.record.now()))
            self.record.write(runner, "starts", task, "run", run, "though run", self.done[task][1],
                              "has ended done on", self.done[task][0])
        else:
            self.record.write(runner, "starts", task, "run", run)
        self.running.setdefault(task, set()).add(runner)

    def end(self, runner, task, run, how):
        self.running.get(task, set()).discard(runner)
        self.record.write(runner, "ends", task, "run", run, how)
        if how == "done":
            self.done.setdefault(task, (runner, run, self.record.now()))
        elif how == "failed":
            self.failed += 1
        elif how == "crashed":
            self.crashed[task] = self.crashed.get(task, 0) + 1

    def note(self, task, how):
        if how == "done":
            self.noted.setdefault(task, self.record.now())

    def twice(self):
        """Tasks that were started after a run had ended as done, whose end was taken note of."""
        return sorted({task for task, _, _ in self.after_done if task in self.noted})


class Runner:
    """A runner beside an agent. `plan(task)` gives (seconds, checkpointed) for a task."""

    def __init__(self, name, address, control, ledger, record, plan, labels, zone, cores=64):
        self.name, self.control, self.ledger, self.record, self.plan = name, control, ledger, record, plan
        self.labels, self.zone = labels, zone
        self.capacity = {"cpu": cores * 1000, "memMb": 256000, "gpu": 0}
        self.http = HttpServer(address, self.handle)
        self.address = address
        self.sizes = {}
        self.tasks = []
        self.lives = 0

    def born_again(self):
        self.lives += 1
        self.id = f"{self.name}-{self.lives}"
        self.born = int(time.time() * 1000)
        self.clock_zero = time.monotonic() - 1
        self.fence = 0
        self.until = 0
        self.running = {}
        self.highest = {}
        self.ended = []
        self.next_end = 1
        self.last_seen = 0
        self.sequence = 0
        self.ended_event = asyncio.Event()

    async def start(self):
        self.born_again()
        await self.http.start()
        self.tasks = [asyncio.create_task(self.settle_loop()), asyncio.create_task(self.heartbeat_loop())]

    def crash(self):
        self.record.write(self.name, "crashes with", len(self.running), "runs")
        for task, run in self.running.items():
            self.ledger.end(self.name, task, run["run"], "crashed")
        for task in self.tasks:
            task.cancel()
        self.http.stop()

    def clock(self):
        return int((time.monotonic() - self.clock_zero) * 1000)

    def finish(self, task, how):
        run = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        saved = self.saved(run) if run["checkpointed"] and how != "done" else ""
        self.ended.append([self.next_end, task, run["run"], how, saved])
        self.next_end += 1
        self.ledger.end(self.name, task, run["run"], how)
        self.ended_event.set()

    def saved(self, run):
        """A checkpoint: the work done so far, in steps of saveS, and the task."""
        work = run["resumed"] + time.monotonic() - run["at"]
        saves = int(work / BOUNDS["saveS"])
        return f"{saves:08x}{abs(hash(run['task'])) & 0xffffffff:08x}" if saves else ""

    async def settle_loop(self):
        while True:
            now = time.monotonic()
            for task, run in list(self.running.items()):
                if now >= run["end"]:
                    self.finish(task, "done")
            if self.running and self.clock() >= self.until:
                self.record.write(self.name, "lease lapses with", len(self.running), "runs")
                for task in list(self.running):
                    self.finish(task, "lapsed")
            await asyncio.sleep(0.01)

    async def heartbeat_loop(self):
        while True:
            self.sequence += 1
            body = {"service": "svc", "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
                    "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "capacity": self.capacity,
                    "labels": self.labels, "clockMs": self.clock(), "sequence": self.sequence, "born": self.born}
            status, _ = await call(self.control, "POST", f"/v1/instances/{self.id}/heartbeat", body, timeout=1.0)
            await asyncio.sleep(1.5 if status == 200 else 0.5)

    def used(self):
        return sum(self.sizes.get(task, 0) for task in self.running)

    async def handle(self, method, path, headers, body):
        call_ = json.loads(body)
        target = headers.get("x-cuminjunction-target-instance")
        stamp = {"clockMs": self.clock(), "born": self.born}
        if target is not None and target != self.id:
            return 421, stamp
        if call_.get("fence", 0) < self.fence:
            return 409, {**stamp, "reason": "fence"}
        self.fence = call_.get("fence", 0)
        if "untilMs" in call_:
            self.until = max(self.until, min(call_["untilMs"], self.clock() + BOUNDS["maxHoldMs"]))
        if path == "/v1/run-start":
            return self.begin(call_, stamp)
        if path == "/v1/run-stop":
            task, run = call_["task"], call_["run"]
            self.highest[task] = max(self.highest.get(task, 0), run)
            if task in self.running and self.running[task]["run"] <= run:
                self.finish(task, "stopped")
            return 200, stamp
        if path == "/v1/hold":
            return await self.hold(call_)
        return (200, stamp) if path == "/v1/pace" else (404, stamp)

    def begin(self, call_, stamp):
        task, run = call_["task"], call_["run"]
        if task in self.running and self.running[task]["run"] == run:
            return 200, stamp
        if run <= self.highest.get(task, 0):
            return 409, {**stamp, "reason": "old"}
        if self.clock() >= self.until:
            return 409, {**stamp, "reason": "late"}
        seconds, checkpointed, cpu = self.plan(task)
        if self.used() + cpu > self.capacity["cpu"]:
            return 409, {**stamp, "reason": "room"}
        self.sizes[task] = cpu
        checkpoint = call_.get("checkpoint", "")
        resumed = int(checkpoint[:8], 16) * BOUNDS["saveS"] if checkpoint else 0
        now = time.monotonic()
        wait = max(0, seconds - resumed) + (BOUNDS["restoreMs"] / 1000 if checkpoint else 0)
        self.running[task] = {"task": task, "run": run, "at": now, "end": now + wait, "resumed": resumed,
                              "checkpointed": checkpointed}
        self.highest[task] = run
        self.ledger.begin(self.name, task, run)
        return 200, stamp

    async def hold(self, call_):
        seen = call_.get("lastSeen", 0)
        for end in self.ended:
            if end[0] <= seen:
                self.ledger.note(end[1], end[3])
        self.ended = [end for end in self.ended if end[0] > seen]
        if not self.ended and call_.get("waitMs", 0) > 0:
            self.ended_event.clear()
            try:
                async with asyncio.timeout(min(call_["waitMs"], 2000) / 1000):
                    await self.ended_event.wait()
            except asyncio.TimeoutError:
                pass
        running = [[task, run["run"], self.saved(run) if run["checkpointed"] else "",
                    min(99, int(100 * (time.monotonic() - run["at"]) / max(0.001, run["end"] - run["at"]))),
                    self.sizes.get(task, 0)] for task, run in self.running.items()]
        return 200, {"clockMs": self.clock(), "born": self.born, "runningCount": running, "ended": self.ended[:500]}


class Machine:
    """One process of the system."""

    def __init__(self, fleet, name, role, ip, zone):
        self.fleet, self.name, self.role, self.ip, self.zone = fleet, name, role, ip, zone
        self.process = None
        self.front = (ip, 8161)
        self.control = (ip, 8166)
        self.app = (ip, 8080)

    def settings(self):
        return {"nodeName": self.name, "role": self.role, "ip": self.ip, "zone": self.zone, "region": "riga",
                "innerPortRange": [7720, 7735], "app": f"{self.ip}:8080", "advice": "",
                "listen": {"frontAddr": f"{self.ip}:8161", "readyAddr": f"{self.ip}:8167",
                           "controlAddr": f"{self.ip}:8166"},
                "limits": {"cpuShare": 0.5}, "bounds": BOUNDS,
                "platform": {"address": "%s:%d" % self.fleet.store.http.address, **PLATFORM}}

    async def start(self):
        role = self.fleet.deploy["roles"][self.role]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            template = file.read()
        fields = self.settings()

        def value(match):
            found = fields
            for part in match[1].split("."):
                found = found[int(part)] if isinstance(found, list) else found.get(part, "")
            return str(found)

        path = os.path.join(self.fleet.folder, self.name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(re.sub(r"\{\{([\w.]+)\}\}", value, template))
        words = [path if word == "/etc/cuminjunction/node.toml" else word for word in role["run"].split()]
        words[0] = os.path.join(ROOT, words[0])
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(*words, cwd=ROOT, stdout=log, stderr=log,
                                                            stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.fleet.record.write(self.name, "starts")

    async def kill(self):
        self.fleet.record.write(self.name, "is killed")
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()


class Fleet:
    def __init__(self, record_path, entries=3, agents=3, cores=64, routes=None, plan=None):
        self.record = Record(record_path)
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        self.folder = tempfile.mkdtemp(prefix="cuminjunction-review-")
        net = pick_network()
        zones = ["riga-a", "liepaja-a", "riga-b"]
        self.store = Store((net + ".1", 8169), self.record)
        self.ledger = Ledger(self.record)
        self.entries = [Machine(self, f"front-{i}", "entry", f"{net}.{10 + i}", zones[i % 3]) for i in range(entries)]
        self.agents = [Machine(self, f"side-{i}", "agent", f"{net}.{50 + i}", zones[i % 3]) for i in range(agents)]
        self.plan = plan
        self.runners = [Runner(f"runner-{i}", agent.app, agent.control, self.ledger, self.record, self.plan,
                               ["a", f"r{i // 3}"], agent.zone, cores) for i, agent in enumerate(self.agents)]
        self.config_version = 0
        # The last answers to GET, by machine and submission; the record has only changes.
        self.said = {}

    def route(self, name, service="svc", attempts=3):
        return {"name": name, "host": "shop.example", "prefix": f"/{name}/", "service": service, "priority": 0,
                "maxAttempts": attempts, "stretch": 2, "targetDurationMs": 1000}

    async def configure(self, names):
        self.config_version += 3
        config = {"version": self.config_version, "routes": [self.route(name) for name in names],
                  "services": [{"name": "svc", "enforcesCapacity": True}], "limits": {"maxBodyBytes": 262144}}
        self.record.write("operator: config", self.config_version, "with routes", *names)
        await self.store.put("op", "config", json.dumps(config).encode())

    async def start(self, names):
        await self.store.http.start()
        await self.configure(names)
        for machine in self.entries + self.agents:
            await machine.start()
        for runner in self.runners:
            await runner.start()

    async def ready(self, timeout=15):
        """Waits until all entries report that they are ready."""
        until = time.monotonic() + timeout
        for machine in self.entries:
            while (await call((machine.ip, 8167), "GET", "/v1/ready", timeout=1))[0] != 200:
                if time.monotonic() > until:
                    raise RuntimeError(machine.name + " is not ready")
                await asyncio.sleep(0.1)

    async def request(self, machine, method, queue, name, body=None, timeout=3.0):
        status, answer = await call(machine.front, method, f"/{queue}/{name}", body,
                                    {"Host": "shop.example", "X-Cuminjunction-Deadline-Ms": int(timeout * 1000)},
                                    timeout + 0.5)
        said = (status, answer.get("state") if isinstance(answer, dict) else None)
        if method != "GET" or self.said.get((machine.name, name)) != said:
            self.record.write("client:", method, queue, name, "at", machine.name, "->", *filter(None, said))
        if method == "GET":
            self.said[(machine.name, name)] = said
        return status, answer

    async def submit(self, queue, name, body, tries=5, first=0):
        """Hands a submission in, again after no answer or an answer that leaves it open, as clients do."""
        for attempt in range(tries):
            machine = self.entries[(first + attempt) % len(self.entries)]
            status, _ = await self.request(machine, "POST", queue, name, body)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.5 if status not in (429, 503) else 2.0)
        return False

    async def state(self, queue, name):
        """Asks the entries in turn for the state, until one answers with success."""
        for machine in self.entries:
            status, answer = await self.request(machine, "GET", queue, name)
            if status == 200:
                return answer["state"]
            if status in (404, 410):
                return str(status)
        return "none"

    def planner(self):
        """Returns the machine that holds the planner's lease, by its logs."""
        last = None
        for machine in self.entries:
            with open(os.path.join(self.folder, machine.name + ".log"), encoding="utf-8") as file:
                for line in file:
                    if '"lease_claimed"' in line:
                        stamp = json.loads(line)["time_us"]
                        if last is None or stamp > last[0]:
                            last = (stamp, machine)
        return last[1]

    async def end(self):
        for runner in self.runners:
            for task in runner.tasks:
                task.cancel()
            runner.http.stop()
        for machine in self.entries + self.agents:
            if machine.process is not None and machine.process.returncode is None:
                machine.process.kill()
                await machine.process.wait()
        self.store.http.stop()
        if not os.environ.get("KEEP_LOGS"):
            for entry in os.scandir(self.folder):
                os.unlink(entry.path)
            os.rmdir(self.folder)
        else:
            print("logs in", self.folder)


def new_id():
    return f"{random.getrandbits(64):016x}"


def with_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run(case, record_path, **options):
    """Runs `case(fleet)`, which returns True if the rule held. Exits with 0, 1, or 2 if the case couldn't run."""
    async def body():
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        fleet = Fleet(record_path, **options)
        try:
            async with asyncio.timeout(110):
                return await case(fleet)
        finally:
            await fleet.end()
    try:
        held = asyncio.run(body())
    except (Exception, asyncio.CancelledError) as error:  # The case could not run; the record says why.
        print("could not run:", repr(error))
        sys.exit(2)
    print("held" if held else "BROKEN")
    sys.exit(0 if held else 1)
