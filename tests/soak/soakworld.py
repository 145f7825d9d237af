"""The processes of a soak, and what is known of them from outside."""

import dataclasses
import os
import time

from entryworld import GRACE, Entry, World, free_port, standin
from proxy import Proxy

# A process counts as in touch if nothing was done to it, its links or the store for so long.
STABLE_S = 4.0
# Longest time of a stand-in's own stall that is taken for calm.
STALL_S = 0.25
SHARDS = 4
# A request whose target holds this text crashes the searchers that run it.
CRASHING = "crash"
# Time that a searcher takes for a request.
USUAL_DELAY_S = 0.03
FOREVER = float("inf")


class Disturbances:
    """Times in which something was disturbed."""

    def __init__(self):
        self.spans = []

    def begin(self):
        span = [time.monotonic(), FOREVER]
        self.spans.append(span)
        return span

    def end(self, span):
        span[1] = time.monotonic()

    def during(self, first, last):
        """The disturbances from some time before first to last."""
        return [span for span in self.spans if span[1] >= first - STABLE_S and span[0] <= last]

    def is_calm(self, first, last):
        return not self.during(first, last)

    def is_lasting(self):
        return any(end == FOREVER for _, end in self.spans)


@dataclasses.dataclass
class Configuration:
    """A version that was published."""

    version: int
    sent_at: float
    acknowledged_at: float
    desk: str
    extra: tuple

    def backends(self, route):
        """The back ends that may run the route's requests; None if there is no such route."""
        if route == "board":
            return {f"shard-{shard}" for shard in range(SHARDS)}
        if route in ("fetch", "book", *self.extra):
            return {self.desk}
        return None


@dataclasses.dataclass
class History:
    """What callers, searchers and the store have seen."""

    sent: list = dataclasses.field(default_factory=list)
    configurations: list = dataclasses.field(default_factory=list)
    directory: list = dataclasses.field(default_factory=list)
    unasked_bytes: list = dataclasses.field(default_factory=list)
    # Searchers that were told to leave or were removed: instance and time.
    left: list = dataclasses.field(default_factory=list)
    # Limits that searchers stated: instance, calls a second, first and last moment.
    limits: list = dataclasses.field(default_factory=list)
    # Planned stops that took longer than they may.
    late_stops: list = dataclasses.field(default_factory=list)
    # Processes that ended although nobody ended them: name and exit code.
    own_ends: list = dataclasses.field(default_factory=list)
    # Targets of requests that crash searchers.
    crashing: list = dataclasses.field(default_factory=list)
    calm_from: float = FOREVER


class SoakEntry(Entry):
    """An entry process whose disturbances are noted."""

    def __init__(self, world, index):
        super().__init__(world, index)
        self.disturbed = Disturbances()
        self.is_expected_to_run = False
        # Times in which the process was ended, and in which a planned stop was under way.
        self.ended = Disturbances()
        self.stopping = Disturbances()

    def start(self):
        super().start()
        self.is_expected_to_run = True

    def signal(self, number):
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    def note_own_end(self, history):
        if self.is_expected_to_run and self.process.poll() is not None:
            self.is_expected_to_run = False
            history.own_ends.append((self.name, self.process.returncode))


class SoakWorld(World):
    """A store, searchers behind proxies, and entry processes."""

    entry_type = SoakEntry

    def __init__(self, build, entries):
        self.history = History()
        self.links = {}
        self.searcher_disturbed = {}
        # Times in which the link to a searcher was harmed.
        self.link_harmed = {}
        self.store_disturbed = Disturbances()
        self.host_stalled = Disturbances()
        self.current = None
        # Targets that callers send now and then, and that crash searchers.
        self.crashing = []
        super().__init__(build, entries=entries, shards=SHARDS)
        for replica in range(2):
            self.add_searcher(f"i-desk2-{replica}", "desk2")
        self.publish()

    def add_searcher(self, instance, service, records=(), link=None):
        """Adds a searcher behind a proxy: a new one, or the given one, which is redirected."""
        host = "127.0.0.1"
        searcher = standin.Searcher(self.loop, self.store, instance, service, host, free_port(host), records=records)
        searcher.start()
        if link is None:
            link = Proxy(self.loop, host, free_port(host), searcher.address)
            link.start()
        link.target = searcher.address
        searcher.delay = USUAL_DELAY_S
        searcher.published = link.address
        searcher.crashes_on = CRASHING
        searcher.crashes_with = lambda: [link] if link.target == searcher.address else []
        searcher.register()
        self.searchers[instance] = searcher
        self.links[instance] = link
        self.searcher_disturbed[instance] = Disturbances()
        self.link_harmed[instance] = Disturbances()

    def extra_routes(self):
        return self.current.extra

    def publish(self, desk="desk", extra=()):
        """Publishes the next version of the configuration."""
        version = self.current.version + 1 if self.current else 2
        sent_at = time.monotonic()
        self._configure(version, desk, extra)
        self.current = Configuration(version, sent_at, time.monotonic(), desk, tuple(extra))
        self.history.configurations.append(self.current)

    def _configure(self, version, desk, extra):
        route = {"host": "search.example", "routeType": "idempotent", "timeoutMs": 2000, "targetLatencyMs": 400}
        route |= {"priority": 1, "maxAttempts": 2, "service": desk}
        routes = [route | {"name": name, "prefix": f"/{name}/"} for name in extra]
        self.configure(version, SHARDS, desk, routes)

    def write_again(self):
        """What a store that went back to a copy has lost is written again."""
        self._configure(self.current.version, self.current.desk, self.current.extra)
        self.register_again()

    def register_again(self):
        """All searchers write what they last registered."""
        for searcher in list(self.searchers.values()):
            if searcher.is_registered:
                searcher.register(searcher.state)
            else:
                searcher.unregister()

    def note_stall(self, began):
        """The stand-ins themselves stood still, so that times that they saw say little."""
        self.host_stalled.spans.append([began, time.monotonic()])

    def is_in_touch(self, entry, first, last):
        parts = (entry.disturbed, self.store_disturbed, self.host_stalled)
        return all(part.is_calm(first, last) for part in parts)
