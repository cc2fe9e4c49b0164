//! A read that begins after an acknowledged write has to return it, also where the list's directory was slow to
//! answer an earlier read of the same extent.

mod common;

use std::time::Duration;

use common::*;

const EXTENT: u64 = 256 * 1024;
const LENGTH: u32 = 4096;
/// How much later the list answers: within the op timeout of a lookup (1.5 s).
const LATE: Duration = Duration::from_millis(1000);
const ROUNDS: u64 = 3;

fn settings(list: &str, seed: u32) -> String {
    format!(
        r#"
gateway(listen = ["127.0.0.1:0"], list = "{list}", seed = {seed}, gateways = 2, extent = 256 * KiB,
        unit = 16 * KiB, most_units = 8)
op_type("lookup", target_latency = 300 * ms, op_timeout = 1.5, utility = 3)
op_type("new-booking", target_latency = 400 * ms, op_timeout = 2.5, utility = 2)
op_type("report", target_latency = 2.0, op_timeout = 6.0, utility = 1)
request(["read", "status"], up_to = 64 * KiB, op_type = "lookup")
request(["write", "zero", "flush", "trim"], op_type = "new-booking")
request(["read", "status"], op_type = "report")
plan("plus", weight = 1, rate = 300)
volume("office", size = 64 * MiB, plan = "plus", gateways = 2)
rules(drain_grace = 1, cold_from = 0.16, cold_time = 14, cold_units = 8, fall_multiple = 2, fall_time = 1)
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
    // The same list for both gateways, with the same delay.
    let proxy = Proxy::start(list.address());
    let gateway = |seed: u32| {
        let file = write_file(&format!("gateway-{seed}.star"), &settings(&proxy.address.to_string(), seed));
        start(&format!("gateway {seed}"), &["serve", "--config", &file.display().to_string()], &[])
    };
    let (first, second) = (gateway(1), gateway(2));
    let mut writer = Nbd::open("writer at gateway 1", first.address(), "office");
    let mut reader = Nbd::open("reader at gateway 2", second.address(), "office");
    sleep_ms(1500);
    let mut broken = Vec::new();
    for round in 0..ROUNDS {
        let offset = (1 + round) * EXTENT;
        let data = vec![0xa0 + round as u8; LENGTH as usize];
        if with_trouble() {
            note(&format!("the list answers {LATE:?} late"));
            proxy.set_late(LATE);
        }
        let early = reader.send_noted("the early read", READ, offset, LENGTH, &[]);
        sleep_ms(150);
        note("the list answers at once again");
        proxy.set_late(Duration::ZERO);
        let write = writer.send_noted("the write", WRITE, offset, LENGTH, &data);
        match writer.wait(write, Duration::from_secs(4)) {
            Some(Reply::Done { error: 0, .. }) => note("the write is acknowledged"),
            other => not_run(&format!("the write was not acknowledged: {other:?}")),
        }
        let later = reader.send_noted("the read after the write", READ, offset, LENGTH, &[]);
        let _ = early;
        match reader.wait(later, Duration::from_secs(4)) {
            Some(Reply::Done { error: 0, data: found, .. }) if found != data => {
                broken.push(format!(
                    "round {round}: a read sent after the write was acknowledged returned {:#04x}, not {:#04x}",
                    found[0], data[0]
                ));
            }
            Some(Reply::Done { .. }) => {}
            other => not_run(&format!("the read was not answered: {other:?}")),
        }
        sleep_ms(200);
        let last = reader.send_noted("one more read", READ, offset, LENGTH, &[]);
        let _ = reader.wait(last, Duration::from_secs(4));
    }
    verdict(&broken)
}
