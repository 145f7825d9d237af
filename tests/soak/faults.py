"""The faults of a soak: what is done, to what, when and for how long. All follows from the seed."""

import dataclasses
import random
import signal
import time

from proxy import Harm
from soakworld import GRACE, USUAL_DELAY_S, SoakWorld

HARMS = [Harm.DELAY, Harm.RESET, Harm.CUT_TO_SERVER, Harm.CUT_TO_CLIENT, Harm.SILENT]
SEARCHER_MODES = ["lost", "truncated", "doubled", "error", "shed", "hang", "slow"]
# How long a process is gone after a long kill, and a searcher stays after it was told to leave.
LONG_S = 9.0
DRAIN_S = 3.5
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
        details = KINDS[kind][1]
        length = generator.choice([0.2, 0.6, 1.5, 3.0])
        steps.append(Step(at, kind, generator.random(), length, generator.choice(details)))
        at += generator.choice([0.0, 0.1, 0.2, 0.4, 1.0])
    return steps


class Faults:
    """Carries out steps, and undoes them when their time is over."""

    def __init__(self, world: SoakWorld):
        self.world = world
        self.undo = []
        self.replaced = 0
        self.begun = 0

    def begin(self, step):
        self.begun += 1
        undo = KINDS[step.kind][0](self, step)
        if undo is not None:
            self.undo.append((time.monotonic() + step.seconds, undo))

    def end_due(self):
        now = time.monotonic()
        due = [undo for at, undo in self.undo if at <= now]
        self.undo = [(at, undo) for at, undo in self.undo if at > now]
        for undo in due:
            undo()

    def end_all(self):
        for _, undo in self.undo:
            undo()
        self.undo = []

    # Faults of entry processes.

    def _entry(self, step):
        """An entry process that is not disturbed; None if too many are."""
        calm = [entry for entry in self.world.entries if not entry.disturbed.is_lasting()]
        if len(calm) <= len(self.world.entries) * (1 - MOST_DISTURBED):
            return None
        return calm[int(step.choice * len(calm))]

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

    def kill_entry(self, step):
        entry = self._entry(step)
        if entry is None:
            return None
        if step.detail == "long":
            self.undo.append((time.monotonic() + LONG_S, self._kill(entry)))
            return None
        return self._kill(entry)

    def kill_most_entries(self, step):
        restarts = []
        while (entry := self._entry(step)) is not None:
            restarts.append(self._kill(entry))

        def restart_all():
            for restart in restarts:
                restart()

        return restart_all

    def pause_entry(self, step):
        entry = self._entry(step)
        if entry is None:
            return None
        span = entry.disturbed.begin()
        entry.signal(signal.SIGSTOP)

        def resume():
            entry.signal(signal.SIGCONT)
            entry.disturbed.end(span)

        return resume

    def stop_entry(self, step):
        """A planned stop. The process has its whole grace period, whatever the step's length."""
        entry = self._entry(step)
        if entry is None:
            return None
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

    def reload_entry(self, step):
        entry = self._entry(step)
        if entry is None:
            return None
        span = entry.disturbed.begin()
        port = self.world.ports["control"]
        entry.seeds = [f"{other.host}:{port}" for other in self.world.entries[:3]]
        path = entry.write_settings()
        if step.detail == "broken":
            path.write_text("{")
        entry.signal(signal.SIGHUP)
        return lambda: entry.disturbed.end(span)

    # Faults of the store.

    def harm_store_link(self, step):
        entry = self._entry(step)
        if entry is None:
            return None
        span = entry.disturbed.begin()
        entry.store_link.set_harm(step.detail, 0.3)

        def heal():
            entry.store_link.set_harm(Harm.NONE)
            entry.disturbed.end(span)

        return heal

    def harm_store(self, step):
        span = self.world.store_disturbed.begin()
        links = [entry.store_link for entry in self.world.entries]
        if step.detail == "busy":
            self.world.store.refusing = True
        elif step.detail == "forgets":
            self.world.store.forget_history()
        else:
            for link in links:
                link.set_harm(step.detail, 0.5)

        def heal():
            self.world.store.refusing = False
            if isinstance(step.detail, Harm):
                for link in links:
                    link.set_harm(Harm.NONE)
            self.world.store_disturbed.end(span)

        return heal

    def change_configuration(self, step):
        desk = "desk2" if self.world.current.desk == "desk" else "desk"
        extra = tuple(f"extra{int(step.choice * 1000)}x{number}" for number in range(2))
        count = 4 if step.detail == "series" else 1
        for number in range(count):
            self.world.publish(desk, extra[: number % 3])
        return None

    # Faults of searchers.

    def _searcher(self, step):
        """A searcher whose back end has another one that is not disturbed."""
        present = {name: searcher for name, searcher in self.world.searchers.items() if searcher.is_registered}
        disturbed = self.world.searcher_disturbed
        calm = {name for name in present if not disturbed[name].is_lasting()}
        fit = []
        for name, searcher in present.items():
            backend = {other for other, found in present.items() if found.service == searcher.service}
            if len(backend) > 1 and backend <= calm:
                fit.append(name)
        return sorted(fit)[int(step.choice * len(fit))] if fit else None

    def harm_searcher_link(self, step):
        instance = self._searcher(step)
        if instance is None:
            return None
        span = self.world.searcher_disturbed[instance].begin()
        link = self.world.links[instance]
        link.set_harm(step.detail, 0.2)

        def heal():
            link.set_harm(Harm.NONE)
            self.world.searcher_disturbed[instance].end(span)

        return heal

    def spoil_searcher(self, step):
        instance = self._searcher(step)
        if instance is None:
            return None
        span = self.world.searcher_disturbed[instance].begin()
        searcher = self.world.searchers[instance]
        if step.detail == "slow":
            searcher.delay = 0.3
        else:
            searcher.mode = step.detail

        def heal():
            searcher.mode = "ok"
            searcher.delay = USUAL_DELAY_S
            self.world.searcher_disturbed[instance].end(span)

        return heal

    def replace_searcher(self, step):
        """A searcher leaves, with or without word, and another one comes. Its address may go to another back end."""
        instance = self._searcher(step)
        if instance is None:
            return
        span = self.world.searcher_disturbed[instance].begin()
        searcher = self.world.searchers[instance]
        if step.detail == "drained":
            searcher.register("draining")
        else:
            searcher.unregister()
        self.world.history.left.append((instance, time.monotonic()))

        def replace():
            searcher.stop()
            searcher.unregister()
            self.world.add_searcher(self._successor(instance), searcher.service, searcher.records)
            if step.detail == "address_reused":
                service = "desk" if searcher.service == "desk2" else "desk2"
                self.world.add_searcher(self._successor(instance), service, link=self.world.links[instance])
            self.world.searcher_disturbed[instance].end(span)

        self.undo.append((time.monotonic() + step.seconds + DRAIN_S, replace))

    def _successor(self, instance):
        self.replaced += 1
        return f"{instance.split('_')[0]}_{self.replaced}"


KINDS = {
    "kill_entry": (Faults.kill_entry, ["short", "short", "long"]),
    "kill_most_entries": (Faults.kill_most_entries, [""]),
    "pause_entry": (Faults.pause_entry, [""]),
    "stop_entry": (Faults.stop_entry, [""]),
    "reload_entry": (Faults.reload_entry, ["good", "broken"]),
    "harm_store_link": (Faults.harm_store_link, HARMS),
    "harm_store": (Faults.harm_store, ["busy", "forgets", *HARMS]),
    "change_configuration": (Faults.change_configuration, ["single", "series"]),
    "harm_searcher_link": (Faults.harm_searcher_link, HARMS),
    "spoil_searcher": (Faults.spoil_searcher, SEARCHER_MODES),
    "replace_searcher": (Faults.replace_searcher, ["drained", "removed", "address_reused"]),
}
