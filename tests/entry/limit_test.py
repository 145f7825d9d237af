"""Tests of real entry processes before searchers that state a rate limit. Usage: limit_test.py BUILD_DIRECTORY"""

import pathlib
import sys
import threading
import time
import unittest

from entryworld import World

WINDOW_S = 4.0
# Calls that a searcher may get in a window: this multiple of what its limit allows, plus the slack.
LIMIT_FACTOR = 1.5
SLACK = 5
# Time in which every process has had an answer that states the limit, and has reacted.
TOLD_S = 1.5
CALLERS_PER_ENTRY = 4


def most_in_window(times):
    """The highest number of times in a window."""
    times = sorted(times)
    begin = most = 0
    for end, at in enumerate(times):
        while times[begin] <= at - WINDOW_S:
            begin += 1
        most = max(most, end - begin + 1)
    return most


class Load:
    """Callers that send one request after the other to each process."""

    def __init__(self, world, target, pause=0.02):
        self.world = world
        self.target = target
        self.pause = pause
        self.ends = []
        self.is_over = False
        self.threads = [
            threading.Thread(target=self.send, args=(entry, number))
            for entry in world.entries
            for number in range(CALLERS_PER_ENTRY)
        ]

    def send(self, entry, number):
        sent = 0
        while not self.is_over:
            sent += 1
            begun = time.monotonic()
            status, headers, _ = entry.ask(f"{self.target}{sent}", request_id=f"{entry.name}-{number}-{sent}")
            self.ends.append((begun, time.monotonic() - begun, status, headers))
            time.sleep(self.pause)

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.is_over = True
        for thread in self.threads:
            thread.join()

    def since(self, at):
        return [end for end in self.ends if end[0] >= at]


class LimitTest(unittest.TestCase):
    def setUp(self):
        self.world = World(pathlib.Path(sys.argv[1]).resolve(), entries=3)
        self.addCleanup(self.world.close)
        for searcher in self.world.searchers.values():
            searcher.delay = 0.01

    def arrivals_since(self, instance, at):
        return [time for time in self.world.searchers[instance].arrivals if time >= at]

    def test_searcher_gets_no_more_than_it_states(self):
        limit = 8.0
        searcher = self.world.searchers["i-desk-0"]
        with Load(self.world, "/fetch/"):
            time.sleep(1)
            searcher.limit = limit
            told = time.monotonic() + TOLD_S
            time.sleep(TOLD_S + 6)
        most = most_in_window(self.arrivals_since("i-desk-0", told))
        self.assertLessEqual(most, LIMIT_FACTOR * limit * WINDOW_S + SLACK)


if __name__ == "__main__":
    unittest.main(argv=sys.argv[:1] + sys.argv[2:])
