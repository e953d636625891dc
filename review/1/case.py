import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from world import *  # noqa

HOST = "desk.example"
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20  # quotaWindowS, quotaOverage, quotaSlack
RATE, BURST = 60, 60
USUAL = 40.0  # the tenant's usual requests a second
HOT, HOT_S = 7.5, 6.5  # it sends so many times that, for so long
LOSS = 0.025  # share of the packets that the links of a zone lose
LOSS_S = 5.5
RETRANSMIT_S = 0.2  # a lost packet is sent again after so long, and holds up what is behind it


class Link:
    """The links between a zone and the others, as a proxy in front of its machine."""

    def __init__(self, target):
        self.target, self.lossy, self.lost = target, False, 0

    async def start(self, address):
        self.server = await asyncio.start_server(self.accept, *address)

    async def accept(self, reader, writer):
        up_reader, up_writer = await asyncio.open_connection(*self.target)
        await asyncio.gather(
            self.pump(reader, up_writer), self.pump(up_reader, writer), return_exceptions=True)

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(1460):
                wait = RETRANSMIT_S
                while self.lossy and random.random() < LOSS:
                    self.lost += 1
                    await asyncio.sleep(wait)
                    wait *= 2
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


async def main(record, trouble):
    # The first machine is the only one of its zone.
    services = ["desk"] * 7
    fleet = Fleet(
        record, ["glasgow-a", "glasgow-b", "edinburgh-a"], services,
        contracts=["base", "drain", "config", "cost", "retry", "recover", "tenants", "quota",
                   "platform"],
        places=["glasgow-a"] + ["glasgow-b", "edinburgh-a"] * 3,
        bounds=BOUNDS + ["failClosed=false", "revokeMs=5000", "quotaWindowS=5",
                         "quotaOverage=0.1", "quotaSlack=20"])
    try:
        return await play(record, trouble, fleet)
    finally:
        fleet.stop()


async def play(record, trouble, fleet):
    store = Store(record)
    await store.start((fleet.store_ip, fleet.store_port))
    tenants = [
        {"name": f"tenant{n}", "apiKeys": [f"key-{n}-{random.randrange(16 ** 8):08x}"],
         "ratePerS": RATE, "burst": BURST} for n in range(24)]
    await store.write_config(config(
        3, ["desk"], {HOST: [route("r-a", "/a/", "desk")]}, tenants))
    servers = [Server(record, m, m.service, slots=40) for m in fleet.machines]
    for server in servers:
        await server.start()
    first = fleet.machines[0]
    link = Link((first.ip, first.ports["inbound"]))
    front = (fleet.store_ip, first.ports["inbound"])
    await link.start(front)
    for machine in fleet.machines:
        extra = {"BAOBAB_ADVERTISE_INBOUND": f"{front[0]}:{front[1]}"} if machine is first else {}
        fleet.start(machine, bootstrap=True, extra=extra)
    if not await fleet.all_ready():
        record.say("not all daemons became ready")
        return 2
    await asyncio.sleep(3)
    client = Client(record)
    for tenant in tenants:
        await client.call(fleet.machines[-1], HOST, "/a/x", extra={"Credential": tenant["apiKeys"][0]})
    accounts = (await fleet.state(first))["quota"]["accounts"]
    owned = [tenant for tenant in tenants if tenant["name"] in accounts]
    if not owned:
        record.say("no tenant's account is at the first machine")
        return 2
    tenant = owned[0]
    record.say(f"{tenant['name']} has {RATE} requests a second and {BURST} more; its usual is "
               f"{USUAL:.0f} a second")
    stop = asyncio.Event()
    rate = {"now": USUAL}

    async def traffic(machine):
        at = now() + random.random() * len(fleet.machines) / USUAL
        while not stop.is_set():
            asyncio.ensure_future(client.call(
                machine, HOST, "/a/x", extra={"Credential": tenant["apiKeys"][0]}))
            at += len(fleet.machines) / rate["now"]
            await asyncio.sleep(max(0, at - now()))

    tasks = [asyncio.ensure_future(traffic(machine)) for machine in fleet.machines]
    await asyncio.sleep(4)
    rate["now"] = USUAL * HOT
    record.say(f"it sends {rate['now']:.0f} a second for {HOT_S} s")
    if trouble:
        link.lossy = True
        record.say(f"the links of {first.zone} lose {LOSS:.1%} of the packets for {LOSS_S} s")
    await asyncio.sleep(LOSS_S)
    link.lossy = False
    for machine in fleet.machines:
        account = (await fleet.state(machine))["quota"]["accounts"].get(tenant["name"])
        if account is not None:
            record.say(f"{machine.name} keeps an account of {tenant['name']}: {account:.1f} tokens")
    await asyncio.sleep(HOT_S - LOSS_S)
    rate["now"] = USUAL
    await asyncio.sleep(3)
    stop.set()
    await asyncio.gather(*tasks)
    await asyncio.sleep(2.5)
    sent = {s["id"]: s for s in client.sent}
    runs = sorted((r["at"], sent[r["id"]]["at"]) for server in servers for r in server.runs
                  if r["tenant"] == tenant["name"])
    most, since = 0, 0.0
    for begin, _ in runs:
        count = sum(1 for at, asked in runs if begin <= asked and at < begin + WINDOW_S)
        if count > most:
            most, since = count, begin
    allowed = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
    by_status = {}
    for s in client.sent:
        by_status[s["status"]] = by_status.get(s["status"], 0) + 1
    record.say(f"{len(client.sent)} requests sent, answers {by_status}; {link.lost} packets lost")
    record.say(f"at most {most} requests of {tenant['name']} were sent and run in {WINDOW_S:.0f} s, "
               f"from {since:.1f} s; allowed {allowed:.0f}")
    return 1 if most > allowed else 0


run(main, os.path.dirname(os.path.abspath(__file__)))
