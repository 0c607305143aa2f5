"""A worker drains and runs on while the store is down for 4.5 s and its entry expires."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

from standins import Reset, job, job_id, main

OUTAGE_S = 4.5  # `for_s` of `platform_down` with `reset lapse` in the site file
EXIT_S = 8.0  # drainMs is 2 s; "and a little longer (at times many seconds)"
# The first heartbeat after the outage; the page says "within about two seconds".
FIRST_BEAT_S = 0.08
LAST_BEAT_S = 1.5


async def case(cell):
    fleet, record, store = cell.fleet, cell.record, cell.store
    await cell.workers(16, 4000)  # one of 16 drains: a share of 0.063, at most 0.065
    cell.operate()
    await cell.start(3)
    for _ in range(6):
        if not await cell.submit(job_id(), job(15000, cpu=2000)):
            raise RuntimeError("a job wasn't accepted")
    await asyncio.sleep(1)

    drained = max(fleet.workers.values(), key=lambda worker: len(worker.running))
    drained.state, drained.remaining_ms = "draining", 2000
    drained.register()
    record.write(f"{drained.name} drains, its entry says so; it runs {list(drained.running)}")

    async def leave():
        await asyncio.sleep(EXIT_S)
        record.write(f"{drained.name} exits, its entry is removed")
        drained.leave()
        store.remove("servers", [drained.name])

    cell.tasks.append(asyncio.create_task(leave()))
    await asyncio.sleep(0.5)
    if cell.trouble:
        await outage(cell, drained)
    else:
        await asyncio.sleep(OUTAGE_S)
    await asyncio.sleep(6)
    return not fleet.broken


async def outage(cell, drained):
    """The store resets all connections. No worker can send a heartbeat, so all entries expire."""
    fleet, record, store = cell.fleet, cell.record, cell.store

    def reset(node, path, body):
        raise Reset

    store.before = reset
    for worker in fleet.workers.values():
        worker.beats = False
    record.write("the store is down")
    await asyncio.sleep(OUTAGE_S)
    store.remove("servers", list(fleet.workers))
    store.before = lambda node, path, body: None
    record.write("the store is back; all entries have expired")

    async def beat(worker, after):
        await asyncio.sleep(after)
        if worker.up:
            worker.beats = True
            worker.register()
            record.write(f"{worker.name} is listed again as {worker.state}")

    for index, worker in enumerate(fleet.workers.values()):
        after = LAST_BEAT_S if worker is drained else FIRST_BEAT_S * (index + 1)
        cell.tasks.append(asyncio.create_task(beat(worker, after)))


main(case, trouble=sys.argv[1] != "0", record=sys.argv[2])
