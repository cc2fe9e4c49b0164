//! Relays and a gateway as processes: what the program prints, and what it does on SIGTERM.

use std::path::Path;
use std::process::Stdio;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use umbertray_fakes::client::Connection;
use umbertray_fault_tests::process::Gateway;

use crate::changes::{apply_change, new_log, wait_until_applied};
use crate::common::{
    block_contents, empty_folder, expect_acked, program_path, read_marks, retry_throttled, start_fleet,
    within,
};

pub(crate) struct Relay {
    child: Child,
    pub(crate) address: String,
}

impl Relay {
    /// Sends SIGTERM; the process must end with success.
    async fn stop(mut self) {
        let id = Pid::from_raw(self.child.id().expect("it runs") as i32);
        kill(id, Signal::SIGTERM).expect("it runs");
        let status = within(10, "the end of a relay after SIGTERM", self.child.wait()).await;
        assert!(status.expect("it ran").success());
    }
}

pub(crate) async fn start_relay(folder: &Path, name: &str, script: &str) -> Relay {
    let file = folder.join(format!("{name}.star"));
    std::fs::write(&file, script).expect("the test folder is writable");
    let mut command = Command::new(program_path());
    command.arg("relay").arg("--config").arg(&file).stdout(Stdio::piped()).kill_on_drop(true);
    let mut child = command.spawn().expect("it runs");
    let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
    let line = within(20, "a relay's first line", lines.next_line()).await.expect("text");
    let line: Value = serde_json::from_str(&line.unwrap_or_default()).expect("JSON");
    assert_eq!(line["name"], name);
    Relay { child, address: line["relay"].as_str().expect("an address").into() }
}

/// Runs `umbertray relay` with these arguments, such as `--status`; returns the lines that it prints.
fn relay_status(folder: &Path, name: &str, arguments: &[&str]) -> Vec<Value> {
    let mut command = std::process::Command::new(program_path());
    command.arg("relay").arg("--config").arg(folder.join(format!("{name}.star"))).args(arguments);
    let output = command.output().expect("it runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let lines = String::from_utf8_lossy(&output.stdout).into_owned();
    lines.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect()
}

/// The script of a relay that reads the change log and has its folder in `folder`.
fn relay_script(folder: &Path, changes: &Path, name: &str) -> String {
    format!(
        "relay(listen = \"127.0.0.1:0\", name = {name:?}, zone = \"a\", changes = {changes:?}, \
         folder = {:?})",
        folder.join(name)
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn relays_with_one_killed_carry_changes_and_end_on_signal() {
    let ((folder, changes), fleet) = (new_log("relays"), start_fleet(2).await);
    let script_of = |name: &str| relay_script(&folder, &changes, name);
    let mut relays = Vec::new();
    for name in ["r1", "r2", "r3"] {
        relays.push(start_relay(&folder, name, &script_of(name)).await);
    }
    let upstreams: Vec<String> =
        relays.iter().zip(1..).map(|(relay, n)| format!("a/r{n}={}", relay.address)).collect();
    let script = format!(
        "gateway(listen = [\"127.0.0.1:0\"], list = {:?}, seed = 1, gateways = 2, extent = 256 * KiB, \
         state = {:?}, zone = \"a\", changes = {upstreams:?})",
        fleet.list.address.to_string(),
        folder.join("state-1"),
    );
    let mut gateway = Gateway::start(program_path(), &folder, "g1", &script).await.expect("it starts");
    let write_block = async |mark| {
        let connection = Connection::open(gateway.address, "vol", true).await.expect("a session");
        expect_acked(&retry_throttled(async || connection.write(0, block_contents(mark, 0, 1)).await).await);
    };
    write_block(1).await;
    apply_change(&["--set", "plan/free:weight=2"], &changes);
    wait_until_applied(&folder, 1, 2).await;
    // Relays report their sums with heartbeats, so the sum includes the gateway only after a while.
    let addresses: Vec<&str> = relays.iter().map(|relay| relay.address.as_str()).collect();
    let status_arguments = [&["--status"], &addresses[..]].concat();
    let included = async {
        while relay_status(&folder, "r1", &status_arguments).last().is_none_or(|sum| sum["in_force"] != 1) {}
    };
    within(20, "the gateway in the sum", included).await;
    let lines = relay_status(&folder, "r1", &status_arguments);
    let [one, _, _, sum] = &lines[..] else { panic!("{lines:?}") };
    assert_eq!((&one["relay"], &one["version"]), (&"r1".into(), &2.into()));
    assert_eq!(
        (&sum["version"], &sum["of"], &sum["behind"]),
        (&2.into(), &1.into(), &Value::Array(Vec::new()))
    );
    let later = relay_status(&folder, "r1", &[&["--in-force", "3"], &status_arguments[..]].concat());
    assert_eq!(later.last().map(|sum| (&sum["in_force"], &sum["of"])), Some((&0.into(), &1.into())));
    // Whichever relay the gateway follows is killed at some time; the other relays suffice.
    for killed in 0..2_u64 {
        let address = relays[killed as usize].address.clone();
        relays[killed as usize].child.kill().await.expect("it runs");
        apply_change(&["--set", &format!("plan/free:weight={}", killed + 3)], &changes);
        wait_until_applied(&folder, 1, killed + 3).await;
        write_block(killed + 2).await;
        if killed == 0 {
            relays[0] = start_relay(&folder, "r1", &script_of("r1").replace("127.0.0.1:0", &address)).await;
        }
    }
    for relay in relays.into_iter().filter(|relay| relay.child.id().is_some()) {
        relay.stop().await;
    }
    // Without relays the gateway continues to serve, and restarts from its saved state.
    write_block(7).await;
    gateway.kill().await.expect("it runs");
    let gateway = Gateway::start(program_path(), &folder, "g1", &script).await.expect("it starts");
    let connection = Connection::open(gateway.address, "vol", true).await.expect("a session");
    let read = retry_throttled(async || connection.read(0, BLOCK_BYTES).await).await;
    assert_eq!(read_marks(&read, 0, 1), [Some(7)]);
}

const BLOCK_BYTES: u32 = umbertray_fault_tests::load::BLOCK_BYTES;

#[test]
fn relay_with_invalid_script_is_rejected_with_reason() {
    let folder = empty_folder("no-relay");
    let assert_rejected = |script: &str, reason: &str| {
        let file = folder.join("relay.star");
        std::fs::write(&file, script).expect("the test folder is writable");
        let mut command = std::process::Command::new(program_path());
        let ended = command.arg("relay").arg("--config").arg(&file).output().expect("it runs");
        let stderr = String::from_utf8_lossy(&ended.stderr);
        assert!(!ended.status.success() && stderr.contains(reason), "{script}: {stderr}");
    };
    assert_rejected("relay(listen = \"127.0.0.1:0\")", "changes is missing");
    assert_rejected("relay(listen = \"127.0.0.1:0\", changes = [\"r1=nowhere\"])", "is not an address");
    assert_rejected(
        "relay(listen = \"127.0.0.1:0\", changes = [\"a=127.0.0.1:1\", \"a=127.0.0.1:2\"])",
        "would vouch for itself",
    );
    assert_rejected(
        "relay(listen = \"127.0.0.1:0\", changes = [\"a=127.0.0.1:1\"], vouch = 2)",
        "vouch = 2 is out of range",
    );
    assert_rejected(
        "relay(listen = \"127.0.0.1:0\", name = \"me\", changes = [\"me=127.0.0.1:1\"])",
        "follows itself",
    );
    assert_rejected("keeper()", "does not belong in a relay's script");
}
