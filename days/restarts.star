# Gateways are killed repeatedly and keep their state across restarts; stores restart in between. Times in
# seconds, sizes in bytes.
gateway(listen = ["127.0.0.1:0"], list = "127.0.0.1:1", extent = 256 * KiB, unit = 16 * KiB, most_units = 4)

op_type("lookup", target_latency = 200 * ms, op_timeout = 1.0, utility = 3)
op_type("booking", target_latency = 300 * ms, op_timeout = 1.5, utility = 2, in_order = True)
op_type("report", target_latency = 800 * ms, op_timeout = 2.0, utility = 1)

request(["read", "status"], up_to = 32 * KiB, op_type = "lookup")
request(["write", "zero"], up_to = 32 * KiB, op_type = "booking")
request(["read", "status", "write", "zero", "trim", "flush"], op_type = "report")

plan("basic", weight = 1, rate = 200)
plan("limited", weight = 1, rate = 100, limit = 60, limit_burst = 60, limit_slack = 6)
plan("priority", weight = 4, rate = 400, reserve = 150)

volume("office", size = 16 * MiB, plan = "basic")
volume("logs", size = 16 * MiB, plan = "limited")
volume("central", size = 64 * MiB, plan = "priority")

rules(drain_grace = 0.5, cold_from = 0.25, cold_time = 2, cold_units = 30, fall_multiple = 2, fall_time = 0.5,
      order_pause = 0.2, further_free = 2, further_share = 0.01, further_span = 5, ask_within = 1)

day(length = 9, gateways = 3, stores = 6, unit_ms = 4, cores = 2, queue = 64, state = True)

clients("office", count = 12, rate = 15, depth = 2, blocks = 24)
clients("logs", count = 9, rate = 15, reads = 0.2, blocks = 16)
clients("central", count = 12, rate = 15, depth = 3, length = 64 * KiB, blocks = 48)

trouble("gateway_loop", at = 1.2, lasts = 6, size = 0.3)
trouble("crash", at = 3, lasts = 0.3, part = 1)
trouble("list_down", at = 5, lasts = 0.7)
trouble("gateway_crash", at = 6, part = 0.6)
trouble("preempt", at = 6, lasts = 0.4, part = 0.5)
