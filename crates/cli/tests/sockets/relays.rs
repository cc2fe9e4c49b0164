//! Relays and a gateway as processes: what the program prints, and what it does when it is told to stop.

use std::path::Path;
use std::process::Stdio;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use umbertray_fakes::client::Connection;
use umbertray_fault_tests::run::Gateway;

use crate::changes::{acts_on, apply, begun};
use crate::common::*;

struct Relay {
    child: Child,
    address: String,
}

async fn relay(folder: &Path, name: &str, script: &str) -> Relay {
    let file = folder.join(format!("{name}.star"));
    std::fs::write(&file, script).expect("room");
    let mut command = Command::new(program());
    command.arg("relay").arg("--config").arg(&file).stdout(Stdio::piped()).kill_on_drop(true);
    let mut child = command.spawn().expect("it runs");
    let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
    let line = within(20, "a relay's first line", lines.next_line()).await.expect("text");
    let line: Value = serde_json::from_str(&line.unwrap_or_default()).expect("JSON");
    assert_eq!(line["name"], name);
    Relay { child, address: line["relay"].as_str().expect("an address").into() }
}

/// The lines that a question about relays prints.
fn status(folder: &Path, name: &str, more: &[&str]) -> Vec<Value> {
    let mut command = std::process::Command::new(program());
    command.arg("relay").arg("--config").arg(folder.join(format!("{name}.star"))).args(more);
    let asked = command.output().expect("it runs");
    assert!(asked.status.success(), "{}", String::from_utf8_lossy(&asked.stderr));
    let lines = String::from_utf8_lossy(&asked.stdout).into_owned();
    lines.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn relays_carry_changes_to_gateways_one_dies_and_all_end_when_told() {
    let ((folder, changes), fleet) = (begun("relays"), fleet(2).await);
    let top = |name: &str| {
        format!(
            "relay(listen = \"127.0.0.1:0\", name = {name:?}, zone = \"a\", changes = {changes:?}, folder = {:?})",
            folder.join(name)
        )
    };
    let mut tops = Vec::new();
    for name in ["r1", "r2", "r3"] {
        tops.push(relay(&folder, name, &top(name)).await);
    }
    let upstreams: Vec<String> =
        tops.iter().zip(1..).map(|(top, n)| format!("a/r{n}={}", top.address)).collect();
    let script = format!(
        "gateway(listen = [\"127.0.0.1:0\"], list = {:?}, seed = 1, gateways = 2, extent = 256 * KiB, state = {:?}, zone = \"a\", changes = {upstreams:?})",
        fleet.list.address.to_string(),
        folder.join("state-1"),
    );
    let mut gateway = Gateway::start(program(), &folder, "g1", &script).await.expect("it starts");
    let block = async |mark| {
        let connection = Connection::open(gateway.address, "vol", true).await.expect("a session");
        acked(&patiently(async || connection.write(0, marked(mark, 0, 1)).await).await);
    };
    block(1).await;
    apply(&["--set", "plan/free:weight=2"], &changes);
    acts_on(&folder, 1, 2).await;
    // Sums come with signs of life.
    let addresses: Vec<&str> = tops.iter().map(|top| top.address.as_str()).collect();
    let asked = [&["--status"], &addresses[..]].concat();
    let summed =
        async { while status(&folder, "r1", &asked).last().is_none_or(|sum| sum["in_force"] != 1) {} };
    within(20, "the gateway in the sum", summed).await;
    let lines = status(&folder, "r1", &asked);
    let [one, _, _, sum] = &lines[..] else { panic!("{lines:?}") };
    assert_eq!((&one["relay"], &one["version"]), (&"r1".into(), &2.into()));
    assert_eq!(
        (&sum["version"], &sum["of"], &sum["behind"]),
        (&2.into(), &1.into(), &Value::Array(Vec::new()))
    );
    let later = status(&folder, "r1", &[&["--in-force", "3"], &asked[..]].concat());
    assert_eq!(later.last().map(|sum| (&sum["in_force"], &sum["of"])), Some((&0.into(), &1.into())));
    // Whichever it follows, it is killed at some time, and the others suffice.
    for gone in 0..2_u64 {
        let address = tops[gone as usize].address.clone();
        tops[gone as usize].child.kill().await.expect("it runs");
        apply(&["--set", &format!("plan/free:weight={}", gone + 3)], &changes);
        acts_on(&folder, 1, gone + 3).await;
        block(gone + 2).await;
        if gone == 0 {
            tops[0] = relay(&folder, "r1", &top("r1").replace("127.0.0.1:0", &address)).await;
        }
    }
    for Relay { mut child, .. } in tops.drain(..).filter(|relay| relay.child.id().is_some()) {
        let id = Pid::from_raw(child.id().expect("it runs") as i32);
        kill(id, Signal::SIGTERM).expect("it runs");
        let ended = within(10, "the end of a relay that is told to", child.wait()).await;
        assert!(ended.expect("it ran").success());
    }
    // All relays are dead: it serves on, and starts again from what it kept.
    block(7).await;
    gateway.kill().await.expect("it runs");
    let gateway = Gateway::start(program(), &folder, "g1", &script).await.expect("it starts");
    let connection = Connection::open(gateway.address, "vol", true).await.expect("a session");
    let read = patiently(async || connection.read(0, BLOCK_BYTES).await).await;
    assert_eq!(marks(&read, 0, 1), [Some(7)]);
}

const BLOCK_BYTES: u32 = umbertray_fault_tests::load::BLOCK;

#[test]
fn a_relay_that_cannot_be_is_refused_with_the_reason() {
    let folder = folder("no-relay");
    let refused = |script: &str, why: &str| {
        let file = folder.join("relay.star");
        std::fs::write(&file, script).expect("room");
        let mut command = std::process::Command::new(program());
        let ended = command.arg("relay").arg("--config").arg(&file).output().expect("it runs");
        let said = String::from_utf8_lossy(&ended.stderr);
        assert!(!ended.status.success() && said.contains(why), "{script}: {said}");
    };
    refused("relay(listen = \"127.0.0.1:0\")", "changes is missing");
    refused("relay(listen = \"127.0.0.1:0\", changes = [\"r1=nowhere\"])", "is not an address");
    refused(
        "relay(listen = \"127.0.0.1:0\", changes = [\"a=127.0.0.1:1\", \"a=127.0.0.1:2\"])",
        "would vouch for itself",
    );
    refused(
        "relay(listen = \"127.0.0.1:0\", changes = [\"a=127.0.0.1:1\"], vouch = 2)",
        "vouch = 2 is out of range",
    );
    refused(
        "relay(listen = \"127.0.0.1:0\", name = \"me\", changes = [\"me=127.0.0.1:1\"])",
        "follows itself",
    );
    refused("keeper()", "does not belong in a relay's script");
}
