"""Entries expire while the store is down for 4.5 s; then two of five daemons are restarted in turn."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

from standins import Reset, job, job_id, main

WORKERS = 12
OUTAGE_S = 4.5  # `for_s` of `platform_down` with `reset lapse` in the site file
# When workers send their first heartbeat after the outage: "within about two seconds".
BEAT_GAP_S = 0.1
LAST_BEAT_S = 1.9
RESTART_S = 0.1  # the first SIGTERM, after the outage
GAP_S = 1.1  # `gap_s` of `roll_term` is 1.04 to 1.4 in the site file
RESTARTS = 2  # of five daemons; its `share` is at most 0.48 there, and at most 1 by `kinds`


async def case(cell):
    fleet, record = cell.fleet, cell.record
    await cell.workers(WORKERS, 4000)
    cell.operate()
    await cell.start(5)
    for _ in range(WORKERS):
        if not await cell.submit(job_id(), job(20000, cpu=2000)):
            raise RuntimeError("a job wasn't accepted")
    await asyncio.sleep(1)

    # The worker that is listed last is one that has tasks.
    workers = sorted(fleet.workers.values(), key=lambda worker: len(worker.running))
    record.write(f"{workers[-1].name} runs {list(workers[-1].running)}")
    if cell.trouble:
        await trouble(cell, workers)
    else:
        await asyncio.sleep(OUTAGE_S + RESTART_S + GAP_S)
    await asyncio.sleep(5)
    return not fleet.broken


async def trouble(cell, workers):
    record, store = cell.record, cell.store

    def reset(node, path, body):
        raise Reset

    store.before = reset
    for worker in workers:
        worker.beats = False
    record.write("the store is down")
    await asyncio.sleep(OUTAGE_S)
    store.remove("servers", [worker.name for worker in workers])
    store.before = lambda node, path, body: None
    record.write("the store is back; all entries have expired")

    async def beat(worker, after):
        await asyncio.sleep(after)
        worker.beats = True
        worker.register()
        record.write(f"{worker.name} is listed again")

    for index, worker in enumerate(workers):
        after = LAST_BEAT_S if worker is workers[-1] else BEAT_GAP_S * (index + 1)
        cell.tasks.append(asyncio.create_task(beat(worker, after)))
    await asyncio.sleep(RESTART_S)
    for _ in range(RESTARTS):
        leader = cell.leader()
        record.write(f"{leader.name} gets SIGTERM")
        cell.tasks.append(asyncio.create_task(restart(cell, leader)))
        await asyncio.sleep(GAP_S)


async def restart(cell, daemon):
    daemon.signal(signal.SIGTERM)
    while daemon.process.poll() is None:
        await asyncio.sleep(0.05)
    cell.record.write(f"{daemon.name} has ended and is started again")
    daemon.start()


main(case, trouble=sys.argv[1] != "0", record=sys.argv[2])
