#!/usr/bin/env python3
"""Writes the files of one deployment of the brief for a run on loopback.

Usage: deployment.py pelotonia|authority DIRECTORY [--daemons N] [--port BASE]

Writes configuration.json, shardmap.json, vms.json (published values), searchers.json (back end stand-in) and
daemon-N.json (process settings).
"""

import argparse
import json
import os

DOMAINS = ["a", "b", "c", "d"]
KEYS_PER_PART = 64
WARM_UP_MS = 1000

# name: searchers, slots, connections, connection cost in ms, parts, service time in ms
BACK_ENDS = {
    "pelotonia": {
        "rider-search": (30, 2, 25, 6, 15, 3),
        "club-admin": (45, 2, 25, 6, 22, 3),
        "booking-confirmation": (4, 6, 110, 1, 2, 2),
        "payment-reconciliation": (4, 6, 110, 1, 2, 2),
    },
    "authority": {
        "counter-rentals": (30, 2, 25, 6, 15, 3),
        "refund-ledger": (45, 2, 25, 6, 22, 3),
        "curator-catalogue": (4, 6, 50, 1, 2, 2),
        "group-bookings": (4, 6, 50, 1, 2, 2),
    },
}

# name, back end, latency in ms, completeness, extra load in percent, gives way, idempotent
CLASSES = {
    "pelotonia": [
        ("board-browse", "rider-search", 130, 0.99, 5, "latency", True),
        ("lane-lookup", "rider-search", 80, 0.95, 5, "coverage", True),
        ("club-records", "club-admin", 200, 0.99, 3, "latency", True),
        ("booking", "booking-confirmation", 500, 1, 0, "latency", False),
        ("payment", "payment-reconciliation", 800, 1, 0, "latency", False),
    ],
    "authority": [
        ("handset-lookup", "counter-rentals", 100, 0.99, 2, "latency", True),
        ("dock-browse", "counter-rentals", 150, 0.99, 2, "latency", True),
        ("ledger-search", "refund-ledger", 200, 0.99, 2, "latency", True),
        ("narration-record", "curator-catalogue", 100, 1, 2, "latency", True),
        ("refund", "refund-ledger", 800, 1, 0, "latency", False),
        ("group-booking", "group-bookings", 800, 1, 0, "latency", False),
    ],
}


def back_end(name, shape, first_id, first_port):
    """The published map of one back end and its stand-in searchers."""
    searchers, slots, connections, cost, parts, service = shape
    published = {"name": name, "searchers": [], "versions": [{"index": 1, "parts": []}]}
    standins = []
    for i in range(searchers):
        address = f"127.0.0.1:{first_port + i}"
        published["searchers"].append({"id": first_id + i, "address": address, "failureDomain": DOMAINS[i % len(DOMAINS)]})
        standins.append({"id": first_id + i, "address": address, "slots": slots, "connections": connections, "connectionCostMs": cost,
                         "coldAllowance": 1, "warmMs": WARM_UP_MS, "serviceMs": service, "indexes": [{"index": 1, "parts": []}]})
    for part in range(parts):
        # Replicas of a part stand in different failure domains.
        replicas = [(part * 2) % searchers, (part * 2 + 1) % searchers]
        begin, end = part * KEYS_PER_PART, (part + 1) * KEYS_PER_PART
        published["versions"][0]["parts"].append({"id": part, "begin": begin, "end": end, "searchers": [first_id + r for r in replicas]})
        for replica in replicas:
            standins[replica]["indexes"][0]["parts"].append({"id": part, "begin": begin, "end": end})
    return published, standins


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("user", choices=sorted(BACK_ENDS))
    parser.add_argument("directory")
    parser.add_argument("--daemons", type=int, default=3)
    parser.add_argument("--port", type=int, default=21000)
    arguments = parser.parse_args()
    os.makedirs(arguments.directory, exist_ok=True)

    def write(name, value):
        with open(os.path.join(arguments.directory, name), "w", encoding="utf-8") as file:
            json.dump(value, file, indent=1)

    published, standins = [], []
    for name, shape in BACK_ENDS[arguments.user].items():
        first = len(standins) + 1
        back_end_map, back_end_standins = back_end(name, shape, first, arguments.port + 100 + first)
        published.append(back_end_map)
        standins += back_end_standins
    platform, control = f"127.0.0.1:{arguments.port}", f"127.0.0.1:{arguments.port + 1}"
    write("shardmap.json", {"backEnds": published})
    write("searchers.json", {"control": control, "searchers": standins})
    write("configuration.json", {
        "classes": [{"name": n, "backEnd": b, "latencyMs": l, "percentile": 99, "completeness": c, "extraLoadPercent": x,
                     "givesWay": g, "idempotent": i} for n, b, l, c, x, g, i in CLASSES[arguments.user]],
        "backEnds": [{"name": n, "slots": s[1], "connections": s[2], "connectionCostMs": s[3], "coldAllowance": 1,
                      "warmUpMs": WARM_UP_MS}
                     for n, s in BACK_ENDS[arguments.user].items()],
        "domainsOut": []})
    vms = []
    for i in range(arguments.daemons):
        callers, peers, operators = (f"127.0.0.1:{arguments.port + offset + i}" for offset in (10, 30, 50))
        domain = DOMAINS[i % len(DOMAINS)]
        vms.append({"peer": peers, "callers": callers, "failureDomain": domain, "region": arguments.user})
        write(f"daemon-{i}.json", {"callers": callers, "peers": peers, "operators": operators, "platform": platform,
                                   "failureDomain": domain, "region": arguments.user,
                                   "peerKeys": ["demo key of the fleet"], "operatorKey": "demo key of operators"})
    write("vms.json", {"vms": vms})


if __name__ == "__main__":
    main()
