# Settings of `umbertray demo`: three volumes on two plans. Times are in seconds, sizes in bytes.
gateway(listen = ["127.0.0.1:0"], list = "127.0.0.1:1", extent = 256 * KiB, unit = 16 * KiB, most_units = 8)

op_type("lookup", target_latency = 100 * ms, op_timeout = 1.0, utility = 3)
op_type("update", target_latency = 200 * ms, op_timeout = 2.0, utility = 2)
op_type("bulk", target_latency = 800 * ms, op_timeout = 4.0, utility = 1)

request("read", up_to = 64 * KiB, op_type = "lookup")
request("status", op_type = "lookup")
request(["write", "zero"], up_to = 64 * KiB, op_type = "update")
request(["flush", "trim"], op_type = "update")
request(["read", "write", "zero"], op_type = "bulk")

plan("basic", weight = 1, rate = 300)
plan("priority", weight = 4, rate = 600, reserve = 200)

for name in ["office-1", "office-2"]:
    volume(name, size = 64 * MiB, plan = "basic", gateways = 3)
volume("central", size = 256 * MiB, plan = "priority", gateways = 3)

rules(cold_from = 0.25, cold_time = 4, cold_units = 40, fall_multiple = 3, fall_time = 1,
      further_free = 5, further_share = 0.2, further_span = 10)
bounds(sessions = 4096, bytes = 128 * MiB, bytes_a_session = 8 * MiB, request_bytes = 4 * MiB)
