"""A fleet of real processes on loopback: stand-ins, daemons and callers, driven by the process tests."""

import json
import os
import signal
import subprocess
import tempfile
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# Longest wait for a condition; reaching it is a failure, being fast is not a success.
PATIENCE_S = 60


def wait_until(condition, what):
    """Waits until condition() is true."""
    end = time.monotonic() + PATIENCE_S
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise AssertionError(f"not within {PATIENCE_S} s: {what}")


def http(method, url, body=None):
    """The status and the JSON body of an answer."""
    request = urllib.request.Request(url, method=method, data=None if body is None else json.dumps(body).encode(),
                                     headers={"Content-Type": "application/json"})
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            return response.status, json.loads(response.read() or b"null")
    except urllib.error.HTTPError as error:
        text = error.read()
        return error.code, json.loads(text) if text else None


class Fleet:
    """One deployment with its processes; all are ended by close()."""

    def __init__(self, build, user, port, daemons):
        self.build, self.port, self.directory = build, port, tempfile.mkdtemp()
        self.count, self.daemons, self.others = daemons, {}, []
        subprocess.run([os.path.join(ROOT, "scripts/deployment.py"), user, self.directory, "--port", str(port), "--daemons", str(daemons)],
                       check=True)
        try:
            self.start()
        except BaseException:
            self.close()
            raise

    def start(self):
        """Starts all processes and waits until the daemons are ready."""
        port, daemons = self.port, self.count
        self.start_other("standins/platform_standin", "--listen", f"127.0.0.1:{port}")
        self.start_other("standins/backend_standin", "--searchers", self.path("searchers.json"))
        wait_until(lambda: http("GET", self.platform("/control/calls"))[0] == 200, "the platform stand-in answers")
        wait_until(lambda: http("GET", self.backend("/control/records"))[0] == 200, "the back end stand-in answers")
        for key in ("configuration", "shardmap", "vms"):
            self.publish(key, self.value(key))
        for i in range(daemons):
            self.start_daemon(i)
        for i in range(daemons):
            self.wait_ready(i)

    def path(self, name):
        return os.path.join(self.directory, name)

    def value(self, key):
        with open(self.path(key + ".json"), encoding="utf-8") as file:
            return json.load(file)

    def platform(self, path):
        return f"http://127.0.0.1:{self.port}{path}"

    def backend(self, path):
        return f"http://127.0.0.1:{self.port + 1}{path}"

    def callers(self, i, path=""):
        return f"http://127.0.0.1:{self.port + 10 + i}{path}"

    def start_other(self, program, *arguments):
        with open(self.path(os.path.basename(program) + ".log"), "wb") as log:
            self.others.append(subprocess.Popen([os.path.join(self.build, program), *arguments], stdout=log, stderr=log))

    def start_daemon(self, i):
        with open(self.path(f"daemon-{i}.log"), "ab") as log:
            self.daemons[i] = subprocess.Popen([os.path.join(self.build, "programs/sassafrasvaned/sassafrasvaned"), "--settings",
                                                self.path(f"daemon-{i}.json")], stdout=log, stderr=log)

    def wait_ready(self, i):
        wait_until(lambda: http("GET", self.callers(i, "/v1/ready"))[0] == 200, f"daemon {i} is ready")

    def signal(self, i, number):
        self.daemons[i].send_signal(number)

    def kill(self, i):
        self.signal(i, signal.SIGKILL)
        self.daemons[i].wait()

    def publish(self, key, value):
        """Publishes a value; returns its version."""
        status, answer = http("PUT", self.platform(f"/control/values/{key}"), value)
        assert status == 200, answer
        return answer["version"]

    def status(self, i):
        """What a daemon says of itself to operators."""
        run = subprocess.run([os.path.join(self.build, "programs/sassafrasvanectl/sassafrasvanectl"), "status", "--json", "--daemon",
                              f"127.0.0.1:{self.port + 50 + i}"], stdout=subprocess.PIPE, check=False)
        return json.loads(run.stdout or b"null")

    def records(self):
        """The records of every searcher by its number."""
        return {int(key): value for key, value in http("GET", self.backend("/control/records"))[1]["searchers"].items()}

    def searchers_in(self, domain):
        return [s["id"] for b in self.value("shardmap")["backEnds"] for s in b["searchers"] if s["failureDomain"] == domain]

    def start_load(self, seconds, *loads):
        """Starts callers; see finish_load()."""
        command = [os.path.join(self.build, "bench/callers/caller_load"), "--configuration", self.path("configuration.json"), "--shardmap",
                   self.path("shardmap.json"), "--seconds", str(seconds), "--records", f"127.0.0.1:{self.port + 1}", "--json"]
        for i in range(self.count):
            command += ["--entry", f"127.0.0.1:{self.port + 10 + i}"]
        for load in loads:
            command += ["--load", load]
        return subprocess.Popen(command, stdout=subprocess.PIPE)

    @staticmethod
    def finish_load(load):
        """The report of the callers; fails if an answer was wrong, doubled or falsely said not to have run."""
        output, _ = load.communicate()
        report = json.loads(output)
        wrong = {name: result["wrong"] for name, result in report.items() if result["wrong"]}
        assert not wrong and load.returncode == 0, (load.returncode, report)
        return report

    def close(self):
        for process in list(self.daemons.values()) + self.others:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
