# Ranges move back and forth between shards under load, while the coordinator, stores and gateways are killed,
# stalled and restarted. Times in seconds, sizes in bytes.
gateway(listen = ["127.0.0.1:0"], list = "127.0.0.1:1", extent = 64 * KiB, unit = 16 * KiB, most_units = 4)

op_type("lookup", target_latency = 200 * ms, op_timeout = 1.0, utility = 3)
op_type("booking", target_latency = 300 * ms, op_timeout = 1.5, utility = 2, in_order = True)
op_type("report", target_latency = 800 * ms, op_timeout = 2.0, utility = 1)

request(["read", "status"], up_to = 32 * KiB, op_type = "lookup")
request(["write", "zero"], up_to = 32 * KiB, op_type = "booking")
request(["read", "status", "write", "zero", "trim", "flush"], op_type = "report")

plan("basic", weight = 1, rate = 300)

volume("office", size = 2 * MiB, plan = "basic")
volume("central", size = 4 * MiB, plan = "basic")

rules(drain_grace = 0.5, cold_from = 0.25, cold_time = 2, cold_units = 60, fall_multiple = 3, fall_time = 0.5,
      order_pause = 0.2, further_free = 5, further_share = 0.1, further_span = 5, ask_within = 1)

day(length = 7, gateways = 3, stores = 4, unit_ms = 2, cores = 2, queue = 64, keeper = True)

clients("office", count = 9, rate = 20, depth = 2, reads = 0.4, blocks = 64)
clients("central", count = 9, rate = 20, depth = 2, reads = 0.4, blocks = 96)

trouble("move", at = 0.8, volume = "office", size = 4)
trouble("move", at = 1.0, volume = "central", size = 8)
trouble("keeper_crash", at = 1.1, lasts = 0.2)
trouble("move", at = 1.6, volume = "office", size = 4)
trouble("reset", at = 1.7, lasts = 0.2, part = 0.5)
trouble("gateway_stall", at = 2.0, lasts = 0.8, part = 0.3)
trouble("move", at = 2.1, volume = "central", size = 8)
trouble("move", at = 2.3, volume = "office", size = 6)
trouble("crash", at = 2.5, lasts = 0.4, part = 0.2)
trouble("move", at = 3.0, volume = "central", size = 6)
trouble("keeper_stall", at = 3.05, lasts = 0.6)
trouble("gateway_crash", at = 3.8, part = 0.3)
trouble("move", at = 4.2, volume = "office", size = 8)
trouble("keeper_crash", at = 4.25, lasts = 0.1)
trouble("keeper_crash", at = 4.5, lasts = 0.1)
trouble("answer_lost", at = 4.6, lasts = 0.5, part = 0.5, size = 0.2)
trouble("move", at = 4.7, volume = "central", size = 4)
trouble("preempt", at = 5.2, lasts = 0.4, part = 0.2)
trouble("move", at = 5.4, volume = "office", size = 4)
trouble("move", at = 5.9, volume = "central", size = 8)
