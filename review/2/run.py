"""Two machines are turned away by the store, one a second before the other; a zone is evacuated in between."""

import pathlib
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import world as deployment  # noqa: E402
from world import TROUBLE, CannotRun, Consumer  # noqa: E402

ZONES = ["a", "a", "b", "b", "b", "c", "c", "d"]
EVACUATED = "b"
# Length of the store's trouble; the site has up to 9 s for a third of the machines.
TROUBLE_S = 7.0
# Time from the start of traffic to the trouble: a searcher has left more than a minute before.
CALM_S = 62.0
WATCHED_S = 10.0


def case(world):
    world.start(settle=3.0)
    readers = world.readers()
    if len(readers) != 3:
        raise CannotRun(f"{len(readers)} machines read the store")
    first, _, second = readers
    world.record.line(f"the store is read by {', '.join(machine.name for machine in readers)}")
    targets = [("GET", "/board/x", None), ("GET", "/fetch/x", None), ("POST", "/book/x", b"slot")]
    consumers = [Consumer(world, machine, targets, pause=0.1) for machine in world.machines]
    for consumer in consumers:
        consumer.start()
    # A searcher leaves in a planned way.
    leaving = world.searchers["i-s0c"]
    leaving.register("draining")
    time.sleep(deployment.DRAIN)
    leaving.unregister()
    leaving.stop()
    world.record.line(f"{leaving.instance} has left")
    time.sleep(CALM_S)

    begin = time.monotonic()
    if TROUBLE:
        # Silence is noticed when a call for changes times out; wait for a new one, as an answer may be due at once.
        seen = first.proxy.watched_at
        world.wait(lambda: first.proxy.watched_at != seen, 5, "no new call for changes")
        begin = time.monotonic()
        first.proxy.set_mode("silent")
        world.record.line(f"the store gives {first.name} no response from now on")
    time.sleep(0.4)
    world.store.put(f"op/evacuate/{EVACUATED}", {"zone": EVACUATED})
    acknowledged = time.monotonic()
    world.record.line(f"evacuation of {EVACUATED} acknowledged")
    time.sleep(0.4)
    if TROUBLE:
        second.proxy.set_mode("reset")
        world.record.line(f"the store resets {second.name} from now on")
    time.sleep(max(0.0, begin + TROUBLE_S - time.monotonic()))
    if TROUBLE:
        first.proxy.set_mode("pass")
        second.proxy.set_mode("pass")
        world.record.line("the store serves all machines again")
    healed = time.monotonic()
    in_touch = max(healed + deployment.STABLE_WINDOW, acknowledged + deployment.EVACUATE)
    time.sleep(in_touch + WATCHED_S - time.monotonic())
    for consumer in consumers:
        consumer.stop()
    for consumer in consumers:
        consumer.join(5)

    sent = {request_id: at for consumer in consumers for request_id, at in consumer.sent.items()}
    breaches = []
    for instance, searcher in world.searchers.items():
        if searcher.zone != EVACUATED:
            continue
        for run in searcher.ran:
            if run.at > in_touch and sent[run.request_id] > in_touch:
                late = run.at - acknowledged
                breaches.append(f"{run.request_id} reached {instance} in zone {EVACUATED} {late:.1f} s after the ack")
    return breaches


if __name__ == "__main__":
    sys.exit(deployment.main(pathlib.Path(__file__).parent, ZONES, case))
