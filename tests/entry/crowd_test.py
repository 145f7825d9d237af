"""Tests of a real entry process before crowds of misbehaving clients. Usage: crowd_test.py BUILD_DIRECTORY"""

import contextlib
import os
import pathlib
import sys
import time
import unittest

from crowd import (
    Crowd,
    begun_head,
    body,
    half_head,
    oversized_body,
    oversized_chunks,
    pipelined,
    short_fields,
    tiny_chunks,
    unfinished_body,
    unfinished_chunks,
    unfinished_short_fields,
)
from entryworld import Entry, World

# Memory of the VM in the settings of the process, in MB.
MEMORY_MB = 48
# Searchers' answers may have a fifth of the VM's memory, the store and peers an eighth. Clients get neither.
MAX_PEAK_MB = MEMORY_MB * (1 - 0.2 - 0.125)
# Descriptors in the settings: enough for all connections of a crowd, except where the crowd is to exceed them.
DESCRIPTORS = 1600
FEW_DESCRIPTORS = 300
# Time for which a crowd then holds its connections open.
HOLD_S = 0.4
PIECE_BYTES = 8_192

ROUTE = [("callers", "/fetch/x")]
GATHERED = [("callers", "/board/x")]
OTHERS = [
    ("callers", "/nowhere/x"),
    ("readiness", "/-/ready"),
    ("directory", "/-/resolve"),
    ("control", "/v1/revision?after=0"),
    ("metrics", "/metrics"),
]


class FewDescriptors(Entry):
    def settings(self):
        return super().settings() | {"fileDescriptors": FEW_DESCRIPTORS}


class ManyDescriptors(Entry):
    def settings(self):
        return super().settings() | {"fileDescriptors": DESCRIPTORS}


class FewDescriptorsWorld(World):
    entry_type = FewDescriptors


class CrowdWorld(World):
    entry_type = ManyDescriptors


class CrowdTest(unittest.TestCase):
    def begin(self, world_type=CrowdWorld):
        self.world = world_type(pathlib.Path(sys.argv[1]).resolve(), memory_mb=MEMORY_MB)
        self.addCleanup(self.world.close)
        self.entry = self.world.entries[0]

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.entry.process.pid}/fd"))

    def meet(self, places, form, **more):
        """Lets a crowd come, and checks the process during it and afterwards."""
        crowd = Crowd(self.entry, places, form, **more)
        try:
            crowd.send()
            time.sleep(HOLD_S)
            descriptors = self.descriptors()
        finally:
            crowd.close()
        self.assertIsNone(self.entry.process.poll(), "the process has ended")
        self.world.wait(self.serves, 10, "no ordinary request is answered after the crowd")
        peak = self.entry.peak_memory()
        print(f"{self.id()}: peak {peak:.1f} MB, {descriptors} descriptors")
        self.assertLessEqual(peak, MAX_PEAK_MB)
        self.assertLess(descriptors, FEW_DESCRIPTORS if isinstance(self.world, FewDescriptorsWorld) else DESCRIPTORS)

    def serves(self):
        with contextlib.suppress(OSError):
            return self.entry.ask("/fetch/x")[0] == 200
        return False

    def meet_at_all_places(self, form, **more):
        for name, places in (("route", ROUTE), ("others", OTHERS)):
            with self.subTest(places=name):
                self.begin()
                try:
                    self.meet(places, form, **more)
                finally:
                    self.doCleanups()

    def test_bodies_in_one_piece_exhaust_no_memory(self):
        self.meet_at_all_places(unfinished_body)

    def test_bodies_in_pieces_exhaust_no_memory(self):
        self.meet_at_all_places(unfinished_body, piece=PIECE_BYTES)

    def test_bodies_in_chunks_exhaust_no_memory(self):
        self.meet_at_all_places(unfinished_chunks, piece=PIECE_BYTES)

    def test_tiny_chunks_exhaust_no_memory(self):
        self.meet_at_all_places(tiny_chunks)

    def test_oversized_bodies_exhaust_no_memory(self):
        self.meet_at_all_places(oversized_body)

    def test_oversized_chunked_bodies_exhaust_no_memory(self):
        self.meet_at_all_places(oversized_chunks)

    def test_short_fields_exhaust_no_memory(self):
        self.meet_at_all_places(unfinished_short_fields)

    def test_pipelined_requests_exhaust_no_memory(self):
        self.meet_at_all_places(pipelined)

    def test_heads_that_stop_half_way_exhaust_no_memory(self):
        self.meet_at_all_places(half_head)

    def test_slow_senders_exhaust_no_memory(self):
        self.meet_at_all_places(body, piece=64, pause=0.02)

    def test_whole_bodies_that_wait_for_searchers_exhaust_no_memory(self):
        # A request, the copy that its task keeps and the copies of its calls are in memory at the same time.
        self.begin()
        for searcher in self.world.searchers.values():
            searcher.delay = 1.0
        self.meet(GATHERED, body)

    def test_connections_over_all_listeners_leave_descriptors(self):
        self.begin(FewDescriptorsWorld)
        self.meet([*ROUTE, *OTHERS], begun_head)

    def test_memory_of_a_crowd_is_freed_and_its_log_is_bounded(self):
        # Guards against leases that outlive their requests, which would refuse all requests in the end.
        self.begin()
        for form in (unfinished_body, pipelined, unfinished_short_fields):
            self.meet([*ROUTE, *OTHERS], form)
            self.world.wait(lambda: self.entry.metric("request_bytes_held") < 20_000, 5, "memory of requests is still held")
        self.assertGreater(len(self.entry.lines("clients_shed")), 0)
        self.assertLess(len(self.entry.lines("clients_shed")), 60)

    def test_body_that_nobody_needs_is_refused_from_the_head(self):
        self.begin()
        for listener, target in OTHERS:
            with self.entry.connect_raw(listener) as connection:
                connection.sendall(unfinished_body(target)[:20_000])
                answer = connection.recv(4_096)
                self.assertIn(b"HTTP/1.1 404" if listener == "callers" else b"HTTP/1.1 413", answer)
                self.assertIn(b"Connection: close", answer)

    def test_small_body_without_route_leaves_the_connection_open(self):
        # The client sends head and body in two pieces.
        self.begin()
        connection = self.entry.connect()
        self.addCleanup(connection.close)
        for target, status in (("/nowhere/x", 404), ("/fetch/x", 200)):
            connection.request("POST", target, body=b"b" * 100, headers={"Host": "search.example", "X-Sassafrasvane-Request-Id": "k"})
            answer = connection.getresponse()
            answer.read()
            self.assertEqual(answer.status, status)
            self.assertFalse(answer.will_close)

    def test_single_request_inside_the_limits_is_served(self):
        self.begin()
        for target in ("/fetch/x", "/board/x"):
            for request in (body(target), short_fields(target, method="GET")):
                with self.entry.connect_raw() as connection:
                    connection.sendall(request)
                    self.assertEqual(connection.recv(12), b"HTTP/1.1 200")


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], "-v"])
