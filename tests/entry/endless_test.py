"""Tests of entry processes whose searchers, store and peers send bytes without end, slowly and many at once.

Usage: endless_test.py BUILD [unittest arguments]
"""

import concurrent.futures
import pathlib
import sys
import time
import unittest

from entryworld import World, standin

BUILD = pathlib.Path(sys.argv.pop(1)).resolve()
# Memory of a VM in MB, which ends a process that takes more.
MEMORY = 64
CALLERS = 150
PAUSE_S = 0.1


class EndlessTest(unittest.TestCase):
    def world(self, **more):
        world = World(BUILD, memory_mb=MEMORY, **more)
        self.addCleanup(world.close)
        return world

    def test_slow_answers_of_many_searchers_leave_room_for_others(self):
        # Guards against heads, fields and trailers that take the memory of a process, and other clients' requests with it.
        for kind in standin.ENDLESS:
            with self.subTest(kind=kind):
                world = self.world(shards=8, replicas=8)
                entry = world.entries[0]
                for name, searcher in world.searchers.items():
                    if not name.startswith("i-desk"):
                        searcher.endless, searcher.endless_pause = kind, PAUSE_S
                ask = lambda number: entry.ask("/board/x", request_id=f"e{number}", deadline=2000)[0]
                with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
                    asked = [pool.submit(ask, number) for number in range(CALLERS)]
                    time.sleep(0.5)
                    for number in range(10):
                        self.assertEqual(entry.ask("/book/x", "POST", b"b", f"other{number}")[0], 200)
                    statuses = {future.result() for future in asked}
                self.assertLessEqual(statuses, {502, 503, 504})
                self.assertLess(entry.peak_memory(), MEMORY)
                self.assertEqual(entry.lines("unexpected_error"), [])

    def test_slow_answers_of_the_store_stop_nothing(self):
        for kind in ("head", "fields", "trailers", "until-close"):
            with self.subTest(kind=kind):
                world = self.world(entries=2)
                world.store.endless, world.store.endless_pause = kind, PAUSE_S
                time.sleep(3)
                for entry in world.entries:
                    self.assertEqual(entry.ask("/board/x")[0], 200)
                    self.assertLess(entry.peak_memory(), MEMORY)
                world.store.endless = None
                world.configure(2, 3)
                in_force = lambda: all(entry.version() == 2 for entry in world.entries)
                world.wait(in_force, 8, "the store is not followed again")

    def test_searchers_that_send_before_they_are_asked_are_not_called_again_and_again(self):
        # Bytes without end on each connection that opens, as long as it is open.
        world = self.world(shards=6, replicas=3)
        entry = world.entries[0]
        noisy = [searcher for name, searcher in world.searchers.items() if not name.startswith("i-desk")]
        opened = []
        for searcher in noisy:
            searcher.stop()

            async def pour(reader, writer, searcher=searcher):
                opened.append(time.monotonic())
                try:
                    await standin.pour(writer, "noise")
                except ConnectionError:
                    pass

            searcher.serve = pour
            searcher.start()
        began = time.monotonic()
        statuses = set()
        while time.monotonic() < began + 3:
            self.assertEqual(entry.ask("/book/x", "POST", b"b", f"other{len(opened)}")[0], 200)
            statuses.add(entry.ask("/board/x", request_id=f"e{len(opened)}")[0])
        self.assertLessEqual(statuses, {502, 503, 504})
        self.assertLess(entry.peak_memory(), MEMORY)
        # Two a second for each searcher and some for its calls.
        self.assertLess(len(opened), 10 * 3 * len(noisy))


if __name__ == "__main__":
    unittest.main(verbosity=2)
