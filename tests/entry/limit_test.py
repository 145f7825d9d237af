"""Tests of real entry processes before searchers that state a rate limit. Usage: limit_test.py BUILD_DIRECTORY"""

import pathlib
import sys
import time
import unittest

from entryworld import World
from load import Load

WINDOW_S = 4.0
# Calls that a searcher may get in a window: this multiple of what its limit allows, plus the slack.
LIMIT_FACTOR = 1.5
SLACK = 5
# Time in which every process has had an answer that states the limit, and has reacted.
TOLD_S = 1.5
# LimitRecovery::length(): after a limit has ended, load returns by degrees.
RECOVERY_S = 6


def most_in_window(times):
    """The highest number of times in a window."""
    times = sorted(times)
    begin = most = 0
    for end, at in enumerate(times):
        while times[begin] <= at - WINDOW_S:
            begin += 1
        most = max(most, end - begin + 1)
    return most


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

    def test_searcher_that_states_no_limit_takes_over(self):
        for instance in ("i-desk-0", "i-0-0", "i-1-0"):
            self.world.searchers[instance].limit = 4.0
        with Load(self.world, "/fetch/") as single, Load(self.world, "/board/") as gathered:
            time.sleep(4)
        for load in (single, gathered):
            in_time = [status for _, seconds, status, _ in load.ends if status == 200 and seconds < 0.4]
            self.assertGreaterEqual(len(in_time), 0.99 * len(load.ends))

    def test_requests_beyond_the_limits_are_refused_at_once(self):
        for replica in range(2):
            self.world.searchers[f"i-desk-{replica}"].limit = 4.0
        with Load(self.world, "/fetch/") as load:
            time.sleep(TOLD_S)
            told = time.monotonic()
            time.sleep(5)
        ends = load.since(told)
        refused = [(seconds, headers) for _, seconds, status, headers in ends if status == 503]
        self.assertEqual({status for _, _, status, _ in ends}, {200, 503})
        self.assertGreaterEqual(len(refused), 0.5 * len(ends))
        # A quarter of the target is the time after which a refusal counts as late.
        self.assertLessEqual(sorted(seconds for seconds, _ in refused)[len(refused) * 99 // 100], 0.1)
        advised = [float(headers["Retry-After"]) for _, headers in refused]
        self.assertGreater(max(advised) - min(advised), 0.1)
        self.assertLessEqual(max(advised), 2000 / 1000 / 3)

    def test_retry_that_the_limit_leaves_no_call_for_is_not_waited_for(self):
        entry = self.world.entries[0]
        self.world.searchers["i-desk-1"].limit = 0.0
        self.world.wait(lambda: self.is_known_as_limited(entry, "i-desk-1"), 5, "the limit is not known")
        self.world.searchers["i-desk-0"].mode = "error"
        # The process may have a call left for the limited searcher, but no second one within the time of this test.
        entry.ask("/fetch/x", request_id="last")
        begun = time.monotonic()
        self.assertEqual(entry.ask("/fetch/x", request_id="r")[0], 500)
        # The route's target; its time limit is 2 s.
        self.assertLess(time.monotonic() - begun, 0.4)

    def is_known_as_limited(self, entry, instance):
        entry.ask("/fetch/x", request_id="first")
        return any(line["searcher"] == instance for line in entry.lines("searcher_limit_changed"))

    def test_limit_that_ends_is_forgotten(self):
        searcher = self.world.searchers["i-desk-0"]
        with Load(self.world, "/fetch/"):
            searcher.limit = 8.0
            time.sleep(TOLD_S + 1)
            limited = time.monotonic()
            time.sleep(1)
            searcher.limit = None
            ended = time.monotonic()
            time.sleep(RECOVERY_S + 3)
            freed = time.monotonic()
            time.sleep(1)
        # The searcher recovers: 1.5 times the former limit for 4 s, and 5 calls.
        in_recovery = len(self.arrivals_since("i-desk-0", ended)) - len(self.arrivals_since("i-desk-0", ended + 4))
        self.assertLessEqual(in_recovery, 1.5 * 8 * 4 + 5)
        self.assertLess(len(self.arrivals_since("i-desk-0", limited)) - len(self.arrivals_since("i-desk-0", limited + 1)), 20)
        self.assertGreater(len(self.arrivals_since("i-desk-0", freed)), 40)

    def test_unreadable_limits_are_logged_and_stop_nothing(self):
        searcher = self.world.searchers["i-desk-0"]
        for limit in ("", "-1", "nan", "inf", "1e999", "x" * 200, "5, 5"):
            searcher.limit = limit
            for number in range(8):
                self.assertEqual(self.world.entries[0].ask(f"/fetch/{number}")[0], 200)
        self.assertTrue(any(line["change"] == "unreadable" for line in self.world.entries[0].lines("searcher_limit_changed")))
        self.assertEqual(self.world.entries[0].metric("searchers_limited"), 0)

    def test_operators_see_limited_searchers(self):
        for replica in range(2):
            self.world.searchers[f"i-desk-{replica}"].limit = 50.0
        entry = self.world.entries[0]
        for number in range(20):
            entry.ask(f"/fetch/{number}")
        self.assertEqual(entry.metric("searchers_limited"), 2)
        self.world.wait(lambda: len(entry.lines("searcher_limit_changed")) >= 2, 2, "lines about the limits are missing")
        changes = {(line["searcher"], line["change"], line["calls_per_second"]) for line in entry.lines("searcher_limit_changed")}
        self.assertEqual(changes, {("i-desk-0", "stated", 50.0), ("i-desk-1", "stated", 50.0)})
        self.world.wait(lambda: entry.lines("searcher_limit_used"), 6, "no line about the use of limits")


if __name__ == "__main__":
    unittest.main(argv=sys.argv[:1] + sys.argv[2:], verbosity=2, warnings="ignore")
