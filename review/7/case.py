"""A request that was answered before crashes the searchers of a new software version, and comes again and again."""

import pathlib
import random
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
import world as w  # noqa: E402

MACHINES = 3
SEARCHERS = 4
TARGET = "/fetch/report"
IN_TOUCH_S = w.BOUNDS["stableWindowMs"] / 1000
MOST_RETRIES = 3
DRAIN_S = w.BOUNDS["drainMs"] / 1000
# A crashed searcher is back after so long.
CRASHED_S = 2.0
AGAIN_EVERY_S = 0.5
AGAIN_FOR_S = 25.0
# What other requests take at a searcher.
WORK_S = 0.06


class Others(threading.Thread):
    """Sends other requests, one after the other, that may run once only."""

    def __init__(self, world, number, ends):
        super().__init__(daemon=True)
        self.world = world
        self.number = number
        self.ends = ends
        self.random = random.Random(number)
        self.is_stopped = False

    def run(self):
        count = 0
        while not self.is_stopped:
            count += 1
            machine = self.random.choice(self.world.machines)
            try:
                status = str(machine.ask("/book/a", f"other-{self.number}-{count}", method="POST", body=f"{self.number}-{count}".encode())[0])
            except OSError as error:
                status = type(error).__name__
            self.ends.append(status)
            time.sleep(0.05)


def send(machine, record, request_id):
    try:
        end = str(machine.ask(TARGET, request_id)[0])
    except OSError as error:
        end = type(error).__name__
    record.line(f"{machine.name}: {request_id} GET {TARGET}: {end}")
    return end


def runs_of_target(world):
    runs = [(run.at, searcher.instance, run.request_id) for searcher in world.searchers.values() for run in searcher.ran if run.target == TARGET]
    return sorted(runs)


def replace_searchers(world, record):
    """The planned release: new searchers start first, the old ones drain and leave."""
    old = list(world.searchers.values())
    for number in range(SEARCHERS):
        searcher = world.add_searcher(f"i-new-{number}", "desk", w.ZONES[number])
        searcher.delay = WORK_S
        searcher.crash_seconds = CRASHED_S
        searcher.crashes_on = TARGET if w.has_trouble() else None
        searcher.register()
    for searcher in old:
        searcher.register("draining")
    record.line("the new version's searchers are registered, the old ones drain")
    time.sleep(DRAIN_S + 0.5)
    for searcher in old:
        searcher.unregister()
        searcher.stop()
    record.line("the old searchers have left")


def case(world, record):
    routes = [w.route("fetch", "/fetch/", "desk"), w.route("book", "/book/", "desk", "non_idempotent")]
    world.configure(1, routes, ["desk"])
    for number in range(SEARCHERS):
        searcher = world.add_searcher(f"i-old-{number}", "desk", w.ZONES[number])
        searcher.delay = WORK_S
        searcher.register()
    world.start()
    ends = []
    others = [Others(world, number, ends) for number in range(4)]
    for thread in others:
        thread.start()
    for round_number in range(2):
        for machine in world.machines:
            if send(machine, record, f"before-{machine.index}-{round_number}") != "200":
                raise w.CannotRun("the request isn't answered before the release")
    replace_searchers(world, record)
    time.sleep(1.0)
    record.line(f"ends of other requests so far: { {end: ends.count(end) for end in set(ends)} }")
    ends_before = len(ends)
    began = time.monotonic()
    generator = random.Random(1)
    number = 0
    while time.monotonic() < began + AGAIN_FOR_S:
        number += 1
        send(generator.choice(world.machines), record, f"again-{number}")
        time.sleep(AGAIN_EVERY_S)
    for thread in others:
        thread.is_stopped = True
    for thread in others:
        thread.join(10)
    later = ends[ends_before:]
    record.line(f"ends of other requests since: { {end: later.count(end) for end in set(later)} }")
    runs = [run for run in runs_of_target(world) if run[0] >= began]
    for at, instance, request_id in runs:
        record.line(f"{instance}: begins to run {request_id}{' and crashes' if w.has_trouble() else ''}", at)
    crashes = runs if w.has_trouble() else []
    late = [run for run in crashes if run[0] > crashes[2][0] + IN_TOUCH_S] if len(crashes) >= 3 else []
    record.line(f"{len(crashes)} crashes; {len(late)} of them later than {IN_TOUCH_S:.0f} s after the third, allowed: {MOST_RETRIES}")
    return len(late) <= MOST_RETRIES


w.carry_out(pathlib.Path(__file__).parent, MACHINES, case)
