"""All daemons are killed while the store is down, and a request that crashes upstreams comes again afterwards."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from mesh import CannotRun, Mesh, config, now, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_S = 3.0
STORE_DOWN_S, KILL_AFTER_S, KILLED_S = 4.5, 1.5, 1.0
ALLOWED_RETRIES = 3
# The largest share of deadly requests that the pages name, while they are sent.
MAX_DEADLY_SHARE = 0.03
DEADLY = "/look/deadly"
BOUNDS = [
    "seedLagS=3", "reuseAfterS=2", "contactMs=3000", "ackMs=4000", "catchUpS=4", "drainMs=2000", "graceS=6",
    "lossSlackMs=200", "configApplyMs=2000", "rollbackSlackMs=250", "partitionMaxMs=5000", "retryBudgetRatio=0.2",
    "budgetWindowS=10", "retryBudgetExtra=64", "recoverS=15",
]


async def client(mesh, machine, until):
    while now() < until:
        mesh.spawn(mesh.call(machine, f"/look/{os.urandom(4).hex()}", {}, 1000))
        await asyncio.sleep(random.uniform(0.07, 0.14))


async def send_deadly(mesh, seconds):
    """Sends the deadly request at five machines, again and again."""
    begin, end = now(), now() + seconds
    mesh.spans.append((begin, end))
    while now() < end:
        for machine in random.sample(mesh.machines_in(), 5):
            task = mesh.spawn(mesh.call(machine, DEADLY, {}, 1000))
            task.add_done_callback(lambda done: mesh.deadly.add(done.result()[3]) if not done.cancelled() else None)
        await asyncio.sleep(5.0)


async def kill_all(mesh):
    mesh.note("all daemons are killed")
    for machine in mesh.machines:
        machine.kill()
    for machine in mesh.machines:
        await machine.process.wait()
    await asyncio.sleep(KILLED_S)
    await asyncio.gather(*(machine.start() for machine in mesh.machines))
    mesh.note("all daemons have been started")


async def play(mesh):
    settings = config(7, None, service="stallhall", timeout_ms=1000)
    del settings["tenants"]
    await mesh.start(settings)
    for machine in mesh.machines:
        machine.upstream.is_deadly = lambda target: target == DEADLY
    await asyncio.sleep(3.0)
    until = now() + 48.0
    clients = [mesh.spawn(client(mesh, machine, until)) for machine in mesh.machines]
    await asyncio.sleep(1.0)
    await send_deadly(mesh, 8.0)
    if TROUBLE:
        mesh.note("the store is down")
        mesh.store.set_down(True)
        await asyncio.sleep(KILL_AFTER_S)
        killed = mesh.spawn(kill_all(mesh))
        await asyncio.sleep(STORE_DOWN_S - KILL_AFTER_S)
        mesh.store.set_down(False)
        mesh.note("the store is back")
        await killed
    calm = now()
    await asyncio.sleep(CONTACT_S + 3.0)
    mesh.note("the deadly request comes again")
    await send_deadly(mesh, 12.0)
    await asyncio.gather(*clients)
    return calm


def deadly_share(mesh):
    """Returns the share of the deadly requests among all that were sent while they were sent."""
    sent = [
        request[1] for request in mesh.requests
        if any(begin <= request[0] < end for begin, end in mesh.spans)
    ]
    return sum(1 for attempt in sent if attempt in mesh.deadly) / max(1, len(sent))


def judge(mesh, calm):
    """Returns the crashes, and the retries that count: those by machines in touch, long enough after the third crash."""
    crashes = sorted(at for machine in mesh.machines for at in machine.upstream.crashes)
    if len(crashes) < 3:
        raise CannotRun(f"only {len(crashes)} upstreams have crashed")
    arrivals = sorted(run.arrived for run in mesh.runs() if run.attempt in mesh.deadly)
    begin = max(crashes[2], calm) + CONTACT_S
    return crashes, [at for at in arrivals if at > begin]


async def main():
    mesh = None
    try:
        mesh = Mesh(6, ["howrah", "salt-lake", "barasat"], BOUNDS, os.path.join(HERE, "record.txt"),
                    service="stallhall")
        mesh.deadly, mesh.spans = set(), []
        calm = await play(mesh)
        crashes, retries = judge(mesh, calm)
        share = deadly_share(mesh)
        if share > MAX_DEADLY_SHARE:
            raise CannotRun(f"the share of deadly requests was {share:.4f}")
        broken = len(retries) > ALLOWED_RETRIES
        lines = [
            f"BUDGET {'broken' if broken else 'held'}: {len(retries)} retries of a request after it had crashed three "
            f"upstreams, {ALLOWED_RETRIES} allowed; {len(crashes)} upstreams crashed in all; "
            f"the share of the deadly requests was {share:.4f}"
        ]
        print("\n".join(lines))
        mesh.write_record(lines)
        return 1 if broken else 0
    finally:
        if mesh:
            await mesh.stop()


run_case(main)
