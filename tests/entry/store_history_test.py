"""Tests of real entry processes before a store that goes back to an older copy. Usage: store_history_test.py BUILD_DIRECTORY"""

import pathlib
import sys
import time
import unittest

from entryworld import World, standin
from proxy import Harm

# Time in which all processes know what the store holds, and in which a process that was cut off notices that it is back.
IN_FORCE = 3
RECOVERY = 5
READERS = 3
# Changes after the copy, so that revisions do not overtake what the processes know within the test.
LOST_CHANGES = 60


class StoreHistoryWorld(unittest.TestCase):
    def world(self, entries=6, **more):
        world = World(pathlib.Path(sys.argv[1]).resolve(), entries=entries, **more)
        self.addCleanup(world.close)
        self.world = world
        if entries > READERS:
            world.wait(lambda: sum(entry.reads_store() for entry in world.entries) == READERS, 5, "not three processes read the store")
        self.readers = [entry for entry in world.entries if entry.reads_store()]
        self.followers = [entry for entry in world.entries if not entry.reads_store()]
        return world

    def lose(self, version=3):
        """Changes that the copy of before will lack; the last one is known everywhere."""
        copy = self.world.store.copy()
        for _ in range(LOST_CHANGES):
            self.world.searchers["i-0-0"].register()
        self.world.configure(version, 4)
        self.assert_version(version)
        return copy

    def assert_version(self, version, seconds=IN_FORCE, entries=None):
        entries = self.world.entries if entries is None else entries
        known = lambda: all(entry.version() == version for entry in entries)
        self.world.wait(known, seconds, f"version {version} is not in force: {[entry.version() for entry in entries]}")

    def assert_epoch(self, epoch):
        known = lambda: all(entry.last_line("store_epoch_changed").get("epoch") == epoch for entry in self.world.entries)
        self.world.wait(known, IN_FORCE, "the new epoch is not known")

    def serves(self, entry, request_id):
        """The searchers that ran a number of requests to the process."""
        for number in range(8):
            self.assertEqual(entry.ask("/fetch/x", request_id=f"{request_id}-{number}")[0], 200, entry.name)
        return {name for number in range(8) for name in self.world.ran(f"{request_id}-{number}")}

    def assert_follows(self, version, seconds=IN_FORCE):
        """What is written in the new epoch is known everywhere, and what was removed in it is no longer used."""
        self.world.searchers["i-desk-0"].unregister()
        self.world.configure(version, 4)
        self.assert_version(version, seconds)
        # Searchers that may only have lost their registrations are kept for 2.5 s.
        gone = lambda: all(entry.metric("searchers") == len(self.world.searchers) - 1 for entry in self.world.entries)
        self.world.wait(gone, IN_FORCE + 2, "a searcher that was removed in the new epoch is still known")
        for entry in self.world.entries:
            self.assertEqual(self.serves(entry, f"{version}-{entry.name}"), {"i-desk-1"})


class StoreHistoryTest(StoreHistoryWorld):
    def test_readers_that_hear_later_undo_nothing(self):
        world = self.world()
        copy = self.lose()
        # A part of the store still serves the lost history to two of the readers.
        old = standin.Store(world.loop, "127.0.0.1", 0)
        old.items, old.history, old.revision = world.store.copy()
        old.start()
        old.port = old.server.sockets[0].getsockname()[1]
        self.addCleanup(old.stop)
        for entry in self.readers[1:]:
            entry.store_link.target = old.address
            entry.store_link.set_harm(Harm.RESET)
            entry.store_link.set_harm(Harm.NONE)
        world.store.go_back(copy)
        world.configure(4, 4)
        self.assert_version(4, entries=[self.readers[0], *self.followers])
        # The lost history goes on for a while.
        old.put("servers/i-desk-9", {})
        time.sleep(2)
        for entry in (self.readers[0], *self.followers):
            self.assertEqual((entry.version(), entry.metric("store_epoch")), (4, 1), entry.name)
        for entry in self.readers[1:]:
            entry.store_link.target = world.store.address
            entry.store_link.set_harm(Harm.RESET)
            entry.store_link.set_harm(Harm.NONE)
        self.assert_follows(5, RECOVERY)

    def test_disconnected_reader_follows_the_others_and_its_store_later(self):
        world = self.world()
        copy = self.lose()
        reader = self.readers[0]
        reader.store_link.set_harm(Harm.RESET)
        time.sleep(0.5)
        world.store.stop()
        world.store.go_back(copy)
        time.sleep(0.5)
        world.store.start()
        world.configure(4, 4)
        self.assert_version(4, RECOVERY)
        self.assertEqual(reader.metric("store_connected"), 0)
        reader.store_link.set_harm(Harm.NONE)
        world.wait(lambda: reader.metric("store_connected") == 1, RECOVERY, "the reader does not read the store again")
        self.assert_follows(5)

    def test_store_that_goes_back_during_a_list(self):
        # Guards against a list whose pages come from two histories. The lost searchers are on the first of its pages.
        world = self.world(entries=1)
        entry = world.entries[0]
        copy = world.store.copy()
        for number in range(4):
            world.add_searcher(f"a-lost-{number}", "desk")
        world.store.page_delay = 0.15
        entry.stop()
        lists = world.store.lists
        entry.start()
        world.wait(lambda: world.store.lists > lists + 1, 5, "the second prefix is not listed")
        time.sleep(0.2)
        world.store.go_back(copy)
        world.store.page_delay = 0
        world.wait(entry.is_ready, RECOVERY, "the process is not ready")
        known = lambda: entry.metric("searchers") == len(world.searchers) - 4
        world.wait(known, IN_FORCE + 2, "searchers of the lost history are still known")
        self.assertEqual(entry.metric("store_epoch"), 1)

    def test_evacuation_and_leaving_searcher_that_the_copy_lacks(self):
        world = self.world(entries=4)
        searchers = [standin.Searcher(world.loop, world.store, f"i-b-{number}", "desk", "127.0.0.1", 0, zone="b") for number in range(2)]
        for searcher in searchers:
            searcher.start()
            searcher.port = searcher.server.sockets[0].getsockname()[1]
            searcher.register()
            world.searchers[searcher.instance] = searcher
        self.world.wait(lambda: all(entry.metric("searchers") == 12 for entry in world.entries), IN_FORCE, "not all searchers are known")
        copy = world.store.copy()
        world.store.put("op/evacuate/a", {"zone": "a"})
        searchers[0].register("draining")
        self.lose()
        world.store.go_back(copy)
        self.assert_epoch(1)
        # The copy has the domain in service and the searcher as ready.
        for entry in world.entries:
            self.assertEqual(self.serves(entry, f"lost-{entry.name}"), {"i-b-1"})
        # The operator's word in the new epoch counts.
        world.store.put("op/evacuate/a", {"zone": "a"})
        world.store.delete("op/evacuate/a")
        world.configure(4, 4)
        self.assert_version(4)
        self.assertEqual([entry.last_line("failure_domains_out")["domains"] for entry in world.entries], [0] * 4)
        searchers[1].mode = "shed"
        for entry in world.entries:
            self.assertLessEqual(self.serves(entry, f"back-{entry.name}"), {"i-desk-0", "i-desk-1"})

    def test_headers_that_cannot_be_read_lower_no_epoch(self):
        world = self.world(entries=2)
        world.store.go_back(self.lose())
        self.assert_epoch(1)
        for text in ("", "x", "-1", "0"):
            world.store.era_text = text
            world.searchers["i-desk-0"].register()
            rejected = lambda: all(not entry.metric("store_connected") for entry in world.entries)
            world.wait(rejected, IN_FORCE, f"the header {text!r} is taken for an epoch")
            self.assertEqual({entry.metric("store_epoch") for entry in world.entries}, {1})
            for entry in world.entries:
                self.serves(entry, f"{text}-{entry.name}")
            world.store.era_text = None
            connected = lambda: all(entry.metric("store_connected") for entry in world.entries)
            world.wait(connected, RECOVERY, "the store is not read again")
        self.assert_follows(4, RECOVERY)


class StoreCallsTest(StoreHistoryWorld):
    """Runs as a test of its own, since it asks which process calls the store."""

    def test_all_processes_follow_and_only_the_readers_list(self):
        # Guards against processes that ignore the store until its revisions overtake what they know.
        world = self.world()
        copy = self.lose()
        calls = {entry: entry.metric("store_calls_total") for entry in self.followers}
        lists = world.store.lists
        world.store.go_back(copy)
        time.sleep(1)
        # What the copy holds does not bring an older configuration back.
        self.assertEqual([entry.version() for entry in world.entries], [3] * len(world.entries))
        for searcher in world.searchers.values():
            searcher.register()
        self.assert_follows(4)
        self.assertEqual({entry: entry.metric("store_calls_total") for entry in self.followers}, calls)
        # Each of the readers lists once, with two prefixes.
        self.assertLessEqual(world.store.lists - lists, 2 * READERS)
        self.assertEqual({entry.metric("store_epoch") for entry in world.entries}, {1})
        # A process that starts now begins with what the store says now.
        self.followers[0].stop()
        self.followers[0].start()
        world.wait(self.followers[0].is_ready, 10, "the restarted process is not ready")
        self.assert_version(4)



if __name__ == "__main__":
    unittest.main(argv=sys.argv[:1] + sys.argv[2:], verbosity=2, warnings="ignore")
