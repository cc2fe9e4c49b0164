//! A planned stop answers what a client has sent before it, also a request that waits for room.

mod common;

use std::time::{Duration, Instant};

use common::*;

const MIB: u32 = 1024 * 1024;

fn settings(list: &str) -> String {
    // The settings of `umbertray demo` with one volume.
    format!(
        r#"
gateway(listen = ["127.0.0.1:0"], list = "{list}", seed = 1, extent = 256 * KiB, unit = 16 * KiB, most_units = 8)
op_type("lookup", target_latency = 100 * ms, op_timeout = 1.0, utility = 3)
op_type("update", target_latency = 200 * ms, op_timeout = 2.0, utility = 2)
op_type("bulk", target_latency = 800 * ms, op_timeout = 4.0, utility = 1)
request("read", up_to = 64 * KiB, op_type = "lookup")
request("status", op_type = "lookup")
request(["write", "zero"], up_to = 64 * KiB, op_type = "update")
request(["flush", "trim"], op_type = "update")
request(["read", "write", "zero"], op_type = "bulk")
plan("priority", weight = 4, rate = 600, reserve = 200)
volume("central", size = 256 * MiB, plan = "priority")
rules(cold_from = 0.25, cold_time = 4, cold_units = 40, fall_multiple = 3, fall_time = 1,
      further_free = 5, further_share = 0.2, further_span = 10)
bounds(sessions = 4096, bytes = 128 * MiB, bytes_a_session = 4 * MiB, request_bytes = 4 * MiB)
"#
    )
}

fn main() {
    begin();
    let stores: Vec<Process> = (0..2u32)
        .map(|shard| {
            let id = (shard + 1).to_string();
            start(&format!("store {id}"), &["fake", "store", "--id", &id, "--shard", &shard.to_string()], &[])
        })
        .collect();
    let addresses: Vec<String> = stores.iter().map(|store| store.address().to_string()).collect();
    let list = start("list", &["fake", "list", "--store", &addresses[0], "--store", &addresses[1]], &[]);
    let file = write_file("gateway.star", &settings(&list.address().to_string()));
    let gateway = start("gateway", &["serve", "--config", &file.display().to_string()], &[]);
    sleep_ms(1500);
    let mut client = Nbd::open("client", gateway.address(), "central");
    let first = client.send_noted("a first write", WRITE, 64 * u64::from(MIB), 4096, &[1; 4096]);
    match client.wait(first, Duration::from_secs(3)) {
        Some(Reply::Done { error: 0, .. }) => {}
        other => not_run(&format!("the first write was not acknowledged: {other:?}")),
    }
    // A write fills the 4 MiB of the session; the read, 28 bytes on the wire, waits for room.
    let data = vec![7; 4 * MIB as usize];
    let mut sent = Vec::new();
    sent.push(("write 1", client.send_noted("write 1", WRITE, 0, 4 * MIB, &data)));
    sent.push(("the read", client.send_noted("the read", READ, 64 * u64::from(MIB), 4096, &[])));
    sleep_ms(30);
    if with_trouble() {
        gateway.signal("TERM");
        note("SIGTERM to the gateway");
    }
    let mut answered = Vec::new();
    let mut closed = None;
    let until = Instant::now() + Duration::from_secs(8);
    while answered.len() < sent.len() && closed.is_none() && Instant::now() < until {
        if let Ok(reply) = client.replies.recv_timeout(Duration::from_millis(50)) {
            note(&format!("client: {}", describe(&reply)));
            match reply {
                Reply::Done { cookie, .. } => answered.push(cookie),
                Reply::Closed { reason, .. } => closed = Some(reason),
            }
        }
    }
    let mut broken = Vec::new();
    for (what, cookie) in sent {
        if !answered.contains(&cookie) {
            let end = closed.as_deref().unwrap_or("the connection is open");
            broken.push(format!("{what} has no answer, not even ESHUTDOWN; the connection's end: {end}"));
        }
    }
    sleep_ms(200);
    note(&format!("the gateway has ended: {:?}", gateway.ended()));
    verdict(&broken)
}
