"""Tests of real entry processes before searchers and a store that answer with a status that does not exist.

Usage: status_test.py BUILD_DIRECTORY
"""

import pathlib
import sys
import unittest

from entryworld import World

# What stands for the status in a status line: out of range, nearly a number, and a protocol that nobody asked for.
INVALID = ("000", "001", "099", "101", "600", "999", "20", "2000", "2x0", "-20")
# Time that a caller waits, in milliseconds, and the share of it after which an answer shows that a call waited for more.
DEADLINE_MS = 2000


class StatusTest(unittest.TestCase):
    def setUp(self):
        self.world = World(pathlib.Path(sys.argv[1]).resolve())
        self.addCleanup(self.world.close)
        self.entry = self.world.entries[0]

    def answer_with(self, status, searchers):
        for name in searchers:
            self.world.searchers[name].status = status

    def test_request_goes_to_another_searcher(self):
        for status in INVALID:
            with self.subTest(status=status):
                self.answer_with(status, ["i-desk-0", *(f"i-{shard}-0" for shard in range(4))])
                for number in range(4):
                    answer = self.entry.ask("/fetch/x", request_id=f"f{status}-{number}", deadline=DEADLINE_MS)
                    self.assertEqual(answer[0], 200)
                    self.assertTrue(answer[1]["X-Sassafrasvane-Server-Stamp"].startswith("stamp.i-desk-1"))
                    answer = self.entry.ask("/board/x", request_id=f"b{status}-{number}", deadline=DEADLINE_MS)
                    self.assertEqual((answer[0], answer[1]["X-Sassafrasvane-Missing-Parts"]), (200, "0"))

    def test_nothing_of_such_an_answer_reaches_a_caller(self):
        for status in INVALID:
            with self.subTest(status=status):
                self.answer_with(status, self.world.searchers)
                # 503 if the searchers are avoided after their first failures: nothing is sent then.
                for target in ("/fetch/x", "/board/x"):
                    answer = self.entry.ask(target, request_id=f"n{status}{target}", deadline=DEADLINE_MS)
                    self.assertIn(answer[0], (502, 503))
                    self.assertNotIn("X-Sassafrasvane-Server-Stamp", answer[1])
                    self.assertEqual(answer[2], b"")
                    if answer[0] == 503:
                        self.assertEqual(self.world.ran(f"n{status}{target}"), [])

    def test_request_that_must_not_be_repeated_runs_once(self):
        self.answer_with("000", ["i-desk-0", "i-desk-1"])
        for number in range(6):
            status = self.entry.ask("/book/x", "POST", b"b", f"book{number}", DEADLINE_MS)[0]
            self.assertIn(status, (502, 503))
            self.assertLessEqual(len(self.world.ran(f"book{number}")), 0 if status == 503 else 1)

    def test_store_with_such_answers_counts_as_lost_until_it_recovers(self):
        for version, status in enumerate(("000", "099", "101", "999"), 2):
            with self.subTest(status=status):
                self.world.store.status = status
                self.world.wait(lambda: len(self.entry.lines("store_call_failed")) >= version - 1, 5, "the store counts as sound")
                self.assertEqual(self.entry.ask("/fetch/x", request_id=f"s{status}")[0], 200)
                self.world.store.status = None
                self.world.configure(version, 4)
                self.world.wait(lambda version=version: self.entry.version() == version, 8, "the store is not followed again")


if __name__ == "__main__":
    unittest.main(argv=sys.argv[:1] + sys.argv[2:], verbosity=2, warnings="ignore")
