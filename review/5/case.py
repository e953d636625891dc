import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from world import *  # noqa

HOST = "stalls.example"
DRAIN_S = 2.0  # drainMs
CONTACT_S = 3.0  # contactMs


async def main(record, trouble):
    services = ["stallhall"] * 4
    fleet = Fleet(record, ["howrah", "salt-lake"], services)
    try:
        return await play(record, trouble, fleet)
    finally:
        fleet.stop()


async def play(record, trouble, fleet):
    store = Store(record)
    await store.start((fleet.store_ip, fleet.store_port))
    await store.write_config(config(3, ["stallhall"], {HOST: [route("r-a", "/a/", "stallhall")]}))
    servers = [Server(record, machine, machine.service) for machine in fleet.machines]
    for server in servers:
        await server.start()
    for machine in fleet.machines:
        fleet.start(machine, bootstrap=True)
    if not await fleet.all_ready():
        record.say("not all daemons became ready")
        return 2
    client = Client(record)
    stop = asyncio.Event()

    async def traffic(machine):
        while not stop.is_set():
            asyncio.ensure_future(client.call(machine, HOST, "/a/x"))
            await asyncio.sleep(0.1)

    tasks = [asyncio.ensure_future(traffic(machine)) for machine in fleet.machines]
    await asyncio.sleep(8)
    leaving, machine = servers[0], fleet.machines[0]
    # Its last two heartbeats are late; then it says that it leaves.
    leaving.beating = False
    leaving.beats.cancel()
    late = [leaving.heartbeat(), leaving.heartbeat()]
    await asyncio.sleep(0.2)
    leaving.state = "leaving"
    acknowledged = await leaving.post("deregister", {"born": leaving.born})
    at = now()
    record.say(f"{leaving.id} at {machine.name} says that it leaves; acknowledged: {acknowledged}")
    if not acknowledged:
        return 2
    last_start = at
    if trouble:
        for _ in range(2):
            await asyncio.sleep(0.5)
            await fleet.kill(machine)
            await asyncio.sleep(0.3)
            fleet.start(machine)
            last_start = now()
            await asyncio.sleep(0.7)
    else:
        await asyncio.sleep(3.0)
    for beat in late:
        await asyncio.sleep(0.5)
        ok = await leaving.post("heartbeat", beat)
        record.say(f"late heartbeat {beat['status']['sequence']} of {leaving.id} arrives; acknowledged: {ok}")
    await asyncio.sleep(8)
    stop.set()
    await asyncio.gather(*tasks)
    await asyncio.sleep(2.5)
    sent = {s["id"]: s for s in client.sent}
    touch = last_start + CONTACT_S
    broken = [r for r in leaving.runs
              if r["at"] > at + DRAIN_S and sent[r["id"]]["at"] > max(at + DRAIN_S, touch)]
    served = sum(1 for s in client.sent if s["status"] == 200)
    record.say(f"{len(client.sent)} requests sent, {served} answered 200")
    if broken:
        record.say(f"DRAIN: {len(broken)} requests reached {leaving.id} later than {DRAIN_S} s after its "
                   f"leaving was acknowledged, by machines in touch; the last {broken[-1]['at'] - at:.1f} s after")
        return 1
    return 0 if served else 2


run(main, os.path.dirname(os.path.abspath(__file__)))
