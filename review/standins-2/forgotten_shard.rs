//! A flush is acknowledged only by the word of every store concerned, also after the coordinator was restarted.

mod common;
mod directory;
mod list;

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use common::*;
use directory::*;
use list::*;

const EXTENT: u64 = 256 * 1024;
/// How long the store stays away; less than the 24 s that the operators have seen.
const STORE_AWAY: Duration = Duration::from_secs(20);

fn settings(list: SocketAddr, keeper: SocketAddr) -> String {
    // The settings of `umbertray demo` with one volume and a coordinator.
    format!(
        r#"
gateway(listen = ["127.0.0.1:0"], list = "{list}", keeper = "{keeper}", seed = 1, extent = 256 * KiB,
        unit = 16 * KiB, most_units = 8)
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
"#
    )
}

fn write(client: &mut Nbd, extent: u64, byte: u8) {
    let cookie = client.send_noted("a write", WRITE, extent * EXTENT, 4096, &[byte; 4096]);
    match client.wait(cookie, Duration::from_secs(4)) {
        Some(Reply::Done { error: 0, .. }) => {}
        other => not_run(&format!("a write was not acknowledged: {other:?}")),
    }
}

/// The error number of a flush's answer.
fn flush(client: &mut Nbd) -> u32 {
    let cookie = client.send_noted("a flush", FLUSH, 0, 0, &[]);
    match client.wait(cookie, Duration::from_secs(5)) {
        Some(Reply::Done { error, .. }) => error,
        other => not_run(&format!("a flush was not answered: {other:?}")),
    }
}

fn main() {
    begin();
    let stores: Vec<Process> = (0..2u32)
        .map(|shard| {
            let id = (shard + 1).to_string();
            start(&format!("store {id}"), &["fake", "store", "--id", &id, "--shard", &shard.to_string()], &[])
        })
        .collect();
    let entry = |shard: usize| Entry {
        store: shard as u64 + 1,
        address: stores[shard].address(),
        shard: shard as u32,
        state: READY,
        start: 1,
    };
    let list = List::start(vec![entry(0), entry(1)]);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let folder = path("keeper");
    let text = format!(
        "keeper(listen = \"{address}\", list = \"{}\", folder = \"{}\")\n",
        list.address,
        folder.display()
    );
    let file = write_file("keeper.star", &text).display().to_string();
    let coordinator = start("coordinator", &["coordinator", "--config", &file], &[]);
    // Another gateway has placed an extent at each store.
    let placed = Directory::connect(address)
        .and_then(|mut directory| directory.claim_all(volume_number("central"), [(0, 0), (1, 1)].into_iter()));
    placed.unwrap_or_else(|error| not_run(&format!("claims: {error}")));
    let gateway_file = write_file("gateway.star", &settings(list.address, address)).display().to_string();
    let gateway = start("gateway", &["serve", "--config", &gateway_file], &[]);
    sleep_ms(1500);
    let mut client = Nbd::open("client", gateway.address(), "central");
    write(&mut client, 0, 1);
    write(&mut client, 1, 2);
    if flush(&mut client) != 0 {
        not_run("the flush of a sound deployment was not acknowledged");
    }
    if with_trouble() {
        coordinator.signal("KILL");
        note("the coordinator is killed");
        sleep_ms(1000);
        start("coordinator again", &["coordinator", "--config", &file], &[]);
    }
    // It serves again; the client goes on with the extents that it has.
    for round in 0..10 {
        sleep_ms(300);
        write(&mut client, round % 2, 10 + round as u8);
    }
    let mut broken = Vec::new();
    if with_trouble() {
        stores[1].signal("KILL");
        list.set(2, |entry| entry.state = GONE);
        note("store 2, which has acknowledged writes since the last flush, dies; the list tells that it is gone");
    }
    let died = Instant::now();
    while died.elapsed() < STORE_AWAY {
        let error = flush(&mut client);
        let place = Directory::connect(address)
            .and_then(|mut directory| directory.look_up(volume_number("central"), 1));
        note(&format!("flush: error {error}; the coordinator says that extent 1 lies at {place:?}"));
        if with_trouble() && error == 0 {
            broken.push(format!(
                "a flush was acknowledged {:?} after the death of store 2, which never got it",
                died.elapsed()
            ));
        }
        if !with_trouble() && died.elapsed() > Duration::from_secs(4) {
            break;
        }
        sleep_ms(1000);
    }
    verdict(&broken)
}
