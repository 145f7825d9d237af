"""Real entry processes before stand-ins of the store and of searchers."""

import http.client
import json
import pathlib
import random
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "standins" / "platform"))

import standin  # noqa: E402
from proxy import Proxy  # noqa: E402

# Seconds that a process has for its planned stop.
GRACE = 6


# Below the ports that the system gives to outgoing connections: those may take a port before its listener is opened, or
# connect to themselves. Ports from 20,000 on belong to tests/process and the demo.
LISTENER_PORTS = range(10_000, 20_000)
_given_ports = set()


def free_port(host):
    """A port that was not given before and that nobody uses at this address."""
    while True:
        port = random.choice(LISTENER_PORTS)
        if port in _given_ports:
            continue
        _given_ports.add(port)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        return port


class Entry:
    """One entry process on an address of its own."""

    def __init__(self, world, index):
        self.host = f"127.0.0.{10 + index}"
        self.name = f"vm-{index}"
        self.world = world
        # The way to the store, which a test may harm.
        self.store_link = Proxy(world.loop, "127.0.0.1", free_port("127.0.0.1"), world.store.address)
        self.store_link.start()
        self.seeds = [f"127.0.0.10:{world.ports['control']}"]
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
            "seeds": self.seeds,
            "store": self.store_link.address,
            "memoryMb": self.world.memory_mb,
            "fileDescriptors": 4100,
            "bounds": {"stopGraceS": GRACE, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 56, "coldFactor": 1.5}
            | {"coldSlack": 5, "directoryLifetimeS": 5},
        } | dict(self.world.more_settings)

    def write_settings(self):
        path = self.world.directory / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        return path

    def start(self, prepare=None):
        """Starts the process; prepare is called in the new process before the program begins."""
        program = self.world.build / "programs" / "sassafrasvaned" / "sassafrasvaned"
        command = [program, "--entry", "--settings", self.write_settings()]
        self.process = subprocess.Popen(command, stdout=self.log, stderr=self.log, preexec_fn=prepare)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait(10)

    def connect(self, listener="callers", timeout=10):
        return http.client.HTTPConnection(self.host, self.world.ports[listener], timeout=timeout)

    def connect_raw(self, listener="callers", timeout=10):
        """A socket, for requests that come in pieces."""
        return socket.create_connection((self.host, self.world.ports[listener]), timeout)

    def ask(self, target, method="GET", body=None, request_id="r", deadline=2000, listener="callers", more=()):
        """Sends one request, with more headers. Returns status, headers and body."""
        connection = self.connect(listener)
        headers = dict(more) | {"Host": "search.example", "X-Sassafrasvane-Request-Id": request_id}
        headers["X-Sassafrasvane-Deadline-Ms"] = str(deadline)
        try:
            connection.request(method, target, body=body, headers=headers)
            answer = connection.getresponse()
            return answer.status, answer.headers, answer.read()
        finally:
            connection.close()

    def memory(self, field="VmRSS"):
        """The memory of the process, in MB."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return next(int(line.split()[1]) for line in status.splitlines() if line.startswith(field)) / 1024

    def peak_memory(self):
        return self.memory("VmHWM")

    def metric(self, name):
        """The value of a series without labels."""
        lines = self.ask("/metrics", listener="metrics")[2].decode().splitlines()
        return next(float(line.split()[1]) for line in lines if line.startswith(f"sassafrasvane_{name} "))

    def is_ready(self):
        try:
            return self.ask("/-/ready", listener="readiness")[0] == 200
        except OSError:
            return False

    def reads_store(self):
        """True if the process follows the store itself, and not other processes."""
        return self.last_line("source_changed").get("source") == "store"

    def version(self):
        """The version of the configuration in force; None without one."""
        return self.last_line("configuration_in_force").get("version")

    def last_line(self, event):
        """The last line about the event; empty if there is none yet, as a process may be ready before its log is written."""
        return next(iter(reversed(self.lines(event))), {})

    def lines(self, event):
        self.log.flush()
        text = (self.world.directory / f"{self.name}.log").read_text()
        # The process may be writing the last line.
        whole = text[: text.rfind("\n") + 1]
        return [line for line in map(json.loads, whole.splitlines()) if line["event"] == event]


class World:
    """A store, searchers and entry processes."""

    entry_type = Entry

    def __init__(self, build, entries=1, shards=4, replicas=2, memory_mb=260, more_settings=()):
        self.build = build
        self.memory_mb = memory_mb
        self.more_settings = more_settings
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
        self.entries = [self.entry_type(self, index) for index in range(entries)]
        try:
            self.start()
        except BaseException:
            self.close()
            raise

    def start(self):
        """Starts all processes and waits until they are ready."""
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

    def configure(self, version, shards, desk="desk", extra=(), more=()):
        """Publishes a version of the configuration, with extra routes and with more members."""
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
            for name in [*names, "desk", "desk2"]
        ]
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        configuration = {"version": version, "routes": [*routes, *extra], "services": services, "limits": limits}
        self.store.put("op/config", configuration | dict(more))

    def wait(self, is_done, seconds, what):
        end = time.monotonic() + seconds
        while not is_done():
            if time.monotonic() > end:
                raise AssertionError(what)
            time.sleep(0.02)

    def why(self, request_id):
        """What the command line says of a request from the logs of all processes."""
        logs = [f"--log={self.directory}/{entry.name}.log" for entry in self.entries]
        program = self.build / "programs" / "sassafrasvanectl" / "sassafrasvanectl"
        # Log lines are written some time after the event.
        time.sleep(0.2)
        return subprocess.run([program, "why", request_id, *logs], capture_output=True, text=True, check=False).stdout

    def ran(self, request_id):
        return [name for name, searcher in self.searchers.items() for run in searcher.ran if run.request_id == request_id]

    def close(self):
        for entry in self.entries:
            entry.stop()
            entry.store_link.stop()
            entry.log.close()
        self.loop.stop()
