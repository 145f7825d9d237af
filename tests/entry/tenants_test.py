"""Tests of API keys, tenants and their quotas on real entry processes. Usage: tenants_test.py BUILD_DIRECTORY"""

import json
import pathlib
import sys
import threading
import time
import unittest

from entryworld import World, free_port

SHARDS = 4
KEY = "key-of-a-7d1f"
OTHER_KEY = "key-of-b-93c2"
TENANT = "X-Sassafrasvane-Tenant"


def tenant(name, *keys, **more):
    return {"name": name, "apiKeys": keys} | more


def bearer(key=KEY):
    return {"Authorization": f"Bearer {key}"}


class KeyTest(unittest.TestCase):
    entries = 1

    def setUp(self):
        self.world = World(pathlib.Path(sys.argv[1]).resolve(), entries=self.entries, shards=SHARDS)
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

    def is_listening(self):
        try:
            self.entry.connect_raw().close()
        except OSError:
            return False
        return True


if __name__ == "__main__":
    unittest.main(argv=sys.argv[:1] + sys.argv[2:], verbosity=2, warnings="ignore")
