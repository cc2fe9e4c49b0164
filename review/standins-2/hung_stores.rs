//! A client whose requests reach the session's byte bound waits until there is room. Its connection must not be
//! closed for that, and what the gateway has taken has to be answered.

mod common;
mod directory;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::*;
use directory::*;

const EXTENT: u32 = 256 * 1024;
/// The first write: the volume's first extents, which lie at the first store.
const FIRST_WRITE: u32 = 14;
/// The second write: one extent, at the second store.
const SECOND_WRITE: u32 = 100;
/// The third write: two extents, at the third store, which works all the time.
const THIRD_WRITE: u32 = 120;
/// How long the stores stand still: a little longer than the op timeout of the writes.
const STAND_STILL_MS: u64 = 4500;
/// The op timeout of the writes, and what is allowed beyond it for a busy machine.
const OP_TIMEOUT: Duration = Duration::from_secs(4);
const SLACK: Duration = Duration::from_millis(250);

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

/// Places the extents, as another gateway would have.
fn place_extents(list: SocketAddr) {
    let first = (0..FIRST_WRITE).map(|extent| (extent, 0));
    let others = [(SECOND_WRITE, 1), (THIRD_WRITE, 2), (THIRD_WRITE + 1, 2)];
    let claims = first.chain(others).map(|(extent, shard)| (u64::from(extent), shard));
    let placed = Directory::connect(list)
        .and_then(|mut directory| directory.claim_all(volume_number("central"), claims));
    placed.unwrap_or_else(|error| not_run(&format!("claims: {error}")));
}

fn main() {
    begin();
    let stores: Vec<Process> = (0..4u32)
        .map(|shard| {
            let id = (shard + 1).to_string();
            start(&format!("store {id}"), &["fake", "store", "--id", &id, "--shard", &shard.to_string()], &[])
        })
        .collect();
    let mut arguments = vec!["fake".to_string(), "list".to_string()];
    for store in &stores {
        arguments.extend(["--store".to_string(), store.address().to_string()]);
    }
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let list = start("list", &arguments, &[]);
    place_extents(list.address());
    let file = write_file("gateway.star", &settings(&list.address().to_string()));
    let gateway = start("gateway", &["serve", "--config", &file.display().to_string()], &[]);
    sleep_ms(1500);
    let mut client = Nbd::open("client", gateway.address(), "central");
    // One write to each extent that is used below: the gateway then knows its place.
    for extent in (0..FIRST_WRITE).chain([SECOND_WRITE, THIRD_WRITE, THIRD_WRITE + 1]) {
        let offset = u64::from(extent * EXTENT);
        let cookie = client.send_noted("a first write", WRITE, offset, 4096, &[9; 4096]);
        match client.wait(cookie, Duration::from_secs(3)) {
            Some(Reply::Done { error: 0, .. }) => {}
            other => not_run(&format!("a first write was not acknowledged: {other:?}")),
        }
    }
    if with_trouble() {
        note("two of the four stores stand still");
        let stopped: Vec<u32> = stores[..2].iter().map(|store| store.pid).collect();
        stopped.iter().for_each(|pid| signal(*pid, "STOP"));
        std::thread::spawn(move || {
            sleep_ms(STAND_STILL_MS);
            note("the two stores go on");
            stopped.iter().for_each(|pid| signal(*pid, "CONT"));
        });
    }
    // The first two writes leave 256 KiB of the session's 4 MiB, so the third has to wait for room. It goes to a
    // store that works.
    let mut sent = Vec::new();
    for (index, extent, extents, pause) in
        [(1, 0, FIRST_WRITE, 600), (2, SECOND_WRITE, 1, 100), (3, THIRD_WRITE, 2, 0)]
    {
        let began = Instant::now();
        let data = vec![index; (extents * EXTENT) as usize];
        let offset = u64::from(extent * EXTENT);
        let cookie =
            client.send_noted(&format!("write {index}"), WRITE, offset, extents * EXTENT, &data);
        sent.push((cookie, began));
        sleep_ms(pause);
    }
    let mut answered = Vec::new();
    let mut closed = None;
    let until = Instant::now() + Duration::from_secs(8);
    while answered.len() < 3 && closed.is_none() && Instant::now() < until {
        match client.replies.recv_timeout(Duration::from_millis(50)) {
            Ok(reply) => {
                note(&format!("client: {}", describe(&reply)));
                match reply {
                    Reply::Done { cookie, at, .. } => answered.push((cookie, at)),
                    Reply::Closed { reason, .. } => closed = Some(reason),
                }
            }
            Err(_) => continue,
        }
    }
    let mut broken = Vec::new();
    // Only the writes that the gateway had room for are judged: it has taken them.
    for (index, (cookie, began)) in sent.iter().take(2).enumerate() {
        match answered.iter().find(|(found, _)| found == cookie) {
            None => broken.push(format!(
                "write {} has no answer; the connection {}",
                index + 1,
                closed.as_deref().map_or("is open".into(), |why| format!("was closed by the gateway ({why})"))
            )),
            Some((_, at)) if at.duration_since(*began) > OP_TIMEOUT + SLACK => {
                note(&format!("write {} was answered late, which this case does not judge", index + 1));
            }
            Some(_) => {}
        }
    }
    sleep_ms(100);
    verdict(&broken)
}
