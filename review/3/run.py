"""Machines are killed at once and restarted; a searcher that leaves meanwhile is used further by the others."""

import pathlib
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import world as deployment  # noqa: E402
from world import TROUBLE, CannotRun, Consumer  # noqa: E402

ZONES = ["a", "a", "b", "b", "b", "c", "c", "d"]
# The site kills 0.55 of the machines at once; these are the ones that read the store.
KILLED = 3
RESTART_S = 0.2
# The searcher goes on serving for this time after its entry was removed.
LEAVING_S = 20.0


def case(world):
    world.start(settle=5.0)
    readers = world.readers()
    if len(readers) != KILLED:
        raise CannotRun(f"{len(readers)} machines read the store")
    killed = readers
    leaving = world.searchers["i-deskc"]
    targets = [("GET", "/board/x", None), ("GET", "/fetch/x", None), ("POST", "/book/x", b"slot")]
    for searcher in world.searchers.values():
        # A booking takes 60 ms.
        searcher.delay = 0.06 if searcher.service == "desk" else 0.0
    consumers = [Consumer(world, machine, targets) for machine in world.machines]
    for tag in ("b", "d", "e"):
        calm = [machine for machine in world.machines if machine not in killed]
        consumers += [Consumer(world, machine, targets[2:], pause=0.01, tag=tag) for machine in calm]
    for consumer in consumers:
        consumer.start()
    time.sleep(4)

    if TROUBLE:
        for machine in killed:
            machine.kill()
    time.sleep(RESTART_S / 2)
    leaving.unregister()
    removed = time.monotonic()
    world.record.line(f"the entry of {leaving.instance} is removed; it serves on for {LEAVING_S} s")
    time.sleep(RESTART_S / 2)
    if TROUBLE:
        for machine in killed:
            machine.start()
    time.sleep(removed + LEAVING_S - time.monotonic())
    leaving.stop()
    world.record.line(f"{leaving.instance} has ended")
    time.sleep(0.5)
    for consumer in consumers:
        consumer.stop()
    for consumer in consumers:
        consumer.join(5)

    sent = {request_id: at for consumer in consumers for request_id, at in consumer.sent.items()}
    answers = {request_id: answer for consumer in consumers for request_id, answer in consumer.answers.items()}
    breaches = []
    in_touch = {machine.name for machine in world.machines if not TROUBLE or machine not in killed}
    for run in leaving.ran:
        is_late = sent[run.request_id] > removed + deployment.DRAIN
        if is_late and run.request_id.rsplit("-", 1)[0] in in_touch:
            late = run.at - removed
            breaches.append(f"{run.request_id} reached {leaving.instance} {late:.1f} s after its entry was removed")
    for run in leaving.ran:
        if run.method == "POST" and run.at > removed + deployment.DRAIN and answers.get(run.request_id) != 200:
            world.record.line(f"lost {run.request_id}: it ran there and was answered {answers.get(run.request_id)}")
    world.record.line(f"last run there {max((run.at for run in leaving.ran), default=0) - removed:.1f} s after removal")
    return breaches


if __name__ == "__main__":
    sys.exit(deployment.main(pathlib.Path(__file__).parent, ZONES, case))
