"""Callers: what they send, and what they see."""

import asyncio
import dataclasses
import json
import time

from standin import read_head

HOST = "search.example"
# How long a caller waits beyond the time limit of its request.
EXTRA_WAIT_S = 3.0
DIRECTORY_LIFETIME_S = 5.0
# Share of the requests that crash searchers while there are such ones.
CRASHING_SHARE = 0.02


@dataclasses.dataclass
class Sent:
    """One request as its caller saw it."""

    request_id: str
    method: str
    target: str
    body: bytes
    time_limit_ms: int
    entry: str
    at: float
    # When the last byte was sent.
    whole_at: float | None = None
    # True if the caller leaves before the answer.
    leaves: bool = False
    ended_at: float | None = None
    # None if the connection ended first, or the caller gave up.
    status: int | None = None
    headers: dict = dataclasses.field(default_factory=dict)
    answer: bytes = b""
    # Why there is no status.
    failure: str = ""

    @property
    def route(self):
        return self.target.split("/")[1]

    def what(self):
        return self.request_id, self.method, self.target, self.body


class Caller:
    """Sends one request after the other over a connection that it keeps as long as it is open."""

    def __init__(self, number, world, history, random):
        self.number = number
        self.world = world
        self.history = history
        self.random = random
        self.sent = 0
        self.addresses = []
        self.resolved_at = -DIRECTORY_LIFETIME_S
        self.reader = None
        self.writer = None
        self.peer = ""

    async def run(self, pause_s):
        while True:
            await self.pause(self.random.expovariate(1 / pause_s))
            try:
                await self.request()
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
                self.disconnect()

    async def pause(self, seconds):
        """Waits. Bytes that come meanwhile belong to no request."""
        if self.reader is None:
            await asyncio.sleep(seconds)
            return
        try:
            unasked = await asyncio.wait_for(self.reader.read(1), seconds)
        except asyncio.TimeoutError:
            return
        except OSError:
            unasked = b""
        if unasked:
            self.history.unasked_bytes.append((time.monotonic(), self.peer))
        self.disconnect()

    def disconnect(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def connect(self):
        if time.monotonic() - self.resolved_at > DIRECTORY_LIFETIME_S or not self.addresses:
            await self.resolve()
        self.peer = self.random.choice(self.addresses)
        host, port = self.peer.split(":")
        try:
            self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
        except (OSError, asyncio.TimeoutError):
            self.addresses.remove(self.peer)
            raise

    async def resolve(self):
        entry = self.random.choice(self.world.entries)
        port = self.world.ports["directory"]
        reader, writer = await asyncio.wait_for(asyncio.open_connection(entry.host, port), 1)
        try:
            writer.write(f"GET /-/resolve?name={HOST}&region=r&zone=a HTTP/1.1\r\nHost: d\r\n\r\n".encode())
            _, headers = await asyncio.wait_for(read_head(reader), 1)
            body = await asyncio.wait_for(reader.readexactly(int(headers["content-length"])), 1)
        finally:
            writer.transport.abort()
        self.addresses = json.loads(body)["addrs"]
        self.resolved_at = time.monotonic()
        self.history.directory.append((self.resolved_at, entry.name, list(self.addresses)))

    def next_request(self):
        self.sent += 1
        request_id = f"c{self.number}-{self.sent}"
        if self.world.crashing and self.random.random() < CRASHING_SHARE:
            return self.crashing_request(request_id)
        route = self.random.choice(["board", "board", "fetch", "fetch", "book", *self.world.extra_routes()])
        is_get = route != "book" and self.random.random() < 0.6
        body = b"" if is_get else request_id.encode() * self.random.choice([1, 1, 1, 400])
        method = "GET" if is_get else "POST"
        target = f"/{route}/{self.number}?n={self.sent}"
        limit = self.random.choice([1500, 2000, 4000])
        return Sent(request_id, method, target, body, limit, self.peer.split(":")[0], time.monotonic())

    def crashing_request(self, request_id):
        """A request that crashes searchers; it differs from the former ones in its id only."""
        target = self.random.choice(self.world.crashing)
        method = "POST" if target.startswith("/book/") else "GET"
        return Sent(request_id, method, target, b"", 1500, self.peer.split(":")[0], time.monotonic())

    async def request(self):
        if self.writer is None:
            await self.connect()
        sent = self.next_request()
        sent.leaves = self.random.random() < 0.03
        self.history.sent.append(sent)
        try:
            await self.send(sent)
            if sent.leaves:
                await asyncio.sleep(0.05)
                sent.failure = "left"
                self.disconnect()
                return
            await asyncio.wait_for(self.read_answer(sent), sent.time_limit_ms / 1000 + EXTRA_WAIT_S)
        except (OSError, asyncio.IncompleteReadError):
            sent.failure = "closed"
            raise
        except asyncio.TimeoutError:
            sent.failure = "unanswered"
            raise
        except asyncio.CancelledError:
            sent.failure = "run_ended"
            raise
        finally:
            sent.ended_at = time.monotonic()
        if sent.headers.get("connection") == "close":
            self.disconnect()

    async def send(self, sent):
        lines = [f"{sent.method} {sent.target} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"X-Sassafrasvane-Request-Id: {sent.request_id}"]
        lines += [f"X-Sassafrasvane-Deadline-Ms: {sent.time_limit_ms}", f"Content-Length: {len(sent.body)}"]
        message = ("\r\n".join(lines) + "\r\n\r\n").encode() + sent.body
        # Some callers send slowly.
        cut = self.random.randrange(1, len(message)) if self.random.random() < 0.05 else len(message)
        self.writer.write(message[:cut])
        await self.writer.drain()
        if cut < len(message):
            await asyncio.sleep(0.1)
            self.writer.write(message[cut:])
            await self.writer.drain()
        sent.whole_at = time.monotonic()

    async def read_answer(self, sent):
        first, headers = await read_head(self.reader)
        body = await self.reader.readexactly(int(headers["content-length"]))
        sent.headers = headers
        sent.answer = body
        sent.status = int(first.split(" ")[1])
