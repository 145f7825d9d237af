"""Tests of API keys, tenants and their quotas on real entry processes. Usage: tenants_test.py BUILD_DIRECTORY"""

import bisect
import pathlib
import sys
import threading
import time
import unittest

from entryworld import World
from load import Load

SHARDS = 4
# How far a quota may be exceeded, as in the settings.
WINDOW_S = 5
OVERAGE = 0.25
SLACK = 20
# Time after which a bucket, which is empty at the start, holds some tokens.
FILL_S = 3
KEY = "key-of-a-7d1f"
OTHER_KEY = "key-of-b-93c2"
TENANT = "X-Sassafrasvane-Tenant"


def tenant(name, *keys, **more):
    return {"name": name, "apiKeys": keys} | more


def bearer(key=KEY):
    return {"Authorization": f"Bearer {key}"}


class TenantWorldTest(unittest.TestCase):
    """A deployment whose configuration can name tenants."""

    entries = 1

    def setUp(self):
        build = pathlib.Path(sys.argv[1]).resolve()
        tolerance = {"quotaWindowS": WINDOW_S, "quotaOverage": OVERAGE, "quotaSlack": SLACK}
        self.world = World(build, entries=self.entries, shards=SHARDS, more_settings={"quotaTolerance": tolerance})
        self.addCleanup(self.world.close)
        self.entry = self.world.entries[0]
        self.version = 1

    def configure(self, *tenants):
        """Publishes a configuration with tenants and a public route, and waits until it is in force."""
        self.version += 1
        limits = {"timeoutMs": 2000, "targetLatencyMs": 400, "priority": 1, "maxAttempts": 2}
        public = {"name": "open", "host": "search.example", "prefix": "/open/", "routeType": "idempotent", "service": "desk"}
        public |= limits | {"public": True}
        self.world.configure(self.version, SHARDS, extra=[public], more={"tenants": tenants})
        self.await_version()

    def await_version(self):
        for entry in self.world.entries:
            self.world.wait(lambda entry=entry: entry.version() == self.version, 5, f"{entry.name} has not the version")

    def status(self, target, headers=(), **more):
        return self.entry.ask(target, more=dict(headers), **more)[0]

    def ask_raw(self, target, *lines):
        """Sends a request with these lines as its headers, so that names may repeat. Returns the status."""
        head = [f"GET {target} HTTP/1.1", "Host: search.example", "X-Sassafrasvane-Request-Id: raw", *lines]
        with self.entry.connect_raw() as connection:
            connection.sendall(("\r\n".join(head) + "\r\n\r\n").encode())
            return int(connection.recv(64).split()[1])

    def heads(self, request_id):
        """The headers of a request at all searchers that it came to."""
        searchers = self.world.searchers.values()
        return [head for searcher in searchers for name, head in searcher.heads if name == request_id]

    def tenants_seen(self, request_id):
        """The names of tenants that came with a request's calls."""
        split = [line.split(":", 1) for head in self.heads(request_id) for line in head]
        return [value.strip() for name, value in split if name.lower() == TENANT.lower()]

    def outputs(self):
        """What the process tells of itself."""
        time.sleep(0.3)
        log = (self.world.directory / f"{self.entry.name}.log").read_text()
        return log + self.entry.ask("/metrics", listener="metrics")[2].decode()

    def is_listening(self):
        try:
            self.entry.connect_raw().close()
        except OSError:
            return False
        return True


class KeyTest(TenantWorldTest):
    def test_key_reaches_no_searcher_and_no_output(self):
        self.configure(tenant("a", KEY))
        forged = {TENANT.lower(): "forged", TENANT.upper(): "forged", "Connection": TENANT}
        self.world.searchers["i-desk-0"].mode = "error"
        self.world.searchers["i-0-0"].mode = "error"
        self.world.searchers["i-1-0"].mode = "shed"
        self.world.searchers["i-2-0"].delay = 0.3
        for number in range(12):
            for kind in ("fetch", "board", "book", "open"):
                self.entry.ask(f"/{kind}/{number}", request_id=f"{kind}-{number}", more=bearer() | forged)
        every = [(name, head) for searcher in self.world.searchers.values() for name, head in searcher.heads]
        # Some were retried or hedged.
        self.assertGreater(self.repeats(), 0)
        for name, head in every:
            self.assertNotIn(KEY, "\n".join(head))
            self.assertNotIn("authorization", [line.split(":")[0].lower() for line in head])
            self.assertEqual([line for line in head if "tenant" in line.lower()], [f"{TENANT}: a"], name)
        self.assertNotIn(KEY, self.outputs())
        self.assertNotIn(KEY, self.world.why("fetch-1"))

    def repeats(self):
        time.sleep(0.2)
        return len(self.entry.lines("call_repeated"))

    def test_requests_without_a_valid_key_are_refused(self):
        self.configure(tenant("a", KEY))
        self.assertEqual(self.status("/fetch/1", bearer(), request_id="good"), 200)
        self.assertEqual(self.tenants_seen("good"), ["a"])
        self.assertEqual(self.status("/fetch/1", bearer() | {"Authorization": f"bearer  {KEY} "}), 200)
        status, headers, _ = self.entry.ask("/fetch/1", request_id="none")
        self.assertEqual((status, headers["WWW-Authenticate"]), (401, "Bearer"))
        for route in ("fetch", "open"):
            for value in ("Bearer other-6612", f"Basic {KEY}", KEY, "Bearer", "Bearer ", f"Bearer {KEY}, Bearer {KEY}"):
                self.assertEqual(self.status(f"/{route}/1", {"Authorization": value}, request_id="bad"), 401, value)
            line = f"Authorization: Bearer {KEY}"
            self.assertEqual(self.ask_raw(f"/{route}/1", line, line.lower()), 401)
        # A key behind the body is a second one, too.
        body = ["Transfer-Encoding: chunked", "", "1", "x", "0", f"Authorization: Bearer {KEY}"]
        self.assertEqual(self.ask_raw("/fetch/1", f"Authorization: Bearer {KEY}", *body), 401)
        for request_id in ("none", "bad", "raw"):
            self.assertEqual(self.heads(request_id), [])
        # The route comes before the key, and the key before the request's id.
        self.assertEqual(self.status("/nowhere/"), 404)
        self.assertEqual(self.status("/fetch/1", request_id=""), 401)
        self.assertEqual(self.status("/fetch/1", bearer(), request_id=""), 400)
        text = self.outputs()
        self.assertIn('sassafrasvane_requests_refused_total{reason="missing_key"} 2', text)
        self.assertIn('sassafrasvane_requests_refused_total{reason="unknown_key"} 4', text)
        self.assertIn('sassafrasvane_tenant_requests_total{tenant="a",end="refused"} 1', text)
        self.assertNotIn("other-6612", text)
        self.assertIn("no tenant holds the request's API key", self.world.why("bad"))

    def test_public_route_needs_no_key(self):
        self.configure(tenant("a", KEY))
        self.assertEqual(self.status("/open/1", {TENANT: "forged"}, request_id="open"), 200)
        self.assertEqual((len(self.heads("open")), self.tenants_seen("open")), (1, []))
        self.assertEqual(self.status("/open/1", bearer(), request_id="known"), 200)
        self.assertEqual(self.tenants_seen("known"), ["a"])

    def test_key_that_moves_or_is_removed_counts_from_the_version_on(self):
        self.configure(tenant("a", KEY), tenant("b", OTHER_KEY))
        slow = self.world.searchers["i-desk-0"], self.world.searchers["i-desk-1"]
        for searcher in slow:
            searcher.delay = 1.5
        ends = []
        begun = threading.Thread(target=lambda: ends.append(self.status("/book/1", bearer(), request_id="begun")))
        begun.start()
        self.world.wait(lambda: self.heads("begun"), 2, "the request has not arrived")
        for searcher in slow:
            searcher.delay = 0
        self.configure(tenant("b", OTHER_KEY, KEY))
        self.assertEqual(self.status("/fetch/1", bearer(), request_id="moved"), 200)
        self.assertEqual(self.tenants_seen("moved"), ["b"])
        self.configure(tenant("b", OTHER_KEY))
        self.assertEqual(self.status("/fetch/1", bearer()), 401)
        self.assertEqual(self.status("/fetch/1", bearer(OTHER_KEY)), 200)
        # A request ends with the version that it began with.
        begun.join()
        self.assertEqual((ends, self.tenants_seen("begun")), ([200], ["a"]))
        # The first tenant that lists a key holds it; the other one is told.
        self.configure(tenant("c", KEY), tenant("d", KEY))
        self.status("/fetch/1", bearer(), request_id="twice")
        self.assertEqual(self.tenants_seen("twice"), ["c"])
        self.world.wait(lambda: self.entry.lines("api_keys_repeated"), 2, "no line about the key")
        (line,) = self.entry.lines("api_keys_repeated")
        self.assertEqual((line["tenant"], line["other"], line["keys"]), ("c", "d", 1))
        self.configure()
        self.assertEqual(self.status("/fetch/1", bearer()), 401)

    def test_headers_pass_where_there_are_no_tenants(self):
        more = {"Authorization": "Basic abc", TENANT: "theirs"}
        self.assertEqual(self.status("/fetch/1", more, request_id="old"), 200)
        (head,) = self.heads("old")
        self.assertTrue({"Authorization: Basic abc", f"{TENANT}: theirs"} <= set(head), head)
        # A list that cannot be read does not count as none: the version is refused.
        self.configure(tenant("a", KEY))
        bad = {"tenants": [{"name": "a", "apiKeys": "key-in-a-text"}]}
        self.world.configure(self.version + 1, SHARDS, more=bad)
        self.world.wait(lambda: self.entry.lines("configuration_refused"), 5, "a bad configuration is not told")
        self.assertEqual(self.status("/fetch/1"), 401)
        self.assertNotIn("key-in-a-text", self.outputs())

    def test_process_without_a_configuration_answers_503(self):
        self.configure(tenant("a", KEY))
        self.entry.stop()
        self.world.store.delete("op/config")
        self.entry.start()
        self.world.wait(self.is_listening, 5, "the process does not listen")
        self.assertEqual(self.status("/fetch/1", bearer("unknown")), 503)
        self.assertEqual(self.status("/fetch/1"), 503)


class QuotaOfOneProcessTest(TenantWorldTest):
    def test_request_that_is_not_run_gives_its_token_back(self):
        self.configure(tenant("a", KEY, ratePerS=4, burst=4))
        time.sleep(FILL_S)
        for replica in range(2):
            self.world.searchers[f"i-desk-{replica}"].mode = "shed"
        # Many more than the tenant's bucket can hold.
        statuses = {self.status("/book/1", bearer(), request_id=f"shed-{number}") for number in range(100)}
        self.assertEqual(statuses, {503})

    def test_refused_request_is_explained(self):
        self.configure(tenant("a", KEY, ratePerS=1, burst=2), tenant("b", OTHER_KEY))
        time.sleep(FILL_S)
        ends = [self.entry.ask("/fetch/1", request_id=f"a-{number}", more=bearer()) for number in range(60)]
        refused = [headers for status, headers, _ in ends if status == 429]
        self.assertGreater(len(refused), 20)
        self.assertEqual({status for status, _, _ in ends}, {200, 429})
        self.assertEqual(ends[-1][0], 429)
        self.assertGreater(min(float(headers["Retry-After"]) for headers in refused), 0)
        # Nobody else is refused.
        self.assertEqual(self.status("/fetch/1", bearer(OTHER_KEY)), 200)
        self.assertEqual(self.status("/open/1"), 200)
        time.sleep(0.2)
        lines = [line for line in self.entry.lines("request_refused") if line["status"] == 429]
        self.assertEqual(len(lines), len(refused))
        told = {name: lines[-1][name] for name in ("tenant", "requests_per_second", "burst", "reason", "basis")}
        self.assertEqual(told, {"tenant": "a", "requests_per_second": 1, "burst": 2, "reason": "over quota", "basis": "shared"})
        self.assertTrue({"bucket_left", "age_ms", "retry_after_ms"} <= set(lines[-1]))
        self.assertIn("tenant a is over its quota of 1 requests per second", self.world.why("a-59"))
        text = self.outputs()
        self.assertIn(f'sassafrasvane_tenant_requests_total{{tenant="a",end="over_quota"}} {len(refused)}', text)
        self.assertIn(f'sassafrasvane_requests_refused_total{{reason="over_quota"}} {len(refused)}', text)
        self.assertIn('sassafrasvane_tenant_quota_level{tenant="a"}', text)
        # Whoever comes back when told is served.
        time.sleep(float(refused[-1]["Retry-After"]))
        self.assertEqual(self.status("/fetch/1", bearer()), 200)


class QuotaOfSeveralProcessesTest(TenantWorldTest):
    entries = 3
    RATE = 10
    BURST = 5

    def runs(self, path):
        """When searchers began to run requests below a path, in order."""
        runs = [run for searcher in self.world.searchers.values() for run in searcher.ran if run.target.startswith(path)]
        return sorted(run.at for run in runs)

    def test_quota_holds_over_all_processes(self):
        self.configure(tenant("a", KEY, ratePerS=self.RATE, burst=self.BURST), tenant("b", OTHER_KEY))
        with Load(self.world, "/fetch/", more=bearer()) as hot, Load(self.world, "/open/", more=bearer(OTHER_KEY)) as other:
            time.sleep(9)
        self.assertEqual({status for _, _, status, _ in other.ends}, {200})
        self.assertEqual({status for _, _, status, _ in hot.ends}, {200, 429})
        self.assertGreater(min(float(headers["Retry-After"]) for _, _, status, headers in hot.ends if status == 429), 0)
        times = self.runs("/fetch/")
        most = max(bisect.bisect_right(times, at + WINDOW_S) - index for index, at in enumerate(times))
        self.assertLessEqual(most, (self.RATE * WINDOW_S + self.BURST) * (1 + OVERAGE) + SLACK)
        # The quota can be used, too.
        late = [at for at in times if at > times[0] + WINDOW_S]
        self.assertGreater(len(late), 0.5 * self.RATE * (times[-1] - times[0] - WINDOW_S))
        # Callers within the quota that move between the processes are not refused.
        time.sleep(2)
        for number in range(40):
            entry = self.world.entries[number % 3]
            self.assertEqual(entry.ask("/fetch/1", request_id=f"calm-{number}", more=bearer())[0], 200, number)
            time.sleep(1.6 / self.RATE)


if __name__ == "__main__":
    unittest.main(argv=sys.argv[:1] + sys.argv[2:], verbosity=2, warnings="ignore")
