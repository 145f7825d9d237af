"""Real entry processes, as the deploy file starts them, before stand-ins of the store, searchers and consumers.

The stand-ins are the project's own (standins/platform, tests/entry/entryworld.py). What is added here: settings in the
form of the deploy file's template, a store that can fall silent, searchers that answer their health path and tell how
long they are cold, and a record of the case.
"""

import http.client
import json
import os
import pathlib
import shutil
import subprocess
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.dont_write_bytecode = True
sys.path.insert(0, str(ROOT / "tests" / "entry"))
sys.path.insert(0, str(ROOT / "standins" / "platform"))

import entryworld  # noqa: E402
import standin  # noqa: E402

# Bounds of sites/pelotonia-nbo.toml and sites/eleftheria-guides.toml, in seconds.
STABLE_WINDOW = 4.0
DRAIN = 3.0
CONFIG_APPLY = 3.0
COLD_OVERAGE = 1.5
COLD_SLACK = 5

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The lines of record.txt, with seconds since its start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.line(f"trouble={'yes' if TROUBLE else 'no'}")

    def now(self):
        return time.monotonic() - self.began

    def line(self, text, at=None):
        with self.lock:
            self.file.write(f"{(at or time.monotonic()) - self.began:8.3f} {text}\n")
            self.file.flush()


class Store(standin.Store):
    """The platform's store. While it is silent it answers nothing and takes no writes."""

    def __init__(self, loop, host, port):
        super().__init__(loop, host, port)
        self.is_silent = False
        self.held = []

    def put(self, key, value):
        if self.is_silent:
            # The writer tries again until the store is back.
            self.held.append((key, value))
            return
        super().put(key, value)

    def fall_silent(self):
        self.is_silent = True

    def come_back(self):
        """Connections of before stay dead; new ones work. Writers write what they could not."""

        def cut():
            self.is_silent = False
            for writer in list(self.writers):
                writer.transport.abort()

        self.loop.call(cut)
        held, self.held = self.held, []
        for key, value in held:
            self.put(key, value)

    async def handle(self, request, reader, writer):
        if self.is_silent:
            await reader.read()
            return False
        answered = await super().handle(request, reader, writer)
        if self.is_silent:
            # It went down while the watch was waiting: nothing of this answer leaves.
            await reader.read()
            return False
        return answered


class Searcher(standin.Searcher):
    """A searcher that answers its health path and may be cold."""

    health_path = "/health"

    def __init__(self, *arguments, slots=6, **more):
        super().__init__(*arguments, **more)
        self.slot_count = slots
        self.cold_until = 0.0
        self.health_probes = 0

    def cold_ms(self):
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def register(self, state="ready"):
        self.sequence += 1
        self.state = state
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1"}
        entry |= {"slots": self.slot_count, "state": state, "coldRemainingMs": self.cold_ms()}
        entry |= {"sequence": self.sequence, "born": self.born}
        self.store.put("servers/" + self.instance, entry)

    async def handle(self, request, reader, writer):
        if request.method == "GET" and request.target == self.health_path:
            self.health_probes += 1
            headers = {"X-Sassafrasvane-Instance-Id": self.instance, "X-Sassafrasvane-Server-Load": f"0,0,{self.slot_count}"}
            if self.cold_ms():
                headers["X-Sassafrasvane-Cold-Ms"] = str(self.cold_ms())
            writer.write(standin.response(200, headers, b""))
            return True
        return await super().handle(request, reader, writer)


class Entry(entryworld.Entry):
    """An entry process with the settings of platform/settings.json.template, started as the deploy file says."""

    def settings(self):
        settings = super().settings()
        settings["seeds"] = self.world.seeds
        settings["firstStart"] = False
        settings["processorShare"] = 0.25
        return settings

    def start(self, prepare=None):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["SASSAFRASVANE_SETTINGS"] = str(self.write_settings())
        command = ["target/programs/sassafrasvaned/sassafrasvaned", "--entry"]
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)


class World(entryworld.World):
    """The processes of a case."""

    entry_type = Entry

    def __init__(self, entries, set_up):
        """set_up adds searchers and publishes the configuration."""
        self.build = ROOT / "target"
        self.memory_mb = 260
        self.more_settings = ()
        self.directory = pathlib.Path(entryworld.tempfile.mkdtemp(prefix="sassafrasvane-review-"))
        self.loop = standin.Loop()
        self.entries = []
        names = ("callers", "readiness", "directory", "control", "peers", "metrics")
        self.ports = {name: entryworld.free_port("127.0.0.10") for name in names}
        self.seeds = [f"127.0.0.{10 + index}:{self.ports['control']}" for index in range(min(3, entries))]
        self.store = Store(self.loop, "127.0.0.1", entryworld.free_port("127.0.0.1"))
        self.store.start()
        self.searchers = {}
        set_up(self)
        self.entries = [self.entry_type(self, index) for index in range(entries)]
        try:
            self.start()
        except BaseException:
            self.close()
            raise

    def close(self):
        super().close()
        shutil.rmtree(self.directory, ignore_errors=True)

    def add(self, instance, service, **more):
        searcher = Searcher(self.loop, self.store, instance, service, "127.0.0.1", entryworld.free_port("127.0.0.1"), **more)
        searcher.start()
        searcher.register()
        self.searchers[instance] = searcher
        return searcher

    def publish(self, version, routes, services):
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        self.store.put("op/config", {"version": version, "routes": routes, "services": services, "limits": limits})


def route(name, prefix, **more):
    common = {"name": name, "host": "search.example", "prefix": prefix, "timeoutMs": 2500}
    return common | {"targetLatencyMs": 250, "priority": 1, "maxAttempts": 2} | more


def service(name, cold_per_s=0.0):
    more = {"protocol": "h1", "tls": False, "coldStartS": 3.0, "coldPerS": cold_per_s}
    return {"name": name, "healthPath": Searcher.health_path, "maxConnections": 110} | more


class Consumer(threading.Thread):
    """Sends a request each period over a kept connection to one entry process; notes what it was answered."""

    def __init__(self, number, entry, period, targets, record):
        super().__init__(daemon=True)
        self.number = number
        self.entry = entry
        self.period = period
        self.targets = targets
        self.record = record
        self.is_over = threading.Event()
        self.answers = {}

    def run(self):
        connection = None
        count = 0
        due = time.monotonic() + self.period * (self.number % 7) / 7
        while not self.is_over.wait(max(0.0, due - time.monotonic())):
            due += self.period
            count += 1
            method, target, body = self.targets[count % len(self.targets)]
            request_id = f"c{self.number}-{count}"
            headers = {"Host": "search.example", "X-Sassafrasvane-Request-Id": request_id, "X-Sassafrasvane-Deadline-Ms": "2500"}
            try:
                connection = connection or self.entry.connect(timeout=4)
                connection.request(method, target + request_id, body=body, headers=headers)
                answer = connection.getresponse()
                answer.read()
                status = answer.status
                if answer.will_close:
                    connection.close()
                    connection = None
            except (OSError, http.client.HTTPException) as error:
                status = type(error).__name__
                connection = None
            self.answers[request_id] = (method, target, status)
            self.record.line(f"consumer {request_id} {method} {target} at {self.entry.name}: {status}")


def run_case(folder, case):
    """Runs a case: it returns HELD or BROKEN. Whatever keeps it from running counts as not run."""
    record = Record(folder)
    try:
        outcome = case(record)
    except Exception as error:  # pylint: disable=broad-except
        record.line(f"the case could not run: {error!r}")
        outcome = NOT_RUN
    record.line({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[outcome])
    return outcome
