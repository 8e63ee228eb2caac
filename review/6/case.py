"""Callers open connections while the platform's store refuses calls for some seconds, several times."""

import asyncio
import json
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import platform2 as p

CONFIG = {
    "version": 3,
    "routes": [{"name": "check", "host": "words.example", "prefix": "/check/", "kind": "non_idempotent",
                "timeoutMs": 3000, "targetDurationMs": 1000, "priority": 2, "service": "words", "maxAttempts": 3,
                "stretch": 2.0}],
    "services": [{"name": "words", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False,
                  "enforcesCapacity": True, "spare": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
}
JOB = {"spec": json.dumps({"cpu": 100, "work_s": 0.3}),
       "steps": [{"count": 1, "cpu": 100, "memMb": 10, "estRuntimeMs": 300}]}
# `platform_down`, how reset: 4.5 s.
DOWN_S = 4.5
PAUSE_S = 4.0
WATCH_S = 5
OUTAGES = int(os.environ.get("OUTAGES", "9"))
CALLERS = int(os.environ.get("CALLERS", "40"))


class RefusingStore(p.Store):
    """While it is down, it resets connections: those that are open, and the others when a call arrives."""

    down = False

    async def handle(self, method, path, headers, body):
        if self.down:
            self.reset()
            return 503, {}
        return await super().handle(method, path, headers, body)

    def reset(self):
        for connection in list(self.connections):
            connection.transport.abort()


class Caller:
    """Hands in submissions and asks for their states, each call on a connection of its own."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.submissions = []
        self.accepted = []
        self.answers = 0
        self.unreadable = []

    async def run(self, end):
        while time.monotonic() < end:
            asks = bool(self.submissions) and random.random() < 0.4
            submission = random.choice(self.submissions) if asks else p.new_id()
            if not asks:
                self.submissions.append(submission)
            method = "GET" if asks else "POST"
            await self.call(random.choice(self.fleet.entries), method, submission, b"" if asks else
                            json.dumps(JOB).encode())
            await asyncio.sleep(random.random() * 0.1)

    async def call(self, entry, method, submission, body):
        host, port = entry.address.rsplit(":", 1)
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self.fleet.record.write(f"caller: {method} {submission} at {entry.name}: no connection")
            return
        try:
            writer.write(f"{method} /check/{submission} HTTP/1.1\r\nHost: words.example\r\n"
                         f"Content-Type: application/json\r\nX-Cuminjunction-Deadline-Ms: 3000\r\n"
                         f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 4)
            lines = head.decode("latin-1").split("\r\n")
            self.answers += 1
            self.fleet.record.write(f"caller: {method} {submission} at {entry.name}: {lines[0][9:12]}")
            if method == "POST" and lines[0].startswith("HTTP/1.1 200"):
                self.accepted.append(submission)
            if not lines[0].startswith("HTTP/1.1 "):
                rest = b""
                try:
                    rest = await asyncio.wait_for(reader.read(4000), 0.5)
                except asyncio.TimeoutError:
                    pass
                self.unreadable.append(submission)
                self.fleet.record.write(f"caller: {method} /check/{submission} at {entry.name}: the answer is not "
                                        f"HTTP: {(head + rest)[:400]!r}")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.fleet.record.write(f"caller: {method} {submission} at {entry.name}: no answer")
        finally:
            writer.close()


async def restart_ended(fleet, ended):
    """As on the users' platform, a process that has ended starts again after a short delay."""
    while True:
        await asyncio.sleep(1)
        for daemon in fleet.entries + fleet.agents:
            if daemon.process.poll() is None:
                continue
            with open(daemon.log, encoding="utf-8", errors="replace") as log:
                last = [line.strip() for line in log if line.strip() and not line.startswith("{")]
            fleet.record.write(f"{daemon.name} has ended by itself with {daemon.process.returncode}: {last[-1:]}")
            ended.append(daemon.name)
            daemon.start()


async def case(fleet):
    fleet.store.__class__ = RefusingStore
    for _ in range(3):
        fleet.add_entry()
    for _ in range(2):
        fleet.add_side()
    await fleet.start(CONFIG)
    if not await fleet.wait_ready():
        return None
    end = time.monotonic() + OUTAGES * (DOWN_S + PAUSE_S)
    callers = [Caller(fleet) for _ in range(CALLERS)]
    tasks = [asyncio.ensure_future(caller.run(end)) for caller in callers]
    ended = []
    watch = asyncio.ensure_future(restart_ended(fleet, ended))
    for _ in range(OUTAGES):
        await asyncio.sleep(PAUSE_S)
        if p.TROUBLE:
            fleet.record.write("store: resets all connections from now on")
            fleet.store.down = True
            fleet.store.reset()
        await asyncio.sleep(DOWN_S)
        fleet.store.down = False
        fleet.record.write("store: serves again")
    for task in tasks:
        task.cancel()
    await asyncio.sleep(WATCH_S)
    watch.cancel()
    accepted = [submission for caller in callers for submission in caller.accepted]
    lost = [submission for submission in accepted if ("submission", "fleet", submission) not in fleet.store.rows]
    for submission in lost:
        fleet.record.write(f"LOST: {submission} was answered with 200; the store has no row of it; starts of its task: "
                           f"{len(fleet.ledger.starts_of(submission))}")
    unreadable = sum(len(caller.unreadable) for caller in callers)
    fleet.record.write(f"{sum(caller.answers for caller in callers)} answers, {unreadable} of them not HTTP; "
                       f"{len(accepted)} submissions accepted, {len(lost)} of them not stored; {len(fleet.ledger.twice)} "
                       f"starts twice; processes that ended by themselves: {ended}")
    return not unreadable and not ended and not lost and not fleet.ledger.twice


p.main(case)
