//! A request that bears the id of another client's open request has to be refused.

mod common;
mod platform;

use std::io::Write;
use std::time::Duration;

use common::*;
use platform::*;

const ROUNDS: u64 = 40;

fn main() {
    begin();
    let store = Store::start(Duration::from_millis(30));
    let list = discovery(vec![("s0".into(), store.address, 0)]);
    let file = write_file("gateway.json", &config(list));
    let gateway = start("gateway", &["node"], &[("ROUTER_CONFIG", &file.display().to_string())]);
    if !wait_until_ready(gateway.address()) {
        not_run("the gateway is not ready");
    }
    let mut usual = connect(gateway.address());
    let mut broken = Vec::new();
    for round in 0..ROUNDS {
        let id = fresh_id();
        // Its own connection each time: a refused client's connection is closed.
        let mut bad = connect(gateway.address());
        sleep_ms(20);
        let bytes = request("order", &id, round + 1, 3000, b"one order");
        let _ = usual.write_all(&bytes);
        let bad_id = if with_trouble() { id.clone() } else { fresh_id() };
        let _ = bad.write_all(&request("order", &bad_id, round + 1, 3000, b"one order"));
        let answer = read_message(&mut usual).ok().flatten().map(|answer| (answer.status(), String::from_utf8_lossy(&answer.body).into_owned()));
        let bad_answer = read_message(&mut bad).ok().flatten().map(|answer| (answer.status(), String::from_utf8_lossy(&answer.body).into_owned()));
        let runs = store.runs.lock().expect("no thread panics with it").iter().filter(|run| run.id == id).count();
        note(&format!("round {round}: id {id}, the usual client got {answer:?}, the bad one {bad_answer:?}; the store ran it {runs} times"));
        if runs > 1 {
            broken.push(format!("round {round}: the once-only request {id} ran {runs} times"));
        }
    }
    verdict(&broken)
}
