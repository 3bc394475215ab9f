"""Stand-ins of the users' platform, databases and clients for the scripts of this review.

Everything runs in one event loop on 127.0.0.1. The nodes under test are separate processes, started with the command of
deploy/system.toml. The stand-ins follow PROTOCOL.md and DEPLOY.md; where a page is silent they behave like a sound
server, client or platform.
"""

import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
PROMISES = {"BUSY", "ROLLEDBACK", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}


def free_port():
    with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        tcp.bind((HOST, 0))
        udp.bind((HOST, tcp.getsockname()[1]))
        return tcp.getsockname()[1]


class Record:
    """Writes what was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


class HttpServer:
    """Minimal HTTP/1.1 server with keep-alive; `answer` returns (status, JSON object)."""

    def __init__(self):
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0, backlog=256)
        self.port = server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def serve(self, reader, writer):
        try:
            while True:
                request = (await reader.readline()).decode().split()
                if len(request) < 3:
                    break
                headers = {}
                while True:
                    line = (await reader.readline()).decode().strip()
                    if not line:
                        break
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, answer = await self.answer(request[0], request[1], headers, body)
                payload = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode() + payload)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


class Store(HttpServer):
    """The platform's metadata store."""

    def __init__(self):
        super().__init__()
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 7000
        self.changed = asyncio.Event()
        self.late = lambda body: None

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["createdRev"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "createdRev": created, "leaseId": lease}
        self.items[key] = item
        self.publish(item)
        return self.revision

    def delete(self, key):
        if key in self.items:
            del self.items[key]
            self.revision += 1
            self.publish({"key": key, "revision": self.revision, "compacted": True})

    def publish(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [key for key, item in self.items.items() if item["leaseId"] == lease]:
            self.delete(key)
        return True

    def expire(self):
        now = time.monotonic()
        for lease in [lease for lease, (_, until) in self.leases.items() if until <= now]:
            self.end_lease(lease)

    async def expire_forever(self):
        while True:
            self.expire()
            await asyncio.sleep(0.05)

    async def answer(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        self.expire()
        path, _, query = target.partition("?")
        call = path.removeprefix("/geraniumproxy/")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if call == "kv-range":
            prefix, after = fields.get("prefix", ""), fields.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.items[key] for key in keys[:500]]
            return 200, {"items": items, "hasMore": len(keys) > 500, "atRev": self.revision}
        if call == "kv-key":
            item = self.items.get(fields["key"])
            return (200, {**item, "atRev": self.revision}) if item else (404, {"atRev": self.revision})
        if call == "kv-watch":
            return await self.watch(fields["prefix"], int(fields["after"]), int(fields["waitMs"]) / 1000)
        if call == "kv-txn":
            delay = self.late(json.loads(body))
            if delay is None:
                return self.transact(json.loads(body))
            asyncio.get_running_loop().call_later(delay, self.transact, json.loads(body))
            await asyncio.sleep(3600)
        if call == "kv-lease":
            self.next_lease += 1
            ttl = json.loads(body)["ttlMs"]
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"leaseId": self.next_lease, "ttlMs": ttl}
        name, _, number = call.partition("/")
        if name == "kv-keep" and int(number) in self.leases:
            ttl = self.leases[int(number)][0]
            self.leases[int(number)] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttlMs": ttl}
        if name == "kv-lease-end" and self.end_lease(int(number)):
            return 200, {}
        return 404, {}

    async def watch(self, prefix, after, wait):
        until = time.monotonic() + wait
        while True:
            events = [event for event in self.events if event["revision"] > after and event["key"].startswith(prefix)]
            remaining = until - time.monotonic()
            if events or remaining <= 0:
                return 200, {"events": events, "atRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        expected = body.get("expect", [])
        if any(self.items.get(row["key"], {"revision": 0})["revision"] != row["revision"] for row in expected):
            return 412, {"items": [self.items[row["key"]] for row in expected if row["key"] in self.items]}
        if any(put.get("leaseId", 0) and put["leaseId"] not in self.leases for put in body.get("puts", [])):
            return 404, {}
        for put in body.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("leaseId", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}


class CloudApi(HttpServer):
    """Promotes databases; checks fencing tokens."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.groups = {}
        self.newest_token = {}
        self.on_asked = lambda target: None

    async def answer(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        call = json.loads(body)
        token = int(headers["x-fencing-token"])
        self.record.write(f"failover asked: {call} token={token} holder={headers['x-lease-holder']}")
        self.on_asked(call["id"])
        if token < self.newest_token.get(call["service"], 0):
            return 409, {}
        self.newest_token[call["service"]] = token
        return (200, {}) if self.groups[call["service"]].promote(call["id"]) else (409, {})


class Group:
    """A service: one primary and its replicas. Between zones a copy of a commit takes `copy_s`, in one almost nothing."""

    def __init__(self, name, store, record, sync=1, copy_s=0.012, lag_s=0.008, promote_s=0.6):
        self.name, self.store, self.record = name, store, record
        self.sync, self.copy_s, self.lag_s, self.promote_s = sync, copy_s, lag_s, promote_s
        self.databases = {}
        self.term = 3
        self.primary = None
        self.committed = {}
        self.dropped = {}
        self.ran_as = {}
        self.late_order = lambda database, words: None

    def add(self, database):
        self.databases[database.id] = database
        database.group = self
        if self.primary is None:
            self.primary = database
        else:
            database.log = list(self.primary.log)
            database.applied = len(database.log)

    def distance(self, one, other):
        return 0.0003 if one.zone == other.zone else self.copy_s

    def promote(self, name):
        target = self.databases.get(name)
        if target is None or not target.running:
            return False
        if target is not self.primary:
            asyncio.get_running_loop().call_later(self.promote_s, self.lead, target)
        return True

    def lead(self, target):
        if target is self.primary or not target.running:
            return
        self.term += 1
        self.primary = target
        kept = set(target.log)
        for identifier in self.committed:
            if identifier not in kept and identifier not in self.dropped:
                self.dropped[identifier] = target.id
                self.record.write(f"{identifier} was acknowledged earlier and isn't in the log of {target.id}")
        self.record.write(f"database {target.id} leads term {self.term} with {target.position()}; the logs were "
                          f"{ {name: len(database.log) for name, database in self.databases.items()} }")
        for database in self.databases.values():
            database.stopped_term = 0
            database.log = list(target.log)
            database.applied = len(database.log)
        for database in self.databases.values():
            database.announce()


class Demoted(Exception):
    """The primary lost the lead before a commit could be acknowledged."""


class Database:
    """A database on the wire. `one_way_s` is the network delay between it and a node."""

    def __init__(self, name, store, record, one_way_s=0.012, work_s=0.003, slots=2, zone="lima-a"):
        self.id, self.store, self.record, self.zone = name, store, record, zone
        self.one_way_s, self.work_s, self.slots = one_way_s, work_s, slots
        self.gate = asyncio.Semaphore(slots)
        self.group = None
        self.log = []
        self.applied = 0
        self.stopped_term = 0
        self.running = True
        self.deaf_until = 0
        self.draining = False
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.port = 0
        self.connections = 0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, backlog=256, limit=1 << 21)
        self.port = self.server.sockets[0].getsockname()[1]

    def announce(self):
        self.sequence += 1
        entry = {"service": self.group.name, "address": f"{HOST}:{self.port}", "zone": self.zone, "version": "v1",
                 "capacity": self.slots, "state": "draining" if self.draining else "ready", "warmupLeftMs": 0,
                 "dbRole": "primary" if self.leads() else "replica", "seqNo": self.sequence, "born": self.born}
        self.store.put("servers/" + self.id, json.dumps(entry).encode())

    def leads(self):
        return self.group.primary is self

    def position(self):
        return f"{self.group.term}.{1000 + len(self.log)}"

    def holds(self, position):
        term, number = (int(part) for part in position.split("."))
        return term < self.group.term or number <= 1000 + self.applied

    async def replicate(self, index, term, replica):
        """Returns whether the replica has received the log up to `index` and the primary has learned of it."""
        await asyncio.sleep(self.group.distance(self, replica))
        while self.leads() and self.group.term == term:
            if not replica.stopped_term and replica.running and time.monotonic() >= replica.deaf_until:
                if len(replica.log) < index:
                    replica.log = self.log[:index]
                asyncio.get_running_loop().call_later(self.group.lag_s, replica.apply)
                await asyncio.sleep(self.group.distance(self, replica))
                return self.leads() and self.group.term == term
            await asyncio.sleep(0.002)
        return False

    def apply(self):
        self.applied = len(self.log)

    async def commit(self, identifier, writes, tenant):
        """Appends to the log and returns when the commit may be acknowledged."""
        term = self.group.term
        self.log.append(identifier)
        index = self.applied = len(self.log)
        waiting = [asyncio.ensure_future(self.replicate(index, term, replica))
                   for replica in list(self.group.databases.values()) if replica is not self and replica.running]
        acknowledged = not (self.group.sync and waiting)
        while waiting and not acknowledged:
            done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            acknowledged = any(copy.result() for copy in done)
        if not acknowledged:
            raise Demoted()
        self.group.committed[identifier] = writes
        self.record.write(f"{self.id} commits {identifier} of tenant {tenant} as number {index}")

    async def serve(self, reader, writer):
        connection = {"tenant": None, "open": False, "failed": False, "writes": [], "prepared": {}, "values": {}}
        self.connections += 1
        self.writers.add(writer)
        outgoing = asyncio.Queue()
        sender = asyncio.ensure_future(self.send_delayed(outgoing, writer))
        incoming = asyncio.Queue()
        receiver = asyncio.ensure_future(self.receive_delayed(reader, incoming))
        try:
            while True:
                line = await incoming.get()
                if line is None:
                    break
                try:
                    reply = await self.handle(connection, line)
                except Demoted:
                    reply = None
                if reply is None:
                    break
                outgoing.put_nowait((time.monotonic() + self.one_way_s, reply))
        finally:
            self.connections -= 1
            self.writers.discard(writer)
            receiver.cancel()
            sender.cancel()
            writer.close()

    def end(self):
        """Ends the database, as after its drain."""
        self.running = False
        del self.group.databases[self.id]
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        self.store.delete("servers/" + self.id)
        self.record.write(f"database {self.id} has ended")

    async def receive_delayed(self, reader, incoming):
        while True:
            try:
                line = await reader.readline()
            except (ConnectionError, ValueError):
                line = b""
            if not line.endswith(b"\r\n"):
                incoming.put_nowait(None)
                return
            asyncio.get_running_loop().call_later(self.one_way_s, incoming.put_nowait, line[:-2].decode())

    async def send_delayed(self, outgoing, writer):
        try:
            while True:
                due, reply = await outgoing.get()
                await asyncio.sleep(max(0, due - time.monotonic()))
                writer.write(reply.encode())
                await writer.drain()
        except ConnectionError:
            pass

    def ready(self, connection):
        state = "E" if connection["failed"] else "T" if connection["open"] else "I"
        return f"READY {state} {self.position()}\r\n"

    def complete(self, connection, rows=(), signature="-"):
        return "".join(f"ROW {row}\r\n" for row in rows) + f"COMPLETE {signature}\r\n" + self.ready(connection)

    def error(self, connection, code, text="x"):
        if connection["open"]:
            connection["failed"] = True
        return f"ERROR {code} {text}\r\n" + self.ready(connection)

    async def handle(self, connection, line):
        words = line.split(" ")
        if connection["tenant"] is None:
            if words[0] != "CONNECT" or words[1] != self.group.name or (len(words) > 3 and words[3] != self.id):
                return f"ERROR WRONGNODE {self.id}\r\n"
            connection["tenant"] = words[2]
            return f"READY I {self.position()}\r\n"
        if words[0] != "QUERY":
            return None
        identifier, words = words[1], words[2:]
        if identifier != "-":
            self.record.write(f"{self.id} receives {identifier} from tenant {connection['tenant']}: {' '.join(words)}")
        if words[0] == "WAITLSN":
            if not self.holds(words[1]):
                return self.error(connection, "LAGGING")
            words = words[2:]
        return await self.run(connection, identifier, words)

    async def run(self, connection, identifier, words):
        verb = words[0]
        if verb in ("STATUS", "PAUSE", "UNPAUSE", "STEPDOWN"):
            self.record.write(f"{self.id} is told {' '.join(words)}")
            late = self.group.late_order(self, words)
            if late is not None:
                self.record.write(f"{self.id} leaves {' '.join(words)} unanswered and carries it out late")
                late(lambda: self.carry_out(words))
                await asyncio.sleep(3600)
        if connection["failed"] and verb not in ("COMMIT", "ABORT"):
            return self.error(connection, "MALFORMED")
        if verb == "STATUS":
            return self.complete(connection, [self.status()])
        if verb in ("PAUSE", "UNPAUSE", "STEPDOWN"):
            self.carry_out(words)
            return self.complete(connection, [self.status()])
        if verb == "DISCARD":
            connection["prepared"], connection["values"] = {}, {}
            return self.complete(connection)
        if verb == "SETOPT":
            connection["values"][words[1]] = " ".join(words[2:])
            return self.complete(connection)
        if verb == "PREPARE":
            connection["prepared"][words[1]] = (words[2], words[3])
            return self.complete(connection)
        if verb == "DEALLOC":
            known = connection["prepared"].pop(words[1], None)
            return self.complete(connection) if known else self.error(connection, "NOSTMT")
        if verb == "BEGIN":
            plain = len(words) == 1
            if plain and not self.leads():
                return self.error(connection, "READONLY")
            connection.update(open=True, failed=False, writes=[], plain=plain)
            return self.complete(connection)
        if verb == "ABORT":
            connection.update(open=False, failed=False, writes=[])
            return self.complete(connection)
        if verb == "EXECUTE":
            if words[1] not in connection["prepared"]:
                return self.error(connection, "NOSTMT")
            verb = connection["prepared"][words[1]][0]
            words = [verb, *words[2:]]
        if connection["open"] and connection["plain"] and not self.leads():
            return self.error(connection, "READONLY")
        async with self.gate:
            await asyncio.sleep(self.work_s)
        self.group.ran_as[identifier] = connection["tenant"]
        if verb == "FETCH":
            return self.complete(connection, ["row-" + words[1]], f"{self.id}.{identifier}")
        if verb == "PUT":
            if not self.leads():
                return self.error(connection, "READONLY")
            if connection["open"]:
                connection["writes"].append((identifier, *words[1:]))
            else:
                await self.commit(identifier, [(identifier, *words[1:])], connection["tenant"])
            return self.complete(connection, (), f"{self.id}.{identifier}")
        if verb == "COMMIT":
            writes, failed = connection["writes"], connection["failed"]
            connection.update(open=False, failed=False, writes=[])
            if failed:
                return self.error(connection, "ROLLEDBACK")
            if writes:
                await self.commit(identifier, writes, connection["tenant"])
            return self.complete(connection, (), f"{self.id}.{identifier}")
        return self.error(connection, "MALFORMED")

    def carry_out(self, words):
        if words[0] == "PAUSE" and not self.leads() and int(words[1]) > self.group.term:
            self.stopped_term = int(words[1])
        if words[0] == "UNPAUSE":
            self.stopped_term = 0
        if words[0] == "STEPDOWN" and self.leads() and int(words[1]) > self.group.term:
            self.group.primary = None
            self.record.write(f"{self.id} steps down")
            self.announce()

    def status(self):
        role = "primary" if self.leads() else "replica"
        return f"{role} {self.group.term} {self.position()} {self.stopped_term} 8 0 {self.connections}"


class Session:
    """A client's session: one request at a time."""

    def __init__(self, record, node, name):
        self.record, self.node, self.name = record, node, name
        self.reader = self.writer = None
        self.state = "I"
        self.lines = asyncio.Queue()
        self.open = self.outstanding = self.stray = False

    async def connect(self, host, key):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.node.caller_port, limit=1 << 21)
        self.writer.write(f"CONNECT {host} {key}\r\n".encode())
        line = (await asyncio.wait_for(self.reader.readline(), 5)).decode().strip()
        if not line.startswith("READY"):
            raise ConnectionError(line or "closed")
        self.open = True
        asyncio.ensure_future(self.receive())

    async def receive(self):
        """Passes lines to the request that is outstanding. Anything else ends the session, as PROTOCOL.md says."""
        try:
            while True:
                line = (await self.reader.readline()).decode()
                if not line.endswith("\r\n"):
                    break
                if not self.outstanding:
                    self.record.write(f"client {self.name} gets a message without a request: {line.strip()[:80]}")
                    self.stray = True
                    break
                self.outstanding = not line.startswith("READY")
                self.lines.put_nowait(line.strip())
        except ConnectionError:
            pass
        self.open = False
        self.lines.put_nowait(None)
        self.writer.close()

    async def query(self, identifier, text, limit_s=10.0):
        """Returns the result line: COMPLETE ..., ERROR ..., CLOSED if the connection ended, SILENT without an answer."""
        if not self.open:
            return "CLOSED"
        self.record.write(f"client {self.name} sends {identifier}: {text[:60]}")
        result = "CLOSED"
        self.outstanding = True
        try:
            self.writer.write(f"QUERY {identifier} {text}\r\n".encode())
            while True:
                line = await asyncio.wait_for(self.lines.get(), limit_s)
                if line is None:
                    result = "CLOSED"
                    break
                if line.startswith("READY"):
                    self.state = line.split(" ")[1]
                    break
                if not line.startswith("ROW "):
                    result = line
        except asyncio.TimeoutError:
            result = "SILENT"
        self.record.write(f"client {self.name} is answered {identifier}: {result[:80]} state={self.state}")
        return result

    def close(self):
        if self.writer:
            self.writer.close()


class Node:
    """A node under test, as the platform starts it."""

    def __init__(self, folder, name, store_address, cloud_address, region="lima"):
        self.name, self.process = name, None
        self.caller_port, self.ready_port, self.peer_port, self.metrics_port = (free_port() for _ in range(4))
        self.settings = pathlib.Path(folder) / f"{name}.json"
        self.output = pathlib.Path(folder) / f"{name}.log"
        self.settings.write_text(json.dumps({
            "nodeName": name, "role": "node", "machineClass": "edge", "serves": ["edge"], "ip": HOST,
            "zone": region + "-a", "region": region, "zones": {"lima-a": "lima", "cusco-a": "cusco"},
            "listenAddrs": {"frontend": f"{HOST}:{self.caller_port}", "ready": f"{HOST}:{self.ready_port}",
                            "controlPlane": f"{HOST}:{free_port()}"},
            "portRange": [self.peer_port, self.peer_port], "seedNodes": [], "bootstrap": True,
            "limits": {"cpuQuota": 0.75, "cpuCores": 2, "memoryMb": 560, "maxFds": 6300, "bandwidthMbps": 1500.0},
            "heartbeatMs": 1200,
            "bounds": {"seedLagS": 3, "addrReuseS": 2, "connectedMs": 5000, "ackTimeoutMs": 6000, "catchUpS": 4,
                       "drainMs": 7000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
                       "downgradeSlackMs": 250, "partitionSlackMs": 15000, "quotaWindowS": 5, "quotaOvershoot": 0.1,
                       "quotaTolerance": 20, "recoveryS": 12, "fencingEnforced": True, "unfreezeSlackMs": 300},
            "platform": {"address": store_address, "form": "kv", "writesPerS": 400, "readsPerS": 2000,
                         "historyS": 20, "maxValueBytes": 1048576, "ttlMinMs": 1000},
            "cloudApi": {"address": cloud_address, "ratePerS": 50.0, "duties": ["failover"], "dutiesPerS": 50.0}}))

    def start(self):
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]["run"].split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "JAVA_HOME", "LANG") if name in os.environ}
        environment |= {"METRICS_PORT": str(self.metrics_port), "GERANIUMPROXY_SETTINGS": str(self.settings)}
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=open(self.output, "ab"), stderr=subprocess.STDOUT)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    async def ready(self):
        """Asks as the platform does; returns True on 200."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(HOST, self.ready_port), 1)
            writer.write(b"GET /geraniumproxy/readyz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200" in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def await_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self.ready():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} is not ready")

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Site:
    """A small deployment: the store, the cloud API, one service with three databases, and nodes."""

    def __init__(self, record, folder):
        self.record, self.folder, self.nodes = record, folder, []
        self.store = Store()
        self.cloud = CloudApi(record)
        self.group = Group("ledger1", self.store, record)

    async def start(self, names, zones=("lima-a", "cusco-a", "arequipa-a"), **database):
        await self.store.start()
        await self.cloud.start()
        self.cloud.groups[self.group.name] = self.group
        asyncio.ensure_future(self.store.expire_forever())
        for name, zone in zip(("i-1a", "i-9b", "i-5c"), zones):
            await self.add_database(name, zone, **database)
        for name in names:
            node = Node(self.folder, name, self.store.address, self.cloud.address)
            self.nodes.append(node)
            node.start()

    async def add_database(self, name, zone, **database):
        member = Database(name, self.store, self.record, zone=zone, **database)
        await member.start()
        self.group.add(member)
        member.announce()
        self.record.write(f"database {name} in {zone} has started")
        return member

    def configure(self, version, tenants, kind="primary", **route):
        fields = {"name": "r-1", "host": "entries", "prefix": "/", "kind": kind, "timeoutMs": 800,
                  "targetLatencyMs": 400, "priority": 1, "service": self.group.name, "maxAttempts": 2, "public": False}
        body = {"version": version, "routes": [fields | route],
                "services": [{"name": self.group.name, "healthPath": "/healthz", "maxConns": 16, "protocol": "h1",
                              "tls": False, "syncReplicas": 1}],
                "limits": {"idleTimeoutMs": 15000, "txnIdleMs": 3000}, "tenants": tenants}
        self.store.put("op/config", json.dumps(body).encode())
        self.record.write(f"configuration {version} acknowledged; tenants={[t['name'] for t in tenants]}")

    async def await_ready(self):
        for node in self.nodes:
            await node.await_ready()

    def end(self):
        for node in self.nodes:
            node.end()


class Writers:
    """Sessions that write all the time, and what was acknowledged to them."""

    def __init__(self, site, record, count):
        self.site, self.record, self.acknowledged, self.stopped = site, record, [], False
        self.tasks = [asyncio.ensure_future(self.write(site.nodes[n % len(site.nodes)], n)) for n in range(count)]

    async def write(self, node, number):
        session, count = None, 0
        while not self.stopped:
            try:
                if session is None or not session.open:
                    session = Session(self.record, node, f"w{number}")
                    await session.connect("entries", "key-t0")
                count += 1
                identifier = f"w{number}x{count}"
                answer = await session.query(identifier, f"PUT entry{number} v{count}")
                if answer.startswith("COMPLETE"):
                    self.acknowledged.append(identifier)
                await asyncio.sleep(0.1 if answer.startswith("COMPLETE") else 0.05)
            except (OSError, asyncio.TimeoutError):
                session = None
                await asyncio.sleep(0.2)
        if session:
            session.close()

    async def lost(self):
        """Ends the sessions and returns the acknowledged writes that a promoted database lacked."""
        self.stopped = True
        await asyncio.gather(*self.tasks)
        dropped = self.site.group.dropped
        lost = [identifier for identifier in self.acknowledged if identifier in dropped]
        self.record.write(f"{len(self.acknowledged)} writes acknowledged to clients, {len(lost)} of them lost")
        if len(self.acknowledged) < 200:
            raise RuntimeError("hardly anything was served")
        return [f"{identifier} was acknowledged and isn't in the log of {dropped[identifier]}, which was promoted"
                for identifier in lost]


def play(folder, scenario):
    """Runs `scenario(site, record, trouble)`; it returns a list of what broke the rule. Exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    record.write(f"trouble={trouble}")
    code = 2
    with tempfile.TemporaryDirectory() as temporary:
        async def main():
            site = Site(record, temporary)
            playing = asyncio.ensure_future(scenario(site, record, trouble))
            for number in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
            try:
                return await asyncio.wait_for(playing, 110)
            finally:
                for node in site.nodes:
                    node.end()
                if os.environ.get("NODE_LOGS"):
                    for node in site.nodes:
                        pathlib.Path(os.environ["NODE_LOGS"], node.output.name).write_bytes(node.output.read_bytes())
        try:
            broken = asyncio.run(main())
            code = 1 if broken else 0
            for line in broken:
                record.write("BROKEN " + line)
                print("BROKEN", line)
        except (Exception, asyncio.CancelledError) as failure:  # the case could not run
            record.write(f"could not run: {failure!r}")
            print(f"could not run: {failure!r}")
    record.write(f"exit {code}")
    print(f"exit {code}")
    raise SystemExit(code)
