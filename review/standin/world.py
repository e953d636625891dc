"""Stand-ins for the platform's store, application servers and clients, and the
start and stop of the daemons, for the scripts of this review.

Standard library only. Everything listens on loopback addresses; each machine
has an address of its own. All machines use the same ports, but for those between
daemons: one of these is bound at 127.0.0.1, which the machines share here.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "baobabd-platform")

BOUNDS = [
    "seedLagS=3", "reuseAfterS=2", "contactMs=3000", "ackMs=4000", "catchUpS=4",
    "drainMs=2000", "graceS=6", "lossSlackMs=200", "configApplyMs=2000",
    "rollbackSlackMs=250", "partitionMaxMs=5000", "retryBudgetRatio=0.2",
    "budgetWindowS=10", "retryBudgetExtra=60", "recoverS=15",
]

START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def note(self, text):
        self.file.write(f"{now():9.3f} {text}\n")

    def say(self, text):
        self.note(text)
        print(f"{now():9.3f} {text}", flush=True)

    def close(self):
        self.file.close()


# --- HTTP/1.1 ---------------------------------------------------------------


async def read_message(reader):
    """Reads one message with a length or in chunks; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                break
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    elif int(headers.get("content-length", "0")):
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def response(status, headers=None, body=b""):
    reasons = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed"}
    text = f"HTTP/1.1 {status} {reasons.get(status, 'Status')}\r\n"
    for name, value in (headers or {}).items():
        text += f"{name}: {value}\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


# --- the platform's store -----------------------------------------------------


class Store:
    """The key-value store of the platform."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 70000
        self.changed = asyncio.Condition()
        self.down = False
        self.answer_s = 0.004
        self.writers = set()

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, *address)
        asyncio.ensure_future(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease, (_, until) in list(self.leases.items()):
                if time.monotonic() > until:
                    await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            await self.put(key, None, 0)

    async def put(self, key, value, lease=0):
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "deleted": True}
        else:
            created = self.items.get(key, {}).get("created", self.revision)
            event = {
                "key": key, "value": value, "revision": self.revision,
                "created": created, "lease": lease,
            }
            self.items[key] = event
        self.history.append(event)
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def write_config(self, config):
        """The operator's write; its return is the acknowledgement."""
        value = base64.b64encode(json.dumps(config).encode()).decode()
        await self.put("op/config", value)
        self.record.say(f"operator: {config['version']} acknowledged")
        return now()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                if self.down:
                    # No answer, as of a store that is silent.
                    await asyncio.sleep(3600)
                status, body = await self.answer(*message)
                if self.down:
                    await asyncio.sleep(3600)
                writer.write(response(
                    status, {"Content-Type": "application/json"}, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, line, _headers, body):
        method, target, _ = line.split(" ", 2)
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        call = json.loads(body) if body else {}
        await asyncio.sleep(self.answer_s)
        path = url.path
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"asOf": self.revision}
            return 200, dict(item, asOf=self.revision)
        if path == "/api/kv-range":
            prefix, after = query["pathPrefix"], query.get("after", "")
            items = [self.items[k] for k in sorted(self.items) if k.startswith(prefix) and k > after]
            return 200, {"items": items, "truncated": False, "asOf": self.revision}
        if path == "/api/kv-watch":
            prefix, after = query["pathPrefix"], int(query["after"])
            until = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                events = [
                    e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "asOf": self.revision}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if path == "/api/kv-txn":
            return await self.transaction(call)
        if path == "/api/kv-lease":
            lease, ttl = self.next_lease, max(1000, min(call["ttlMs"], 600_000))
            self.next_lease += 1
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttlMs": ttl}
        if path.startswith("/api/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttlMs": ttl}
        if path.startswith("/api/kv-lease-end/") and method == "DELETE":
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            await self.end_lease(lease)
            return 200, {}
        return 404, {}

    async def transaction(self, call):
        expected = call.get("expected", [])
        for row in expected:
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                items = [
                    self.items[r["key"]] for r in expected if r["key"] in self.items
                ]
                return 412, {"items": items, "asOf": self.revision}
        keys = [put["key"] for put in call.get("puts", [])] + call.get("remove", [])
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        for put in call.get("puts", []):
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return 404, {}
        for put in call.get("puts", []):
            await self.put(put["key"], put["value"], put.get("lease", 0))
        for key in call.get("remove", []):
            await self.put(key, None)
        return 200, {"revision": self.revision}


# --- application servers -------------------------------------------------------


class Server:
    """An application server (upstream) beside a daemon."""

    def __init__(self, record, machine, service, slots=9, work_s=0.02, version="v1"):
        self.record = record
        self.machine = machine
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.version = version
        self.id = f"i-{random.randrange(16 ** 8):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.runs = []
        self.beating = True

    async def start(self):
        address = (self.machine.ip, self.machine.ports["upstream"])
        self.server = await asyncio.start_server(self.serve, *address)
        self.beats = asyncio.ensure_future(self.beat())

    async def stop(self):
        self.beating = False
        self.beats.cancel()
        self.server.close()

    def heartbeat(self):
        self.sequence += 1
        return {
            "address": f"{self.machine.ip}:{self.machine.ports['upstream']}",
            "born": self.born,
            "info": {
                "service": self.service, "version": self.version,
                "zone": self.machine.zone, "slots": self.slots,
            },
            "status": {"state": self.state, "sequence": self.sequence, "warmupLeftMs": 0},
        }

    async def post(self, action, call):
        """Calls the control address; returns whether it was acknowledged."""
        body = json.dumps(call).encode()
        try:
            status, _, _ = await asyncio.wait_for(request(
                (self.machine.ip, self.machine.ports["control"]), "POST",
                f"/api/instances/{self.id}/{action}",
                {"Host": "control", "Content-Type": "application/json"}, body), 1.0)
        except (OSError, asyncio.TimeoutError, EOFError):
            return False
        return 200 <= status < 300

    async def beat(self):
        while self.beating:
            await self.post("heartbeat", self.heartbeat())
            await asyncio.sleep(1.5)

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                writer.write(await self.answer(*message))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, line, headers, _body):
        method, target, _ = line.split(" ", 2)
        if target == "/healthz":
            status = 200 if self.state == "ready" else 503
            return response(status, {"Instance-Id": self.id,
                                     "Upstream-Load": f"{self.running},0,{self.slots}"})
        id = headers.get("attempt-id")
        echo = {"Attempt-Id": id} if id else {}
        if not id:
            return response(400, {"Not-Executed": "1"})
        expected = headers.get("expect-instance")
        if expected not in (None, self.id):
            return response(421, dict(echo, **{"Instance-Id": self.id}))
        if self.running >= self.slots + 36:
            return response(503, dict(echo, **{"Not-Executed": "1"}))
        self.running += 1
        run = {
            "at": now(), "id": id, "server": self.machine.name, "service": self.service,
            "tenant": headers.get("tenant"), "target": target, "method": method,
        }
        self.runs.append(run)
        self.record.note(f"run id={id} at={self.machine.name} service={self.service} "
                         f"target={target} tenant={run['tenant']}")
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        body = f"{self.service} {id}\n".encode()
        return response(200, dict(echo, **{
            "Upstream-Seal": f"seal.{id}",
            "Upstream-Load": f"{self.running},0,{self.slots}"}), body)


# --- clients -----------------------------------------------------------------------


async def request(address, method, target, headers, body=b""):
    """Sends a request on a connection of its own; returns status, headers and body."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        text = f"{method} {target} HTTP/1.1\r\n"
        for name, value in headers.items():
            text += f"{name}: {value}\r\n"
        if body or method == "POST":
            text += f"Content-Length: {len(body)}\r\n"
        writer.write(text.encode() + b"\r\n" + body)
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            raise EOFError("closed without an answer")
        return int(message[0].split(" ")[1]), message[1], message[2]
    finally:
        writer.close()


class Client:
    """Clients of one deployment; keeps what was sent and answered."""

    def __init__(self, record):
        self.record = record
        self.sent = []

    async def call(self, machine, host, target, method="GET", deadline_ms=1000, extra=None):
        id = f"{random.randrange(16 ** 16):016x}"
        entry = {
            "at": now(), "id": id, "machine": machine.name, "host": host, "target": target,
            "method": method, "status": None, "extra": extra or {},
        }
        self.sent.append(entry)
        self.record.note(f"sent id={id} at={machine.name} {method} {host}{target}")
        headers = {"Host": host, "Attempt-Id": id, "Deadline-Ms": str(deadline_ms)}
        headers.update(extra or {})
        address = (machine.ip, machine.ports["outbound"])
        try:
            status, _, body = await asyncio.wait_for(
                request(address, method, target, headers), deadline_ms / 1000 + 1.0)
            entry["status"] = status
            entry["body"] = body.decode("latin-1").strip()
        except asyncio.TimeoutError:
            entry["status"] = "no answer"
        except (OSError, EOFError) as err:
            entry["status"] = f"closed ({err})"
        entry["done"] = now()
        self.record.note(f"answer id={id} at={machine.name} status={entry['status']}")
        return entry


# --- machines and daemons -------------------------------------------------------------


class Machine:
    def __init__(self, index, name, zone, service, ip, ports):
        self.index, self.name, self.zone, self.service = index, name, zone, service
        self.ip, self.ports = ip, ports
        self.process = None


def free_ports(ips, count):
    """Finds consecutive ports that are free at all these addresses."""
    for _ in range(200):
        base = random.randrange(20000, 29000)
        sockets = []
        try:
            for ip in ips:
                for port in range(base, base + count):
                    s = socket.socket()
                    sockets.append(s)
                    s.bind((ip, port))
            return base
        except OSError:
            continue
        finally:
            for s in sockets:
                s.close()
    raise RuntimeError("no free ports")


class Fleet:
    """The machines of a deployment with their daemons."""

    def __init__(self, record, zones, services, region="north", contracts=None, bounds=None,
                 places=None):
        self.record = record
        self.zones, self.region = zones, region
        self.bounds = bounds or BOUNDS
        self.contracts = contracts or [
            "base", "drain", "config", "cost", "retry", "recover", "platform"]
        net = random.randrange(10, 250)
        ips = [f"127.{net}.1.{10 + i}" for i in range(len(services))]
        self.store_ip = f"127.{net}.2.1"
        base = free_ports(ips + [self.store_ip, "127.0.0.1"], 8 + 3 * len(services))
        self.store_port = base
        self.machines = []
        for index, service in enumerate(services):
            ports = {
                "ready": base, "control": base + 1, "upstream": base + 2, "inbound": base + 3,
                "outbound": base + 4, "internal": base + 5 + 3 * index,
            }
            zone = places[index] if places else zones[index % len(zones)]
            self.machines.append(
                Machine(index, f"sidecar-{zone}-{index}", zone, service, ips[index], ports))
        self.folder = tempfile.mkdtemp(prefix="review-")

    def settings(self, machine, store, bootstrap):
        ports, ip = machine.ports, machine.ip
        return {
            "nodeName": machine.name, "role": "baobabd", "machineClass": "sidecar",
            "serves": ["sidecar"], "ip": ip, "zone": machine.zone, "region": self.region,
            "zones": {zone: self.region for zone in self.zones},
            "listen": {
                "inbound": f"{ip}:{ports['inbound']}", "outbound": f"{ip}:{ports['outbound']}",
                "ready": f"{ip}:{ports['ready']}", "control": f"{ip}:{ports['control']}",
            },
            "internalPortRange": [ports["internal"], ports["internal"] + 15],
            "seeds": [], "bootstrap": bootstrap, "faultCounted": False,
            "limits": {"cpuShare": 0.2, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "local", "entry": "local", "heartbeatMs": 1500,
            "contracts": self.contracts,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": self.bounds,
            "upstreamAddr": f"{ip}:{ports['upstream']}", "service": machine.service,
            "platform": {"address": f"{store[0]}:{store[1]}", "form": "kv", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576,
                         "ttlMinMs": 1000},
        }

    def start(self, machine, store=None, bootstrap=False, extra=None):
        """Starts the daemon with the command of the deploy file."""
        store = store or (self.store_ip, self.store_port)
        path = os.path.join(self.folder, f"{machine.name}.json")
        with open(path, "w") as file:
            json.dump(self.settings(machine, store, bootstrap), file)
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["BAOBABSTAGE_CONFIG"] = path
        env.update(extra or {})
        log = open(os.path.join(self.folder, f"{machine.name}.log"), "ab")
        machine.process = subprocess.Popen(
            [PROGRAM], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record.say(f"daemon {machine.name} started")

    def signal(self, machine, number):
        machine.process.send_signal(number)
        self.record.say(f"daemon {machine.name}: {signal.Signals(number).name}")

    async def kill(self, machine):
        self.signal(machine, signal.SIGKILL)
        while machine.process.poll() is None:
            await asyncio.sleep(0.01)

    async def ready(self, machine):
        address = (machine.ip, machine.ports["ready"])
        try:
            status, _, _ = await asyncio.wait_for(
                request(address, "GET", "/api/readyz", {"Host": "ready"}), 1.0)
        except (OSError, EOFError, asyncio.TimeoutError):
            return False
        return status == 200

    async def all_ready(self, limit_s=20):
        until = now() + limit_s
        while now() < until:
            if all([await self.ready(machine) for machine in self.machines]):
                return True
            await asyncio.sleep(0.2)
        return False

    async def state(self, machine):
        address = (machine.ip, machine.ports["internal"] + 2)
        _, _, body = await request(address, "GET", "/state", {"Host": "admin"})
        return json.loads(body)

    def stop(self):
        for machine in self.machines:
            process = machine.process
            if process and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if "KEEP_LOGS" in os.environ:
            print(f"logs of the daemons: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, service=None, kind="safe", priority=1, attempts=2, timeout_ms=1200,
          weights=None, public=False):
    entry = {
        "name": name, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout_ms,
        "targetLatencyMs": 600, "priority": priority, "maxAttempts": attempts,
    }
    if weights:
        entry["weightedServices"] = [{"service": s, "weight": w} for s, w in weights.items()]
    else:
        entry["service"] = service
    if public:
        entry["public"] = True
    return entry


def config(version, services, hosts, tenants=None):
    """The operator's configuration; `hosts` maps each host to its routes."""
    value = {
        "version": f"r{version}",
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConnections": 120, "protocol": "h1",
             "tls": False} for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "virtualHosts": [{"host": host, "paths": paths} for host, paths in hosts.items()],
    }
    if tenants is not None:
        value["tenants"] = tenants
    return value


async def limited(case):
    """Ends a script that takes too long or is told to end; what it started is ended then too."""
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(case, 112)


def run(main, folder):
    """Runs a script; exits with 1 if a rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    try:
        if not os.path.exists(PROGRAM):
            record.say("the program is not built")
        else:
            code = asyncio.run(limited(main(record, trouble)))
    except (Exception, asyncio.CancelledError) as err:
        record.say(f"could not run: {type(err).__name__}: {err}")
        traceback.print_exc()
    record.say({0: "the rule held", 1: "the rule was broken"}.get(code, "the case could not run"))
    record.close()
    sys.stdout.flush()
    # The stand-ins still hold connections, whose tasks need not be ended one by one.
    os._exit(code)
