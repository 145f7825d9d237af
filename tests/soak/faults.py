"""The faults of a soak: what is done, to what, when and for how long. All follows from the seed."""

import dataclasses
import random
import signal
import threading
import time
from collections.abc import Callable

import crowd
from proxy import Harm
from soakworld import CRASHING, FOREVER, GRACE, USUAL_DELAY_S, SoakWorld

HARMS = [Harm.DELAY, Harm.RESET, Harm.CUT_TO_SERVER, Harm.CUT_TO_CLIENT, Harm.SILENT]
SEARCHER_MODES = ["lost", "truncated", "doubled", "error", "shed", "hang", "slow"]
# How long a process is gone after a long kill, and a searcher stays after it was told to leave.
LONG_S = 9.0
DRAIN_S = 3.5
# Calls a second that a limited searcher states, and for how long.
LIMITS = [0.0, 1.0, 4.0]
LIMITED_S = 8.0
# A store that goes back does so at once, or is away before.
ROLLBACKS = ["at_once", "away"]
# Seconds for which a pausing searcher asks to be left alone.
PAUSES_S = [0.7, 1.5, 3.0]
# Time after which what a store that went back has lost is written again, and for which it is away before it is back.
WRITTEN_AGAIN_S = 1.5
AWAY_S = 0.5
# How often all searchers register between the copy and the rollback, so that revisions don't overtake the lost ones soon.
LOST_REGISTRATIONS = 8
# How long callers send a request that crashes searchers.
CRASHING_S = 8.0
# Connections of a crowd of misbehaving clients: their bodies exceed the memory that a process has for requests.
CROWD_CONNECTIONS = 250
CROWD_S = 3.0
# Forms that no searcher may run: the promises count each run that no caller has sent.
CROWD_FORMS = [crowd.half_head, crowd.tiny_chunks, crowd.unfinished_body, crowd.unfinished_short_fields]
# Share of the processes and searchers that are disturbed at the same time, so that service remains.
MOST_DISTURBED = 0.5


@dataclasses.dataclass
class Step:
    """One fault of the schedule."""

    at: float
    kind: str
    # Chooses the target among those that there are.
    choice: float
    seconds: float
    detail: str


def schedule(seed, seconds):
    """The steps of a soak. They come in series and overlap."""
    generator = random.Random(seed)
    steps = []
    at = 1.0
    while at < seconds:
        kind = generator.choice(sorted(KINDS))
        details = KINDS[kind].details
        length = generator.choice([0.2, 0.6, 1.5, 3.0])
        steps.append(Step(at, kind, generator.random(), length, generator.choice(details)))
        at += generator.choice([0.0, 0.1, 0.2, 0.4, 1.0])
    steps += limit_steps(seed, seconds) + absence_steps(seed, seconds) + rollback_steps(seed, seconds) + crowd_steps(seed, seconds)
    return sorted(steps, key=lambda step: step.at)


def limit_steps(seed, seconds):
    """Searchers that state limits. They have a generator of their own, so that a seed's other faults stay what they were."""
    generator = random.Random(f"{seed}/limits")
    times = sorted(generator.uniform(0, seconds) for _ in range(2))
    return [Step(at, "limit_searcher", generator.random(), LIMITED_S, generator.choice(LIMITS)) for at in times]


def absence_steps(seed, seconds):
    """Searchers that ask for pauses, and one that leaves without a word to the store. Their generator is their own, too."""
    generator = random.Random(f"{seed}/absences")
    times = sorted(generator.uniform(0, seconds) for _ in range(3))
    steps = [Step(at, "pause_searcher", generator.random(), 0.6, generator.choice(PAUSES_S)) for at in times]
    return [*steps, Step(generator.uniform(0, seconds), "say_leaving", generator.random(), 3.0, "")]


def rollback_steps(seed, seconds):
    """Once in a run the store goes back to an older copy. Its generator is its own, too."""
    generator = random.Random(f"{seed}/rollbacks")
    at = generator.uniform(0, seconds)
    return [Step(at, "roll_back_store", generator.random(), generator.choice([0.5, 2.0, 4.0]), generator.choice(ROLLBACKS))]


def crowd_steps(seed, seconds):
    """A crowd of misbehaving clients at one process. It has a generator of its own, too."""
    generator = random.Random(f"{seed}/crowds")
    return [Step(generator.uniform(0, seconds), "send_crowd", generator.random(), CROWD_S, generator.choice(CROWD_FORMS))]


class Faults:
    """Carries out steps, and undoes them when their time is over."""

    def __init__(self, world: SoakWorld):
        self.world = world
        self.undo = []
        self.replaced = 0
        self.begun = 0

    def begin(self, step):
        self.begun += 1
        kind = (KINDS | SCHEDULED_KINDS)[step.kind]
        target = kind.choose(self, step)
        if target is None:
            return
        undo = kind.start(self, target, step)
        if undo is not None:
            self.undo.append((time.monotonic() + step.seconds, undo))

    def end_due(self):
        now = time.monotonic()
        due = [undo for at, undo in self.undo if at <= now]
        self.undo = [(at, undo) for at, undo in self.undo if at > now]
        for undo in due:
            undo()

    # Targets.

    def calm_entry(self, step):
        """An entry process that is not disturbed; None if too many are."""
        calm = [entry for entry in self.world.entries if not entry.disturbed.is_lasting()]
        if len(calm) <= len(self.world.entries) * (1 - MOST_DISTURBED):
            return None
        return calm[int(step.choice * len(calm))]

    def calm_searcher(self, step):
        """A searcher whose back end has another one that is not disturbed; None if there is none."""
        present = {name: searcher for name, searcher in self.world.searchers.items() if searcher.is_registered}
        disturbed = self.world.searcher_disturbed
        calm = {name for name in present if not disturbed[name].is_lasting()}
        fit = []
        for name, searcher in present.items():
            backend = {other for other, found in present.items() if found.service == searcher.service}
            if len(backend) > 1 and backend <= calm:
                fit.append(name)
        return sorted(fit)[int(step.choice * len(fit))] if fit else None

    def store(self, _step):
        return self.world.store

    # Faults of entry processes. Each returns what undoes it after the step's time, or nothing.

    def _kill(self, entry):
        """Kills a process. Returns the function that starts it again."""
        disturbed = entry.disturbed.begin()
        ended = entry.ended.begin()
        entry.is_expected_to_run = False
        entry.signal(signal.SIGKILL)

        def restart():
            entry.process.wait(10)
            entry.start()
            entry.ended.end(ended)
            entry.disturbed.end(disturbed)

        return restart

    def kill_entry(self, entry, step):
        restart = self._kill(entry)
        if step.detail == "long":
            self.undo.append((time.monotonic() + LONG_S, restart))
            return None
        return restart

    def kill_most_entries(self, entry, step):
        restarts = []
        while entry is not None:
            restarts.append(self._kill(entry))
            entry = self.calm_entry(step)

        def restart_all():
            for restart in restarts:
                restart()

        return restart_all

    def pause_entry(self, entry, _step):
        undo = undoing(entry.disturbed, lambda: entry.signal(signal.SIGCONT))
        entry.signal(signal.SIGSTOP)
        return undo

    def stop_entry(self, entry, _step):
        """A planned stop. The process has its whole grace period, whatever the step's length."""
        disturbed = entry.disturbed.begin()
        stopping = entry.stopping.begin()
        entry.is_expected_to_run = False
        entry.signal(signal.SIGTERM)

        def restart():
            if entry.process.poll() is None and time.monotonic() < stopping[0] + GRACE:
                self.undo.append((time.monotonic() + 0.1, restart))
                return
            if entry.process.poll() != 0:
                self.world.history.late_stops.append((entry.name, stopping[0], entry.process.poll()))
                entry.stop()
            entry.start()
            entry.stopping.end(stopping)
            entry.disturbed.end(disturbed)

        return restart

    def reload_entry(self, entry, step):
        undo = undoing(entry.disturbed)
        port = self.world.ports["control"]
        entry.seeds = [f"{other.host}:{port}" for other in self.world.entries[:3]]
        path = entry.write_settings()
        if step.detail == "broken":
            path.write_text("{")
        entry.signal(signal.SIGHUP)
        return undo

    def send_crowd(self, entry, step):
        """Many clients send requests that they do not finish."""
        clients = crowd.Crowd(entry, [("callers", "/fetch/crowd")], step.detail, connections=CROWD_CONNECTIONS)
        sender = threading.Thread(target=clients.send)
        sender.start()

        def leave():
            sender.join()
            clients.close()

        return undoing(entry.disturbed, leave)

    # Faults of the store.

    def harm_store_link(self, entry, step):
        undo = undoing(entry.disturbed, lambda: entry.store_link.set_harm(Harm.NONE))
        entry.store_link.set_harm(step.detail, 0.3)
        return undo

    def harm_store(self, store, step):
        links = [entry.store_link for entry in self.world.entries] if isinstance(step.detail, Harm) else []

        def heal():
            store.refusing = False
            for link in links:
                link.set_harm(Harm.NONE)

        undo = undoing(self.world.store_disturbed, heal)
        if step.detail == "busy":
            store.refusing = True
        elif step.detail == "forgets":
            store.forget_history()
        for link in links:
            link.set_harm(step.detail, 0.5)
        return undo

    def roll_back_store(self, store, step):
        """The store goes back to a copy of the step's beginning; what it has lost is written again later, and more."""
        copy = store.copy()
        for _ in range(LOST_REGISTRATIONS):
            self.world.register_again()
        away = AWAY_S if step.detail == "away" else 0.0

        def go_back(undo):
            store.go_back(copy)
            if away:
                store.start()
            self.undo.append((time.monotonic() + WRITTEN_AGAIN_S, undo))

        def write_again():
            self.world.write_again()
            self.change_configuration(store, step)

        def begin():
            undo = undoing(self.world.store_disturbed, write_again)
            if away:
                store.stop()
            self.undo.append((time.monotonic() + away, lambda: go_back(undo)))

        self.undo.append((time.monotonic() + step.seconds, begin))

    def change_configuration(self, _store, step):
        desk = "desk2" if self.world.current.desk == "desk" else "desk"
        extra = tuple(f"extra{int(step.choice * 1000)}x{number}" for number in range(2))
        count = 4 if step.detail == "series" else 1
        for number in range(count):
            self.world.publish(desk, extra[: number % 3])

    # Faults of searchers.

    def harm_searcher_link(self, instance, step):
        link = self.world.links[instance]
        heal_link = undoing(self.world.link_harmed[instance], lambda: link.set_harm(Harm.NONE))
        undo = undoing(self.world.searcher_disturbed[instance], heal_link)
        link.set_harm(step.detail, 0.2)
        return undo

    def spoil_searcher(self, instance, step):
        searcher = self.world.searchers[instance]

        def heal():
            searcher.mode = "ok"
            searcher.delay = USUAL_DELAY_S

        undo = undoing(self.world.searcher_disturbed[instance], heal)
        if step.detail == "slow":
            searcher.delay = 0.3
        else:
            searcher.mode = step.detail
        return undo

    def limit_searcher(self, instance, step):
        """A searcher states a limit in all its answers."""
        searcher = self.world.searchers[instance]
        span = [instance, step.detail, time.monotonic(), FOREVER]

        def heal():
            span[3] = time.monotonic()
            searcher.limit = None

        undo = undoing(self.world.searcher_disturbed[instance], heal)
        searcher.limit = step.detail
        self.world.history.limits.append(span)
        return undo

    def pause_searcher(self, instance, step):
        """A searcher turns all requests away and asks each process for a pause."""
        searcher = self.world.searchers[instance]

        def heal():
            searcher.pause = None

        undo = undoing(self.world.searcher_disturbed[instance], heal)
        searcher.pause = step.detail
        return undo

    def say_leaving(self, instance, step):
        """A searcher says in its answers that it leaves, while the store has it as ready, and is replaced later."""
        searcher = self.world.searchers[instance]

        def replace():
            searcher.stop()
            searcher.unregister()
            self.world.add_searcher(self._successor(instance), searcher.service, searcher.records)

        undo = undoing(self.world.searcher_disturbed[instance], replace)
        searcher.is_leaving = True
        self.undo.append((time.monotonic() + step.seconds + DRAIN_S, undo))

    def send_crashing(self, _store, step):
        """Callers send a request that crashes the searchers that run it, again and again."""
        target = f"/{step.detail}/{CRASHING}-{self.begun}"
        self.world.history.crashing.append(target)
        self.world.crashing.append(target)
        self.undo.append((time.monotonic() + CRASHING_S, lambda: self.world.crashing.remove(target)))

    def replace_searcher(self, instance, step):
        """A searcher leaves, with or without word, and another one comes. Its address may go to another back end."""
        searcher = self.world.searchers[instance]

        def replace():
            searcher.stop()
            searcher.unregister()
            self.world.add_searcher(self._successor(instance), searcher.service, searcher.records)
            if step.detail == "address_reused":
                service = "desk" if searcher.service == "desk2" else "desk2"
                self.world.add_searcher(self._successor(instance), service, link=self.world.links[instance])

        undo = undoing(self.world.searcher_disturbed[instance], replace)
        if step.detail == "drained":
            searcher.register("draining")
        else:
            searcher.unregister()
        self.world.history.left.append((instance, time.monotonic()))
        self.undo.append((time.monotonic() + step.seconds + DRAIN_S, undo))

    def _successor(self, instance):
        self.replaced += 1
        return f"{instance.split('_')[0]}_{self.replaced}"


def undoing(disturbances, heal=lambda: None):
    """Begins a disturbance. Returns the function that heals it and notes its end."""
    span = disturbances.begin()

    def undo():
        heal()
        disturbances.end(span)

    return undo


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of fault: whom it strikes, what it does, and the details from which a step has one."""

    choose: Callable
    start: Callable
    details: list


KINDS = {
    "kill_entry": Kind(Faults.calm_entry, Faults.kill_entry, ["short", "short", "long"]),
    "kill_most_entries": Kind(Faults.calm_entry, Faults.kill_most_entries, [""]),
    "pause_entry": Kind(Faults.calm_entry, Faults.pause_entry, [""]),
    "stop_entry": Kind(Faults.calm_entry, Faults.stop_entry, [""]),
    "reload_entry": Kind(Faults.calm_entry, Faults.reload_entry, ["good", "broken"]),
    "harm_store_link": Kind(Faults.calm_entry, Faults.harm_store_link, HARMS),
    "harm_store": Kind(Faults.store, Faults.harm_store, ["busy", "forgets", *HARMS]),
    "change_configuration": Kind(Faults.store, Faults.change_configuration, ["single", "series"]),
    "harm_searcher_link": Kind(Faults.calm_searcher, Faults.harm_searcher_link, HARMS),
    "spoil_searcher": Kind(Faults.calm_searcher, Faults.spoil_searcher, SEARCHER_MODES),
    "send_crashing": Kind(Faults.store, Faults.send_crashing, ["board", "fetch", "book"]),
    "replace_searcher": Kind(Faults.calm_searcher, Faults.replace_searcher, ["drained", "removed", "address_reused"]),
}
# Searchers that ask something of their callers, clients that misbehave, and a store that goes back; chosen by schedules of their own.
SCHEDULED_KINDS = {
    "limit_searcher": Kind(Faults.calm_searcher, Faults.limit_searcher, LIMITS),
    "pause_searcher": Kind(Faults.calm_searcher, Faults.pause_searcher, PAUSES_S),
    "say_leaving": Kind(Faults.calm_searcher, Faults.say_leaving, [""]),
    "send_crowd": Kind(Faults.calm_entry, Faults.send_crowd, CROWD_FORMS),
    "roll_back_store": Kind(Faults.store, Faults.roll_back_store, ROLLBACKS),
}
