"""A tenant at its cap gets twice as much after the owner of the workers has changed."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

import standins

CAP_CPU, TASK_CPU, TASKS = 12000, 1000, 12
# Of 12 workers, 2 are 0.167; the pages name 0.17.
MOST_CUT = 2
CUT_S = 5.5


async def scenario(cell, has_trouble):
    cell.fleet.cap, cell.fleet.task_cpu = CAP_CPU, TASK_CPU
    first, second = standins.new_job(), standins.new_job()
    await cell.submit(first, TASKS, TASK_CPU, 9000)

    async def all_run():
        return len(cell.fleet.running(first)) == TASKS

    await cell.wait_until("all tasks of the first job run", all_run, 5)
    await asyncio.sleep(0.5)
    holders = {worker for worker, _ in cell.fleet.running(first)}
    if len(holders) > MOST_CUT:
        raise standins.Unfit(f"the first job runs on {len(holders)} workers")
    owner, tasks = cell.owner(), []
    if has_trouble:
        for worker in holders:
            worker.set_mode("cut")
        await asyncio.sleep(0.3)
        tasks.append(asyncio.create_task(owner.end(signal.SIGTERM, 0.5)))
    await asyncio.sleep(1.8)
    await cell.submit(second, TASKS, TASK_CPU, 1000, without=owner)
    await asyncio.sleep(CUT_S - 2.3)
    for worker in holders if has_trouble else ():
        worker.set_mode("sound")
    await asyncio.gather(*tasks)

    async def all_done():
        states = [await cell.ask("GET", job) for job in (first, second)]
        return all(answer == (200, {"state": "completed"}) for answer in states)

    await cell.wait_until("both jobs are completed", all_done, 40)


standins.main(HERE, scenario, CAP_CPU)
