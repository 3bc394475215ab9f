"""Stand-ins of the platform, the databases and the clients for the scripts of this review.

They follow PROTOCOL.md. Everything listens on loopback addresses, at ports that are free when a script starts.
Python 3.11 or later with its standard library alone.
"""

import base64
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = pathlib.Path(__file__).resolve().parents[2]

RULE_HELD = 0
RULE_BROKEN = 1
NOT_RUN = 2

CONNECT_S = 2.0
PROMOTE_S = 0.6
DARK_S = 3.0
ENTRY_S = 3.6  # three heartbeats of 1.2 s
FIRST_PORT = 20_000
PORTS = 11_000


class CannotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the time since the start of the script."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()
        self._lock = threading.Lock()

    def now(self):
        return time.monotonic() - self._start

    def write(self, source, text):
        with self._lock:
            self._file.write(f"{self.now():9.3f} {source}: {text}\n")
            self._file.flush()

    def close(self):
        self._file.close()


class Store:
    """The platform's store: linearizable, with leases that expire, and the operator's acknowledged writes."""

    def __init__(self, record):
        self.record = record
        self._changed = threading.Condition()
        self._items = {}
        self._events = []
        self._revision = 100
        self._leases = {}
        self._last_lease = 7000
        self.failovers = []
        self.on_failover = lambda service, database, holder, token: 200
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def _handle(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                url = urllib.parse.urlsplit(self.path)
                query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
                status, answer = store._answer(self.command, url.path, query, body, self.headers)
                payload = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(payload)))
                self.end_headers()
                try:
                    self.wfile.write(payload)
                except OSError:
                    self.close_connection = True  # the node ended or gave the call up

            do_GET = do_POST = do_DELETE = _handle

        class Server(ThreadingHTTPServer):
            def handle_error(self, *_):
                """A node that ends resets its connections."""

        self._server = Server(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self.address = "127.0.0.1:%d" % self._server.server_address[1]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, key, value):
        """Writes as the operator or a database does, and returns the time of the acknowledgement."""
        with self._changed:
            self._put(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)
        return time.monotonic()

    def remove(self, key):
        with self._changed:
            self._delete(key)

    def keys(self, prefix):
        with self._changed:
            self._expire()
            return sorted(key for key in self._items if key.startswith(prefix))

    def close(self):
        self._server.shutdown()

    def _put(self, key, value, lease):
        self._revision += 1
        created = self._items[key]["createdRev"] if key in self._items else self._revision
        item = {"key": key, "value": value, "revision": self._revision, "createdRev": created, "leaseId": lease}
        self._items[key] = item
        self._events.append(item)
        self._changed.notify_all()

    def _delete(self, key):
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._events.append({"key": key, "revision": self._revision, "compacted": True})
            self._changed.notify_all()

    def _expire(self):
        now = time.monotonic()
        for lease in [lease for lease, (_, end) in self._leases.items() if end <= now]:
            self._end(lease)

    def _end(self, lease):
        if self._leases.pop(lease, None) is None:
            return False
        for key in [key for key, item in self._items.items() if item["leaseId"] == lease]:
            self._delete(key)
        return True

    def _answer(self, method, path, query, body, headers):
        if path == "/failover":
            request = json.loads(body)
            holder, token = headers["X-Lease-Holder"], int(headers["X-Fencing-Token"])
            status = self.on_failover(request["service"], request["id"], holder, token)
            self.record.write("cloud", f"POST /failover {request} holder={holder} token={token} -> {status}")
            return status, {}
        time.sleep(0.004)
        parts = path.removeprefix("/geraniumproxy/").split("/")
        with self._changed:
            self._expire()
            match parts[0]:
                case "kv-key":
                    item = self._items.get(query["key"])
                    return (200, {**item, "atRev": self._revision}) if item else (404, {"atRev": self._revision})
                case "kv-range":
                    after = query.get("after", "")
                    found = [self._items[key] for key in sorted(self._items)
                             if key.startswith(query.get("prefix", "")) and key > after]
                    return 200, {"items": found, "hasMore": False, "atRev": self._revision}
                case "kv-watch":
                    return self._watch(query)
                case "kv-txn":
                    return self._transaction(json.loads(body))
                case "kv-lease":
                    self._last_lease += 1
                    return self._grant(self._last_lease, json.loads(body)["ttlMs"])
                case "kv-keep":
                    lease = int(parts[1])
                    return self._grant(lease, self._leases[lease][0]) if lease in self._leases else (404, {})
                case "kv-lease-end":
                    return (200, {}) if self._end(int(parts[1])) else (404, {})
        return 404, {}

    def _grant(self, lease, ttl):
        self._leases[lease] = (ttl, time.monotonic() + ttl / 1000)
        return 200, {"leaseId": lease, "ttlMs": ttl}

    def _watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            self._expire()
            found = [e for e in self._events if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "atRev": self._revision}
            self._changed.wait(min(left, 0.05))

    def _transaction(self, body):
        rows = body.get("expect", [])
        current = [self._items[row["key"]] for row in rows if row["key"] in self._items]
        revisions = {item["key"]: item["revision"] for item in current}
        if any(revisions.get(row["key"], 0) != row["revision"] for row in rows):
            return 412, {"items": current}
        puts = body.get("puts", [])
        if any(put.get("leaseId", 0) and put["leaseId"] not in self._leases for put in puts):
            return 404, {}
        for put in puts:
            self._put(put["key"], put["value"], put.get("leaseId", 0))
        for key in body.get("deletes", []):
            self._delete(key)
        return 200, {"revision": self._revision}


class Lines:
    """A connection that exchanges lines ended by CR LF."""

    def __init__(self, sock):
        self.sock = sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._file = sock.makefile("rb")

    def read(self):
        line = self._file.readline()
        if not line.endswith(b"\r\n"):
            raise ConnectionError("the connection ended")
        return line[:-2].decode()

    def write(self, text):
        self.sock.sendall(text.encode())

    def close(self):
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()


class Group:
    """A service of one primary and replicas that receive and apply each commit at once, unless they are paused."""

    def __init__(self, service, record, store, size=3, slots=5, max_connections=60):
        self.service = service
        self.record = record
        self.store = store
        self.lock = threading.RLock()
        self.received = threading.Condition(self.lock)
        self.max_connections = max_connections
        self.rows = {}
        self.runs = []
        self.token = 0
        self.promoted = []
        self.positions = {}
        self.databases = [Database(self, f"i-{service}{index}", index == 0, slots) for index in range(size)]

    def register(self):
        for database in self.databases:
            if database.running:
                self.store.put("servers/" + database.id, database.entry())

    def commit(self, primary, writes):
        """Commits at the primary and waits until a replica has received it (`syncReplicas` 1)."""
        primary.number += 1
        self.rows.update(writes)
        position = (primary.term, primary.number)
        self.positions.update({item: position for item, _ in writes})
        self._replicate(primary)
        while primary.primary and primary.running and not any(
                (replica.term, replica.number) >= position for replica in self.databases if replica is not primary):
            self.received.wait(0.05)
            self._replicate(primary)
        return primary.primary and primary.running

    def lost_items(self, acknowledged):
        """Returns the writes that were acknowledged before a promotion and that the promoted log lacks."""
        with self.lock:
            return {
                name: [item for item, when in acknowledged.items()
                       if when < at and (term, number) < self.positions[item]]
                for name, term, number, at in self.promoted}

    def _replicate(self, primary):
        for replica in self.databases:
            if primary.primary and replica is not primary and replica.receives():
                replica.term, replica.number = primary.term, primary.number
        self.received.notify_all()

    def promote(self, target, token):
        """Handles a call to the platform; the promotion takes effect some hundred milliseconds later."""
        with self.lock:
            if token < self.token:
                return 409
            if not target.running:
                return 409
            self.token = token
            if target.primary:
                return 200
        threading.Timer(PROMOTE_S, self._lead, (target,)).start()
        return 200

    def _lead(self, target):
        with self.lock:
            if not target.running:
                return
            term = max(database.term for database in self.databases) + 1
            logs = {database.id: database.log_text() for database in self.databases}
            self.promoted.append((target.id, target.term, target.number, time.monotonic()))
            for database in self.databases:
                database.primary = database is target
                database.held = 0
            target.term = term
            self._replicate(target)
        self.record.write(f"database {target.id}", f"leads term {term}; the logs were {logs}")
        self.register()

    def stored_rows(self, item):
        """Returns the rows of an item: a list, or one value."""
        value = self.rows.get(item, "empty")
        return value if isinstance(value, list) else [value]

    def runs_of(self, request):
        with self.lock:
            return [run for run in self.runs if run["id"] == request]


class Database:
    """One database: sessions with values, prepared names and transactions, as PROTOCOL.md describes them."""

    def __init__(self, group, name, primary, slots):
        self.group = group
        self.id = name
        self.primary = primary
        self.term = 3
        self.number = 1207
        self.held = 0
        self.deaf = False
        self.running = True
        self.slots = slots
        self.state = "ready"
        self.sequence = 0
        self.connections = 0
        self.opened = []
        self.silent = set()
        self._sockets = {}
        self._listen(0)
        self.port = self._server.getsockname()[1]

    def _listen(self, port):
        self._server = socket.create_server(("127.0.0.1", port), backlog=256)
        threading.Thread(target=self._accept, args=(self._server,), daemon=True).start()

    def receives(self):
        return self.running and self.held == 0 and not self.deaf

    def log_text(self):
        return f"{self.position()}" + ("" if self.running else " (down)")

    def crash(self, down_s):
        """Ends the process; its entry expires after three heartbeats, and it is back with its log after a while."""
        with self.group.lock:
            self.running = False
            self._server.shutdown(socket.SHUT_RDWR)
            self._server.close()
            sockets = list(self._sockets.values())
        for sock in sockets:
            sock.close()
        self.group.record.write(f"database {self.id}", f"crashes at {self.position()}")
        threading.Timer(ENTRY_S, self._expire).start()
        if down_s is not None:
            threading.Timer(down_s, self._restart).start()

    def _expire(self):
        if not self.running:
            self.group.store.remove("servers/" + self.id)
            self.group.record.write(f"database {self.id}", "its entry has expired")

    def _restart(self):
        with self.group.lock:
            self.held, self.deaf = 0, False
            self._listen(self.port)
            self.running = True
        self.group.store.put("servers/" + self.id, self.entry())
        self.group.record.write(f"database {self.id}", f"is back at {self.position()}, primary={self.primary}")

    def entry(self):
        self.sequence += 1
        return {"service": self.group.service, "address": f"127.0.0.1:{self.port}", "zone": "zone-a",
                "version": "v1", "capacity": self.slots, "state": self.state, "warmupLeftMs": 0,
                "dbRole": "primary" if self.primary else "replica", "seqNo": self.sequence, "born": 1}

    def position(self):
        return f"{self.term}.{self.number}"

    def silence_open_connections(self):
        """From now on nothing passes on the present connections, in either direction; new ones work.

        The database notices after a while that the far end is dark, and drops them; the other side learns nothing.
        """
        with self.group.lock:
            dark = list(self.opened)
            self.silent.update(dark)
        threading.Timer(DARK_S, self._drop, (dark,)).start()

    def _drop(self, numbers):
        with self.group.lock:
            for number in numbers:
                if number in self.opened:
                    self.opened.remove(number)
                    self._log(number, "dropped, its far end is dark")

    def close(self):
        self._server.close()

    def _accept(self, server):
        while True:
            try:
                sock, _ = server.accept()
            except OSError:
                return
            if not self.running:
                sock.close()
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        lines = Lines(sock)
        with self.group.lock:
            self.connections += 1
            number = self.connections
            self._sockets[number] = lines
        try:
            connect = lines.read().split(" ")
            if connect[0] != "CONNECT" or connect[1] != self.group.service \
                    or (len(connect) > 3 and connect[3] != self.id):
                lines.write(f"ERROR WRONGNODE {self.id}\r\n")
                return
            session = _DatabaseSession(self, number, connect[2])
            with self.group.lock:
                if len(self.opened) >= self.group.max_connections:
                    self._log(number, "refused, CONNLIMIT")
                    lines.write("ERROR CONNLIMIT x\r\n")
                    return
                self.opened.append(number)
            self._log(number, "opened by " + connect[2])
            lines.write(session.ready())
            while True:
                line = lines.read()
                if number in self.silent:
                    continue
                kind, request, text = line.split(" ", 2)
                answer = session.answer(request, text)
                self._log(number, f"{line[:200]} -> " + answer[:200].strip().replace("\r\n", " | "))
                lines.write(answer)
        except (ConnectionError, OSError, ValueError):
            self._log(number, "closed")
        finally:
            with self.group.lock:
                self._sockets.pop(number, None)
                if number in self.opened:
                    self.opened.remove(number)
            lines.close()

    def _log(self, number, text):
        self.group.record.write(f"database {self.id} connection {number}", text)


class _DatabaseSession:
    def __init__(self, database, number, tenant):
        self.database = database
        self.group = database.group
        self.number = number
        self.tenant = tenant
        self.values = {}
        self.prepared = {}
        self.state = "I"
        self.read_only = False
        self.writes = []

    def ready(self):
        return f"READY {self.state} {self.database.position()}\r\n"

    def answer(self, request, text):
        with self.group.lock:
            return self._answer(request, text.split(" "))

    def _answer(self, request, words):
        if words[0] == "WAITLSN":
            term, number = words[1].split(".")
            if (int(term), int(number)) > (self.database.term, self.database.number):
                return self._error("LAGGING")
            words = words[2:]
        if self.state == "E" and words[0] not in ("COMMIT", "ABORT"):
            return self._error("MALFORMED")
        match words[0]:
            case "STATUS" | "PAUSE" | "UNPAUSE" | "STEPDOWN":
                return self._control(words)
            case "DISCARD":
                self.values, self.prepared = {}, {}
                return self._complete()
            case "SETOPT":
                self.values[words[1]] = " ".join(words[2:])
                return self._complete()
            case "PREPARE":
                self.prepared[words[1]] = " ".join(words[2:])
                return self._complete()
            case "DEALLOC":
                return self._complete() if self.prepared.pop(words[1], None) else self._error("NOSTMT")
            case "BEGIN":
                if len(words) == 1 and not self.database.primary:
                    return self._error("READONLY")
                self.state, self.read_only, self.writes = "T", len(words) > 1, []
                return self._complete()
            case "ABORT":
                self.state, self.writes = "I", []
                return self._complete()
            case "COMMIT":
                return self._commit(request)
            case "EXECUTE":
                shape = self.prepared.get(words[1])
                if shape is None:
                    return self._error("NOSTMT")
                return self._run(request, shape.split(" ")[0], words[2:], shape)
        return self._run(request, words[0], words[1:], None)

    def _control(self, words):
        database = self.database
        newest = max(other.term for other in self.group.databases)
        match words[0]:
            case "PAUSE" if not database.primary and int(words[1]) > newest:
                database.held = int(words[1])
            case "UNPAUSE":
                database.held = 0
            case "STEPDOWN" if database.primary and database.term < int(words[1]):
                database.primary = False
                threading.Thread(
                    target=self.group.store.put, args=("servers/" + database.id, database.entry())).start()
        role = "primary" if database.primary else "replica"
        return self._complete(f"ROW {role} {database.term} {database.position()} {database.held} 0 0 "
                              f"{len(database.opened)}\r\n")

    def _run(self, request, verb, arguments, shape):
        item = arguments[0]
        if not self.database.primary and (verb == "PUT" or (self.state == "T" and not self.read_only)):
            return self._error("READONLY")
        self.group.runs.append({
            "id": request, "verb": verb, "item": item, "shape": shape, "database": self.database.id,
            "connection": self.number, "tenant": self.tenant, "in_transaction": self.state == "T", "values": dict(self.values), "at": time.monotonic()})
        if verb == "FETCH":
            rows = self.group.stored_rows(item)
            return self._complete("".join(f"ROW {row}\r\n" for row in rows), self._signature(request))
        self.writes.append((item, " ".join(arguments[1:])))
        if self.state == "I" and not self._apply():
            return self._error("INDOUBT")
        return self._complete("", self._signature(request))

    def _commit(self, request):
        if self.state == "E":
            self.state, self.writes = "I", []
            return self._error("ROLLEDBACK")
        if self.writes and not self.database.primary:
            self.state, self.writes = "I", []
            return self._error("READONLY")
        self.group.runs.append({
            "id": request, "verb": "COMMIT", "item": "", "shape": None, "database": self.database.id,
            "connection": self.number, "tenant": self.tenant, "in_transaction": self.state == "T", "values": dict(self.values), "at": time.monotonic()})
        acknowledged = self._apply()
        self.state = "I"
        return self._complete("", self._signature(request)) if acknowledged else self._error("INDOUBT")

    def _apply(self):
        """Commits the writes; false if the database lost the lead before a replica had received them."""
        writes, self.writes = self.writes, []
        return not writes or self.group.commit(self.database, writes)

    def _signature(self, request):
        return f"{self.database.id}.{request}"

    def _error(self, code):
        if self.state == "T":
            self.state = "E"
        return f"ERROR {code} x\r\n" + self.ready()

    def _complete(self, rows="", signature="-"):
        return f"{rows}COMPLETE {signature}\r\n" + self.ready()


class Answer:
    def __init__(self, rows, result, state):
        self.rows, self.result, self.state = rows, result, state

    @property
    def ok(self):
        return self.result.startswith("COMPLETE")

    @property
    def code(self):
        return "" if self.ok else self.result.split(" ")[1]


class Client:
    """A client's session: one connection, one statement at a time."""

    _lock = threading.Lock()
    _last = 0

    def __init__(self, record, name, port, database, key, timeout=8.0):
        self.record = record
        self.name = name
        self.requests = []
        self.lines = Lines(socket.create_connection(("127.0.0.1", port), CONNECT_S))
        self.lines.sock.settimeout(timeout)
        self.lines.write(f"CONNECT {database} {key}\r\n")
        self.accepted = self.lines.read()
        record.write(name, f"CONNECT {database} {key} -> {self.accepted}")

    def query(self, text):
        with Client._lock:
            Client._last += 1
            request = f"{Client._last:016x}"
        self.requests.append(request)
        self.record.write(self.name, f"QUERY {request} {text[:200]}")
        self.lines.write(f"QUERY {request} {text}\r\n")
        rows, result = [], ""
        while True:
            line = self.lines.read()
            if line.startswith("ROW "):
                rows.append(line[4:])
            elif line.startswith("READY "):
                break
            else:
                result = line
        self.record.write(self.name, f"QUERY {request} -> {str(rows)[:200]} {result} {line}")
        answer = Answer(rows, result, line.split(" ")[1])
        answer.request = request
        return answer

    def must(self, text):
        answer = self.query(text)
        if not answer.ok:
            raise CannotRun(f"{self.name}: {text} was answered {answer.result}")
        return answer

    def close(self):
        self.lines.close()


class Node:
    """The node as the deploy file starts it."""

    def __init__(self, lab, name, zone="zone-a", region="region-a"):
        self.lab = lab
        self.name = name
        self.frontend, self.ready_port, self.metrics, self.peer = (lab.free_port() for _ in range(4))
        self.settings = lab.folder / f"{name}.json"
        self.log = lab.folder / f"{name}.log"
        self.process = None
        self.settings.write_text(json.dumps({
            "nodeName": name, "role": "node", "machineClass": "edge", "serves": ["edge"], "ip": "127.0.0.1",
            "zone": zone, "region": region, "zones": {zone: region},
            "listenAddrs": {"frontend": f"127.0.0.1:{self.frontend}", "ready": f"127.0.0.1:{self.ready_port}"},
            "portRange": [self.peer, self.peer], "seedNodes": [], "bootstrap": True, "inFailureBudget": False,
            "limits": {"cpuQuota": 0.57, "cpuCores": 2, "memoryMb": 560, "maxFds": 6300, "bandwidthMbps": 1500.0,
                       "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entryKind": "vip", "heartbeatMs": 1200,
            "invariants": ["base", "drain", "config", "cost", "recover", "sql", "tenants", "quota", "platform"],
            "faultTolerance": {"machineFailures": 1, "zones": 0, "regionFailures": 0},
            "bounds": BOUNDS,
            "platform": {"address": lab.store.address, "form": "kv", "writesPerS": 400, "readsPerS": 2000,
                         "historyS": 20, "maxValueBytes": 1048576, "ttlMinMs": 1000},
            "cloudApi": {"address": lab.store.address, "ratePerS": 50.0, "duties": ["failover"],
                         "dutiesPerS": 50.0}}))

    def start(self):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "JAVA_HOME", "LANG") if key in os.environ}
        environment |= role.get("env", {})
        environment |= {"METRICS_PORT": str(self.metrics), "GERANIUMPROXY_SETTINGS": str(self.settings)}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(" "), cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT)
        self.lab.record.write(self.name, "started")

    def is_ready(self):
        try:
            with socket.create_connection(("127.0.0.1", self.ready_port), 1.0) as sock:
                sock.settimeout(1.0)
                sock.sendall(b"GET /geraniumproxy/readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def await_ready(self, limit=20.0):
        end = time.monotonic() + limit
        while not self.is_ready():
            if self.process.poll() is not None or time.monotonic() > end:
                raise CannotRun(f"{self.name} did not become ready: " + self.log.read_text()[-2000:])
            time.sleep(0.05)
        self.lab.record.write(self.name, "ready")

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.lab.record.write(self.name, "killed")

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "connectedMs": 4000, "ackTimeoutMs": 5000, "catchUpS": 4, "drainMs": 7000,
          "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000, "downgradeSlackMs": 250, "partitionSlackMs": 12000,
          "revokeStrict": False, "revokeMs": 5000, "quotaWindowS": 5, "quotaOvershoot": 0.1, "quotaTolerance": 20,
          "recoveryS": 12, "fencingEnforced": True, "unfreezeSlackMs": 300}


class Lab:
    """A store, services and nodes on this machine, ended together."""

    def __init__(self, case):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(pathlib.Path(case) / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record.write("script", f"trouble={self.trouble}")
        self.store = Store(self.record)
        self.store.on_failover = self._failover
        self.groups = []
        self.nodes = []
        self._last_port = FIRST_PORT + os.getpid() * 211 % PORTS

    def free_port(self):
        """Returns a port below those of outgoing connections, so that a node can be started at it again."""
        for _ in range(PORTS):
            self._last_port = FIRST_PORT + (self._last_port + 1 - FIRST_PORT) % PORTS
            with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                try:
                    tcp.bind(("127.0.0.1", self._last_port))
                    udp.bind(("127.0.0.1", self._last_port))
                except OSError:
                    continue
            return self._last_port
        raise CannotRun("no free port")

    def add_group(self, service, **options):
        group = Group(service, self.record, self.store, **options)
        self.groups.append(group)
        group.register()
        return group

    def _failover(self, service, name, _, token):
        for group in self.groups:
            for database in group.databases:
                if group.service == service and database.id == name:
                    return group.promote(database, token)
        return 409

    def start_nodes(self, *names):
        started = [Node(self, name) for name in names]
        self.nodes += started
        for node in started:
            node.start()
        for node in started:
            node.await_ready()
        return started

    def close(self):
        for node in self.nodes:
            node.end()
        self.store.close()
        for group in self.groups:
            for database in group.databases:
                database.close()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes, tenants, service, max_connections=60, idle_ms=3000):
    return {
        "version": version,
        "routes": [{"name": "r-" + host, "host": host, "prefix": "/", "kind": kind, "timeoutMs": 1000,
                    "targetLatencyMs": 400, "priority": 1, "service": service, "maxAttempts": 2,
                    "public": False, **({"maxStalenessMs": 1500} if kind != "primary" else {})}
                   for host, kind in routes.items()],
        "services": [{"name": service, "healthPath": "/healthz", "maxConns": max_connections, "protocol": "h1",
                      "tls": False, "syncReplicas": 1}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000, "txnIdleMs": idle_ms},
        "tenants": [{"name": name, "apiKeys": keys, "priority": 1, "ratePerS": 200, "burst": 200}
                    for name, keys in tenants.items()]}


def main(case, play):
    """Plays a case and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run."""
    lab = Lab(pathlib.Path(case).resolve().parent)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    status = NOT_RUN
    try:
        broken = play(lab)
        status = RULE_BROKEN if broken else RULE_HELD
        for line in broken or ["the rule held"]:
            lab.record.write("check", line)
            print(line)
    except (CannotRun, ConnectionError, OSError) as error:
        lab.record.write("script", f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
    finally:
        lab.close()
    sys.exit(status)
