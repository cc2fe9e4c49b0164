//! A client that discards its whole volume must not keep the gateway from answering the clients of others.

mod common;

use std::time::{Duration, Instant};

use common::*;

const MIB: u64 = 1024 * 1024;
/// Requests at once: half of `requests_a_session`, and what a Linux block device has in flight by itself.
const REQUESTS: u64 = 128;
/// Length of each: the largest whole number of MiB that a request can name.
const LENGTH: u64 = 4095 * MIB;
/// The op timeout of a lookup.
const OP_TIMEOUT: Duration = Duration::from_secs(1);
/// After this much more an answer counts as lost: "Up to half a second after its time it only earns nothing".
const GRACE: Duration = Duration::from_millis(500);
const READS: u32 = 60;

fn settings(list: &str) -> String {
    // The settings of `umbertray demo` with two volumes, one of them large.
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
plan("basic", weight = 1, rate = 300)
plan("priority", weight = 4, rate = 600, reserve = 200)
volume("archive", size = 1024 * 1024 * MiB, plan = "basic")
volume("central", size = 256 * MiB, plan = "priority")
rules(cold_from = 0.25, cold_time = 4, cold_units = 40, fall_multiple = 3, fall_time = 1,
      further_free = 5, further_share = 0.2, further_span = 10)
bounds(sessions = 4096, bytes = 128 * MiB, bytes_a_session = 8 * MiB, request_bytes = 4 * MiB)
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
    let mut reader = Nbd::open("the reader of \"central\"", gateway.address(), "central");
    let mut archive = Nbd::open("the owner of \"archive\"", gateway.address(), "archive");
    let write = reader.send_noted("a write", WRITE, 0, 4096, &[5; 4096]);
    match reader.wait(write, Duration::from_secs(3)) {
        Some(Reply::Done { error: 0, .. }) => {}
        other => not_run(&format!("the write was not acknowledged: {other:?}")),
    }
    if with_trouble() {
        for index in 0..REQUESTS {
            if let Err(error) = archive.send(TRIM, index * LENGTH, LENGTH as u32, &[]) {
                not_run(&format!("a discard could not be sent: {error}"));
            }
        }
        note(&format!("{REQUESTS} discards of {} MiB each are sent for \"archive\"", LENGTH / MIB));
    }
    let mut broken = Vec::new();
    for number in 0..READS {
        let began = Instant::now();
        let Ok(cookie) = reader.send(READ, 0, 4096, &[]) else {
            broken.push(format!("read {number}: the gateway closed the connection"));
            break;
        };
        let reply = loop {
            match reader.replies.recv_timeout(Duration::from_secs(40)) {
                Ok(Reply::Done { cookie: found, .. }) if found != cookie => {}
                other => break other.ok(),
            }
        };
        let took = began.elapsed();
        let answer = reply.as_ref().map_or("no answer".into(), describe);
        note(&format!("read {number} of \"central\": {answer}, after {took:?}"));
        if took > OP_TIMEOUT + GRACE || !matches!(reply, Some(Reply::Done { .. })) {
            broken.push(format!(
                "read {number} of \"central\" was answered after {took:?}; its op timeout is {OP_TIMEOUT:?}"
            ));
        }
        std::thread::sleep(Duration::from_millis(50).saturating_sub(took));
    }
    let answered = archive.replies.try_iter().map(|reply| describe(&reply)).collect::<Vec<_>>();
    note(&format!("answers to the owner of \"archive\": {}", answered.len()));
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.pid)).unwrap_or_default();
    status.lines().filter(|line| line.starts_with("VmHWM")).for_each(|line| note(&format!("gateway: {line}")));
    verdict(&broken)
}
