"""End to end: real entry processes before stand-ins of the store and of searchers.

Usage: entry_test.py BUILD_DIRECTORY [-k NAME]
"""

import concurrent.futures
import http.client
import json
import os
import pathlib
import signal
import sys
import time
import unittest

from entryworld import GRACE, World, standin
from proxy import Harm

BUILD = None
# Longest time that a change may take to be in force, in seconds; the promise is 3.
IN_FORCE = 3.0
# Most memory of a process in MB, whatever others send.
MOST_MEMORY = 100


class EntryTest(unittest.TestCase):
    def world(self, **options):
        world = World(BUILD, **options)
        self.addCleanup(world.close)
        return world

    def test_merged_answer_has_the_greatest_records_and_its_proofs(self):
        world = self.world()
        status, headers, body = world.entries[0].ask("/board/x", request_id="q1")
        self.assertEqual(status, 200)
        expected = [standin.record(number) for number in (304, 303, 302, 301, 300, 204, 203)]
        self.assertEqual(body, b"".join(expected))
        proofs = headers["X-Sassafrasvane-Part-Stamps"].split(", ")
        self.assertEqual(sorted(proof.split(".")[1][:3] for proof in proofs), ["i-0", "i-1", "i-2", "i-3"])
        self.assertEqual(headers["X-Sassafrasvane-Missing-Parts"], "0")
        self.assertEqual(len(world.ran("q1")), 4)

    def test_lost_shard_is_missing_and_too_many_are_refused(self):
        world = self.world()
        for replica in range(2):
            world.searchers[f"i-2-{replica}"].mode = "lost"
        status, headers, body = world.entries[0].ask("/board/x", request_id="q2")
        self.assertEqual((status, headers["X-Sassafrasvane-Missing-Parts"]), (200, "1"))
        self.assertNotIn(standin.record(204), [body[i : i + 16] for i in range(0, len(body), 16)])
        for replica in range(2):
            world.searchers[f"i-1-{replica}"].mode = "lost"
        status, headers, _ = world.entries[0].ask("/board/x", request_id="q3")
        self.assertIn(status, (502, 503))
        if status == 503:
            self.assertEqual(world.ran("q3"), [])

    def test_single_answer_is_passed_on_unchanged(self):
        world = self.world()
        status, headers, body = world.entries[0].ask("/fetch/x?y=1", "POST", b"payload", "f1")
        self.assertEqual((status, body), (200, b"reply to payload"))
        self.assertTrue(headers["X-Sassafrasvane-Server-Stamp"].startswith("stamp.i-desk-"))
        runs = [run.what() for searcher in world.searchers.values() for run in searcher.ran]
        self.assertEqual(runs, [("f1", "POST", "/fetch/x?y=1", b"payload")])

    def test_request_without_route_is_not_found(self):
        world = self.world()
        self.assertEqual(world.entries[0].ask("/none/x")[0], 404)
        self.assertEqual(world.entries[0].ask("/board")[0], 404)

    def test_failed_searcher_is_replaced_for_idempotent_requests_only(self):
        world = self.world()
        entry = world.entries[0]
        for mode in ("lost", "truncated", "error"):
            world.searchers["i-desk-0"].mode = mode
            for number in range(6):
                self.assertEqual(entry.ask("/fetch/x", request_id=f"{mode}{number}")[0], 200)
        world.searchers["i-desk-0"].mode = world.searchers["i-desk-1"].mode = "lost"
        for number in range(6):
            status = entry.ask("/book/x", "POST", b"b", f"book{number}")[0]
            runs = len(world.ran(f"book{number}"))
            self.assertLessEqual(runs, 1)
            if status == 503:
                self.assertEqual(runs, 0)

    def test_rejected_request_is_sent_to_another_searcher_or_refused_as_not_run(self):
        world = self.world()
        world.searchers["i-desk-0"].mode = "shed"
        for number in range(4):
            self.assertEqual(world.entries[0].ask("/book/x", "POST", b"b", f"a{number}")[0], 200)
        world.searchers["i-desk-1"].mode = "shed"
        status, headers, _ = world.entries[0].ask("/book/x", "POST", b"b", "refused")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertEqual(world.ran("refused"), [])

    def test_second_answer_never_reaches_another_request(self):
        world = self.world()
        for searcher in world.searchers.values():
            searcher.mode = "doubled"
        for number in range(20):
            body = f"n{number}".encode()
            status, _, answer = world.entries[0].ask("/fetch/x", "POST", body, f"d{number}")
            self.assertEqual((status, answer), (200, b"reply to " + body))

    def test_late_second_answer_never_reaches_the_next_request_of_its_connection(self):
        world = self.world()
        for searcher in world.searchers.values():
            searcher.mode = "doubled-late"
            searcher.delay = 0.04
        for number in range(20):
            body = f"n{number}".encode()
            status, _, answer = world.entries[0].ask("/fetch/x", "POST", body, f"l{number}")
            self.assertEqual((status, answer), (200, b"reply to " + body))
            status, headers, _ = world.entries[0].ask("/board/x", request_id=f"q{number}")
            proofs = headers["X-Sassafrasvane-Part-Stamps"].split(", ")
            self.assertEqual({proof.split(".")[2] for proof in proofs}, {f"q{number}"})

    def test_late_rejection_without_an_id_does_not_let_a_request_run_twice(self):
        world = self.world()
        for searcher in world.searchers.values():
            searcher.mode = "rejecting-late"
            searcher.delay = 0.1
        for number in range(20):
            world.entries[0].ask("/book/x", "POST", b"b", f"b{number}")
        for number in range(20):
            self.assertLessEqual(len(world.ran(f"b{number}")), 1)

    def test_answer_that_ends_early_never_reaches_a_caller_as_a_whole_one(self):
        # Guards against answers of searchers that close in the middle of their head and are passed on as empty or short.
        world = self.world()
        entry = world.entries[0]
        searchers = list(world.searchers.values())
        size = len(searchers[0].whole_answer("cut-000", b""))
        connection = entry.connect()
        for number, cut in enumerate(range(0, size, 5)):
            # Half of the calls go over connections that have been used before.
            for searcher in searchers:
                searcher.mode = "ok" if number % 2 else "cut"
            entry.ask("/fetch/x", request_id=f"before-{cut}")
            entry.ask("/board/x", request_id=f"before-{cut}")
            for searcher in searchers:
                searcher.mode = "cut"
                searcher.cut_bytes = min(cut, len(searcher.whole_answer(f"cut-{cut:03}", b"")) - 1)
                searcher.piece_seconds = 0.01 if number % 3 == 0 else 0.0
            target = ("/fetch/x", "/board/x", "/book/x")[number % 3]
            headers = {"Host": "search.example", "X-Sassafrasvane-Request-Id": f"cut-{cut:03}"}
            connection.request("POST" if target == "/book/x" else "GET", target, headers=headers)
            answer = connection.getresponse()
            self.assertEqual(len(answer.read()), int(answer.headers["Content-Length"]))
            self.assertIn(answer.status, (502, 503, 504), f"{target}, {cut} bytes")
            if answer.status == 503:
                self.assertEqual(world.ran(f"cut-{cut:03}"), [])
            # Searchers that have cut answers are avoided until a connection to them opens.
            world.wait(lambda: entry.lines("call_failed"), 1, "no call has failed")
            time.sleep(0.02)
        self.assertGreater(sum(len(searcher.ran) for searcher in searchers), size // 10)
        for searcher in searchers:
            searcher.mode = "ok"
        world.wait(lambda: entry.ask("/fetch/x")[0] == 200 and entry.ask("/board/x")[0] == 200, 5, "not served again")

    def test_ended_calls_hold_no_memory(self):
        # Guards against calls and connections that keep each other in memory, until the process exceeds its limit.
        world = self.world()
        entry = world.entries[0]
        body = b"x" * 200_000
        desks = [world.searchers[name] for name in ("i-desk-0", "i-desk-1")]

        def send(mode, count):
            for number in range(count):
                for searcher in desks:
                    searcher.mode = mode
                entry.ask("/fetch/x", "POST", body, f"{mode}-{number}", deadline=300)
                # Searchers that fail are avoided for a while.
                if mode != "ok":
                    for searcher in desks:
                        searcher.mode = "ok"
                    world.wait(lambda: entry.ask("/fetch/x", "POST", body, "again")[0] == 200, 3, "not served again")
                # Closes the connections, as searchers do after their idle timeout.
                for searcher in desks:
                    world.loop.call(lambda searcher=searcher: [writer.transport.abort() for writer in list(searcher.writers)])
                time.sleep(0.01)

        send("ok", 20)
        before = entry.memory()
        send("ok", 150)
        for mode in ("truncated", "lost", "error", "doubled"):
            send(mode, 8)
        world.wait(lambda: entry.metric("response_bytes_held") == 0, 3, "memory of answers is still held")
        self.assertEqual(entry.metric("calls_open"), 0)
        # Each call has a copy of its request: over 180 calls of 200,000 bytes.
        self.assertLess(entry.memory() - before, 20)

    def test_caller_that_leaves_ends_the_searchers_work(self):
        world = self.world()
        for name in ("i-desk-0", "i-desk-1"):
            world.searchers[name].delay = 5
        connection = world.entries[0].connect()
        headers = {"Host": "search.example", "X-Sassafrasvane-Request-Id": "gone"}
        connection.request("GET", "/fetch/x", headers=headers)
        world.wait(lambda: world.ran("gone"), 2, "the request did not arrive")
        connection.close()
        busy = [searcher for searcher in world.searchers.values() if any(run.request_id == "gone" for run in searcher.ran)]
        world.wait(lambda: not any(searcher.writers for searcher in busy), 1, "a searcher still works")

    def test_changes_are_in_force_within_their_time(self):
        world = self.world(entries=5)
        route = {"name": "new", "host": "search.example", "prefix": "/new/", "routeType": "idempotent"}
        route |= {"timeoutMs": 2000, "targetLatencyMs": 400, "priority": 1, "maxAttempts": 2, "service": "desk"}
        world.configure(7, 4, extra=[route])
        served = lambda: all(entry.ask("/new/x")[0] == 200 for entry in world.entries)
        world.wait(served, IN_FORCE, "a new route is not in force everywhere")
        world.configure(4, 4)
        time.sleep(0.5)
        self.assertTrue(served(), "an older version has come into force")
        world.searchers["i-desk-0"].register("draining")
        left = lambda: all(entry.last_line("searcher_changed").get("leaving") for entry in world.entries)
        world.wait(left, IN_FORCE, "a leaving searcher is not known everywhere")
        before = len(world.searchers["i-desk-0"].ran)
        for number in range(20):
            world.entries[number % 5].ask("/fetch/x", request_id=f"after{number}")
        self.assertEqual(len(world.searchers["i-desk-0"].ran), before)

    def test_few_processes_call_the_store(self):
        world = self.world(entries=8)
        time.sleep(1.5)
        before = world.store.calls
        time.sleep(4)
        # Three readers, each with a watch of 1.5 s.
        self.assertLessEqual(world.store.calls - before, 12)
        for index in range(3):
            world.entries[index].stop()
        world.configure(9, 4)
        alive = world.entries[3:]
        current = lambda: all(entry.version() == 9 for entry in alive)
        world.wait(current, IN_FORCE, "a change is not in force after the loss of processes")

    def test_changes_reach_failure_domains_without_a_reader_of_the_store(self):
        # Three processes read the store; of four failure domains with eight processes each, one has none of them.
        world = self.world(entries=32, shards=2)

        def in_force(version, entries):
            return all(entry.version() == version for entry in entries)

        world.configure(2, 2)
        world.wait(lambda: in_force(2, world.entries), IN_FORCE, "a change is not in force everywhere")
        for entry in world.entries[:6]:
            entry.stop()
        world.configure(3, 2)
        world.wait(lambda: in_force(3, world.entries[6:]), IN_FORCE, "a change after a loss is not in force everywhere")

    def test_process_is_ready_only_when_it_knows_all_searchers(self):
        world = self.world()
        entry = world.entries[0]
        entry.stop()
        world.store.page_delay = 0.15
        entry.start()
        world.wait(entry.is_ready, 5, "the process is not ready")
        self.assertEqual(entry.ask("/fetch/x")[0], 200)
        self.assertEqual(entry.ask("/board/x")[1]["X-Sassafrasvane-Missing-Parts"], "0")

    def test_requests_do_not_find_out_whether_a_lost_searcher_is_back(self):
        world = self.world()
        entry = world.entries[0]
        lost = world.searchers["i-desk-0"]
        lost.stop()
        end = time.monotonic() + 3
        number = 0
        while time.monotonic() < end:
            number += 1
            self.assertEqual(entry.ask("/fetch/x", request_id=f"lost{number}")[0], 200)
        failed = [line for line in entry.lines("call_failed") if line["searcher"] == "i-desk-0"]
        self.assertLessEqual(len(failed), 1)
        lost.start()
        world.wait(lambda: entry.lines("searcher_reachable"), 2, "the searcher is not noticed to be back")
        for number in range(20):
            entry.ask("/fetch/x", request_id=f"back{number}")
        self.assertTrue(any(run.request_id.startswith("back") for run in lost.ran))

    def crashing_world(self):
        """Three processes before searchers that crash when they run a request with "poison" in its target."""
        world = self.world(entries=3, replicas=3)
        for searcher in world.searchers.values():
            searcher.crashes_on = "poison"
        return world

    def test_query_that_crashes_searchers_is_barred_everywhere(self):
        world = self.crashing_world()
        status = world.entries[0].ask("/board/poison", request_id="p0")[0]
        self.assertEqual(status, 502)
        # One searcher of each shard, and at most one retry before the second crash is known.
        self.assertLessEqual(len(world.ran("p0")), 5)
        barred = lambda: all(entry.lines("crash_evidence_received") for entry in world.entries[1:])
        world.wait(barred, 2, "the evidence does not spread")
        for number, entry in enumerate(world.entries):
            status, headers, _ = entry.ask("/board/poison", request_id=f"again{number}")
            self.assertEqual((status, world.ran(f"again{number}")), (503, []))
            self.assertGreater(float(headers["Retry-After"]), 10)
        served = lambda: all(entry.ask("/board/x")[0] == 200 for entry in world.entries)
        world.wait(served, 4, "other requests are not served")

    def test_request_that_crashes_its_searcher_is_barred_and_others_are_not(self):
        world = self.crashing_world()
        for name in ("i-desk-0", "i-desk-1"):
            world.searchers[name].crash_seconds = 0.2
        ran = []
        for number in range(9):
            request_id = f"p{number}"
            world.entries[number % 3].ask("/book/poison", "POST", b"b", request_id)
            ran += world.ran(request_id)
            time.sleep(0.5)
        # Two crashes are the evidence; a third one may happen before all know of them.
        self.assertIn(len(ran), (2, 3))
        self.assertEqual(world.entries[0].ask("/book/poison", "POST", b"other", "p-other")[0], 502)
        time.sleep(0.5)
        self.assertEqual(world.entries[0].ask("/book/x", "POST", b"b", "sound")[0], 200)

    def test_request_that_was_answered_before_is_barred_when_it_crashes_its_searchers(self):
        # Guards against an answer of a former software version that keeps a crashing request from being barred.
        world = self.world(entries=3)
        for entry in world.entries:
            self.assertEqual(entry.ask("/fetch/poison", request_id=f"before-{entry.name}")[0], 200)
        for searcher in world.searchers.values():
            searcher.crashes_on = "poison"
            searcher.crash_seconds = 0.5
        ran = []
        for number in range(18):
            world.entries[number % 3].ask("/fetch/poison", request_id=f"p{number}")
            ran += world.ran(f"p{number}")
            time.sleep(0.5)
        # Two at once may be another failure's; two more are the evidence, and two may run before all know of it.
        self.assertLessEqual(len(ran), 6)
        self.assertTrue(all(entry.ask("/fetch/poison", request_id=f"end-{entry.name}")[0] == 503 for entry in world.entries))
        served = lambda: all(entry.ask("/fetch/x")[0] == 200 for entry in world.entries)
        world.wait(served, 4, "other requests are not served")

    def test_newcomer_learns_of_requests_that_crash_searchers(self):
        world = self.crashing_world()
        newcomer = world.entries[2]
        newcomer.stop()
        world.entries[0].ask("/board/poison", request_id="p0")
        newcomer.start()
        world.wait(newcomer.is_ready, 5, "the newcomer is not ready")
        world.wait(lambda: newcomer.lines("crash_evidence_received"), 4, "the newcomer does not learn of it")
        self.assertEqual(newcomer.ask("/board/poison", request_id="again")[0], 503)

    def test_searchers_that_crash_at_once_bar_no_request(self):
        world = self.world(replicas=3)
        entry = world.entries[0]
        for searcher in world.searchers.values():
            searcher.delay = 0.2
        connection = entry.connect()
        headers = {"Host": "search.example", "X-Sassafrasvane-Request-Id": "unlucky"}
        connection.request("GET", "/board/x", headers=headers)
        world.wait(lambda: len(world.ran("unlucky")) >= 4, 2, "the request did not arrive")
        for name in [name for name in world.ran("unlucky")][:3]:
            world.searchers[name].stop()
        self.assertEqual(connection.getresponse().status, 200)
        connection.close()
        self.assertEqual(entry.lines("request_crashed_searchers"), [])
        self.assertEqual(entry.ask("/board/x", request_id="next")[0], 200)

    def test_answers_without_end_leave_the_process_alive(self):
        for kind in standin.ENDLESS:
            with self.subTest(kind=kind):
                world = self.world()
                entry = world.entries[0]
                for searcher in world.searchers.values():
                    searcher.endless = kind
                asks = [lambda number=number: entry.ask("/board/x", request_id=f"e{number}", deadline=2000) for number in range(40)]
                with concurrent.futures.ThreadPoolExecutor(40) as pool:
                    statuses = [future.result()[0] for future in [pool.submit(ask) for ask in asks]]
                self.assertLessEqual(set(statuses), {502, 503, 504})
                self.assertLess(entry.peak_memory(), MOST_MEMORY)
                for searcher in world.searchers.values():
                    searcher.endless = None
                served = lambda: entry.ask("/board/x", request_id="sound")[0] == 200
                world.wait(served, 5, "sound searchers are not used again")
                self.assertEqual(entry.lines("unexpected_error"), [])

    def test_connections_are_open_before_the_first_request(self):
        world = self.world()
        connected = lambda: all(searcher.writers for searcher in world.searchers.values())
        world.wait(connected, 3, "searchers without a connection")
        self.assertTrue(all(not searcher.ran for searcher in world.searchers.values()))

    def test_searcher_that_answers_without_end_is_replaced(self):
        for kind in standin.ENDLESS:
            with self.subTest(kind=kind):
                world = self.world()
                for shard in range(4):
                    world.searchers[f"i-{shard}-0"].endless = kind
                world.searchers["i-desk-0"].endless = kind
                for number in range(6):
                    self.assertEqual(world.entries[0].ask("/board/x", request_id=f"b{number}")[0], 200)
                    self.assertEqual(world.entries[0].ask("/fetch/x", request_id=f"f{number}")[0], 200)

    def test_store_and_processes_that_answer_without_end_stop_nothing(self):
        for kind in standin.ENDLESS:
            with self.subTest(kind=kind):
                world = self.world(entries=2)
                world.store.endless = kind
                time.sleep(3)
                for entry in world.entries:
                    self.assertEqual(entry.ask("/board/x")[0], 200)
                    self.assertLess(entry.peak_memory(), MOST_MEMORY)
                world.store.endless = None
                world.configure(2, 3)
                in_force = lambda: all("stamp.i-3" not in entry.ask("/board/x")[1].get("X-Sassafrasvane-Part-Stamps", "stamp.i-3") for entry in world.entries)
                world.wait(in_force, 8, "the store is not followed again")

    def test_store_that_is_away_stops_nothing_and_newcomers_learn_from_others(self):
        world = self.world(entries=4)
        world.store.refusing = True
        time.sleep(1)
        self.assertEqual(world.entries[0].ask("/board/x")[0], 200)
        world.entries[3].stop()
        world.entries[3].start()
        world.wait(world.entries[3].is_ready, 5, "a newcomer has no configuration")
        self.assertEqual(world.entries[3].ask("/board/x")[0], 200)
        world.store.forget_history()
        world.configure(12, 4)
        world.store.refusing = False
        current = lambda: all(entry.version() == 12 for entry in world.entries)
        world.wait(current, 6, "the change made meanwhile is not in force")

    def test_domain_stays_out_of_service_where_a_peer_has_missed_it(self):
        # Guards against a reader of the store that loses it, takes over an older snapshot of a peer and forgets what is newer.
        world = self.world(entries=2)
        silent, reader = world.entries
        world.wait(lambda: silent.reads_store() and reader.reads_store(), 5, "not both processes read the store")
        # After a change both have just asked for the next one, so that the silence goes unnoticed for two seconds.
        world.configure(2, 4)
        world.wait(lambda: all(entry.version() == 2 for entry in world.entries), IN_FORCE, "a change is not in force")
        time.sleep(0.3)
        silent.store_link.set_harm(Harm.SILENT)
        world.store.put("op/evacuate/a", {"zone": "a"})
        world.wait(lambda: reader.lines("failure_domains_out"), 1, "the domain that is out is not known")
        reader.store_link.set_harm(Harm.RESET)
        time.sleep(2.5)
        for entry in world.entries:
            entry.store_link.set_harm(Harm.NONE)
        world.wait(lambda: silent.lines("failure_domains_out"), IN_FORCE, "the domain that is out is not known everywhere")
        time.sleep(0.5)
        for number, entry in enumerate(world.entries):
            self.assertEqual(entry.ask("/fetch/x", request_id=f"e{number}")[0], 503)
            self.assertEqual(world.ran(f"e{number}"), [])

    def test_removal_takes_effect_in_time_where_all_readers_of_the_store_are_lost(self):
        # Guards against processes that turn to the store for the first time and take that for its return from an outage.
        world = self.world(entries=6)
        world.wait(lambda: sum(entry.reads_store() for entry in world.entries) == 3, 5, "not three processes read the store")
        readers = [entry for entry in world.entries if entry.reads_store()]
        followers = [entry for entry in world.entries if entry not in readers]
        # The followers are started anew and learn all they know from the readers.
        for entry in followers:
            entry.store_link.set_harm(Harm.RESET)
            entry.stop()
            entry.start()
        for entry in followers:
            world.wait(entry.is_ready, 10, f"{entry.name} is not ready")
        world.wait(lambda: not any(entry.reads_store() for entry in followers), 5, "the readers are not followed")
        for entry in followers:
            entry.store_link.set_harm(Harm.NONE)
        for entry in readers:
            entry.stop()
        world.searchers["i-desk-0"].unregister()
        removed = lambda: all(entry.last_line("searcher_changed").get("change") == "removed" for entry in followers)
        world.wait(removed, IN_FORCE, "a removal is not known everywhere")

    def test_removal_takes_effect_in_time_while_all_readers_are_cut_off_from_the_store(self):
        # Guards against processes that follow the store themselves and take the readers' loss of it for its outage.
        world = self.world(entries=6)
        world.wait(lambda: sum(entry.reads_store() for entry in world.entries) == 3, 5, "not three processes read the store")
        readers = [entry for entry in world.entries if entry.reads_store()]
        followers = [entry for entry in world.entries if entry not in readers]
        is_removed = lambda name, entry: any(
            line["searcher"] == name and line["change"] == "removed" for line in entry.lines("searcher_changed")
        )
        for harm, name in ((Harm.SILENT, "i-desk-0"), (Harm.RESET, "i-0-0")):
            for entry in readers:
                entry.store_link.set_harm(harm)
            for seconds, leaving in ((1.0, name), (4.0, name[:-1] + "1")):
                time.sleep(seconds)
                world.searchers[leaving].unregister()
                removed = lambda: all(is_removed(leaving, entry) for entry in followers)
                world.wait(removed, IN_FORCE, f"{harm.value}: the removal of {leaving} is not known everywhere")
            for entry in readers:
                entry.store_link.set_harm(Harm.NONE)
            world.wait(lambda: not any(entry.reads_store() for entry in followers), 5, "the readers are not followed again")

    def test_reader_that_alone_was_cut_off_applies_removals_at_once_afterwards(self):
        # Guards against a reader that takes its own cut for an outage of the store, although its peers went on following it.
        world = self.world(entries=5)
        world.wait(lambda: sum(entry.reads_store() for entry in world.entries) == 3, 5, "not three processes read the store")
        reader = next(entry for entry in world.entries if entry.reads_store())
        for harm, name in ((Harm.RESET, "i-desk-0"), (Harm.SILENT, "i-0-0")):
            regained = len(reader.lines("store_regained"))
            reader.store_link.set_harm(harm)
            # Longer than the time without an answer that counts as an outage, and than a silence takes to be noticed.
            time.sleep(5)
            reader.store_link.set_harm(Harm.NONE)
            world.wait(lambda: len(reader.lines("store_regained")) > regained, 5, "the store is not followed again")
            world.searchers[name].unregister()
            removed = lambda: reader.last_line("searcher_changed").get("searcher") == name
            world.wait(removed, 1, f"{harm.value}: the removal of {name} is held back")

    def test_registrations_that_expire_while_the_store_is_away_are_kept_for_a_while(self):
        # Guards against processes that drop searchers because the store was away and could not renew their registrations.
        world = self.world(entries=5)
        world.wait(lambda: sum(entry.reads_store() for entry in world.entries) == 3, 5, "not three processes read the store")
        for harm in (Harm.RESET, Harm.SILENT):
            for entry in world.entries:
                entry.store_link.set_harm(harm)
            time.sleep(4.5)
            for name in ("i-desk-0", "i-desk-1"):
                world.searchers[name].unregister()
            for entry in world.entries:
                entry.store_link.set_harm(Harm.NONE)
            back = time.monotonic() + 1.5
            number = 0
            while time.monotonic() < back:
                number += 1
                entry = world.entries[number % 5]
                self.assertEqual(entry.ask("/fetch/x", request_id=f"{harm.value}-{number}")[0], 200, entry.name)
                time.sleep(0.02)
            for name in ("i-desk-0", "i-desk-1"):
                world.searchers[name].register()
            time.sleep(3)
            for entry in world.entries:
                self.assertEqual(entry.ask("/fetch/x")[0], 200, entry.name)

    def test_removal_takes_effect_in_time_although_open_connections_fell_silent(self):
        # Guards against a lost connection that counts as an outage of the store, after which removals are held back.
        world = self.world(entries=5)
        world.wait(lambda: sum(entry.reads_store() for entry in world.entries) == 3, 5, "not three processes read the store")
        # After a change all readers have just asked for the next one, so that the silence goes unnoticed for two seconds.
        world.configure(2, 4)
        world.wait(lambda: all(entry.version() == 2 for entry in world.entries), IN_FORCE, "a change is not in force")
        time.sleep(0.3)
        for entry in world.entries:
            entry.store_link.silence_open_connections()
        world.searchers["i-desk-0"].unregister()
        removed = lambda: all(entry.last_line("searcher_changed").get("change") == "removed" for entry in world.entries)
        world.wait(removed, IN_FORCE, "a removal is not known everywhere")

    def test_many_versions_of_a_large_configuration_are_followed_on_a_small_vm(self):
        # Guards against an answer of the store that is refused as too large, and asked for again until the history is gone.
        world = self.world(entries=4, memory_mb=160)
        routes = []
        for number in range(1500):
            route = {"name": f"r-{number}", "host": f"host{number}.example", "prefix": f"/more/{number}/", "routeType": "idempotent"}
            route |= {"timeoutMs": 800, "targetLatencyMs": 80, "priority": 1, "maxAttempts": 2, "topK": 50, "minShardRatio": 0.75}
            routes.append(route | {"fanout": [f"shard-{shard}" for shard in range(4)]})
        version = 1
        # As much as fits one answer, and more: then the process has to list the store anew.
        for changes in (12, 60):
            for entry in world.entries:
                entry.process.send_signal(signal.SIGSTOP)
            for _ in range(changes):
                version += 1
                world.configure(version, 4, extra=routes)
            if changes == 60:
                world.store.put("op/evacuate/a", {"zone": "a"})
            for entry in world.entries:
                entry.process.send_signal(signal.SIGCONT)
            world.wait(lambda: all(entry.version() == version for entry in world.entries), 8, f"{changes} changes are not followed")
        world.wait(lambda: all(entry.lines("failure_domains_out") for entry in world.entries), 1, "the domain that is out is not known")
        self.assertTrue(any(line["failure"] == "too_large" for entry in world.entries for line in entry.lines("store_call_failed")))
        for entry in world.entries:
            self.assertLess(entry.peak_memory(), MOST_MEMORY)

    def test_removal_reaches_processes_whose_readers_were_restarted(self):
        # Guards against restarted readers whose list lacks earlier removals and who answer followers as if they knew them.
        world = self.world(entries=5)
        world.wait(lambda: sum(entry.reads_store() for entry in world.entries) == 3, 5, "not three processes read the store")
        readers = [entry for entry in world.entries if entry.reads_store()]
        followers = [entry for entry in world.entries if not entry.reads_store()]
        for entry in readers:
            entry.stop()
        world.searchers["i-desk-0"].unregister()
        for entry in readers:
            entry.start()
        removed = lambda: all(entry.last_line("searcher_changed").get("change") == "removed" for entry in followers)
        world.wait(removed, IN_FORCE, "a removal is not known everywhere")
        before = len(world.searchers["i-desk-0"].ran)
        for number in range(10):
            self.assertEqual(followers[number % 2].ask("/fetch/x", request_id=f"f{number}")[0], 200)
        self.assertEqual(len(world.searchers["i-desk-0"].ran), before)

    def test_odd_entries_neither_end_a_process_nor_stop_what_it_follows(self):
        # Guards against an entry of another writer that ends the processes which read it, or keeps them from reading on.
        world = self.world(entries=4)
        deep = 100_000
        numbers = ["1e400", "1e300", "9.3e18", "4294967296", "18446744073709551615", "18446744073709551616", "-1", "0.5", "null"]
        ports = ["0", "65536", "99999", "-1", "", "80x", "4294967376", "18446744073709551696"]
        entry = {"service": "desk", "address": "127.0.0.1:9", "zone": "a", "version": "v1", "slots": 2, "state": "ready"}
        entry |= {"coldRemainingMs": 0, "sequence": 1, "born": 1}
        odd = [b"", b"\0" * 100, b"\xff\xfe{", b"[" * deep, b'{"a":' * deep, b"[" * deep + b"]" * deep, b"{}", b"5", b'"x"']
        odd += [json.dumps(entry)[:-1].encode() + b', "more": ' + b"[" * deep + b"]" * deep + b"}"]
        for field in ("slots", "coldRemainingMs", "sequence", "born"):
            odd += [json.dumps(entry | {field: "?"}).replace('"?"', number).encode() for number in numbers]
        odd += [json.dumps(entry | {"address": f"127.0.0.1:{port}"}).encode() for port in ports]
        odd += [json.dumps(entry | {field: value}).encode() for field in entry for value in (None, [], {}, "?", "x" * 10_000)]
        odd += [json.dumps({name: value for name, value in entry.items() if name != field}).encode() for field in entry]
        for number, value in enumerate(odd):
            world.store.put(f"servers/odd-{number}", value)
        for key in ("", "x" * 190, 'a"b\\c', "a\nb", "é", "a/b", "%00", "a b?c=d&e"):
            world.store.put(f"servers/{key}", b"odd")
            world.store.put(f"op/{key}", b"odd")

        def check(version):
            world.configure(version, 4)
            world.wait(lambda: all(each.version() == version for each in world.entries), IN_FORCE, "a change is not in force")
            for number, each in enumerate(world.entries):
                for target in ("/fetch/x", "/board/x", "/book/x"):
                    self.assertEqual(each.ask(target, request_id=f"{version}-{number}")[0], 200, target)

        check(2)
        # Processes that list the entries when they start, and whose store has dropped its history.
        for each in world.entries[:2]:
            each.stop()
            each.start()
        world.store.forget_history()
        for each in world.entries[:2]:
            world.wait(each.is_ready, 10, f"{each.name} is not ready")
        check(3)
        for each in world.entries:
            self.assertEqual(each.lines("unexpected_error"), [])

    def test_directory_names_the_processes_that_serve(self):
        world = self.world(entries=3)

        def named():
            body = world.entries[0].ask("/-/resolve?name=search.example&region=r&zone=a", listener="directory")[2]
            return sorted(address.split(":")[0] for address in json.loads(body)["addrs"])

        world.wait(lambda: len(named()) == 3, 3, "not all processes are named")
        world.entries[2].stop()
        world.wait(lambda: named() == ["127.0.0.10", "127.0.0.11"], 5, "a lost process is still named")

    def test_planned_stop_answers_what_was_sent(self):
        world = self.world(entries=2)
        entry = world.entries[1]
        world.searchers["i-desk-0"].delay = world.searchers["i-desk-1"].delay = 1
        connection = entry.connect()
        headers = {"Host": "search.example", "X-Sassafrasvane-Request-Id": "last"}
        connection.request("GET", "/fetch/x", headers=headers)
        time.sleep(0.3)
        entry.process.send_signal(signal.SIGTERM)
        answer = connection.getresponse()
        self.assertEqual((answer.status, answer.headers["Connection"]), (200, "close"))
        self.assertFalse(entry.is_ready())
        self.assertEqual(entry.process.wait(GRACE), 0)
        self.assertEqual(len(entry.lines("process_stopped")), 1)

    def test_planned_stop_under_load_answers_all_that_was_accepted(self):
        world = self.world(entries=2)
        entry = world.entries[1]
        for name in ("i-desk-0", "i-desk-1"):
            world.searchers[name].delay = 0.1
        connections = []

        def send(number):
            connection = entry.connect()
            headers = {"Host": "search.example", "X-Sassafrasvane-Request-Id": f"s{number}"}
            connection.request("GET", "/fetch/x", headers=headers)
            connections.append(connection)

        for number in range(30):
            send(number)
        entry.process.send_signal(signal.SIGTERM)
        for number in range(30, 60):
            send(number)
        answers = [connection.getresponse() for connection in connections]
        for answer in answers:
            self.assertIn(answer.status, (200, 503))
            self.assertEqual(len(answer.read()), int(answer.headers["Content-Length"]))
        for number, answer in enumerate(answers):
            if answer.status == 503:
                self.assertEqual(world.ran(f"s{number}"), [])
        self.assertEqual(entry.process.wait(GRACE), 0)

    def test_planned_stop_answers_requests_that_come_late_in_its_grace_period(self):
        # Guards against requests that are passed on late in a planned stop and cut without an answer at its end.
        world = self.world(entries=2)
        route = {"name": "long", "host": "search.example", "prefix": "/long/", "routeType": "non_idempotent"}
        route |= {"timeoutMs": 8000, "targetLatencyMs": 400, "priority": 1, "maxAttempts": 2, "service": "desk"}
        world.configure(2, 4, extra=[route])
        entry = world.entries[1]
        world.wait(lambda: entry.version() == 2, IN_FORCE, "the new route is not in force")
        for name in ("i-desk-0", "i-desk-1"):
            world.searchers[name].delay = 3.5
        entry.process.send_signal(signal.SIGTERM)
        begun = time.monotonic()

        def sleep_until(seconds):
            time.sleep(max(0, begun + seconds - time.monotonic()))

        def request(prefix, name):
            head = f"POST /{prefix}/x HTTP/1.1\r\nHost: search.example\r\nX-Sassafrasvane-Request-Id: {name}\r\n"
            return head.encode() + b"Content-Length: 4\r\n\r\nslot"

        # The listener closes after half of the grace period. Of three requests only a part has arrived by then.
        late = {"late-1": 3.2, "late-2": 4.2, "late-3": 5.1}
        sleep_until(2.6)
        connections = {name: entry.connect_raw() for name in ("whole", *late)}
        for name in late:
            connections[name].sendall(request("book", name)[:40])
        connections["whole"].sendall(request("long", "whole"))
        for name, at in late.items():
            sleep_until(at)
            connections[name].sendall(request("book", name)[40:])
        statuses = {}
        for name, connection in connections.items():
            answer = http.client.HTTPResponse(connection)
            answer.begin()
            self.assertEqual(len(answer.read()), int(answer.headers["Content-Length"]), name)
            statuses[name] = answer.status
            connection.close()
        # The route's limit of 2 s ends the first late request in time; the two others could not be answered by the end.
        self.assertEqual(statuses, {"whole": 504, "late-1": 504, "late-2": 503, "late-3": 503})
        self.assertEqual(world.ran("late-2") + world.ran("late-3"), [])
        self.assertEqual(entry.process.wait(GRACE), 0)
        self.assertLess(time.monotonic() - begun, GRACE)

    def test_restarted_process_does_not_use_what_was_withdrawn(self):
        world = self.world(entries=4)
        entry = world.entries[2]
        entry.stop()
        world.searchers["i-desk-0"].unregister()
        world.configure(2, 3)
        known = lambda: all(each.version() == 2 for each in world.entries if each is not entry)
        world.wait(known, IN_FORCE, "the change is not in force")
        # It learns from the other processes alone.
        world.store.refusing = True
        entry.start()
        world.wait(entry.is_ready, 5, "the restarted process is not ready")
        before = len(world.searchers["i-desk-0"].ran)
        for number in range(10):
            self.assertEqual(entry.ask("/fetch/x", request_id=f"w{number}")[0], 200)
            self.assertNotIn("i-3", entry.ask("/board/x", request_id=f"v{number}")[1]["X-Sassafrasvane-Part-Stamps"])
        self.assertEqual(len(world.searchers["i-desk-0"].ran), before)

    def test_process_that_starts_while_the_store_refuses_all_learns_from_its_peers(self):
        world = self.world(entries=4)
        entry = world.entries[2]
        entry.stop()
        world.searchers["i-desk-0"].unregister()
        world.configure(2, 3)
        others = [each for each in world.entries if each is not entry]
        world.wait(lambda: all(each.version() == 2 for each in others), IN_FORCE, "the change is not in force")
        world.store.refusing = True
        refused = lambda each: any(line["failure"] == "refused" for line in each.lines("store_call_failed"))
        world.wait(lambda: all(map(refused, others)), 10, "the store does not refuse all processes")
        entry.start()
        world.wait(entry.is_ready, 3, "the restarted process is not ready")
        world.wait(lambda: entry.version() == 2, 2, "the configuration of the peers is not in force")
        self.assertEqual(entry.ask("/fetch/x", request_id="w")[0], 200)
        self.assertNotIn("i-desk-0", world.ran("w"))
        # What the peers knew last is not the store's word: once it is back, its word counts.
        world.configure(3, 4)
        world.store.refusing = False
        world.wait(lambda: all(each.version() == 3 for each in world.entries), 5, "the next change is not in force")

    def test_settings_that_cannot_be_read_keep_the_former_ones(self):
        world = self.world()
        entry = world.entries[0]
        (world.directory / "vm-0.json").write_text("{")
        entry.process.send_signal(signal.SIGHUP)
        world.wait(lambda: entry.lines("settings_refused"), 2, "the fault is not logged")
        self.assertEqual(entry.ask("/board/x")[0], 200)

    def test_reload_signal_that_comes_before_it_can_be_taken_is_kept(self):
        world = self.world()
        entry = world.entries[0]
        entry.stop()
        # Held back from the start, as the time that the system takes to load the program varies.
        entry.start(prepare=lambda: signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP}))
        entry.process.send_signal(signal.SIGHUP)
        reloaded = lambda: any(line["trigger"] == "signal" for line in entry.lines("settings_reloaded"))
        world.wait(reloaded, 3, "the signal is lost")
        self.assertIsNone(entry.process.poll())

    def test_settings_that_change_without_a_signal_are_taken(self):
        world = self.world()
        entry = world.entries[0]
        entry.seeds = [f"127.0.0.10:{world.ports['control']}", f"127.0.0.99:{world.ports['control']}"]
        entry.write_settings()
        world.wait(lambda: entry.lines("settings_reloaded"), 3, "the change is not noticed")
        self.assertEqual(entry.lines("settings_reloaded")[0]["trigger"], "file")
        self.assertEqual(entry.lines("settings_reloaded")[0]["seeds"], 2)

    def test_refused_request_is_explained_by_its_id(self):
        world = self.world(entries=2)
        for name in ("i-desk-0", "i-desk-1"):
            world.searchers[name].stop()
        entry = world.entries[1]
        world.wait(lambda: entry.ask("/fetch/x", request_id="first")[0] == 503, 3, "requests are not refused")
        self.assertEqual(entry.ask("/fetch/x", request_id="refused1")[0], 503)
        story = world.why("refused1")
        self.assertIn('"end":"unserved"', story)
        self.assertIn('"missing":"desk"', story)
        # The cause: the back end's searchers could not be connected to.
        self.assertIn('"end":"not_connected"', story.split("on these VMs")[1])

    def test_missing_part_is_explained_by_its_id(self):
        world = self.world(entries=2)
        for name in ("i-2-0", "i-2-1"):
            world.searchers[name].mode = "hang"
        status, headers, _ = world.entries[0].ask("/board/x", request_id="partial1")
        self.assertEqual((status, headers["X-Sassafrasvane-Missing-Parts"]), (200, "1"))
        story = world.why("partial1")
        self.assertIn('"missing":"shard-2"', story)
        self.assertIn('"purpose":"hedge","backend":"shard-2"', story)

    def test_request_lost_with_its_vm_is_explained_by_the_other_logs(self):
        world = self.world(entries=3)
        for name in ("i-desk-0", "i-desk-1"):
            world.searchers[name].delay = 5
        lost = world.entries[2]
        peer = f"{lost.host}:{world.ports['peers']}"

        def changes(state):
            lines = world.entries[0].lines("member_changed")
            return [line for line in lines if (line["peer"], line["state"]) == (peer, state)]

        world.wait(lambda: changes("alive"), 5, "the process is not known to the others")
        connection = lost.connect()
        headers = {"Host": "search.example", "X-Sassafrasvane-Request-Id": "lost1"}
        connection.request("GET", "/fetch/x", headers=headers)
        world.wait(lambda: world.ran("lost1"), 2, "the request did not arrive")
        lost.stop()
        with self.assertRaises(OSError):
            connection.getresponse()
        connection.close()
        world.wait(lambda: changes("dead"), 10, "the loss is not noticed")
        story = world.why("lost1")
        self.assertIn("no line names request lost1", story)
        self.assertIn(f'"peer":"{peer}","state":"dead"', story)

    def test_failed_request_is_explained_by_its_id(self):
        world = self.world()
        world.searchers["i-desk-0"].mode = world.searchers["i-desk-1"].mode = "lost"
        status = world.entries[0].ask("/book/x", "POST", b"b", "why1")[0]
        self.assertEqual(status, 502)
        self.assertIn('"end":"broken"', world.why("why1"))
        calls = [line for line in world.entries[0].lines("call_failed") if line["request"] == "why1"]
        ends = [line for line in world.entries[0].lines("request_ended") if line["request"] == "why1"]
        self.assertEqual((calls[0]["end"], calls[0]["ran"]), ("broken", "unknown"))
        self.assertEqual((ends[0]["end"], ends[0]["status"]), ("failed", 502))

    def test_trace_of_the_caller_has_a_span_for_each_hop(self):
        world = self.world()
        trace = "0af7651916cd43dd8448eb211c80319c"
        traced = {"traceparent": f"00-{trace}-b7ad6b7169203331-01"}
        self.assertEqual(world.entries[0].ask("/board/x", request_id="traced", more=traced)[0], 200)
        world.wait(lambda: len(world.entries[0].lines("span")) >= 5, 2, "spans are missing")
        spans = world.entries[0].lines("span")
        self.assertEqual([span["name"] for span in spans].count("searcher call"), 4)
        (request,) = [span for span in spans if span["name"] == "request"]
        self.assertEqual(request["parent"], "b7ad6b7169203331")
        calls = {span["span"] for span in spans if span["parent"] == request["span"]}
        told = {run.headers["traceparent"] for searcher in world.searchers.values() for run in searcher.ran}
        self.assertEqual(told, {f"00-{trace}-{call}-01" for call in calls})
        world.entries[0].ask("/board/x", request_id="untraced")
        runs = [run for searcher in world.searchers.values() for run in searcher.ran if run.request_id == "untraced"]
        self.assertFalse(any("traceparent" in run.headers for run in runs))

    def test_metrics_are_served(self):
        world = self.world()
        world.entries[0].ask("/board/x")
        text = world.entries[0].ask("/metrics", listener="metrics")[2].decode()
        self.assertIn('sassafrasvane_requests_total{end="answered"} 1', text)
        self.assertIn('sassafrasvane_request_seconds_count{route="board",end="answered"} 1', text)
        self.assertIn('sassafrasvane_call_seconds_count{backend="shard-1",end="answered"} 1', text)
        self.assertIn("sassafrasvane_configuration_version 1", text)


if __name__ == "__main__":
    BUILD = pathlib.Path(sys.argv.pop(1))
    os.environ.pop("SASSAFRASVANE_SETTINGS", None)
    unittest.main(verbosity=2)
