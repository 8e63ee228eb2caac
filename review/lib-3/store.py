"""Stand-in of the platform's metadata store (PROTOCOL.md), one process.

  store.py HOST PORT LOG

It keeps the limits that the pages state: 100 entries and 1 MB a transaction,
`rowBytes` a row, 500 rows or 1 MB a page. A transaction beyond them is answered
with 400 and has no effect. `POST /operator` is the operator's own access.
"""

import base64
import json
import sys
import threading
import time
import urllib.parse

from http11 import Server

ROW_BYTES = 65536
MAX_CALL_BYTES = 1_000_000
MAX_ENTRIES = 100
MAX_ROWS = 500
TX_SECONDS = 0.003
OPERATOR_TABLES = ("op", "servers")


class Store:
    def __init__(self, log):
        self.log = open(log, "a", buffering=1)
        self.rows = {}
        self.deleted = {}
        self.version = 0
        self.changed = threading.Condition()
        self.started = time.monotonic()

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    def note(self, event, **fields):
        self.log.write(json.dumps({"t": time.time(), "who": "store", "event": event, **fields}) + "\n")

    def answer(self, status, **fields):
        return status, {"schemaVersion": self.version, "nowMs": self.now_ms(), **fields}

    def row(self, name):
        value, version = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2], "value": value, "schemaVersion": version}

    def reject(self, reason, **fields):
        self.note("transaction_rejected", reason=reason, **fields)
        return self.answer(400, error=reason)

    def transact(self, body, operator=False):
        call = json.loads(body)
        expect, puts, removes = (call.get(key) or [] for key in ("expect", "setKeys", "remove"))
        name = lambda entry: (entry["table"], entry.get("part", ""), entry["key"])
        tables = sorted({entry["table"] for entry in puts + removes})
        if len(body) > MAX_CALL_BYTES or len(expect) + len(puts) + len(removes) > MAX_ENTRIES:
            return self.reject("transaction too large", bytes=len(body), tables=tables)
        for put in puts:
            size = len(base64.b64decode(put["value"]))
            if size > ROW_BYTES:
                return self.reject("row too large", bytes=size, table=put["table"], key=put["key"])
        if not operator and any(table in OPERATOR_TABLES for table in tables):
            return self.answer(403)
        with self.changed:
            time.sleep(TX_SECONDS)
            if any(self.rows.get(name(e), ("", 0))[1] != e["schemaVersion"] for e in expect):
                return self.answer(412, rows=[self.row(name(e)) for e in expect if name(e) in self.rows])
            self.version += 1
            for put in puts:
                self.rows[name(put)] = (put["value"], self.version)
                self.deleted.pop(name(put), None)
            for entry in removes:
                if self.rows.pop(name(entry), None):
                    self.deleted[name(entry)] = self.version
            self.changed.notify_all()
            return self.answer(200)

    def page(self, names):
        rows, size = [], 0
        for name in names:
            row = self.row(name)
            size += len(row["value"]) + 200
            if len(rows) >= MAX_ROWS or size > MAX_CALL_BYTES:
                return rows, True
            rows.append(row)
        return rows, False

    def read(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        start, end = query.get("from", ""), query.get("to")
        with self.changed:
            names = sorted(
                (n for n in self.rows if n[0] == table and n[1] == part and n[2] >= start and (end is None or n[2] < end)),
                key=lambda n: n[2].encode())
            limit = int(query.get("limit") or 0)
            more = bool(limit) and len(names) > limit
            rows, cut = self.page(names[:limit] if limit else names)
            return self.answer(200, rows=rows, hasMore=more or cut)

    def feed(self, query):
        table, after = query.get("table", ""), int(query.get("after") or 0)
        deadline = time.monotonic() + int(query.get("waitMs") or 0) / 1000
        with self.changed:
            while True:
                found = [(v[1], n, False) for n, v in self.rows.items() if n[0] == table and v[1] > after]
                found += [(v, n, True) for n, v in self.deleted.items() if n[0] == table and v > after]
                left = deadline - time.monotonic()
                if found or left <= 0:
                    break
                self.changed.wait(left)
            rows, size = [], 0
            for version, name, gone in sorted(found):
                row = ({"table": name[0], "part": name[1], "key": name[2], "value": "", "schemaVersion": version,
                        "deleted": True} if gone else self.row(name))
                size += len(row["value"]) + 200
                if len(rows) >= MAX_ROWS or size > MAX_CALL_BYTES:
                    break
                rows.append(row)
            return self.answer(200, rows=rows)

    def handle(self, method, path, headers, body):
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if method == "POST" and url.path == "/v1/rows-tx":
            return self.transact(body)
        if method == "POST" and url.path == "/operator":
            return self.transact(body, operator=True)
        if method == "GET" and url.path == "/v1/rows-get":
            return self.read(query)
        if method == "GET" and url.path == "/v1/rows-feed":
            return self.feed(query)
        if method == "GET" and url.path == "/v1/rows-parts":
            with self.changed:
                parts = sorted({n[1] for n in self.rows if n[0] == query.get("table")})
            return self.answer(200, parts=[p for p in parts if p > query.get("after", "")])
        return 404, {}


def main():
    store = Store(sys.argv[3])
    Server((sys.argv[1], int(sys.argv[2])), store.handle).serve_forever()


main()
