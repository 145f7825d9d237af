"""Crowds of misbehaving clients. They take loopback connections, are bounded in number and time, and close all at the end."""

import selectors
import socket
import time

CONNECTIONS = 400
# Longest time for which a crowd sends. The process closes connections that stop half-way after 3 s.
SEND_S = 2.5

BODY_BYTES = 262_144
HEAD_BYTES = 16_384
SHORT_FIELDS = 3_100
PIPELINED = 800


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

    def __init__(self, entry, places, form, piece=1 << 20, pause=0.0, connections=CONNECTIONS):
        self.clients = []
        forms = {place: form(place[1]) for place in places}
        for number in range(connections):
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
