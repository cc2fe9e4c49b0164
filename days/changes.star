# Plans, weights and limits change at the peak of a burst, and again while gateways are killed. Times in
# seconds, sizes in bytes.
gateway(listen = ["127.0.0.1:0"], list = "127.0.0.1:1", extent = 256 * KiB, unit = 16 * KiB, most_units = 4)

op_type("lookup", target_latency = 200 * ms, op_timeout = 1.0, utility = 3)
op_type("booking", target_latency = 300 * ms, op_timeout = 1.5, utility = 2, in_order = True)
op_type("report", target_latency = 800 * ms, op_timeout = 2.0, utility = 1)

request(["read", "status"], up_to = 32 * KiB, op_type = "lookup")
request(["write", "zero"], up_to = 32 * KiB, op_type = "booking")
request(["read", "status", "write", "zero", "trim", "flush"], op_type = "report")

plan("basic", weight = 1, rate = 200)
plan("limited", weight = 1, rate = 200, limit = 120, limit_burst = 120, limit_slack = 12)
plan("priority", weight = 4, rate = 400, reserve = 150)

volume("office", size = 16 * MiB, plan = "basic")
volume("logs", size = 16 * MiB, plan = "limited")
volume("central", size = 64 * MiB, plan = "priority")

rules(drain_grace = 0.5, cold_from = 0.25, cold_time = 2, cold_units = 30, fall_multiple = 2, fall_time = 0.5,
      order_pause = 0.2, further_free = 2, further_share = 0.01, further_span = 5, ask_within = 1)

day(length = 8, gateways = 3, stores = 4, unit_ms = 4, cores = 2, queue = 64, state = True, changes = True)

clients("office", count = 12, rate = 15, depth = 2, blocks = 24)
clients("logs", count = 9, rate = 25, depth = 2, reads = 0.3, blocks = 16)
clients("central", count = 12, rate = 15, depth = 3, length = 64 * KiB, blocks = 48)

trouble("burst", at = 1.5, lasts = 2.5, size = 4)
trouble("change", at = 2, edits = "plan/limited:limit=30 plan/limited:limit_burst=30 plan/limited:limit_slack=12")
trouble("change", at = 2.3, edits = "plan/basic:weight=3")
trouble("change", at = 2.6, edits = "volume/office:plan=priority")
trouble("gateway_crash", at = 3.5, part = 0.3)
trouble("change", at = 3.6, edits = "plan/priority:weight=2 rules:order_pause=0.2")
trouble("crash", at = 4.2, lasts = 0.3, part = 0.5)
trouble("change", at = 4.5, edits = "plan/limited:limit=120 plan/limited:limit_burst=120")
trouble("gateway_down", at = 5, lasts = 0.8, part = 0.3)
trouble("change", at = 5.3, edits = "plan/limited:limit=20 plan/limited:limit_burst=20")
trouble("surge", at = 6, lasts = 1, size = 4, volume = "logs")
