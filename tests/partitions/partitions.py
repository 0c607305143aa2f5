#!/usr/bin/env -S python3 -B
"""Plays partitions between daemons, workers and the store. See README.md.

    partitions.py [--repeat N] [--case NAME]... [--together N] [--program PATH] [--keep FOLDER]
"""

import argparse
import asyncio
import os
import random
import shutil
import subprocess
import sys
import tempfile
import traceback

from cell import CUT, NO_ANSWERS, SOUND, Cell, Daemon
from standins import job, job_id

DAEMONS = 4
WORKERS = 12
WORKER_CPU = 4000
JOBS = 24
TASK_CPU = 700
LONG_MS, SHORT_MS = 25000, 6000
SUBMIT_AT_S, CUT_AT_S = 2, 3.3  # since the play began
HEAL_S = 16  # after the cut
END_S = 60  # after the heal
PLAY_S = 150

CASES = {}


def case(name, *durations, strict=False, **arguments):
    """Adds a play for each duration of the tasks. In a strict play each task starts once and no
    lease lapses."""

    def add(play):
        for duration in durations:
            CASES[f"{name}-{duration // 1000}s"] = (play, duration, strict, arguments)
        return play

    return add


async def until(cell, seconds):
    """Waits until `seconds` after the cut."""
    await asyncio.sleep(max(0, cell.cut_at + seconds - cell.record.now()))


@case("keep-1", LONG_MS, SHORT_MS, kept=1)
@case("keep-3", LONG_MS, SHORT_MS, kept=3)
@case("keep-6", LONG_MS, SHORT_MS, kept=6)
@case("keep-8", LONG_MS, SHORT_MS, kept=8)
@case("keep-11", LONG_MS, SHORT_MS, kept=11)
@case("keep-3-peers", LONG_MS, kept=3, peers=SOUND)
@case("keep-8-peers", LONG_MS, kept=8, peers=SOUND)
@case("one-way-3", LONG_MS, SHORT_MS, kept=3, state=NO_ANSWERS)
@case("one-way-8", LONG_MS, kept=8, state=NO_ANSWERS)
@case("store-one-way-3", LONG_MS, SHORT_MS, kept=3, store=NO_ANSWERS)
async def partition(cell, kept, **states):
    """The owner keeps some workers, and its successor reaches the others and the store."""
    owner = cell.owner()
    kept = cell.workers_by_load()[:kept]
    cell.isolate(owner, kept, **states)
    cell.withhold([name for name in cell.names() if name != owner], kept)
    await until(cell, HEAL_S)


@case("two-changes-3-3", LONG_MS, SHORT_MS, first=3, second=3)
@case("two-changes-1-8", LONG_MS, first=1, second=8)
@case("two-changes-8-2", LONG_MS, first=8, second=2)
async def two_changes(cell, first, second):
    """4 s later the successor is cut off with other workers, and a third owner follows."""
    owner = cell.owner()
    workers = cell.workers_by_load()
    kept, next_kept = workers[:first], workers[first : first + second]
    cell.isolate(owner, kept)
    cell.withhold([name for name in cell.names() if name != owner], kept)
    await until(cell, 4)
    successor = cell.owner()
    if successor == owner:
        raise RuntimeError("no successor within 4 s")
    cell.isolate(successor, next_kept)
    others = [name for name in cell.names() if name not in (owner, successor)]
    cell.withhold(others, next_kept)
    await until(cell, HEAL_S)


@case("reborn-3", LONG_MS, SHORT_MS, kept=3)
@case("reborn-7", LONG_MS, kept=7)
async def reborn(cell, kept):
    """A worker that the old owner keeps crashes and starts again under its id."""
    owner = cell.owner()
    kept = cell.workers_by_load()[:kept]
    cell.isolate(owner, kept)
    cell.withhold([name for name in cell.names() if name != owner], kept)
    await until(cell, 4.5)
    worker = cell.fleet.workers[kept[0]]
    worker.crash()
    await until(cell, 5)
    await worker.again()
    cell.record.write(f"{kept[0]} has started again")
    await until(cell, HEAL_S)


@case("gap-old-3", LONG_MS, SHORT_MS, kept=3, old=True)
@case("gap-new-3", LONG_MS, SHORT_MS, kept=3, old=False)
@case("gap-old-8", LONG_MS, kept=8, old=True)
async def gap(cell, kept, old):
    """Nobody reaches the kept workers from 3 s to 6 s; then the old owner or the others do."""
    owner = cell.owner()
    kept = cell.workers_by_load()[:kept]
    others = [name for name in cell.names() if name != owner]
    cell.isolate(owner, kept)
    cell.withhold(others, kept)
    await until(cell, 3)
    cell.withhold([owner], kept)
    await until(cell, 6)
    for daemon in [owner] if old else others:
        cell.paths.set(daemon, kept, SOUND)
    cell.record.write(f"{'the old owner' if old else 'the others'} reach {kept} again")
    await until(cell, HEAL_S)


@case("back-old-3", LONG_MS, kept=3, old=True)
@case("back-new-3", LONG_MS, kept=3, old=False)
async def back(cell, kept, old):
    """At 6 s the old owner reaches all workers again, or the others reach the kept ones."""
    owner = cell.owner()
    kept = cell.workers_by_load()[:kept]
    others = [name for name in cell.names() if name != owner]
    cell.isolate(owner, kept)
    cell.withhold(others, kept)
    await until(cell, 6)
    for daemon in [owner] if old else others:
        cell.paths.set(daemon, list(cell.fleet.workers), SOUND)
    cell.record.write(f"{'the old owner' if old else 'the others'} reach all workers")
    await until(cell, HEAL_S)


@case("random-1", LONG_MS, SHORT_MS, seed=1)
@case("random-2", LONG_MS, SHORT_MS, seed=2)
@case("random-3", LONG_MS, SHORT_MS, seed=3)
@case("random-4", LONG_MS, SHORT_MS, seed=4)
async def at_random(cell, seed):
    """Every 1 to 4 s each daemon is in touch with the store, its peers and each worker anew, or not."""
    draw = random.Random(seed)
    at = 0
    while at < HEAL_S:
        cell.paths.states.clear()
        for daemon in cell.names():
            reached = draw.choice([0.2, 0.5, 0.8, 1.0])
            for worker in cell.fleet.workers:
                if draw.random() > reached:
                    cell.paths.set(daemon, [worker], draw.choice([CUT, CUT, NO_ANSWERS]))
            if draw.random() < 0.5:
                cell.paths.set(daemon, ["store"], draw.choice([CUT, CUT, NO_ANSWERS]))
            for other in cell.names():
                if draw.random() < 0.5:
                    cell.paths.set(daemon, [other], CUT)
        cell.paths.wake()
        cell.record.write(f"paths: {cell.paths.states}")
        at += draw.uniform(1, 4)
        await until(cell, min(at, HEAL_S))


@case("store-away-12", LONG_MS, strict=True, seconds=12)
@case("store-away-45", LONG_MS, strict=True, seconds=45)
async def store_away(cell, seconds):
    """The store is away for all daemons."""
    for daemon in cell.names():
        cell.paths.set(daemon, ["store"], CUT)
    cell.record.write("the store is away")
    await until(cell, seconds)


@case("store-answers-8", LONG_MS, strict=True)
async def store_answers(cell):
    """The store's answers to the owner are lost, and its feed is silent for all."""
    cell.paths.set(cell.owner(), ["store"], NO_ANSWERS)
    for daemon in cell.names():
        cell.paths.set(daemon, ["feed"], NO_ANSWERS)
    cell.record.write("the store doesn't answer the owner")
    await until(cell, 8)


async def play(cell, name):
    """Returns what was seen, and whether all promises held."""
    fleet, record = cell.fleet, cell.record
    disrupt, duration, strict, arguments = CASES[name]
    await cell.workers(WORKERS, WORKER_CPU)
    cell.operate()
    await cell.start(DAEMONS)
    await asyncio.sleep(max(0, SUBMIT_AT_S - record.now()))
    jobs = [job_id() for _ in range(JOBS)]
    document = job(duration, cpu=TASK_CPU)
    if not all(await asyncio.gather(*(cell.submit(one, document) for one in jobs))):
        raise RuntimeError("a job wasn't accepted")
    while fleet.starts() < JOBS or record.now() < CUT_AT_S:
        if record.now() > CUT_AT_S + 10:
            raise RuntimeError("the tasks haven't started")
        await asyncio.sleep(0.02)

    cell.cut_at = record.now()
    await disrupt(cell, **arguments)
    cell.paths.heal()
    healed_at = record.now()
    record.write("all paths are sound")

    left = set(jobs)
    while left and record.now() < healed_at + END_S:
        await asyncio.sleep(0.5)
        for one in [one for one in left if f"{one}.0.0.0" in fleet.done]:
            answer = await cell.request("GET", one)
            if answer and answer[0] == 200 and answer[1].get("state") == "completed":
                left.remove(one)
    await asyncio.sleep(1)

    # A claim that is repeated by its holder is no change of the owner.
    holders = [holder for _, holder, _ in cell.store.claims]
    changes = sum(before != after for before, after in zip(holders, holders[1:]))
    restart = f"{min(fleet.restarts) - cell.cut_at:.1f}" if fleet.restarts else "none"
    twice = sum(text.startswith("TWICE") for text in fleet.broken)
    confused = len(fleet.broken) - twice
    seen = (
        f"TWICE {twice}, starts {fleet.starts()}, lapsed {len(fleet.lapsed)},"
        f" first restart {restart}, not completed {len(left)}, changes {changes},"
        f" cut at {cell.cut_at:.1f}, over at {record.now():.1f}"
    )
    if confused:
        raise RuntimeError(f"callers confused: {fleet.broken}")
    held = not twice and not left
    if strict:
        held = held and fleet.starts() == JOBS and not fleet.lapsed
    return seen, held


def play_one(name, folder):
    """Plays a case in this process, and exits with 0, 1 or 2."""

    async def run():
        cell = Cell(os.path.join(folder, "record.txt"), DAEMONS)
        try:
            seen, held = await asyncio.wait_for(play(cell, name), PLAY_S)
            code = 0 if held else 1
        except Exception as error:  # the case couldn't run
            cell.record.write(traceback.format_exc())
            seen, code = f"could not run: {error!r}", 2
        shutil.copytree(cell.folder, folder, dirs_exist_ok=True)
        cell.close()
        print(seen, flush=True)
        # Open connections need no orderly end.
        os._exit(code)

    asyncio.run(run())


async def play_all(arguments):
    """Plays the cases in processes of their own, and prints a line for each. Returns how many plays
    ended with 0, 1 and 2."""
    slots = asyncio.Semaphore(arguments.together)
    counts = [0, 0, 0]

    async def run(name, number):
        async with slots:
            folder = os.path.join(arguments.keep, f"{name}.{number}")
            os.makedirs(folder, exist_ok=True)
            command = [sys.executable, "-B", __file__, "--play", name, "--keep", folder]
            process = await asyncio.create_subprocess_exec(
                *command, "--program", arguments.program, stdout=subprocess.PIPE
            )
            output, _ = await process.communicate()
            code = process.returncode if process.returncode in (0, 1) else 2
            counts[code] += 1
            word = ["held", "BROKEN", "NOT RUN"][code]
            print(f"{name:20} {word:7} {output.decode().strip()}", flush=True)
            if not code:
                shutil.rmtree(folder)

    names = arguments.case or list(CASES)
    await asyncio.gather(*(run(name, number) for number in range(arguments.repeat) for name in names))
    return counts


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--repeat", type=int, default=1)
    parser.add_argument("--case", action="append", choices=CASES)
    parser.add_argument("--together", type=int, default=2, help="plays at the same time")
    parser.add_argument("--program", default=Daemon.program)
    parser.add_argument("--keep", help="the folder for the logs of plays that break")
    parser.add_argument("--play", choices=CASES, help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    Daemon.program = os.path.abspath(arguments.program)
    if arguments.play:
        play_one(arguments.play, arguments.keep)
    arguments.keep = os.path.abspath(arguments.keep or tempfile.mkdtemp(prefix="partitions-"))
    held, broken, not_run = asyncio.run(play_all(arguments))
    print(f"held {held}, broken {broken}, not run {not_run}; kept in {arguments.keep}")
    sys.exit(2 if not_run else 1 if broken else 0)


main()
