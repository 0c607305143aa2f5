"""Tasks whose ends the owner of the workers knew are started again by the next owner."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

import standins

# The table in which the daemons store how far jobs are.
PROGRESS = "progress"
LOST_ANSWERS, LATE_S = 2, 6.0
MOST_LOST_SHARE = 0.35
BUSY_S = 4.0


async def scenario(cell, has_trouble):
    first, second = standins.new_job(), standins.new_job()
    listed = asyncio.Event()

    def is_lost(machine, body):
        is_progress = any(row["table"] == PROGRESS for row in body["puts"])
        return is_progress and cell.store.lost < LOST_ANSWERS

    def on_listed(worker, rows):
        ends = [row for row in rows if row[1].startswith(second) and row[3] == "done"]
        if len(ends) == 4:
            listed.set()

    # The end of the first job makes the owner write how far it is.
    await cell.submit(first, 1, 1000, 500)
    await cell.submit(second, 4, 1000, 800)
    await asyncio.sleep(0.2)
    if has_trouble:
        cell.store.is_lost, cell.store.late_s = is_lost, LATE_S
    begun = cell.store.writes
    cell.fleet.on_listed = on_listed
    owner, holders = cell.owner(), {worker for worker, _ in cell.fleet.running(second)}
    if len(holders) != 1:
        raise standins.Unfit(f"the second job runs on {len(holders)} workers")
    (holder,) = holders
    await asyncio.wait_for(listed.wait(), 5)
    tasks = []
    if has_trouble:
        # Once the list has reached the owner.
        await asyncio.sleep(0.05)
        holder.set_mode("busy")
        await asyncio.sleep(1.8)
        cell.store.is_lost = lambda machine, body: False
        share = cell.store.lost / (cell.store.writes - begun)
        cell.record.write(f"store: {cell.store.lost} answers lost, {share:.2f} of the writes")
        if cell.store.lost == 0 or share > MOST_LOST_SHARE:
            raise standins.Unfit("the share of lost answers is not within the pages' limit")
        tasks.append(asyncio.create_task(owner.end(signal.SIGTERM, 0.5)))
        await asyncio.sleep(BUSY_S - 1.8)
        holder.set_mode("sound")

    async def all_done():
        states = [await cell.ask("GET", job, without=owner) for job in (first, second)]
        return all(answer == (200, {"state": "completed"}) for answer in states)

    await asyncio.sleep(3)
    await cell.wait_until("both jobs are completed", all_done, 20)
    await asyncio.gather(*tasks)


standins.main(HERE, scenario)
