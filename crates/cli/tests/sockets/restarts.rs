//! Gateways in their own processes that are killed with saved state, or that cannot save any.

use std::path::Path;
use std::process::Stdio;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::Command;
use umbertray_fakes::client::Connection;
use umbertray_fakes::fleet::Fleet;
use umbertray_fault_tests::process::Gateway;
use umbertray_routing::settings::Limit;
use umbertray_snapshot::Disk;
use umbertray_snapshot::folder::files;

use crate::common::{
    assert_mostly_acked, block_contents, empty_folder, expect_acked, is_throttled, program_path,
    retry_throttled, run_fault_scenario, settings_document, start_fleet, within,
};

/// The settings of a gateway that saves its state in `folder`; `limit` is a limit and its burst.
fn settings_script(fleet: &Fleet, folder: &Path, limit: Option<(f64, f64)>) -> String {
    let mut document = settings_document("");
    if let Some((limit, burst)) = limit {
        let plan = &mut document.settings.plans[0];
        plan.limit = Some(Limit { rate: limit, burst, slack: 5.0 });
    }
    (document.endpoint_list, document.seed) = (fleet.list.address, 7);
    document.settings.gateways = 1;
    document.settings.volumes.iter_mut().for_each(|volume| volume.gateways = 1);
    document.state = Some(folder.join("state").display().to_string());
    document.as_script()
}

/// Writes one unit after another until this many writes were throttled; returns how many were acknowledged.
async fn write_until_throttled(gateway: &Gateway, volume: &str, throttled_limit: u32) -> u32 {
    let connection = Connection::open(gateway.address, volume, true).await.expect("a session opens");
    let (mut acked, mut throttled_count) = (0, 0);
    while throttled_count < throttled_limit {
        if is_throttled(&within(5, "a reply", connection.write(0, block_contents(1, 0, 1))).await) {
            throttled_count += 1;
        } else {
            acked += 1;
        }
    }
    acked
}

/// Writes until a saved snapshot reserves this many tokens of the volume's limit.
async fn wait_until_reserved(gateway: &Gateway, folder: &Path, tokens: f64) {
    let connection = Connection::open(gateway.address, "vol", true).await.expect("a session opens");
    let reserved = || {
        let found = files(&Disk::read_only(&folder.join("state"))).ok()?;
        let newest = found.into_iter().filter_map(|(_, generation, read)| Some((generation, read.ok()?)));
        let read = newest.max_by_key(|(generation, _)| *generation)?.1;
        read.snapshot.state.volumes.first().map(|volume| volume.reserved_tokens)
    };
    let waiting = async {
        while reserved().is_none_or(|reserved| reserved < tokens) {
            _ = connection.write(0, block_contents(1, 0, 1)).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    within(20, "a saved snapshot with reserved tokens", waiting).await;
}

/// The tokens used over all incarnations never exceed the burst and the refill since then, at each limit.
#[tokio::test(flavor = "multi_thread")]
async fn limit_lowered_while_gateway_is_down_holds_from_first_op() {
    let (folder, fleet) = (empty_folder("lowered"), start_fleet(1).await);
    let (high, low) = (Some((100.0, 400.0)), Some((10.0, 20.0)));
    let start = async |script: String| {
        Gateway::start(program_path(), &folder, "g", &script).await.expect("it starts")
    };
    let mut gateway = start(settings_script(&fleet, &folder, high)).await;
    wait_until_reserved(&gateway, &folder, 100.0).await;
    gateway.kill().await.expect("it runs");
    // With the same settings, the reserved tokens may be used, but only once over two kills.
    let began = Instant::now();
    let mut gateway = start(settings_script(&fleet, &folder, high)).await;
    let mut drawn = write_until_throttled(&gateway, "vol", 1).await;
    gateway.kill().await.expect("it runs");
    let mut gateway = start(settings_script(&fleet, &folder, high)).await;
    drawn += write_until_throttled(&gateway, "vol", 1).await;
    assert!(f64::from(drawn) <= 400.0 + 5.0 + 100.0 * began.elapsed().as_secs_f64(), "{drawn} units");
    wait_until_reserved(&gateway, &folder, 10.0).await;
    gateway.kill().await.expect("it runs");
    let began = Instant::now();
    let gateway = start(settings_script(&fleet, &folder, low)).await;
    let drawn = write_until_throttled(&gateway, "vol", 5).await;
    assert!(f64::from(drawn) <= 5.0 + 10.0 * began.elapsed().as_secs_f64(), "{drawn} units");
    let log = std::fs::read_to_string(folder.join("g.log")).expect("a log");
    assert!(log.contains("OtherSettings"), "{log}");
}

/// Starts a gateway through a shell that may restrict it; returns the child, and a function that waits for a
/// line of its log.
fn start_through_shell(shell: &str, file: &Path) -> (tokio::process::Child, impl AsyncFnMut(&str) -> String) {
    let mut child = Command::new("sh")
        .args(["-c", shell])
        .arg(program_path())
        .args(["--log", "json", "serve", "--config"])
        .arg(file)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("a shell");
    let mut log = BufReader::new(child.stderr.take().expect("piped")).lines();
    let wait_for_line = async move |text: &str| {
        let reading = async {
            loop {
                let line = log.next_line().await.expect("readable").expect("it runs");
                if line.contains(text) {
                    return line;
                }
            }
        };
        within(20, "a line of the log", reading).await
    };
    (child, wait_for_line)
}

async fn connect_to(child: &mut tokio::process::Child) -> Connection {
    let mut out = BufReader::new(child.stdout.take().expect("piped")).lines();
    let line = within(20, "its address", out.next_line()).await.expect("readable").expect("a line");
    let output: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    let address = output["nbd"][0].as_str().and_then(|text| text.parse().ok()).expect("an address");
    Connection::open(address, "vol", true).await.expect("a session opens")
}

/// A disk on which no byte can be written (simulated by a limit on file size), and a state folder that cannot
/// be created.
#[tokio::test(flavor = "multi_thread")]
async fn state_on_full_disk_or_unusable_folder_costs_no_service() {
    let (folder, fleet) = (empty_folder("full"), start_fleet(1).await);
    let file = folder.join("g.star");
    std::fs::write(&file, settings_script(&fleet, &folder, None)).expect("the test folder is writable");
    let full = r#"trap "" XFSZ; ulimit -f 0; exec "$0" "$@""#;
    let (mut child, mut log) = start_through_shell(full, &file);
    let connection = connect_to(&mut child).await;
    for n in 0..3 {
        let line = log("state not saved").await;
        assert!(line.contains("error"), "{line}");
        expect_acked(&retry_throttled(async || connection.write(0, block_contents(n + 1, 0, 1)).await).await);
    }
    // The shutdown does not wait for the disk either.
    let id = nix::unistd::Pid::from_raw(child.id().expect("it runs") as i32);
    nix::sys::signal::kill(id, Signal::SIGTERM).expect("it runs");
    drop(connection);
    assert!(within(10, "its exit", child.wait()).await.expect("it ran").success());
    std::fs::remove_dir_all(folder.join("state")).expect("it was created");
    std::fs::write(folder.join("state"), "not a folder").expect("the test folder is writable");
    let (mut child, mut log) = start_through_shell(r#"exec "$0" "$@""#, &file);
    let connection = connect_to(&mut child).await;
    log("state not used").await;
    expect_acked(&retry_throttled(async || connection.write(0, block_contents(9, 0, 1)).await).await);
    assert_eq!(std::fs::read_to_string(folder.join("state")).expect("untouched"), "not a folder");
}

/// Stores restart, are replaced and are cold while gateways are down or are killed together.
#[tokio::test(flavor = "multi_thread")]
async fn gateways_down_while_all_stores_change_break_no_rule() {
    let text = include_str!("../../../../days/down.star");
    let (_, verdict) = run_fault_scenario("down.star", text, 1).await;
    let cold = verdict.findings.iter().find(|finding| finding.rule.starts_with('4'));
    assert!(cold.is_some_and(|finding| finding.cases_checked >= 12), "{cold:?}");
    assert_mostly_acked(&verdict);
}
