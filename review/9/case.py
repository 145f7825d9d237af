"""The machines that read the store are cut off from it. Meanwhile a searcher leaves without reporting that it drains."""

import pathlib
import random
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
import world as w  # noqa: E402

from proxy import Harm, Proxy  # noqa: E402

MACHINES = 8
SEARCHERS = 4
DRAIN_S = w.BOUNDS["drainMs"] / 1000
# The largest cut of the site: share 0.35 for 12 s.
MOST_CUT = 3
CUT_S = 12.0
# The searcher leaves so long after the begin of the cut, and serves for so long after the ack: drainMs and a little longer.
LEAVES_AT = 5.0
SERVES_S = DRAIN_S + 2.0
CALLERS = 24
PAUSE_S = 0.03
WORK_S = 0.06


class Caller(threading.Thread):
    """Sends one request after the other. The id of a request says which machine it was sent to."""

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
            began = time.monotonic()
            request_id = f"{machine.name}.{self.number}.{count}"
            try:
                if self.number % 2:
                    end = str(machine.ask("/book/a", request_id, method="POST", body=request_id.encode())[0])
                else:
                    end = str(machine.ask("/fetch/a", request_id)[0])
            except OSError as error:
                end = type(error).__name__
            self.ends[request_id] = (began, end)
            time.sleep(PAUSE_S)


def add_proxies(world):
    for machine in world.machines:
        machine.store_link = Proxy(world.loop, "127.0.0.1", w.free_port("127.0.0.1"), world.store.address)
        machine.store_link.start()
        machine.store_address = machine.store_link.address


def readers(world):
    """The machines that have a connection to the store, as the platform sees it."""
    return [machine for machine in world.machines if machine.store_link.writers]


def case(world, record):
    add_proxies(world)
    world.configure(1, [w.route("fetch", "/fetch/", "desk"), w.route("book", "/book/", "desk", "non_idempotent")], ["desk"])
    for number in range(SEARCHERS):
        searcher = world.add_searcher(f"i-desk-{number}", "desk", w.ZONES[number])
        searcher.delay = WORK_S
        searcher.register()
    world.start()
    ends = {}
    callers = [Caller(world, number, ends) for number in range(CALLERS)]
    for caller in callers:
        caller.start()
    # The machines have been in touch for stableWindowMs.
    time.sleep(w.BOUNDS["stableWindowMs"] / 1000 + 2)
    cut = readers(world)
    if not 1 <= len(cut) <= MOST_CUT:
        raise w.CannotRun(f"{len(cut)} machines read the store")
    if not w.has_trouble():
        cut = []
    for machine in cut:
        machine.store_link.set_harm(Harm.SILENT)
    cut_at = time.monotonic()
    record.line(f"cut off from the store, silently, for {CUT_S:.0f} s: {[machine.name for machine in cut]}")
    time.sleep(LEAVES_AT)
    leaving = world.searchers["i-desk-0"]
    leaving.unregister()
    gone_at = time.monotonic()
    record.line(f"{leaving.instance} leaves without reporting that it drains: the store has removed its entry; it serves for {SERVES_S:.0f} s more")
    time.sleep(SERVES_S)
    leaving.stop()
    record.line(f"{leaving.instance} has ended")
    time.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
    for machine in cut:
        machine.store_link.set_harm(Harm.NONE)
    record.line("the cut has healed")
    for caller in callers:
        caller.is_stopped = True
    for caller in callers:
        caller.join(10)
    cut_names = {machine.name for machine in cut}
    late = []
    for at, request_id in leaving.arrived:
        machine = request_id.split(".")[0]
        if at > gone_at + DRAIN_S and machine not in cut_names:
            late.append(request_id)
            record.line(f"{leaving.instance}: {request_id} arrives {at - gone_at:.3f} s after the ack, from a machine that was not cut off", at)
    for machine in world.machines:
        machine.store_link.stop()
    lost = [request_id for request_id in late if ends.get(request_id, (0, "200"))[1] != "200"]
    for request_id in lost:
        record.line(f"{request_id} ran at {leaving.instance} and ended with {ends[request_id][1]}")
    record.line(f"{len(late)} requests reach the searcher later than {DRAIN_S:.0f} s after the ack, from machines that were not cut off; lost with its end: {len(lost)}")
    return not late


w.carry_out(pathlib.Path(__file__).parent, MACHINES, case)
