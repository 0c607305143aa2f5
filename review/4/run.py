"""Jobs are handed in while the store is slow and discards its history."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

from standins import job, job_id, main

JOBS_PER_S = 60
ROUNDS = 4
SLOW_S = 4.5  # `for_s` of `platform_slow` in the site file
CALL_S = 0.24  # 60 times 4 ms, its `x`
FINISH_S = 14  # finish_s


def slow(path):
    """A slow call takes 0.24 s. It is carried out at any moment of that time."""
    before = random.uniform(0, CALL_S)
    return before, CALL_S - before


async def case(cell):
    fleet, record, store = cell.fleet, cell.record, cell.store
    await cell.workers(10, 16000)
    cell.operate()
    await cell.start(3)
    accepted, ends = {}, False

    async def hand_in():
        name = job_id()
        if await cell.submit(name, job(200, cpu=500)):
            accepted[name] = record.now()

    async def clients():
        while not ends:
            cell.tasks.append(asyncio.create_task(hand_in()))
            await asyncio.sleep(random.uniform(0, 2 / JOBS_PER_S))

    cell.tasks.append(asyncio.create_task(clients()))
    await asyncio.sleep(2)
    usual = store.latency
    for _ in range(ROUNDS):
        if cell.trouble:
            record.write("the store is slow")
            store.latency = slow
        for pause in (1.0, 3.0):
            await asyncio.sleep(pause)
            if cell.trouble:
                record.write("the store discards its history")
                store.forget_history()
        await asyncio.sleep(SLOW_S - 4)
        store.latency = usual
        record.write("the store is as fast as usual")
        await asyncio.sleep(2)
    ends = True
    await asyncio.sleep(3 + FINISH_S)

    missing = [name for name in accepted if f"{name}.0.0.0" not in fleet.starts_of]
    record.write(f"{len(accepted)} jobs accepted, {len(missing)} of them never started")
    print(f"{len(accepted)} jobs accepted, {len(missing)} of them never started")
    for name in missing:
        answer = await cell.request("GET", name)
        fleet.broke(f"LOST: {name}, accepted at {accepted[name]:.3f} s, never starts: {answer}")
    return not fleet.broken


main(case, trouble=sys.argv[1] != "0", record=sys.argv[2])
