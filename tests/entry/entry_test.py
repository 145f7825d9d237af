"""End to end: real entry processes before stand-ins of the store and of searchers.

Usage: entry_test.py BUILD_DIRECTORY [-k NAME]
"""

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "standins" / "platform"))

import standin  # noqa: E402

BUILD = None
# Longest time that a change may take to be in force, in seconds; the promise is 3.
IN_FORCE = 3.0
GRACE = 6


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Entry:
    """One entry process on an address of its own."""

    def __init__(self, world, index):
        self.host = f"127.0.0.{10 + index}"
        self.name = f"vm-{index}"
        self.world = world
        self.log = open(world.directory / f"{self.name}.log", "ab")
        self.process = None

    def settings(self):
        ports = self.world.ports
        return {
            "vm": self.name,
            "failureDomain": "abcd"[int(self.name[3:]) % 4],
            "region": "r",
            "listeners": {name: f"{self.host}:{ports[name]}" for name in ("callers", "readiness", "directory", "control")},
            "peerPort": ports["peers"],
            "metricsPort": ports["metrics"],
            "seeds": [f"127.0.0.10:{ports['control']}"],
            "store": self.world.store.address,
            "memoryMb": 260,
            "fileDescriptors": 4100,
            "bounds": {"stopGraceS": GRACE, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 56, "coldFactor": 1.5}
            | {"coldSlack": 5, "directoryLifetimeS": 5},
        }

    def start(self):
        path = self.world.directory / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        program = BUILD / "programs" / "sassafrasvaned" / "sassafrasvaned"
        self.process = subprocess.Popen([program, "--entry", "--settings", path], stdout=self.log, stderr=self.log)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait(10)

    def connect(self, listener="callers", timeout=10):
        return http.client.HTTPConnection(self.host, self.world.ports[listener], timeout=timeout)

    def ask(self, target, method="GET", body=None, request_id="r", deadline=2000, listener="callers"):
        """Sends one request. Returns status, headers and body."""
        connection = self.connect(listener)
        headers = {"Host": "search.example", "X-Sassafrasvane-Request-Id": request_id}
        headers["X-Sassafrasvane-Deadline-Ms"] = str(deadline)
        try:
            connection.request(method, target, body=body, headers=headers)
            answer = connection.getresponse()
            return answer.status, answer.headers, answer.read()
        finally:
            connection.close()

    def is_ready(self):
        try:
            return self.ask("/-/ready", listener="readiness")[0] == 200
        except OSError:
            return False

    def lines(self, event):
        self.log.flush()
        text = (self.world.directory / f"{self.name}.log").read_text()
        return [line for line in map(json.loads, text.splitlines()) if line["event"] == event]


class World:
    """A store, searchers and entry processes."""

    def __init__(self, entries=1, shards=4, replicas=2):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="sassafrasvane-entry-"))
        self.loop = standin.Loop()
        names = ("callers", "readiness", "directory", "control", "peers", "metrics")
        self.ports = {name: free_port("127.0.0.10") for name in names}
        self.store = standin.Store(self.loop, "127.0.0.1", free_port("127.0.0.1"))
        self.store.start()
        self.searchers = {}
        for shard in range(shards):
            records = [standin.record(100 * shard + number) for number in range(5)]
            for replica in range(replicas):
                self.add_searcher(f"i-{shard}-{replica}", f"shard-{shard}", records)
        self.add_searcher("i-desk-0", "desk")
        self.add_searcher("i-desk-1", "desk")
        self.configure(1, shards)
        self.entries = [Entry(self, index) for index in range(entries)]
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            self.wait(entry.is_ready, 10, f"{entry.name} is not ready")

    def add_searcher(self, instance, service, records=()):
        host = "127.0.0.1"
        searcher = standin.Searcher(self.loop, self.store, instance, service, host, free_port(host), records=records)
        searcher.start()
        searcher.register()
        self.searchers[instance] = searcher

    def configure(self, version, shards, desk="desk", extra=()):
        def route(name, prefix, **more):
            common = {"name": name, "host": "search.example", "prefix": prefix, "timeoutMs": 2000}
            return common | {"targetLatencyMs": 400, "priority": 1, "maxAttempts": 2} | more

        names = [f"shard-{shard}" for shard in range(shards)]
        routes = [
            route("board", "/board/", routeType="idempotent", fanout=names, topK=7, minShardRatio=0.75),
            route("fetch", "/fetch/", routeType="idempotent", service=desk),
            route("book", "/book/", routeType="non_idempotent", service=desk),
        ]
        services = [
            {"name": name, "healthPath": "/h", "maxConnections": 26, "coldStartS": 3.0, "coldPerS": 0.0}
            for name in [*names, "desk"]
        ]
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        configuration = {"version": version, "routes": [*routes, *extra], "services": services, "limits": limits}
        self.store.put("op/config", configuration)

    def wait(self, is_done, seconds, what):
        end = time.monotonic() + seconds
        while not is_done():
            if time.monotonic() > end:
                raise AssertionError(what)
            time.sleep(0.02)

    def ran(self, request_id):
        return [name for name, searcher in self.searchers.items() for run in searcher.ran if run[0] == request_id]

    def close(self):
        for entry in self.entries:
            entry.stop()
            entry.log.close()
        self.loop.stop()


class EntryTest(unittest.TestCase):
    def world(self, **options):
        world = World(**options)
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
        runs = [run for searcher in world.searchers.values() for run in searcher.ran]
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

    def test_caller_that_leaves_ends_the_searchers_work(self):
        world = self.world()
        for name in ("i-desk-0", "i-desk-1"):
            world.searchers[name].delay = 5
        connection = world.entries[0].connect()
        headers = {"Host": "search.example", "X-Sassafrasvane-Request-Id": "gone"}
        connection.request("GET", "/fetch/x", headers=headers)
        world.wait(lambda: world.ran("gone"), 2, "the request did not arrive")
        connection.close()
        busy = [searcher for searcher in world.searchers.values() if any(run[0] == "gone" for run in searcher.ran)]
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
        left = lambda: all(entry.lines("searcher_changed")[-1]["leaving"] for entry in world.entries)
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
        current = lambda: all(entry.lines("configuration_in_force")[-1]["version"] == 9 for entry in alive)
        world.wait(current, IN_FORCE, "a change is not in force after the loss of processes")

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
        current = lambda: all(entry.lines("configuration_in_force")[-1]["version"] == 12 for entry in world.entries)
        world.wait(current, 6, "the change made meanwhile is not in force")

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

    def test_settings_that_cannot_be_read_keep_the_former_ones(self):
        world = self.world()
        entry = world.entries[0]
        (world.directory / "vm-0.json").write_text("{")
        entry.process.send_signal(signal.SIGHUP)
        world.wait(lambda: entry.lines("settings_refused"), 2, "the fault is not logged")
        self.assertEqual(entry.ask("/board/x")[0], 200)

    def test_failed_request_is_explained_by_its_id(self):
        world = self.world()
        world.searchers["i-desk-0"].mode = world.searchers["i-desk-1"].mode = "lost"
        status = world.entries[0].ask("/book/x", "POST", b"b", "why1")[0]
        self.assertEqual(status, 502)
        time.sleep(0.2)
        calls = [line for line in world.entries[0].lines("call_failed") if line["request"] == "why1"]
        ends = [line for line in world.entries[0].lines("request_ended") if line["request"] == "why1"]
        self.assertEqual((calls[0]["end"], calls[0]["ran"]), ("broken", "unknown"))
        self.assertEqual((ends[0]["end"], ends[0]["status"]), ("failed", 502))

    def test_metrics_are_served(self):
        world = self.world()
        world.entries[0].ask("/board/x")
        text = world.entries[0].ask("/metrics", listener="metrics")[2].decode()
        self.assertIn('sassafrasvane_requests_total{end="answered"} 1', text)
        self.assertIn("sassafrasvane_configuration_version 1", text)


if __name__ == "__main__":
    BUILD = pathlib.Path(sys.argv.pop(1))
    os.environ.pop("SASSAFRASVANE_SETTINGS", None)
    unittest.main(verbosity=2)
