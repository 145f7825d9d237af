"""Tests of a real entry process before crowds of misbehaving clients. Usage: crowd_test.py BUILD_DIRECTORY"""

import contextlib
import os
import pathlib
import selectors
import socket
import sys
import time
import unittest

from entryworld import Entry, World

# Memory of the VM in the settings of the process, in MB.
MEMORY_MB = 48
# Searchers' answers may have a fifth of the VM's memory, the store and peers an eighth. Clients get neither.
MAX_PEAK_MB = MEMORY_MB * (1 - 0.2 - 0.125)
CONNECTIONS = 400
# Descriptors in the settings: enough for all connections of a crowd, except where the crowd is to exceed them.
DESCRIPTORS = 1600
FEW_DESCRIPTORS = 300
# Longest time for which a crowd sends, and for which it then holds its connections open. The process closes those that
# stop half-way after 3 s.
SEND_S = 2.5
HOLD_S = 0.4

BODY_BYTES = 262_144
HEAD_BYTES = 16_384
SHORT_FIELDS = 3_100
PIPELINED = 800
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


def head(target, *fields, method="POST"):
    lines = [f"{method} {target} HTTP/1.1", "Host: search.example", "X-Sassafrasvane-Request-Id: c"]
    lines += ["X-Sassafrasvane-Deadline-Ms: 2000", *fields]
    return "\r\n".join([*lines, "", ""]).encode()


def body(target):
    """A request of the largest legal size."""
    return head(target, f"Content-Length: {BODY_BYTES}") + b"b" * BODY_BYTES


def unfinished_body(target):
    return body(target)[:-1]


def unfinished_chunks(target):
    chunk = b"%x\r\n%s\r\n" % (2_048, b"c" * 2_048)
    return head(target, "Transfer-Encoding: chunked") + chunk * (BODY_BYTES // 2_048 - 1)


def tiny_chunks(target):
    return head(target, "Transfer-Encoding: chunked") + b"1\r\nc\r\n" * 20_000


def oversized_body(target):
    return head(target, "Content-Length: 50000000") + b"b" * (4 * BODY_BYTES)


def oversized_chunks(target):
    return head(target, "Transfer-Encoding: chunked") + (b"%x\r\n%s\r\n" % (8_192, b"c" * 8_192)) * 128


def short_fields(target, *fields, method="POST"):
    """A head of short fields, as many as fit into the limit."""
    begin = head(target, *fields, method=method)[:-2]
    count = min(SHORT_FIELDS, (HEAD_BYTES - len(begin) - 2) // 5)
    return begin + b"a:b\r\n" * count + b"\r\n"


def unfinished_short_fields(target):
    """The fields are complete, the body is not."""
    return short_fields(target, "Content-Length: 1")


def half_head(target):
    return short_fields(target)[: HEAD_BYTES // 2]


def begun_head(target):
    return head(target)[:20]


def pipelined(target):
    return head(target, method="GET") * PIPELINED


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


class Client:
    """One connection of a crowd, which sends its bytes as far as the process takes them and reads nothing."""

    def __init__(self, address, data, piece):
        self.data = memoryview(data)
        self.piece = piece
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self.socket.setblocking(False)
        self.socket.connect_ex(address)

    def is_done(self):
        """Sends a piece. True if nothing is left, or the connection is closed."""
        try:
            sent = self.socket.send(self.data[: self.piece])
        except BlockingIOError:
            return False
        except OSError:
            return True
        self.data = self.data[sent:]
        return not self.data


class Crowd:
    """Connections that are spread over places and send the same form of request."""

    def __init__(self, entry, places, form, piece=1 << 20, pause=0.0):
        self.clients = []
        forms = {place: form(place[1]) for place in places}
        for number in range(CONNECTIONS):
            place = places[number % len(places)]
            address = (entry.host, entry.world.ports[place[0]])
            self.clients.append(Client(address, forms[place], piece))
        self.pause = pause

    def send(self):
        """Sends to all connections in turns until all is sent, or SEND_S are over."""
        end = time.monotonic() + SEND_S
        with selectors.DefaultSelector() as selector:
            for client in self.clients:
                selector.register(client.socket, selectors.EVENT_WRITE, client)
            while selector.get_map() and time.monotonic() < end:
                for key, _ in selector.select(0.1):
                    if key.data.is_done():
                        selector.unregister(key.fileobj)
                time.sleep(self.pause)

    def close(self):
        for client in self.clients:
            client.socket.close()


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

    def test_single_request_inside_the_limits_is_served(self):
        self.begin()
        for target in ("/fetch/x", "/board/x"):
            for request in (body(target), short_fields(target, method="GET")):
                with self.entry.connect_raw() as connection:
                    connection.sendall(request)
                    self.assertEqual(connection.recv(12), b"HTTP/1.1 200")


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], "-v"])
