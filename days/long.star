# A longer fault scenario: half a minute, four gateways, eight stores. Each kind of fault occurs at least
# once, except gateway_down, change, move and those of the coordinator. Times in seconds, sizes in bytes.
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

day(length = 30, gateways = 4, stores = 8, unit_ms = 4, cores = 2, queue = 64, state = True)

clients("office", count = 16, rate = 12, depth = 2, blocks = 24)
clients("logs", count = 8, rate = 12, reads = 0.2, blocks = 16)
clients("central", count = 16, rate = 12, depth = 3, length = 64 * KiB, blocks = 48)

trouble("slow", at = 1, lasts = 3, part = 0.25, size = 5)
trouble("crash", at = 3, lasts = 2, part = 0.25)
trouble("sit", at = 5, lasts = 1, part = 0.4, size = 2.4)
trouble("fast_errors", at = 6, lasts = 2, part = 0.25, size = 0.7)
trouble("neighbour", at = 7, lasts = 3, part = 0.4, size = 0.6)
trouble("gateway_crash", at = 8, part = 0.5)
trouble("answer_lost", at = 9, lasts = 1.5, part = 0.4, size = 0.4)
trouble("reset", at = 10, lasts = 1.5, part = 0.4)
trouble("reconnect", at = 11, part = 0.6)
trouble("ageing", at = 11, lasts = 5, part = 0.2, size = 8)
trouble("deploy", at = 12, lasts = 6, part = 0.9)
trouble("report_late", at = 13, lasts = 3, size = 0.4)
trouble("gateway_stall", at = 14, lasts = 0.8, part = 0.5)
trouble("mute", at = 16, lasts = 1, part = 0.25)
trouble("full", at = 17.5, lasts = 0.5, part = 0.3)
trouble("crash", at = 18.5, lasts = 0.5, part = 0.5)
trouble("burst", at = 19, lasts = 2, size = 8)
trouble("list_down", at = 20, lasts = 2)
trouble("pauses", at = 21, lasts = 2, part = 0.5, size = 100)
trouble("surge", at = 22, lasts = 2, size = 8, volume = "logs")
trouble("preempt", at = 23, lasts = 2, part = 0.4)
trouble("hot_key", at = 25, lasts = 2, size = 4, volume = "office")
trouble("gateway_loop", at = 25, lasts = 3, size = 0.5)
trouble("scan", at = 27, lasts = 2, volume = "central")
