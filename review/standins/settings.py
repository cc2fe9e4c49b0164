"""Settings of small deployments, in the names of the simulator's first message (the page WIRE)."""


def op_type(name, target_latency, op_timeout, utility, late, in_turn=None):
    fields = {"name": name, "promiseS": target_latency, "deadlineS": op_timeout, "gain": utility,
              "effect": "free", "dedupScope": "all", "windowS": 5.0, "lateShare": late, "stream": False}
    return fields if in_turn is None else {**fields, "inTurn": in_turn}


def plan(name, rate, weight, reservation, worth):
    return {"name": name, "rate": rate, "weight": weight, "reservation": reservation, "limit": 0.0,
            "capDepth": 0.0, "capSlack": 0.0, "worthFactor": worth}


def settings(*, discovery, zones, kinds, gateways, index, shards, writes, op_types, plans, rules, limits,
             report, tells_others):
    """One gateway's settings; what the rules here don't depend on is as in the example of the page."""
    return {
        "clientHabits": {"marksRetry": False}, "contracts": plans, "discovery": discovery,
        "failureDomains": zones, "family": "stores",
        "familyInfo": {"coldUnits": 5.0, "countsOthers": tells_others, "maxUnits": 6, "meanUnits": 2.0,
                       "meterS": 0.0, "shareWorth": 1.0, "slotsTotal": shards, "spareWorth": 0.1,
                       "writes": writes},
        "groupSize": gateways, "index": index, "kinds": kinds,
        "limits": {"connIdleS": 15.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000, "dialTimeoutS": 0.25,
                   "maxAttempts": 3, "maxOpen": 23869, "maxRetryAfterS": 2.0, "mayCancel": True,
                   "peers": False, "probes": False, "retryAfter": True, "streamsPerConn": 1, **limits},
        "myZone": 0,
        "objectiveMix": {"whole": 0.6, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.3},
        "prices": {"waste": 0.08}, "profiles": op_types,
        "rules": {"graceToAnswerS": 0.058, **rules},
        "telemetry": {"fields": report, "via": "answers"}, "tickS": 0.002, "tier": 0, "tiers": ["stores"],
        "weightKind": "none"}


def lahore_runs(gateways, index, shards):
    """`lahore-runs`: the list answers only when asked."""
    return settings(
        discovery="subscribe", zones=["lhr-dc1"], kinds=["std-2c"], gateways=gateways, index=index,
        shards=shards, writes=[False, True, False],
        op_types=[op_type("fetch", 0.25, 1.5, 3.0, 0.15), op_type("submit", 0.4, 3.0, 2.0, 0.15),
                  op_type("export", 0.8, 2.5, 1.0, 0.2)],
        plans=[plan("community", 8.0, 1.0, 4.0, 0.8), plan("partner", 16.0, 2.0, 12.8, 0.9)],
        rules={"askWithinS": 10.0, "coldFrom": 0.16, "coldS": 16.0, "drainGraceS": 1.0, "fallS": 1.0,
               "tipMultiple": 2.5},
        limits={"mayDuplicate": False}, report=["util"], tells_others=True)


def kongsi_cyberjaya(gateways, index, shards):
    """`kongsi-cyberjaya`: lists are pushed; `trip-write` keeps its order for each key."""
    return settings(
        discovery="automatic", zones=["cyberjaya-dh1"], kinds=["box-fast", "box-std"], gateways=gateways,
        index=index, shards=shards, writes=[False, True, False],
        op_types=[op_type("balance-read", 0.25, 1.5, 2.0, 0.15, False),
                  op_type("trip-write", 0.3, 1.5, 2.0, 0.15, True),
                  op_type("bulk-export", 1.0, 3.0, 1.0, 0.2, False)],
        plans=[plan("basic", 8.0, 1.0, 0.0, 0.72), plan("standard", 12.0, 2.0, 0.0, 1.0),
               plan("priority", 32.0, 6.0, 0.0, 1.4)],
        rules={"coldFrom": 0.26, "coldS": 17.0, "drainGraceS": 2.0, "fallS": 1.0, "tipMultiple": 4.0,
               "orderPauseS": 0.0},
        limits={"mayDuplicate": True}, report=["latency_ms", "queue"], tells_others=False)
