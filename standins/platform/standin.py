"""Stand-ins of the platform's store and of searchers, in the platform's protocol.

One asyncio loop on a thread of its own runs the store and any number of searchers, each on an address of its own.
A test changes their state through plain attributes and methods, and reads what the searchers have recorded.
"""

import asyncio
import base64
import dataclasses
import json
import struct
import threading
import time
from urllib.parse import parse_qs, unquote, urlsplit

RECORD_BYTES = 16


class Loop:
    """The thread that all stand-ins of a test share."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def call(self, function, *arguments):
        async def wrapped():
            return function(*arguments)

        return self.run(wrapped())

    def stop(self):
        async def cancel_all():
            tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.run(cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)


class Headers(dict):
    """Headers by their lower-case names; of equal names the last one counts."""

    # All headers as they came.
    lines = ()


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


@dataclasses.dataclass
class Run:
    """A request that a searcher has begun to run."""

    request_id: str
    method: str
    target: str
    body: bytes
    # What the request says of the time left, in milliseconds; None if it says nothing.
    time_left_ms: int | None
    at: float
    ended_at: float | None = None
    headers: dict = dataclasses.field(default_factory=dict)

    def what(self):
        return self.request_id, self.method, self.target, self.body


async def read_head(reader):
    """Reads the first line and the headers of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = Headers()
    headers.lines = tuple(line for line in lines if line)
    for line in lines:
        if line:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
    return first, headers


async def read_request(reader):
    """Reads one request; None at the end of the connection."""
    try:
        first, headers = await read_head(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    method, target, _ = first.split(" ", 2)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def response(status, headers, body):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


# Answers that never end: what comes first, and what follows again and again until the caller closes.
ENDLESS = {
    "head": (b"HTTP/1.1 200 X\r\nX: ", b"y" * 8192),
    "length": (b"HTTP/1.1 200 X\r\nContent-Length: 99999999999\r\n\r\n", b"y" * 8192),
    "chunks": (b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n", b"2000\r\n" + b"y" * 8192 + b"\r\n"),
    "chunk-head": (b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n5;", b"y" * 8192),
    "until-close": (b"HTTP/1.1 200 X\r\n\r\n", b"y" * 8192),
    "fields": (b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n" + b"a:\r\n" * 7000 + b"\r\n", b"1\r\ny\r\n"),
    "trailers": (b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + b"a:\r\n" * 12000, b"a:\r\n"),
    "informational": (b"", b"HTTP/1.1 103 X\r\n\r\n" * 100),
    "noise": (b"", b"\0" * 8192),
}


async def pour(writer, kind, pause=0.0):
    """Sends an answer without end until the caller closes the connection."""
    first, again = ENDLESS[kind]
    writer.write(first)
    while not writer.transport.is_closing():
        writer.write(again)
        await writer.drain()
        await asyncio.sleep(pause)


class Server:
    """A listener that can be closed and opened again."""

    def __init__(self, loop, host, port):
        self.loop = loop
        self.host = host
        self.port = port
        self.server = None
        self.writers = set()
        # A kind of ENDLESS that all requests are answered with.
        self.endless = None
        # Seconds between two pieces of such an answer.
        self.endless_pause = 0.0

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    def start(self):
        self.loop.run(self._start())

    async def _start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    def stop(self):
        """Closes the listener and cuts all connections."""
        self.loop.call(self._stop)

    def _stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if self.endless:
                    await pour(writer, self.endless, self.endless_pause)
                    break
                if not await self.handle(request, reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Server):
    """Keeps items with revisions; serves ranges and watches."""

    def __init__(self, loop, host, port):
        super().__init__(loop, host, port)
        self.items = {}
        self.history = []
        self.revision = 10
        self.calls = 0
        self.refusing = False
        # The text that stands for the status in all answers; None for the status that fits.
        self.status = None
        # Number of times that the store went back to a copy; None leaves the header out.
        self.era = None
        # A text that is sent in place of the era.
        self.era_text = None
        # Lists that were begun.
        self.lists = 0
        # Time that each page of a range takes, in seconds.
        self.page_delay = 0.0
        self.changed = asyncio.Event()

    def put(self, key, value):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.loop.call(self._record, key, raw)

    def delete(self, key):
        self.loop.call(self._record, key, None)

    def forget_history(self):
        self.loop.call(self.history.clear)

    def copy(self):
        """What the store holds now, for go_back()."""
        return self.loop.call(lambda: (dict(self.items), list(self.history), self.revision))

    def go_back(self, copy):
        """Goes back to a copy: what was written since is lost, and its revisions are given out again."""

        def replace():
            items, history, self.revision = copy
            self.items, self.history = dict(items), list(history)
            self.era = (self.era or 0) + 1
            self.changed.set()
            self.changed = asyncio.Event()

        self.loop.call(replace)

    def headers(self):
        era = self.era if self.era_text is None else self.era_text
        return {} if era is None else {"Store-Era": str(era)}

    def _record(self, key, raw):
        self.revision += 1
        if raw is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "deleted": True}
        else:
            encoded = base64.b64encode(raw).decode()
            event = {"key": key, "value": encoded, "revision": self.revision, "created": self.revision, "lease": 0}
            self.items[key] = event
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request, reader, writer):
        self.calls += 1
        if self.refusing:
            writer.write(response(503, self.headers(), b""))
            return True
        parts = urlsplit(request.target)
        query = {name: unquote(values[0]) for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        status, body = 404, {}
        if parts.path == "/-/kv-range":
            self.lists += "after" not in query
            await asyncio.sleep(self.page_delay)
            status, body = 200, self.range(query.get("prefix", ""), query.get("after", ""))
        elif parts.path == "/-/kv-watch":
            status, body = await self.watch(int(query["after"]), int(query["waitMs"]) / 1000)
        headers = {"Content-Type": "application/json"} | self.headers()
        writer.write(response(self.status or status, headers, json.dumps(body).encode()))
        return True

    def range(self, prefix, after):
        page = 3
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key] for key in keys[:page]]
        return {"items": items, "hasMore": len(keys) > page, "asOf": self.revision}

    async def watch(self, after, wait):
        deadline = self.loop.loop.time() + wait
        while True:
            first = self.history[0]["revision"] if self.history else self.revision + 1
            if after > self.revision or (after + 1 < first and after < self.revision):
                return 410, {}
            events = [event for event in self.history if event["revision"] > after]
            if events or self.loop.loop.time() >= deadline:
                return 200, {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), deadline - self.loop.loop.time())
            except asyncio.TimeoutError:
                pass


class Searcher(Server):
    """Answers requests with records, and records what it ran."""

    def __init__(self, loop, store, instance, service, host, port, zone="a", records=()):
        super().__init__(loop, host, port)
        self.store = store
        self.instance = instance
        self.service = service
        self.zone = zone
        self.records = list(records)
        self.delay = 0.0
        # Requests that run at the same time; further ones wait. None for any number.
        self.slots = None
        self.mode = "ok"
        # The text that stands for the status in all answers; None for the status that fits.
        self.status = None
        # Bytes of each answer that are sent before the connection is closed, in mode "cut", and the time between two pieces.
        self.cut_bytes = 0
        self.piece_seconds = 0.0
        self.ran = []
        # Calls a second that all answers state as the limit; None states none.
        self.limit = None
        # True if all answers say that the searcher leaves, and ids of the requests whose answers said so.
        self.is_leaving = False
        self.told_leaving = set()
        # Seconds for which a request that arrives is turned away and asked to stay away; None turns none away. A text is
        # sent as it is.
        self.pause = None
        # Times at which requests arrived, whatever became of them.
        self.arrivals = []
        # The same with the ids of the requests.
        self.arrived = []
        # The headers of all requests that arrived, as they came.
        self.heads = []
        # Ids of the requests that were turned away, each with the time of the answer and the seconds asked for.
        self.turned_away = {}
        self.sequence = 0
        # What the last registration said.
        self.state = "ready"
        self.born = 1_700_000_000_000
        # A request whose target holds this text crashes the searcher, which is back after a while.
        self.crashes_on = None
        self.crash_seconds = 1.0
        # Tells the servers that go down with the searcher, such as a proxy before it.
        self.crashes_with = lambda: ()
        # The address that the store names, if it is another one.
        self.published = None
        self.is_registered = False

    def register(self, state="ready"):
        self.sequence += 1
        self.state = state
        self.is_registered = True
        entry = {"service": self.service, "address": self.published or self.address, "zone": self.zone, "version": "v1", "slots": 2}
        entry |= {"state": state, "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born}
        self.store.put("servers/" + self.instance, entry)

    def unregister(self):
        self.is_registered = False
        self.store.delete("servers/" + self.instance)

    async def handle(self, request, reader, writer):
        request_id = request.headers.get("x-sassafrasvane-request-id", "")
        now = time.monotonic()
        self.arrivals.append(now)
        self.arrived.append((now, request_id))
        self.heads.append((request_id, request.headers.lines))
        echoed = {"X-Sassafrasvane-Request-Id": request_id}
        if request.headers.get("x-sassafrasvane-expect-instance") != self.instance:
            writer.write(response(421, {"X-Sassafrasvane-Instance-Id": self.instance} | echoed, b""))
            return True
        if self.pause is not None:
            self.turned_away[request_id] = (now, self.pause)
            asked = {"X-Sassafrasvane-Not-Executed": "1", "Retry-After": str(self.pause)}
            writer.write(response(503, asked | echoed | self.stated(), b""))
            return True
        if self.mode == "shed":
            writer.write(response(503, {"X-Sassafrasvane-Not-Executed": "1"} | echoed | self.stated(), b""))
            return True
        left = request.headers.get("x-sassafrasvane-deadline-ms")
        run = Run(request_id, request.method, request.target, request.body, int(left) if left else None, time.monotonic())
        run.headers = request.headers
        self.ran.append(run)
        if self.crashes_on and self.crashes_on in request.target:
            self._crash()
            run.ended_at = time.monotonic()
            return False
        try:
            if not await self.work(run, reader):
                return False
        finally:
            run.ended_at = time.monotonic()
        if self.mode == "cut":
            await self.cut(self.whole_answer(request_id, request.body)[: self.cut_bytes], writer)
            return False
        return self.answer(request_id, request.body, writer)

    async def cut(self, first, writer):
        """Sends the first bytes of an answer, in pieces if they take time."""
        size = max(1, len(first) // 4) if self.piece_seconds else max(1, len(first))
        for begin in range(0, len(first), size):
            writer.write(first[begin : begin + size])
            await writer.drain()
            await asyncio.sleep(self.piece_seconds)

    def _crash(self):
        for server in (self, *self.crashes_with()):
            server._stop()
            restart = lambda server=server: asyncio.ensure_future(server._start())
            self.loop.loop.call_later(self.crash_seconds, restart)

    async def work(self, run, reader):
        """Returns false if the connection ends first, and the work with it."""
        if self.slots is not None:
            async with self.slots:
                await asyncio.sleep(self.delay)
            return not reader.at_eof()
        while time.monotonic() < run.at + self.delay or self.mode == "hang":
            if reader.at_eof():
                return False
            await asyncio.sleep(0.02)
        return True

    def whole_answer(self, request_id, request_body):
        if self.is_leaving:
            self.told_leaving.add(request_id)
        headers = {
            "X-Sassafrasvane-Request-Id": request_id,
            "X-Sassafrasvane-Server-Stamp": f"stamp.{self.instance}.{request_id}",
            "X-Sassafrasvane-Server-Load": "1,0,2",
        } | self.stated()
        body = b"".join(self.records) if self.records else b"reply to " + request_body
        return response(self.status or (500 if self.mode == "error" else 200), headers, body)

    def stated(self):
        """The headers that tell what the searcher asks of its callers."""
        limit = {} if self.limit is None else {"Server-Limit": str(self.limit)}
        return limit | ({"Server-Leaving": "1"} if self.is_leaving else {})

    def answer(self, request_id, request_body, writer):
        """Returns false if the connection ends with the answer."""
        if self.mode == "lost":
            return False
        whole = self.whole_answer(request_id, request_body)
        if self.mode == "truncated":
            writer.write(whole[:-1])
            return False
        writer.write(whole)
        if self.mode == "doubled":
            writer.write(whole)
        if self.mode == "rejecting-late":
            rejection = response(503, {"X-Sassafrasvane-Not-Executed": "1"}, b"")
            self.loop.loop.call_later(0.03, lambda: writer.transport.is_closing() or writer.write(rejection))
        if self.mode == "doubled-late":
            # The connection carries another call by then.
            self.loop.loop.call_later(0.03, lambda: writer.transport.is_closing() or writer.write(whole))
        return True


def record(number):
    """A record of 16 bytes that sorts by number."""
    return struct.pack(">QQ", number, 0)
