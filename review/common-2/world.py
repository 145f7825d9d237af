"""A small deployment on loopback addresses: the platform's store, searchers and several machines.

Each machine runs the process of the deploy file, with settings as the platform fills them in for the site
pelotonia-nbo. Store and searchers are the project's own stand-ins.
"""

import json
import os
import pathlib
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "standins" / "platform"))
sys.dont_write_bytecode = True

import standin  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "search.example"

# Bounds and limits of the site pelotonia-nbo.
MEMORY_MB = 260
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 4000,
    "drainMs": 3000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 56,
    "coldOverage": 1.5,
    "coldSlack": 5,
    "evacuateMs": 5000,
    "recoveryS": 12,
    "ttl_max_s": 5,
}
ZONES = ("nbo-a", "nbo-b", "nbo-c", "nbo-d")


class CannotRun(Exception):
    """The case could not be carried out."""


class Record:
    """record.txt of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def line(self, text, at=None):
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{(at or time.monotonic()) - self.start:9.3f}  {text}\n")
                self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


_given = set()


def free_port(host):
    """A port below those of outgoing connections that nobody uses at this address."""
    while True:
        port = random.choice(range(10_000, 20_000))
        if port in _given:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        _given.add(port)
        return port


class Machine:
    """A machine with one process of the deploy file's role."""

    def __init__(self, world, index):
        self.world = world
        self.index = index
        self.name = f"front-{index}"
        self.host = f"127.0.0.{20 + index}"
        self.zone = ZONES[index % len(ZONES)]
        self.settings_path = world.directory / f"{self.name}.json"
        self.log = open(world.directory / f"{self.name}.log", "ab")
        self.process = None
        self.seeds = []
        # The way to the store, which a case may put a proxy into.
        self.store_address = world.store.address

    def address(self, listener):
        return f"{self.host}:{self.world.ports[listener]}"

    def settings(self):
        """What platform/settings.json.template yields."""
        return {
            "vm": self.name,
            "failureDomain": self.zone,
            "region": "nairobi",
            "listeners": {name: self.address(name) for name in ("callers", "readiness", "directory", "control")},
            "peerPort": self.world.ports["peers"],
            "metricsPort": self.world.ports["metrics"],
            "seeds": self.seeds,
            "store": self.store_address,
            "firstStart": False,
            "processorShare": 0.25,
            "memoryMb": MEMORY_MB,
            "fileDescriptors": 4100,
            "bounds": {
                "stopGraceS": BOUNDS["graceS"],
                "retryRatio": BOUNDS["retryBudgetRatio"],
                "retryWindowS": BOUNDS["budgetWindowS"],
                "retrySlack": BOUNDS["retryBudgetSlack"],
                "coldFactor": BOUNDS["coldOverage"],
                "coldSlack": BOUNDS["coldSlack"],
                "directoryLifetimeS": BOUNDS["ttl_max_s"],
            },
            "quotaTolerance": BOUNDS,
        }

    def write_settings(self):
        whole = self.settings_path.with_suffix(".new")
        whole.write_text(json.dumps(self.settings()))
        whole.replace(self.settings_path)

    def start(self):
        self.write_settings()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["SASSAFRASVANE_SETTINGS"] = str(self.settings_path)
        self.process = subprocess.Popen(
            self.world.command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log
        )

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait(10)

    def signal(self, number):
        self.process.send_signal(number)

    def memory_mb(self):
        """Resident memory of the process; None if it does not run."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return None
        for line in status.splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return None

    def connect(self, listener="callers", timeout=5):
        return socket.create_connection((self.host, self.world.ports[listener]), timeout)

    def is_ready(self):
        try:
            with self.connect("readiness", 1) as connection:
                connection.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def ask(self, target, request_id, deadline_ms=2000, method="GET", body=b"", timeout=5):
        """One request on a connection of its own. Returns status, headers and body."""
        with self.connect(timeout=timeout) as connection:
            connection.sendall(request_bytes(target, request_id, deadline_ms, method, body))
            return read_answer(connection)


def request_bytes(target, request_id, deadline_ms=2000, method="GET", body=b"", fields=()):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"X-Sassafrasvane-Request-Id: {request_id}"]
    lines += [f"X-Sassafrasvane-Deadline-Ms: {deadline_ms}", *fields]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def read_answer(connection):
    """Reads one answer that has a length."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(65_536)
        if not piece:
            raise ConnectionError("closed without an answer")
        data += piece
    head, body = data.split(b"\r\n\r\n", 1)
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, value in (line.split(":", 1) for line in lines)}
    length = int(headers.get("content-length", "0"))
    while len(body) < length:
        piece = connection.recv(65_536)
        if not piece:
            raise ConnectionError("closed inside the answer")
        body += piece
    return int(first.split(" ")[1]), headers, body


class Searcher(standin.Searcher):
    """The project's stand-in, with a registration that may say that the searcher is cold."""

    slots_stated = 6

    def register(self, state="ready", cold_ms=0):
        self.sequence += 1
        self.state = state
        self.is_registered = True
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1"}
        entry |= {"slots": self.slots_stated, "state": state, "coldRemainingMs": cold_ms, "sequence": self.sequence, "born": self.born}
        self.store.put("servers/" + self.instance, entry)


class World:
    """Store, searchers and machines of one case."""

    def __init__(self, record, machines):
        self.record = record
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        self.command = role["run"].split(" ")
        if not (ROOT / self.command[0]).exists():
            raise CannotRun(f"{self.command[0]} is missing: run the build of the deploy file first")
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.loop = standin.Loop()
        self.ports = {name: free_port("127.0.0.20") for name in ("callers", "readiness", "directory", "control", "peers", "metrics")}
        self.store = standin.Store(self.loop, "127.0.0.1", free_port("127.0.0.1"))
        self.store.start()
        self.searchers = {}
        self.machines = [Machine(self, index) for index in range(machines)]
        for machine in self.machines:
            machine.seeds = [other.address("control") for other in self.machines[:3]]

    def add_searcher(self, instance, service, zone="nbo-a"):
        searcher = Searcher(self.loop, self.store, instance, service, "127.0.0.1", free_port("127.0.0.1"), zone)
        searcher.born = int(time.time() * 1000)
        self.searchers[instance] = searcher
        searcher.start()
        return searcher

    def configure(self, version, routes, services, cold_per_s=0.0):
        listed = [
            {"name": name, "healthPath": "/health", "maxConnections": 110, "coldStartS": 3.0, "coldPerS": cold_per_s}
            for name in services
        ]
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        self.store.put("op/config", {"version": version, "routes": routes, "services": listed, "limits": limits})
        self.record.line(f"operator: configuration {version} acknowledged")

    def start(self):
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            self.wait(machine.is_ready, 15, f"{machine.name} is not ready")
        self.record.line(f"{len(self.machines)} machines are ready")

    def wait(self, is_done, seconds, what):
        end = time.monotonic() + seconds
        while not is_done():
            if time.monotonic() > end:
                raise CannotRun(what)
            time.sleep(0.02)

    def close(self):
        for machine in self.machines:
            machine.kill()
            machine.log.close()
        self.loop.stop()
        shutil.rmtree(self.directory, ignore_errors=True)


def route(name, prefix, service, kind="idempotent", timeout_ms=2500):
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "routeType": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 250,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
    }


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def carry_out(folder, machines, case):
    """Runs case(world, record), which returns whether the rule held, and exits with the code of the issue."""
    record = Record(pathlib.Path(folder) / "record.txt")
    record.line("with the disruption" if has_trouble() else "without the disruption (TROUBLE=0)")
    world = None
    try:
        world = World(record, machines)
        code = HELD if case(world, record) else BROKEN
    except (CannotRun, OSError, TimeoutError) as error:
        record.line(f"could not run: {error!r}")
        code = NOT_RUN
    finally:
        if world is not None:
            world.close()
    record.line({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "no result"}[code])
    record.close()
    sys.exit(code)
