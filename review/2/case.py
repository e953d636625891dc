import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from world import *  # noqa

HOST = "stalls.example"
APPLY_S = 2.0  # configApplyMs
CONTACT_S = 3.0  # contactMs
IDLE_S = 8.0  # connections that carried nothing for so long go silent


class Path:
    """The network path to the store: a proxy on which open connections can go silent."""

    def __init__(self, record, target):
        self.record, self.target, self.flows = record, target, []

    async def start(self, address):
        self.server = await asyncio.start_server(self.accept, *address)

    async def accept(self, reader, writer):
        up_reader, up_writer = await asyncio.open_connection(*self.target)
        flow = {"last": now(), "silent": False}
        self.flows.append(flow)
        await asyncio.gather(
            self.pump(flow, reader, up_writer), self.pump(flow, up_reader, writer),
            return_exceptions=True)
        self.flows.remove(flow)

    async def pump(self, flow, reader, writer):
        while True:
            data = await reader.read(65536)
            if flow["silent"]:
                # Neither bytes nor the end of the stream get through.
                await asyncio.Event().wait()
            if not data:
                writer.close()
                return
            flow["last"] = now()
            writer.write(data)
            await writer.drain()

    def silence(self):
        idle = [f for f in self.flows if now() - f["last"] >= IDLE_S]
        for flow in idle:
            flow["silent"] = True
        self.record.say(f"path to the store: {len(idle)} of {len(self.flows)} open connections "
                        f"go silent, those idle for {IDLE_S} s")


async def main(record, trouble):
    services = ["stallhall", "stallhall", "stallhall", "lathegallery", "lathegallery", "lathegallery"]
    fleet = Fleet(record, ["howrah", "salt-lake", "barasat"], services)
    try:
        return await play(record, trouble, fleet)
    finally:
        fleet.stop()


async def play(record, trouble, fleet):
    store = Store(record)
    address = (fleet.store_ip, fleet.store_port)
    await store.start(address)
    path = Path(record, address)
    front = (fleet.store_ip, fleet.store_port + 1)
    await path.start(front)
    names = ["stallhall", "lathegallery"]
    await store.write_config(config(3, names, {HOST: [
        route("r-a", "/a/", "stallhall"), route("r-b", "/b/", "lathegallery")]}))
    servers = [Server(record, machine, machine.service) for machine in fleet.machines]
    for server in servers:
        await server.start()
    for machine in fleet.machines:
        fleet.start(machine, front, bootstrap=True)
    if not await fleet.all_ready():
        record.say("not all daemons became ready")
        return 2
    client = Client(record)
    stop = asyncio.Event()

    async def traffic(machine):
        while not stop.is_set():
            asyncio.ensure_future(client.call(machine, HOST, "/a/x"))
            await asyncio.sleep(0.2)

    tasks = [asyncio.ensure_future(traffic(machine)) for machine in fleet.machines]
    await asyncio.sleep(10)
    if trouble:
        path.silence()
    await asyncio.sleep(CONTACT_S + 1.0)
    acknowledged = await store.write_config(config(7, names, {HOST: [
        route("r-a", "/a/", "lathegallery"), route("r-b", "/b/", "lathegallery")]}))
    await asyncio.sleep(30)
    stop.set()
    await asyncio.gather(*tasks)
    await asyncio.sleep(2.5)
    runs = {run["id"]: run for server in servers for run in server.runs}
    late = [s for s in client.sent if s["at"] > acknowledged + APPLY_S]
    stale = [s for s in late if s["id"] in runs and runs[s["id"]]["service"] == "stallhall"]
    served = sum(1 for s in client.sent if s["status"] == 200)
    record.say(f"{len(client.sent)} requests sent, {served} answered 200; {len(late)} were sent "
               f"later than {APPLY_S} s after r7 was acknowledged")
    if stale:
        last = max(s["at"] for s in stale) - acknowledged
        record.say(f"CONFIG: {len(stale)} of these ran at stallhall, as only r3 allows; the last "
                   f"was sent {last:.1f} s after the acknowledgement")
        return 1
    return 0 if late and served else 2


run(main, os.path.dirname(os.path.abspath(__file__)))
