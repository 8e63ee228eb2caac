"""Stand-in of a runner of the users' platform (PROTOCOL.md), one process.

  runner.py '{"host":..., "port":..., "beats":"HOST:PORT", "id":..., ...}'

The text of a task says how it behaves, as JSON: `ms` is its run time, `cpu` and
`mem` its size, `saves` whether it has checkpoints, `tail` its tail latency, `fails` in how many of its
first runs on this deployment it fails. A run of a task that lasts has `ms` 0.
Starts and ends are appended to the log, one JSON line each.
"""

import http.client
import json
import os
import random
import signal
import sys
import threading
import time
import urllib.parse

from http11 import Server

MAX_LISTED_ENDS = 500
STOP_SECONDS = 0.05


class Run:
    def __init__(self, task, run, behaviour, done_ms):
        self.task, self.run, self.behaviour = task, run, behaviour
        self.begun, self.before_ms = time.monotonic(), done_ms

    def worked_ms(self):
        return self.before_ms + int((time.monotonic() - self.begun) * 1000)

    def left(self):
        ms = self.behaviour.get("ms", 0)
        return None if ms == 0 else (ms - self.worked_ms()) / 1000

    def saved(self, at_stop=False):
        if not self.behaviour.get("saves"):
            return ""
        step = 1 if at_stop else SAVE_MS
        worked = self.worked_ms() // step * step
        return "%08x%08x" % (worked, 0x5eed) if worked else ""


SAVE_MS = 2000


class Runner:
    def __init__(self, options):
        self.options = options
        self.born = int(time.time() * 1000)
        self.id = options["id"]
        self.log = open(options["log"], "a", buffering=1)
        self.lock = threading.Condition()
        self.runs, self.ends, self.highest = {}, [], {}
        self.next_end, self.fence, self.until_ms = 1, 0, 0
        self.started = time.monotonic()
        self.sequence, self.draining, self.leaving = 0, False, False
        self.post_lock, self.connection = threading.Lock(), None

    def clock_ms(self):
        return 1000 + int((time.monotonic() - self.started) * 1000)

    def note(self, event, **fields):
        self.log.write(json.dumps({"t": time.time(), "who": self.options["name"], "born": self.born, "event": event, **fields}) + "\n")

    def answer(self, status, **fields):
        return status, {"clockMs": self.clock_ms(), "born": self.born, **fields}

    def used(self, key):
        return sum(run.behaviour.get(key, 0) for run in self.runs.values())

    def end(self, run, how, saved=None):
        if self.runs.pop((run.task, run.run), None) is None:
            return
        saved = run.saved() if saved is None else saved
        self.highest[run.task] = max(run.run, self.highest.get(run.task, 0))
        self.ends.append([self.next_end, run.task, run.run, how, saved])
        self.note("end", task=run.task, run=run.run, how=how, number=self.next_end)
        self.next_end += 1
        self.lock.notify_all()

    def settle(self):
        """Ends what is due, and all runs once the lease has expired."""
        with self.lock:
            lapsed = self.clock_ms() > self.until_ms
            for run in list(self.runs.values()):
                left = run.left()
                if left is not None and left <= 0:
                    fails = run.behaviour.get("fails", 0) > 0
                    self.end(run, "failed" if fails else "done", "" if not fails else None)
                elif lapsed:
                    self.end(run, "lapsed")

    def extend(self, call):
        if call.get("untilMs"):
            limit = self.clock_ms() + self.options["max_hold_ms"]
            self.until_ms = max(self.until_ms, min(int(call["untilMs"]), limit))

    def start(self, call):
        task, run = call["task"], call["run"]
        self.extend(call)
        if (task, run) in self.runs:
            return self.answer(200)
        if run <= self.highest.get(task, 0):
            return self.answer(409, reason="old")
        if self.clock_ms() > self.until_ms:
            return self.answer(409, reason="late")
        behaviour = json.loads(call["spec"])
        if (self.used("cpu") + behaviour.get("cpu", 0) > self.options["cpu"]
                or self.used("mem") + behaviour.get("mem", 0) > self.options["mem"]):
            return self.answer(409, reason="room")
        checkpoint = call.get("checkpoint", "")
        self.runs[(task, run)] = Run(task, run, behaviour, int(checkpoint[:8], 16) if checkpoint else 0)
        self.note("start", task=task, run=run, checkpoint=checkpoint, fence=call.get("fence", 0))
        self.lock.notify_all()
        return self.answer(200)

    def stop(self, call):
        found = self.runs.get((call["task"], call["run"]))
        if found is None:
            self.highest[call["task"]] = max(call["run"], self.highest.get(call["task"], 0))
        else:
            def finish():
                with self.lock:
                    self.end(found, "stopped", found.saved(at_stop=True))
            timer = threading.Timer(STOP_SECONDS, finish)
            timer.daemon = True
            timer.start()
        return self.answer(200)

    def hold(self, call):
        self.extend(call)
        seen = call.get("lastSeen", 0)
        if any(end[0] <= seen for end in self.ends):
            self.note("seen", number=seen)
        self.ends = [end for end in self.ends if end[0] > seen]
        deadline = time.monotonic() + min(2000, call.get("waitMs", 0)) / 1000
        while not self.ends and time.monotonic() < deadline:
            self.lock.wait(deadline - time.monotonic())
        rows = []
        for run in self.runs.values():
            ms = run.behaviour.get("ms", 0)
            percent = 100 if ms == 0 else min(99, 100 * run.worked_ms() // ms)
            figure = run.behaviour.get("tail", run.behaviour.get("cpu", 0))
            rows.append([run.task, run.run, run.saved(), percent, figure])
        return self.answer(200, runningCount=rows, ended=self.ends[:MAX_LISTED_ENDS])

    def handle(self, method, path, headers, body):
        calls = {"/v1/run-start": self.start, "/v1/run-stop": self.stop, "/v1/hold": self.hold,
                 "/v1/pace": lambda call: self.answer(200)}
        if method != "POST" or path not in calls:
            return 404, {}
        call = json.loads(body)
        with self.lock:
            target = headers.get("X-Cuminjunction-Target-Instance")
            if target is not None and target != self.id:
                return self.answer(421)
            if call.get("fence", 0) < self.fence:
                return self.answer(409, reason="fence")
            self.fence = call.get("fence", 0)
            return calls[path](call)

    def post(self, path, body):
        """Sends on the kept connection to the agent. A connection without an
        answer within a second is given up."""
        with self.post_lock:
            if self.connection is None:
                host, port = self.options["beats"].split(":")
                self.connection = http.client.HTTPConnection(host, int(port), timeout=1)
            try:
                self.connection.request("POST", path, json.dumps(body), {"Content-Type": "application/json"})
                answer = self.connection.getresponse()
                answer.read()
                return 200 <= answer.status < 300
            except (OSError, http.client.HTTPException):
                self.connection.close()
                self.connection = None
                return False

    def beat(self):
        options = self.options
        while not self.leaving:
            with self.lock:
                self.sequence += 1
                body = {"service": options["service"], "address": "%s:%d" % (options["host"], options["port"]),
                        "zone": options["zone"], "version": "v1", "slots": 8,
                        "state": "draining" if self.draining else "ready", "coldLeftMs": 0,
                        "capacity": {"cpu": options["cpu"], "memMb": options["mem"], "gpu": 0},
                        "labels": options["labels"], "clockMs": self.clock_ms(), "born": self.born,
                        "sequence": self.sequence}
                if self.draining:
                    body["drainRemainingMs"] = 0
            self.post("/v1/instances/%s/heartbeat" % self.id, body)
            time.sleep(options["heartbeat_s"])

    def watch(self):
        while True:
            self.settle()
            time.sleep(0.01)

    def leave(self):
        """A planned end: drains, says that it leaves, and ends."""
        self.draining = True
        self.note("draining")
        time.sleep(self.options["heartbeat_s"] + self.options["drain_s"])
        self.leaving = True
        self.note("leaving")
        time.sleep(0.3)
        acked = self.post("/v1/instances/%s/deregister" % self.id, {"born": self.born})
        self.note("left", acked=acked)
        os._exit(0)


def main():
    random.seed()
    runner = Runner(json.loads(sys.argv[1]))
    server = Server((runner.options["host"], runner.options["port"]), runner.handle)
    runner.note("up", id=runner.id)
    for action in (runner.beat, runner.watch):
        threading.Thread(target=action, daemon=True).start()
    signal.signal(signal.SIGTERM, lambda *_: threading.Thread(target=runner.leave, daemon=True).start())
    server.serve_forever()


main()
