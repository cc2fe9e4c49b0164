# All gateways are killed twice, and each time a limited volume requests its full burst right afterwards.
# Shows what the promises of a limit's tokens are worth. Also run with state = False. Times in seconds, sizes
# in bytes.
gateway(listen = ["127.0.0.1:0"], list = "127.0.0.1:1", extent = 256 * KiB, unit = 16 * KiB, most_units = 4)

op_type("lookup", target_latency = 200 * ms, op_timeout = 1.0, utility = 3)
op_type("booking", target_latency = 300 * ms, op_timeout = 1.5, utility = 2, in_order = True)
op_type("report", target_latency = 800 * ms, op_timeout = 2.0, utility = 1)

request(["read", "status"], up_to = 32 * KiB, op_type = "lookup")
request(["write", "zero"], up_to = 32 * KiB, op_type = "booking")
request(["read", "status", "write", "zero", "trim", "flush"], op_type = "report")

plan("basic", weight = 1, rate = 200)
plan("limited", weight = 1, rate = 200, limit = 60, limit_burst = 360, limit_slack = 6)

volume("office", size = 16 * MiB, plan = "basic")
volume("logs", size = 16 * MiB, plan = "limited")

rules(drain_grace = 0.5, cold_from = 0.25, cold_time = 2, cold_units = 30, fall_multiple = 2, fall_time = 0.5,
      order_pause = 0.2, further_free = 2, further_share = 0.01, further_span = 5, ask_within = 1)

day(length = 24, gateways = 3, stores = 4, unit_ms = 2, cores = 2, queue = 64, state = True)

clients("office", count = 6, rate = 10, depth = 2, blocks = 24)
clients("logs", count = 12, rate = 2, reads = 0.5, blocks = 16)

trouble("gateway_crash", at = 8, part = 1)
trouble("surge", at = 8.1, lasts = 1.5, size = 40, volume = "logs")
trouble("gateway_crash", at = 16, part = 1)
trouble("surge", at = 16.1, lasts = 1.5, size = 40, volume = "logs")
