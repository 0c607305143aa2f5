"""A job whose cancelling was acknowledged runs all the same."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

import standins

JOBS = "jobs"  # the table in which the daemons store accepted jobs
LATE_S, LEAVES_S = 6.0, 0.5
CANCEL_S, STABLE_S, STOP_S = 3.0, 3.0, 0.9
MOST_LOST_SHARE = 0.35


async def scenario(cell, has_trouble):
    job, store, fleet = standins.new_job(), cell.store, cell.fleet
    begun, lost_at = store.writes, []

    def is_lost(machine, body):
        is_meant = not lost_at and any(row["key"] == job for row in body["puts"])
        if is_meant:
            lost_at.append(standins.now())
        return is_meant

    if has_trouble:
        store.is_lost, store.late_s = is_lost, LATE_S
    first, second = cell.daemons[0], cell.daemons[1]
    headers = [f"host: {standins.HOST}", f"authorization: Bearer {standins.KEY}", "deadline-ms: 3000"]
    step = {"count": 1, "cpu": 1000, "memMb": 256, "estMs": 8000}
    body = {"spec": "8000", "steps": [step]}
    path = standins.PREFIX + job
    # Two of three clients stay until they are answered.
    for _ in range(2):
        await cell.submit(standins.new_job(), 1, 1000, 500)
    answer = await standins.call(first.front, "POST", path, body, headers, LEAVES_S)
    cell.record.write(f"client: POST {job} at {first.name}, leaves after {LEAVES_S} s: {answer}")
    await asyncio.sleep(0.5)
    status, _ = await standins.call(second.front, "DELETE", path, None, headers)
    cancelled_at = standins.now()
    cell.record.write(f"client: DELETE {job} at {second.name}: {status}")
    if status not in (200, 410):
        raise standins.Unfit(f"the cancelling was answered {status}")
    await asyncio.sleep(0.5)
    if has_trouble:
        share = store.lost / (store.writes - begun)
        cell.record.write(f"store: {store.lost} answer lost, {share:.2f} of the writes")
        if store.lost != 1 or share > MOST_LOST_SHARE:
            raise standins.Unfit("the share of lost answers is not within the pages' limit")
    until = standins.now() + 10
    while standins.now() < until and not fleet.broken:
        running, passed = fleet.running(job), standins.now() - cancelled_at
        for worker, run in running:
            if lost_at and run.begun - lost_at[0] < STABLE_S:
                raise standins.Unfit("the store has not been stable for long enough")
            if run.begun - cancelled_at > CANCEL_S:
                fleet.breaks(
                    f"UNASKED: {run.task} starts on {worker.name} {run.begun - cancelled_at:.1f} s"
                    f" after its job's cancelling was acknowledged with {status}"
                )
            elif passed > CANCEL_S + STOP_S and not has_trouble:
                fleet.breaks(f"UNASKED: {run.task} runs {passed:.1f} s after the cancelling")
        await asyncio.sleep(0.02)
    state = await standins.call(second.front, "GET", path, None, headers)
    cell.record.write(f"client: GET {job} at {second.name}: {state}")


standins.main(HERE, scenario)
