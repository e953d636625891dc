"""Stand-ins for the platform's store, upstreams and clients, and a runner of daemons, on loopback addresses.

Only the standard library is used. All times are of the monotonic clock.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import sys
import time
import traceback
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "release", "baobabd-platform")
HISTORY_S = 20.0


class CannotRun(Exception):
    """The case could not be played."""


def now():
    return time.monotonic()


# HTTP/1.1


async def read_head(reader):
    """Reads a message head; returns the first line and the headers, or None at the end of the stream."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, is_response=False):
    """Reads a whole body; raises if it is cut."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    length = headers.get("content-length")
    if length is not None:
        return await reader.readexactly(int(length))
    return await reader.read() if is_response else b""


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def response(status, headers=None, body=b""):
    return message(f"HTTP/1.1 {status} X", headers or {}, body)


def json_response(status, value):
    return response(status, {"content-type": "application/json"}, json.dumps(value).encode())


def chunked_message(first, headers, body):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append("transfer-encoding: chunked")
    chunk = f"{len(body):x}\r\n".encode() + body + b"\r\n" if body else b""
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + chunk + b"0\r\n\r\n"


async def request(address, method, path, headers=None, body=b"", timeout=1.0, chunked=False):
    """Sends one request on a new connection; returns the status, the headers and the body."""
    host, port = address

    async def run():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            head = {"host": f"{host}:{port}", **(headers or {})}
            encode = chunked_message if chunked else message
            writer.write(encode(f"{method} {path} HTTP/1.1", head, body))
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("no answer")
            status = int(head[0].split(" ")[1])
            return status, head[1], await read_body(reader, head[1], True)
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout)


# The platform's store


class Store:
    """The platform's key-value store."""

    def __init__(self):
        self.items = {}
        self.revision = 100
        self.leases = {}
        self.next_lease = 1000
        self.log = []
        self.forgotten = self.revision
        self.changed = asyncio.Event()
        self.is_down = False
        self.server = None
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=4 << 20)
        self.address = self.server.sockets[0].getsockname()
        asyncio.create_task(self.expire())

    async def open_address(self):
        """Listens at a further address; returns the server of the earlier one."""
        earlier = self.server
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=4 << 20)
        self.address = self.server.sockets[0].getsockname()
        return earlier

    def close_address(self, server):
        """Stops listening at an address, and closes the connections there."""
        address = server.sockets[0].getsockname()
        server.close()
        for writer in list(self.connections):
            if writer.get_extra_info("sockname") == address:
                writer.transport.abort()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            at = now()
            for lease, (ttl, until) in list(self.leases.items()):
                if until < at:
                    self.end_lease(lease)
            while self.log and self.log[0][0] < at - HISTORY_S:
                self.forgotten = self.log.pop(0)[1]["revision"]

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.log.append((now(), item))
        self.notify()

    def remove(self, key):
        if key in self.items:
            del self.items[key]
            self.revision += 1
            self.log.append((now(), {"key": key, "revision": self.revision, "deleted": True}))
            self.notify()

    def put_json(self, key, value):
        self.put(key, base64.b64encode(json.dumps(value).encode()).decode())

    def set_down(self, is_down):
        """While down, the store refuses its connections; leases go on running."""
        self.is_down = is_down
        if is_down:
            for writer in list(self.connections):
                writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while not self.is_down:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                if self.is_down:
                    return
                method, target, _ = head[0].split(" ")
                answer = await self.answer(method, target, body)
                await asyncio.sleep(0.004)
                if self.is_down:
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            if self.is_down:
                writer.transport.abort()
            writer.close()

    async def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = {name: value[0] for name, value in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        path = url.path
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return json_response(404, {"asOf": self.revision})
            return json_response(200, {**item, "asOf": self.revision})
        if path == "/api/kv-range":
            after = query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(query["pathPrefix"]) and key > after)
            items = [self.items[key] for key in keys[:500]]
            return json_response(200, {"items": items, "truncated": len(keys) > 500, "asOf": self.revision})
        if path == "/api/kv-watch":
            return await self.watch(query["pathPrefix"], int(query["after"]), int(query["waitMs"]) / 1000.0)
        if path == "/api/kv-txn":
            return self.transact(json.loads(body))
        if path == "/api/kv-lease":
            ttl = min(max(1.0, json.loads(body)["ttlMs"] / 1000.0), 600.0)
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, now() + ttl)
            return json_response(200, {"lease": self.next_lease, "ttlMs": int(ttl * 1000)})
        name, _, number = path.rpartition("/")
        lease = int(number) if number.isdigit() else 0
        if name == "/api/kv-keep":
            if lease not in self.leases:
                return json_response(404, {})
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now() + ttl)
            return json_response(200, {"lease": lease, "ttlMs": int(ttl * 1000)})
        if name == "/api/kv-lease-end":
            self.end_lease(lease)
            return json_response(200, {})
        return json_response(404, {})

    async def watch(self, prefix, after, wait):
        until = now() + wait
        while True:
            if after < self.forgotten or after > self.revision:
                return json_response(410, {"asOf": self.revision})
            events = [e for _, e in self.log if e["revision"] > after and e["key"].startswith(prefix)]
            left = until - now()
            if events or left <= 0:
                return json_response(200, {"events": events, "asOf": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, call):
        for row in call.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                rows = [self.items.get(r["key"], {"key": r["key"], "revision": 0}) for r in call["expected"]]
                return json_response(412, {"items": rows, "asOf": self.revision})
        for row in call.get("puts", []):
            if row["key"].startswith(("op/", "servers/")):
                return json_response(403, {})
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return json_response(404, {})
        for row in call.get("puts", []):
            self.put(row["key"], row["value"], row.get("lease", 0))
        for key in call.get("remove", []):
            self.remove(key)
        return json_response(200, {"revision": self.revision})


# Upstreams


class Run:
    """A run of a request at an upstream."""

    def __init__(self, arrived, attempt, tenant, machine):
        self.arrived = arrived
        self.attempt = attempt
        self.tenant = tenant
        self.machine = machine
        self.ended = None
        self.status = None


class Upstream:
    """An upstream beside a daemon: runs requests, and reports itself."""

    def __init__(self, machine, service, work=0.005, slots=100):
        self.machine = machine
        self.service = service
        self.work = work
        self.slots = slots
        self.id = f"i-{os.urandom(5).hex()}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        # The share of the answers that are lost: the request has run, and the connection is reset.
        self.lost_share = 0.0
        self.server = None
        self.beating = None
        self.connections = set()
        # Tells of a request's path whether the upstream crashes when it runs it.
        self.is_deadly = lambda target: False
        self.crashes = []
        self.down_s = 3.0
        self.is_down = False

    async def start(self):
        ip = self.machine.ip
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=4 << 20)
        self.address = self.server.sockets[0].getsockname()

    def begin_reports(self):
        self.beating = asyncio.create_task(self.report_regularly())

    async def crash(self, down_s):
        """Ends at once, and starts again after a while as a new instance at the same address."""
        if self.is_down:
            return
        self.is_down = True
        self.crashes.append(now())
        self.beating.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(down_s)
        self.id = f"i-{os.urandom(5).hex()}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = await asyncio.start_server(self.serve, *self.address[:2], limit=4 << 20)
        self.is_down = False
        self.begin_reports()

    async def report_regularly(self):
        while True:
            await self.report()
            await asyncio.sleep(1.5)

    async def report(self):
        """Sends one heartbeat; returns whether it was acknowledged."""
        self.sequence += 1
        beat = {
            "address": f"{self.address[0]}:{self.address[1]}",
            "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.machine.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "warmupLeftMs": 0},
        }
        headers = {"content-type": "application/json"}
        path = f"/api/instances/{self.id}/heartbeat"
        try:
            status, _, _ = await request(self.machine.control, "POST", path, headers, json.dumps(beat).encode())
            return 200 <= status < 300
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                arrived = now()
                body = await read_body(reader, head[1])
                if not await self.answer(head, body, arrived, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, head, body, arrived, writer):
        line, headers = head
        method, target, _ = line.split(" ")
        if target == "/healthz":
            healthy = self.state == "ready"
            writer.write(response(200 if healthy else 503, {"instance-id": self.id}))
            await writer.drain()
            return True
        attempt = headers.get("attempt-id", "")
        expected = headers.get("expect-instance")
        if not attempt or expected not in (None, self.id):
            status = 421 if attempt else 400
            fields = {"attempt-id": attempt, "not-executed": "1", "instance-id": self.id}
            writer.write(response(status, fields))
            await writer.drain()
            return True
        run = Run(arrived, attempt, headers.get("tenant", ""), self.machine.name)
        self.runs.append(run)
        if self.is_deadly(target):
            await asyncio.sleep(0.02)
            run.ended, run.status = now(), "crashed"
            self.machine.mesh.note(f"the upstream of {self.machine.name} crashes")
            self.machine.mesh.spawn(self.crash(self.down_s))
            return False
        work = self.work_of(target)
        limit = int(headers.get("deadline-ms", "60000")) / 1000.0
        await asyncio.sleep(min(work, limit))
        run.ended = now()
        if random.random() < self.lost_share:
            run.status = "lost"
            writer.transport.abort()
            return False
        fields = {"attempt-id": attempt, "upstream-seal": f"seal.{attempt}", "instance-id": self.id}
        status = 200 if work <= limit else 504
        run.status = status
        writer.write(response(status, fields, b"done " + attempt.encode()))
        await writer.drain()
        return True

    def work_of(self, target):
        """Returns the time that a request takes."""
        return self.work


# Machines and daemons


def free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


class Machine:
    """A machine with a daemon and an upstream."""

    def __init__(self, mesh, number, zone, service, link_mbps):
        self.mesh = mesh
        self.name = f"sidecar-{zone}-{number}"
        self.zone = zone
        self.service = service
        self.link_mbps = link_mbps
        self.ip = f"127.{10 + os.getpid() % 200}.{os.getpid() // 200 % 250}.{10 + number}"
        self.process = None
        self.bootstrap = True
        self.misses = 0
        self.is_in = True
        self.upstream = Upstream(self, service)
        self.path = os.path.join(mesh.folder, f"{self.name}.json")

    async def prepare(self, first_port):
        await self.upstream.start()
        outbound, inbound, ready, control = free_ports(self.ip, 4)
        self.listen = {"outbound": outbound, "inbound": inbound, "ready": ready, "control": control}
        self.outbound, self.ready = (self.ip, outbound), (self.ip, ready)
        self.control = (self.ip, control)
        self.range = [first_port, first_port + 15]

    def write_settings(self):
        settings = {
            "nodeName": self.name, "role": "baobabd", "machineClass": "sidecar", "serves": ["sidecar"],
            "ip": self.ip, "zone": self.zone, "region": "scot-central",
            "zones": {zone: "scot-central" for zone in self.mesh.zones},
            "listen": {name: f"{self.ip}:{port}" for name, port in self.listen.items()},
            "internalPortRange": self.range, "seeds": [], "bootstrap": self.bootstrap, "faultCounted": False,
            "limits": {"cpuShare": 0.5, "cores": 1, "memoryMb": 512, "maxFds": 8192,
                       "linkMbps": self.link_mbps, "diskMb": 0},
            "dataDir": None, "discovery": "local", "entry": "local", "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "tenants", "quota", "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": self.mesh.bounds,
            "upstreamAddr": "%s:%d" % self.upstream.address[:2], "service": self.service,
            "platform": {"address": "%s:%d" % self.mesh.store.address[:2], "form": "kv", "writesPerS": 1200,
                         "readsPerS": 6000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
        }
        with open(self.path, "w") as file:
            json.dump(settings, file)

    async def start(self):
        self.write_settings()
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["BAOBABSTAGE_CONFIG"] = self.path
        log = open(os.path.join(self.mesh.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(DAEMON, cwd=ROOT, env=env, stdout=log, stderr=log)
        log.close()
        self.bootstrap = False

    def kill(self):
        if self.process and self.process.returncode is None:
            self.process.kill()

    async def restart(self, grace, pause=0.3):
        """Stops the daemon with SIGTERM, kills it after the grace time, and starts it again."""
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), grace)
        except asyncio.TimeoutError:
            self.kill()
            await self.process.wait()
        await asyncio.sleep(pause)
        await self.start()

    async def is_ready(self):
        try:
            status, _, _ = await request(self.ready, "GET", "/api/readyz", timeout=0.9)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Mesh:
    """A small deployment: the store, machines with daemons and upstreams, and the clients on each machine."""

    def __init__(self, machines, zones, bounds, record, link_mbps=200.0, service="passenger-desk"):
        if not os.access(DAEMON, os.X_OK):
            raise CannotRun(f"no program at {DAEMON}")
        self.folder = tempfile.mkdtemp(prefix="mesh-")
        self.zones = zones
        self.bounds = bounds
        self.record_path = record
        self.events = []
        self.started = now()
        self.store = Store()
        services = service if isinstance(service, list) else [service] * machines
        self.machines = [
            Machine(self, n, zones[n % len(zones)], services[n], link_mbps) for n in range(machines)
        ]
        self.requests = []
        self.tasks = set()

    def note(self, text):
        self.events.append((now() - self.started, text))

    async def start(self, config):
        await self.store.start()
        self.store.put_json("op/config", config)
        first = free_block(len(self.machines) * 16)
        for number, machine in enumerate(self.machines):
            await machine.prepare(first + number * 16)
        await asyncio.gather(*(machine.start() for machine in self.machines))
        for machine in self.machines:
            machine.upstream.begin_reports()
        deadline = now() + 20
        while not all(await asyncio.gather(*(machine.is_ready() for machine in self.machines))):
            if now() > deadline:
                raise CannotRun("daemons are not ready")
            await asyncio.sleep(0.2)
        self.spawn(self.poll_ready())

    def spawn(self, task):
        task = asyncio.ensure_future(task)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def poll_ready(self):
        """Asks each daemon once a second; after two misses its clients receive no new work."""
        while True:
            await asyncio.gather(asyncio.sleep(1.0), *(self.poll_one(machine) for machine in self.machines))

    async def poll_one(self, machine):
        machine.misses = 0 if await machine.is_ready() else machine.misses + 1
        machine.is_in = machine.misses < 2

    def machines_in(self):
        chosen = []
        for zone in self.zones:
            members = [machine for machine in self.machines if machine.zone == zone]
            inside = [machine for machine in members if machine.is_in]
            chosen += inside if 2 * len(inside) >= len(members) else members
        return chosen

    async def call(self, machine, path, headers, deadline_ms, method="GET", body=b"", chunked=False):
        attempt = os.urandom(8).hex()
        sent = now()
        head = {"host": headers.pop("host", "mesh.example"), "attempt-id": attempt,
                "deadline-ms": str(deadline_ms), **headers}
        try:
            timeout = deadline_ms / 1000.0
            status, fields, answer = await request(machine.outbound, method, path, head, body, timeout, chunked)
        except asyncio.TimeoutError:
            status, fields, answer = "deadline", {}, b""
        except (OSError, asyncio.IncompleteReadError) as err:
            status, fields, answer = f"lost ({type(err).__name__})", {}, b""
        entry = (sent, attempt, machine.name, status, now())
        self.requests.append(entry)
        return status, fields, answer, attempt

    def runs(self):
        return [run for machine in self.machines for run in machine.upstream.runs]

    def write_record(self, lines):
        sent = {request[1]: request for request in self.requests}
        with open(self.record_path, "w") as file:
            file.write("\n".join(lines) + "\n\nevents (seconds from the start)\n")
            for at, text in self.events:
                file.write(f"{at:9.3f} {text}\n")
            file.write("\nrequests: sent, id, machine of the client, answer, answered\n")
            for at, attempt, name, status, ended in self.requests:
                file.write(f"{at - self.started:9.3f} {attempt} {name} {status} {ended - self.started:9.3f}\n")
            file.write("\nruns: arrived, ended, id, answer, tenant, machine of the upstream, sent\n")
            for run in sorted(self.runs(), key=lambda run: run.arrived):
                begun = sent.get(run.attempt)
                begun = f"{begun[0] - self.started:9.3f}" if begun else "-"
                ended = f"{run.ended - self.started:9.3f}" if run.ended else "-"
                file.write(f"{run.arrived - self.started:9.3f} {ended} {run.attempt} {run.status} "
                           f"{run.tenant or '-'} {run.machine} {begun}\n")

    async def stop(self):
        for task in list(self.tasks):
            task.cancel()
        for machine in self.machines:
            machine.kill()
        for machine in self.machines:
            if machine.process:
                await machine.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def free_block(count):
    """Finds adjacent ports that are free on 127.0.0.1, below the range of ports that the system assigns."""
    first = 20000 + os.getpid() * 97 % 10000
    while first < 32000:
        for port in range(first, first + count):
            with socket.socket() as sock:
                try:
                    sock.bind(("127.0.0.1", port))
                except OSError:
                    break
        else:
            return first
        first = port + 1
    raise CannotRun("no free ports")


def config(number, tenants, service="passenger-desk", services=None, routes=None, timeout_ms=1500):
    """A configuration as the operator writes it."""
    names = services or [service]
    routes = routes or [("r-look", "/look/", "safe", service), ("r-book", "/book/", "unsafe", service)]
    paths = [
        {"name": name, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout_ms, "targetLatencyMs": 600,
         "priority": 1, "service": target, "maxAttempts": 2, "public": False}
        for name, prefix, kind, target in routes
    ]
    return {
        "version": f"r{number}",
        "services": [{"name": name, "healthPath": "/healthz", "maxConnections": 540, "protocol": "h1",
                      "tls": False} for name in names],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": tenants,
        "virtualHosts": [{"host": "mesh.example", "paths": paths}],
    }


def run_case(main):
    """Runs a case and ends the process with its exit code; 2 if it fails or is told to stop.

    The clean-up of `main`, which ends the processes that were started, is run in each case.
    """

    async def guarded():
        task = asyncio.ensure_future(main())
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await task
        except asyncio.CancelledError:
            print("cannot run: told to stop")
        except CannotRun as err:
            print("cannot run:", err)
        except Exception:
            traceback.print_exc()
            print("cannot run: an error of the script")
        return 2

    sys.exit(asyncio.run(guarded()))
