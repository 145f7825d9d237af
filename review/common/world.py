"""A small deployment on loopback addresses: entry processes, a store with a proxy for each machine, and searchers.

The entry processes are started with the command of deploy/system.toml, and their settings files are filled in from
platform/settings.json.template. Store and searchers are the project's own stand-ins (standins/platform/standin.py).
"""

import asyncio
import http.client
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "standins" / "platform"))

import standin  # noqa: E402

PROGRAM = ROOT / "target" / "programs" / "sassafrasvaned" / "sassafrasvaned"
TEMPLATE = ROOT / "platform" / "settings.json.template"

# The bounds of the site pelotonia-nbo, in seconds.
STABLE_WINDOW = 4.0
DRAIN = 3.0
EVACUATE = 5.0
GRACE = 6
# How long the store keeps its history, in seconds.
HISTORY = 20.0

HOST = "search.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be brought about; run.sh ends with 2."""


class Record:
    """Writes record.txt: what was sent, answered and run, and what happened to the machines."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def line(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f} {text}\n")
            self.file.flush()


class StoreConnection:
    """A connection of a machine to the store; no answer comes back once it is dead."""

    def __init__(self, writer, is_dead):
        self.writer = writer
        self.is_dead = is_dead


class StoreProxy:
    """The path of one machine to the store, which can be silenced or reset."""

    def __init__(self, loop, store, host):
        self.loop = loop
        self.store = store
        self.host = host
        self.mode = "pass"
        self.connections = set()
        # Time of the last call that asks for changes.
        self.watched_at = None
        self.port = loop.run(self._start())

    async def _start(self):
        self.server = await asyncio.start_server(self._serve, self.host, 0)
        return self.server.sockets[0].getsockname()[1]

    def silence_open_connections(self):
        """Nothing comes back any more on the connections that are open now; new ones work."""
        self.loop.call(self._silence_open_connections)

    def _silence_open_connections(self):
        for connection in self.connections:
            connection.is_dead = True

    def set_mode(self, mode):
        """pass: as usual; silent: no answer comes back any more; reset: connections are reset."""
        self.loop.call(self._set_mode, mode)

    def _set_mode(self, mode):
        self.mode = mode
        for connection in list(self.connections):
            if mode == "silent":
                # A connection on which an answer is lost returns nothing further.
                connection.is_dead = True
            elif mode == "reset":
                connection.writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        connection = StoreConnection(writer, self.mode == "silent")
        self.connections.add(connection)
        try:
            up_reader, up_writer = await asyncio.open_connection(self.store.host, self.store.port)
        except OSError:
            writer.transport.abort()
            self.connections.discard(connection)
            return
        tasks = [
            asyncio.ensure_future(self._pump(reader, up_writer, connection, True)),
            asyncio.ensure_future(self._pump(up_reader, writer, connection, False)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            up_writer.transport.abort()
            writer.transport.abort()
            self.connections.discard(connection)

    async def _pump(self, reader, writer, connection, is_up):
        try:
            while data := await reader.read(65536):
                if is_up and b"/-/kv-watch" in data:
                    self.watched_at = time.monotonic()
                if connection.is_dead:
                    continue
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass


class Store(standin.Store):
    """The project's stand-in, which discards its history as the platform's store does."""

    def __init__(self, loop, host, port):
        super().__init__(loop, host, port)
        self.recorded_at = []

    def _record(self, key, raw):
        super()._record(key, raw)
        self.recorded_at.append(time.monotonic())

    async def watch(self, after, wait):
        while self.recorded_at and self.recorded_at[0] < time.monotonic() - HISTORY:
            self.recorded_at.pop(0)
            self.history.pop(0)
        return await super().watch(after, wait)


class Searcher(standin.Searcher):
    """The project's stand-in, on an address of its own, that tells when it began to run a request."""

    def __init__(self, world, instance, service, zone, host, records):
        super().__init__(world.loop, world.store, instance, service, host, free_port(host), zone=zone, records=records)
        self.world = world
        # Seconds after which an idle connection is closed, which the answers state; None to keep it.
        self.idle_timeout = None

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await asyncio.wait_for(standin.read_request(reader), self.idle_timeout)
                if request is None or not await self.handle(request, reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, asyncio.TimeoutError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def answer(self, request_id, request_body, writer):
        if self.idle_timeout is None:
            return super().answer(request_id, request_body, writer)
        headers = {
            "X-Sassafrasvane-Request-Id": request_id,
            "X-Sassafrasvane-Server-Stamp": f"stamp.{self.instance}.{request_id}",
            "X-Sassafrasvane-Server-Load": "1,0,2",
            "Keep-Alive": f"timeout={self.idle_timeout}",
        }
        writer.write(standin.response(200, headers, b"".join(self.records) or b"booked"))
        return True

    async def handle(self, request, reader, writer):
        before = len(self.ran)
        result = await super().handle(request, reader, writer)
        for run in self.ran[before:]:
            if run.request_id == request.headers.get("x-sassafrasvane-request-id"):
                at = run.at - self.world.record.begin
                self.world.record.line(f"run {run.request_id} {run.method} {run.target} at {self.instance} began {at:.3f}")
        return result


class Machine:
    """A machine of class front: one entry process and its path to the store."""

    def __init__(self, world, index, zone):
        self.world = world
        self.name = f"front-{zone}-{index}"
        self.ip = f"{world.net}.{10 + index}"
        self.zone = zone
        self.proxy = StoreProxy(world.loop, world.store, f"{world.net}.200")
        self.process = None
        self.is_first_start = True
        self.log_path = world.directory / f"{self.name}.log"

    def settings(self):
        ports = self.world.ports
        fields = {
            "node": self.name,
            "zone": self.zone,
            "region": "nairobi",
            "listenAddresses": {
                name: f"{self.ip}:{ports[name]}" for name in ("front", "ready", "directory", "control")
            },
            "internalPorts": [ports["peers"], ports["peers"]],
            "seeds": [f"{machine.ip}:{ports['control']}" for machine in self.world.machines[:3]],
            "platform": {"address": f"{self.proxy.host}:{self.proxy.port}"},
            "bootstrap": self.is_first_start,
            "limits": {"cpuShare": 0.25, "memoryMb": 260, "maxFds": 4100},
            "bounds": {"graceS": GRACE, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 56}
            | {"coldOverage": 1.5, "coldSlack": 5, "ttl_max_s": 5},
        }

        def value(match):
            found = fields
            for name in match.group(1).split("."):
                found = found[int(name)] if isinstance(found, list) else found[name]
            return json.dumps(found)

        text = re.sub(r"\{\{([A-Za-z0-9_.]+)(?:\|json)?\}\}", value, TEMPLATE.read_text())
        # The port of the metrics is free on this address.
        return re.sub(r'"metricsPort": \d+', f'"metricsPort": {ports["metrics"]}', text)

    def start(self):
        path = self.world.directory / f"{self.name}.json"
        path.write_text(self.settings())
        self.is_first_start = False
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen([PROGRAM, "--entry", "--settings", path], stdout=log, stderr=log, cwd=ROOT)
        self.world.record.line(f"start {self.name}")

    def kill(self):
        self.process.kill()
        self.process.wait(10)
        self.world.record.line(f"SIGKILL {self.name}")

    def signal(self, number):
        self.process.send_signal(number)
        self.world.record.line(f"{signal.Signals(number).name} {self.name}")

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(10)

    def connect(self, listener="front", timeout=3):
        return http.client.HTTPConnection(self.ip, self.world.ports[listener], timeout=timeout)

    def is_ready(self):
        connection = self.connect("ready", 1)
        try:
            connection.request("GET", "/-/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def log_lines(self, event):
        lines = self.log_path.read_text(errors="replace").splitlines()
        return [line for line in lines if f'"{event}"' in line]


class Consumer(threading.Thread):
    """Sends requests to one machine, one after the other, on a kept connection."""

    def __init__(self, world, machine, targets, pause=0.05, deadline=2000, tag="c"):
        super().__init__(daemon=True)
        self.world = world
        self.machine = machine
        self.targets = targets
        self.pause = pause
        self.deadline = deadline
        self.tag = tag
        self.is_stopping = False
        # For each request id: when it was sent, and the status or the failure.
        self.sent = {}
        self.answers = {}
        # Requests that were not the first on their connection.
        self.on_kept = set()

    def run(self):
        connection = None
        number = 0
        while not self.is_stopping:
            method, target, body = self.targets[number % len(self.targets)]
            number += 1
            request_id = f"{self.machine.name}-{self.tag}{number}"
            self.sent[request_id] = time.monotonic()
            self.world.record.line(f"sent {request_id} {method} {target} to {self.machine.name}")
            try:
                if connection:
                    self.on_kept.add(request_id)
                connection = connection or self.machine.connect()
                headers = {
                    "Host": HOST,
                    "X-Sassafrasvane-Request-Id": request_id,
                    "X-Sassafrasvane-Deadline-Ms": str(self.deadline),
                }
                connection.request(method, target, body=body, headers=headers)
                answer = connection.getresponse()
                answer.read()
                outcome = answer.status
            except (OSError, http.client.HTTPException) as error:
                connection.close()
                connection = None
                outcome = type(error).__name__
            self.answers[request_id] = outcome
            self.world.record.line(f"answer {request_id} {outcome}")
            time.sleep(self.pause)
        if connection:
            connection.close()

    def stop(self):
        self.is_stopping = True


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class World:
    """Machines, a store and searchers; ends all of them in close()."""

    def __init__(self, folder, zones, shards=4):
        if not PROGRAM.exists():
            raise CannotRun("target/ is not built")
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        # A network of its own, so that scripts can run side by side.
        self.net = f"127.{20 + os.getpid() % 200}.{1 + os.getpid() // 200 % 250}"
        self.loop = standin.Loop()
        self.ports = {}
        for name in ("front", "ready", "directory", "control", "peers", "metrics"):
            self.ports[name] = self._free_port_on_all(len(zones))
        self.searchers = {}
        self.store = Store(self.loop, f"{self.net}.200", free_port(f"{self.net}.200"))
        self.store.start()
        for shard in range(shards):
            records = [standin.record(100 * shard + number) for number in range(5)]
            for zone in "abc":
                self.add_searcher(f"i-s{shard}{zone}", f"shard-{shard}", zone, records)
        for zone in "abcd":
            self.add_searcher(f"i-desk{zone}", "desk", zone)
        self.shards = shards
        self.configure(20)
        self.machines = []
        for index, zone in enumerate(zones):
            self.machines.append(Machine(self, index, zone))

    def _free_port_on_all(self, count):
        while True:
            port = free_port(f"{self.net}.10")
            if port in self.ports.values():
                continue
            try:
                for index in range(count):
                    with socket.socket() as probe:
                        probe.bind((f"{self.net}.{10 + index}", port))
                return port
            except OSError:
                continue

    def add_searcher(self, instance, service, zone, records=()):
        searcher = Searcher(self, instance, service, zone, f"{self.net}.{100 + len(self.searchers)}", records)
        searcher.start()
        searcher.register()
        self.searchers[instance] = searcher
        return searcher

    def configure(self, version, extra=()):
        def route(name, prefix, **more):
            common = {"name": name, "host": HOST, "prefix": prefix, "timeoutMs": 2000}
            return common | {"targetLatencyMs": 250, "priority": 1, "maxAttempts": 2} | more

        names = [f"shard-{shard}" for shard in range(self.shards)]
        routes = [
            route("board", "/board/", routeType="idempotent", fanout=names, topK=7, minShardRatio=0.75),
            route("fetch", "/fetch/", routeType="idempotent", service="desk"),
            route("book", "/book/", routeType="non_idempotent", service="desk"),
        ]
        services = [
            {"name": name, "healthPath": "/h", "maxConnections": 110, "coldStartS": 3.0, "coldPerS": 44.0}
            for name in [*names, "desk"]
        ]
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        configuration = {"version": version, "routes": [*routes, *extra], "services": services, "limits": limits}
        self.store.put("op/config", configuration)
        self.record.line(f"configuration {version} acknowledged")

    def start(self, settle=6.0):
        """Starts all machines and waits until they are ready and know each other."""
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            self.wait(machine.is_ready, 20, f"{machine.name} is not ready")
        time.sleep(settle)

    def readers(self):
        """The machines that read the store now, in the order of their addresses."""
        now = time.monotonic()
        return [
            machine
            for machine in self.machines
            if machine.proxy.connections and machine.proxy.watched_at and now - machine.proxy.watched_at < 2.5
        ]

    def wait(self, is_done, seconds, what):
        end = time.monotonic() + seconds
        while not is_done():
            if time.monotonic() > end:
                raise CannotRun(what)
            time.sleep(0.01)

    def close(self):
        for machine in getattr(self, "machines", []):
            machine.end()
        for machine in getattr(self, "machines", []):
            if os.environ.get("KEEP_LOGS"):
                shutil.copy(machine.log_path, os.environ["KEEP_LOGS"])
        for server in [*self.searchers.values(), self.store]:
            server.stop()
        time.sleep(0.2)
        self.loop.stop()
        shutil.rmtree(self.directory, ignore_errors=True)


def main(folder, zones, case, shards=4):
    """Runs case(world); it returns the list of breaches of the rule. Returns the exit code of run.sh."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    world = None
    try:
        world = World(folder, zones, shards)
        breaches = case(world)
    except Exception as error:  # Whatever stops the case, the rule was not judged.
        print(f"could not run: {error!r}")
        return 2
    finally:
        if world:
            world.close()
    for breach in breaches[:10]:
        print(breach)
        world.record.line(f"breach {breach}")
    verdict = f"broken: {len(breaches)} requests" if breaches else "held"
    world.record.line(f"rule {verdict}")
    print(f"rule {verdict} (TROUBLE={int(TROUBLE)})")
    return 1 if breaches else 0
