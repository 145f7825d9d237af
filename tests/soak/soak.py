"""Randomized fault soak: real entry processes, stand-ins, and faults from outside.

Usage: soak.py BUILD_DIRECTORY [--seed S] [--seconds N | --minutes N] [--entries N] [--callers N] [--cases FILE]

--seed     first seed; further ones follow it. The faults of a run follow from its seed.
--seconds  length of the faults of one run (12).
--minutes  runs one seed after the other for so long; without it, one seed is run.
--entries  entry processes (5).
--callers  callers, each with a connection of its own (24).
--cases    runs the seeds that once failed: a file with SEED SECONDS ENTRIES on each line, # begins a remark.

Exit status: 0 all promises held, 1 one was broken, 2 wrong usage.
"""

import argparse
import asyncio
import json
import pathlib
import random
import shutil
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "tests" / "entry"), str(ROOT / "standins" / "platform")]

from callers import Caller  # noqa: E402
from faults import Faults, schedule  # noqa: E402
from promises import check  # noqa: E402
from soakworld import STALL_S, SoakWorld  # noqa: E402

CALM_S = 9.0
LAST_ANSWERS_S = 5.0
PAUSE_S = 0.15
STEP_S = 0.05


async def watch_for_stalls(world):
    while True:
        began = time.monotonic()
        await asyncio.sleep(STEP_S)
        if time.monotonic() - began > STEP_S + STALL_S:
            world.note_stall(began)


def run_until(world, faults, end, steps=()):
    """Carries out the steps and what is due, until the end."""
    steps = list(steps)
    begun = time.monotonic()
    while (now := time.monotonic()) < end:
        while steps and begun + steps[0].at <= now:
            faults.begin(steps.pop(0))
        faults.end_due()
        for entry in world.entries:
            entry.note_own_end(world.history)
        time.sleep(STEP_S)
        if time.monotonic() - now > STEP_S + STALL_S:
            world.note_stall(now)


def soak(build, seed, seconds, entries, callers):
    """One run. Returns the promises that were broken and a summary."""
    world = SoakWorld(build, entries)
    try:
        tasks = [watch_for_stalls(world)]
        for number in range(callers):
            caller = Caller(number, world, world.history, random.Random(f"{seed}/{number}"))
            tasks.append(caller.run(PAUSE_S))
        futures = [asyncio.run_coroutine_threadsafe(task, world.loop.loop) for task in tasks]
        faults = Faults(world)
        run_until(world, faults, time.monotonic() + seconds, schedule(seed, seconds))
        while faults.undo:
            faults.end_due()
            time.sleep(STEP_S)
        world.history.calm_from = time.monotonic()
        run_until(world, faults, time.monotonic() + CALM_S)
        for future in futures:
            future.cancel()
        time.sleep(0.5)
        broken = check(world)
        return broken, summary(world, seed, faults.begun, broken)
    finally:
        world.close()


def summary(world, seed, faults, broken):
    sent = world.history.sent
    statuses = {}
    for request in sent:
        key = str(request.status or request.failure)
        statuses[key] = statuses.get(key, 0) + 1
    line = {"seed": seed, "faults": faults, "requests": len(sent), "ends": statuses, "stalls": len(world.host_stalled.spans)}
    line |= {"configurations": len(world.history.configurations), "broken": broken, "logs": str(world.directory)}
    return line


def keep_evidence(line):
    """Keeps the logs of a run only if it broke a promise."""
    directory = pathlib.Path(line["logs"])
    if line["broken"]:
        (directory / "soak.json").write_text(json.dumps(line, indent=1))
    else:
        shutil.rmtree(directory)
        del line["logs"]


def read_cases(path):
    lines = [line.split("#")[0].split() for line in pathlib.Path(path).read_text().splitlines()]
    return [(int(seed), float(seconds), int(entries)) for seed, seconds, entries in filter(None, lines)]


def runs(options):
    """The runs to make: seed, seconds and processes."""
    if options.cases:
        yield from read_cases(options.cases)
        return
    end = time.monotonic() + options.minutes * 60
    seed = options.seed
    yield seed, options.seconds, options.entries
    while time.monotonic() < end:
        seed += 1
        yield seed, options.seconds, options.entries


def main():
    parser = argparse.ArgumentParser(description="Randomized fault soak of real entry processes.")
    parser.add_argument("build", type=pathlib.Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--minutes", type=float, default=0)
    parser.add_argument("--entries", type=int, default=5)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--cases", type=pathlib.Path)
    options = parser.parse_args()
    failed = 0
    for seed, seconds, entries in runs(options):
        broken, line = soak(options.build, seed, seconds, entries, options.callers)
        keep_evidence(line)
        print(json.dumps(line), flush=True)
        failed += bool(broken)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
