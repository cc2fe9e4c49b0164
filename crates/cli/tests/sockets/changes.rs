//! Changes of plans, volumes and limits while ops are in flight. The gateways run in their own processes and
//! follow a change log.

use std::path::{Path, PathBuf};
use std::process::Output;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use umbertray_fakes::client::Connection;
use umbertray_fakes::fleet::Fleet;
use umbertray_fakes::model::Fault;
use umbertray_fakes::test_folder::TestFolder;
use umbertray_fault_tests::process::Gateway;
use umbertray_fault_tests::record::TestEvent;

use crate::common::{
    assert_mostly_acked, block_contents, empty_folder, expect_acked, is_throttled, program_path,
    retry_throttled, run_fault_scenario, start_fleet, within,
};

const SHARED: &str = r#"
gateway(listen = ["127.0.0.1:0"], list = "127.0.0.1:1")
op_type("get", target_latency = 0.5, op_timeout = 3.0, utility = 2)
op_type("put", target_latency = 0.3, op_timeout = 1.0, utility = 2)
request(["read", "status"], op_type = "get")
request(["write", "zero", "trim", "flush"], op_type = "put")
plan("limited", rate = 1000, limit = 400, limit_burst = 400)
plan("free", rate = 1000)
volume("vol", size = 16 * MiB, plan = "limited", gateways = 2)
volume("other", size = 16 * MiB, plan = "free", gateways = 2)
rules(drain_grace = 0.5, cold_from = 0.5, cold_time = 1, cold_units = 60, fall_multiple = 2, fall_time = 0.2,
      order_pause = 0.1, ask_within = 1)
"#;

fn run_config(arguments: &[&str], changes: &Path) -> Output {
    let mut command = std::process::Command::new(program_path());
    command.arg("config").args(arguments).arg("--changes").arg(changes);
    command.output().expect("it runs")
}

const AUTHOR: [&str; 4] = ["--actor", "ann", "--reason", "to see"];

/// Runs a `config` command that must succeed.
fn expect_success(arguments: &[&str], changes: &Path) {
    let done = run_config(arguments, changes);
    assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
}

pub(crate) fn apply_change(arguments: &[&str], changes: &Path) {
    expect_success(&[&["apply"], arguments, &AUTHOR].concat(), changes);
}

/// Creates a folder for one test, with a change log at version 1 in it.
pub(crate) fn new_log(name: &str) -> (TestFolder, PathBuf) {
    let folder = empty_folder(name);
    let (file, changes) = (folder.join("shared.star"), folder.join("changes"));
    std::fs::write(&file, SHARED).expect("the test folder is writable");
    let arguments = [&["import", file.to_str().expect("UTF-8")][..], &AUTHOR].concat();
    expect_success(&arguments, &changes);
    (folder, changes)
}

async fn start_follower(
    fleet: &Fleet,
    folder: &Path,
    changes: &Path,
    number: u64,
) -> std::io::Result<Gateway> {
    start_follower_with_environment(fleet, folder, changes, number, &[]).await
}

/// Starts a gateway that follows the log, with additional environment variables.
pub(crate) async fn start_follower_with_environment(
    fleet: &Fleet,
    folder: &Path,
    changes: &Path,
    number: u64,
    environment: &[(&str, String)],
) -> std::io::Result<Gateway> {
    let script = format!(
        "gateway(listen = [\"127.0.0.1:0\"], list = {:?}, seed = {number}, gateways = 2, extent = 256 * KiB, \
         state = {:?}, changes = {:?})",
        fleet.list.address.to_string(),
        folder.join(format!("state-{number}")),
        changes
    );
    Gateway::start_with_environment(program_path(), folder, &format!("g{number}"), &script, environment).await
}

/// Waits until a gateway's log reports that it has applied a version.
pub(crate) async fn wait_until_applied(folder: &Path, number: u64, version: u64) {
    let file = folder.join(format!("g{number}.log"));
    let has_applied = || {
        let text = std::fs::read_to_string(&file).unwrap_or_default();
        let versions = text.lines().filter_map(|line| {
            let line: serde_json::Value = serde_json::from_str(line).ok()?;
            line["fields"]["version"].as_u64().filter(|_| line["fields"]["message"] == "changes applied")
        });
        versions.max().is_some_and(|newest| newest >= version)
    };
    let waiting = async {
        while !has_applied() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    within(20, "the version to be applied", waiting).await;
}

/// Results of clients that write again as soon as they have a reply.
#[derive(Default)]
struct Load {
    acked: AtomicU32,
    throttled: AtomicU32,
    late: AtomicU32,
    unexpected_replies: AtomicU32,
    must_stop: AtomicBool,
}

async fn write_in_a_loop(load: Arc<Load>, address: std::net::SocketAddr, volume: &'static str, block: u64) {
    let Ok(connection) = Connection::open(address, volume, true).await else { return };
    while !load.must_stop.load(Ordering::Relaxed) {
        let sent_at = Instant::now();
        let ended = connection.write(block * 4096, block_contents(block + 1, block, 1)).await;
        let late = sent_at.elapsed() > Duration::from_secs(1) + Duration::from_millis(250);
        load.late.fetch_add(u32::from(late), Ordering::Relaxed);
        let count = match &ended {
            Some(reply) if reply.error.is_none() => &load.acked,
            ended if is_throttled(ended) => &load.throttled,
            // The volume was removed, and the session is closed.
            _ => break,
        };
        count.fetch_add(1, Ordering::Relaxed);
        if is_throttled(&ended) {
            // Clients that retry at once are the subject of another test.
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    load.unexpected_replies.fetch_add(connection.unmatched_replies().len() as u32, Ordering::Relaxed);
}

fn spawn_writers(
    load: &Arc<Load>,
    gateways: &[Gateway],
    volume: &'static str,
    each: u64,
) -> tokio::task::JoinSet<()> {
    let mut clients = tokio::task::JoinSet::new();
    for (n, gateway) in gateways.iter().enumerate() {
        for client in 0..each {
            clients.spawn(write_in_a_loop(load.clone(), gateway.address, volume, n as u64 * 64 + client));
        }
    }
    clients
}

/// Counts the writes that are acknowledged within a duration from now; returns the count and the seconds it
/// really took.
async fn acked_during(load: &Load, duration: Duration) -> (f64, f64) {
    let (before, began) = (load.acked.load(Ordering::Relaxed), Instant::now());
    tokio::time::sleep(duration).await;
    let acked = load.acked.load(Ordering::Relaxed) - before;
    (f64::from(acked), began.elapsed().as_secs_f64())
}

/// 1. At the peak of a burst a weight is set, a limit is lowered, a volume is moved to another plan, a volume
/// is added and one is removed.
#[tokio::test(flavor = "multi_thread")]
async fn changes_under_peak_load_drop_nothing_and_keep_limit() {
    let ((folder, changes), fleet) = (new_log("peak"), start_fleet(2).await);
    let gateways = [
        start_follower(&fleet, &folder, &changes, 1).await.expect("it starts"),
        start_follower(&fleet, &folder, &changes, 2).await.expect("it starts"),
    ];
    let (vol, other) = (Arc::new(Load::default()), Arc::new(Load::default()));
    let mut vol_writers = spawn_writers(&vol, &gateways, "vol", 8);
    let mut other_writers = spawn_writers(&other, &gateways, "other", 2);
    acked_during(&vol, Duration::from_millis(600)).await;
    let (before, seconds) = acked_during(&other, Duration::from_millis(500)).await;
    let rate_before = before / seconds;
    apply_change(
        &["--set", "plan/limited:limit=40", "--set", "plan/limited:limit_burst=40", "--allow", "cut"],
        &changes,
    );
    apply_change(&["--set", "plan/free:weight=4"], &changes);
    apply_change(&["--put", r#"plan/faster={"rate": 2000, "weight": 8}"#], &changes);
    apply_change(&["--set", "volume/other:plan=faster"], &changes);
    for number in [1, 2] {
        wait_until_applied(&folder, number, 5).await;
    }
    let (lowered, seconds) = acked_during(&vol, Duration::from_millis(800)).await;
    let in_flight = 16.0;
    assert!(
        lowered <= 40.0 * seconds + 40.0 + 4.0 + in_flight,
        "{lowered} in {seconds} s after the limit was lowered to 40"
    );
    let (after, seconds) = acked_during(&other, Duration::from_millis(500)).await;
    assert!(after / seconds > rate_before * 0.2, "{rate_before} a second before, {} after", after / seconds);
    apply_change(&["--set", "plan/limited:limit=400", "--set", "plan/limited:limit_burst=400"], &changes);
    wait_until_applied(&folder, 1, 6).await;
    wait_until_applied(&folder, 2, 6).await;
    let (raised, seconds) = acked_during(&vol, Duration::from_millis(500)).await;
    assert!(raised / seconds > 45.0, "{raised} in {seconds} s after it was raised again");
    apply_change(&["--put", r#"volume/new={"size": 16777216, "plan": "free", "gateways": 2}"#], &changes);
    apply_change(&["--remove", "volume/vol", "--allow", "removal"], &changes);
    wait_until_applied(&folder, 1, 8).await;
    wait_until_applied(&folder, 2, 8).await;
    // The gateways close the sessions of the removed volume; new sessions find no such export.
    within(5, "the end of the sessions on the removed volume", async {
        while vol_writers.join_next().await.is_some() {}
    })
    .await;
    assert!(Connection::open(gateways[0].address, "vol", true).await.is_err());
    let new = Connection::open(gateways[1].address, "new", true).await.expect("the new volume");
    expect_acked(&retry_throttled(async || new.write(0, block_contents(7, 0, 1)).await).await);
    other.must_stop.store(true, Ordering::Relaxed);
    within(5, "the end of the other clients", async { while other_writers.join_next().await.is_some() {} })
        .await;
    for load in [&vol, &other] {
        let late = (load.late.load(Ordering::Relaxed), load.unexpected_replies.load(Ordering::Relaxed));
        assert_eq!(late, (0, 0), "late replies, and unexpected replies");
    }
    let (rejected, served) = (other.throttled.load(Ordering::Relaxed), other.acked.load(Ordering::Relaxed));
    assert!(
        rejected * 20 <= served,
        "{rejected} rejected and {served} served, although no limit of this volume was lowered"
    );
}

/// One gateway is never notified of a lowered limit: the total is the sum of the shares that each gateway has
/// applied. A log that was restored to an older copy is rejected.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_without_news_keeps_its_share_and_rejects_older_log() {
    let ((folder, changes), fleet) = (new_log("never"), start_fleet(2).await);
    let copy = folder.join("copy");
    let copy_log = || {
        std::fs::create_dir_all(&copy).expect("the test folder is writable");
        for file in std::fs::read_dir(&changes).expect("it exists") {
            let file = file.expect("it exists");
            std::fs::copy(file.path(), copy.join(file.file_name())).expect("the test folder is writable");
        }
    };
    copy_log();
    let mut gateways = [
        start_follower(&fleet, &folder, &changes, 1).await.expect("it starts"),
        start_follower(&fleet, &folder, &copy, 2).await.expect("it starts"),
    ];
    apply_change(
        &["--set", "plan/limited:limit=40", "--set", "plan/limited:limit_burst=40", "--allow", "cut"],
        &changes,
    );
    wait_until_applied(&folder, 1, 2).await;
    let load = Arc::new(Load::default());
    let mut clients = spawn_writers(&load, &gateways, "vol", 8);
    let (acked, seconds) = acked_during(&load, Duration::from_secs(1)).await;
    // Half of 40 and half of 400 a second, half of each burst, the slack and the writes in flight.
    let max_acked = (20.0 + 200.0) * (seconds + 0.5) + 20.0 + 200.0 + 40.0;
    assert!(acked <= max_acked, "{acked} of {max_acked}");
    load.must_stop.store(true, Ordering::Relaxed);
    within(5, "the clients", async { while clients.join_next().await.is_some() {} }).await;
    // The first gateway restarts on a copy from before the change.
    gateways[0].kill().await.expect("it runs");
    let rejected = start_follower(&fleet, &folder, &copy, 1).await;
    assert!(rejected.is_err());
    let log = std::fs::read_to_string(folder.join("g1.log")).expect("a log");
    assert!(log.contains("ends at version 1, this gateway has applied version 2"), "{log}");
    // It accepts the current log.
    start_follower(&fleet, &folder, &changes, 1).await.expect("it starts");
}

/// Each kind of failure has its exit status, and a message that names what is wrong and where.
#[test]
fn config_commands_that_fail_report_status_and_reason() {
    let (folder, changes) = new_log("words");
    let fails = |arguments: &[&str], status: i32, reason: &str| {
        let ended = run_config(arguments, &changes);
        let stderr = String::from_utf8_lossy(&ended.stderr);
        assert_eq!(ended.status.code(), Some(status), "{arguments:?}: {stderr}");
        assert!(stderr.contains(reason), "{arguments:?}: {stderr}");
    };
    let with_author = |arguments: &[&'static str]| [arguments, &AUTHOR].concat();
    apply_change(&["--set", "plan/free:weight=2", "--id", "one"], &changes);
    apply_change(&["--set", "plan/free:weight=2", "--id", "one", "--base", "1"], &changes);
    fails(&with_author(&["apply", "--set", "plan/free:weight=3", "--id", "one"]), 2, "another change");
    fails(
        &with_author(&["apply", "--set", "plan/free:weight=3", "--base", "1"]),
        3,
        "ann made it 2 in version 2",
    );
    fails(&with_author(&["apply", "--remove", "volume/vol"]), 4, "--allow removal");
    fails(&with_author(&["apply", "--set", "volume/vol:size=512"]), 2, "size cannot fall");
    fails(&with_author(&["apply", "--set", "vol:size=512"]), 2, "is not a path");
    fails(&with_author(&["apply", "--set", "volume/vol:plan=none"]), 2, "there is no plan \"none\"");
    fails(&["apply", "--set", "plan/free:weight=3", "--actor", "", "--reason", "x"], 2, "needs an actor");
    fails(&["show", "--at", "9"], 2, "there is no version 9");
    let shows = |arguments: &[&str], what: &str| {
        let ended = run_config(arguments, &changes);
        let stdout = String::from_utf8_lossy(&ended.stdout).into_owned();
        assert!(ended.status.success() && stdout.contains(what), "{arguments:?}: {stdout}");
    };
    shows(&["plan", "--set", "plan/limited:rate=900"], "plan/limited:rate: 1000.0 -> 900 (1 volumes)");
    shows(&["diff", "1", "2"], "plan/free:weight: 1.0 -> 2.0 (1 volumes)");
    shows(&["blame", "plan/free:weight"], "2  20");
    shows(&["log", "--after", "1"], "ann: to see");
    shows(&["log", "--verify"], "all 2 versions");
    expect_success(&with_author(&["revert", "2"]), &changes);
    shows(&["show"], "plan(\"free\", rate = 1000.0, reserve = 0.0, weight = 1.0)");
    shows(&["show", "--at", "2"], "weight = 2.0");
    shows(&["show", "--at", "2100-01-01T00:00:00Z"], "# Version 3");
    // The exported script is accepted by `apply`, but has no edits.
    let exported = run_config(&["export"], &changes).stdout;
    let file = folder.join("exported.star");
    std::fs::write(&file, exported).expect("the test folder is writable");
    fails(
        &with_author(&["apply"]).into_iter().chain([file.to_str().expect("UTF-8")]).collect::<Vec<_>>(),
        2,
        "nothing would change",
    );
    let log =
        std::fs::read_dir(&changes).expect("it exists").filter_map(|file| file.ok()).map(|file| file.path());
    let log = log
        .filter(|path| path.extension().is_some_and(|extension| extension == "log"))
        .max()
        .expect("a segment");
    let mut bytes = std::fs::read(&log).expect("it exists");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&log, bytes).expect("the test folder is writable");
    fails(&with_author(&["apply", "--set", "plan/free:weight=3"]), 5, ".log:");
}

/// A change with an unknown outcome is sent again with the same arguments: under its id it is committed once.
/// Guards against its rejection as a different change: without `--base`, its base was the newest version at
/// the time of each command.
#[test]
fn change_sent_again_under_its_id_is_done_once() {
    let folder = empty_folder("again");
    let changes = folder.join("changes");
    let prints = |arguments: &[&str], what: &str| {
        let ended = run_config(&[arguments, &AUTHOR].concat(), &changes);
        let stdout = String::from_utf8_lossy(&ended.stdout).into_owned();
        let stderr = String::from_utf8_lossy(&ended.stderr);
        assert!(ended.status.success() && stdout.contains(what), "{arguments:?}: {stdout}{stderr}");
    };
    let write = |name: &str, text: &str| {
        let file = folder.join(name);
        std::fs::write(&file, text).expect("the test folder is writable");
        file.to_str().expect("UTF-8").to_string()
    };
    let shared = write("shared.star", SHARED);
    let import = ["import", &shared, "--id", "first"];
    prints(&import, "version 1");
    prints(&import, "version 1, already committed");
    let set = ["apply", "--set", "plan/free:weight=2", "--id", "set"];
    prints(&set, "version 2");
    prints(&set, "version 2, already committed");
    let heavier = write(
        "heavier.star",
        &SHARED.replace(r#"plan("free", rate = 1000)"#, r#"plan("free", rate = 1000, weight = 3)"#),
    );
    let script = ["apply", &heavier, "--id", "script"];
    prints(&script, "version 3");
    // Another change is committed in between.
    prints(&["apply", "--set", "plan/free:weight=4"], "version 4");
    prints(&script, "version 3, already committed");
    prints(&set, "version 2, already committed");
    let ended = run_config(
        &[&["apply", "--set", "plan/free:weight=9", "--id", "set"][..], &AUTHOR].concat(),
        &changes,
    );
    assert_eq!(ended.status.code(), Some(2), "a different change under an id that is in use");
}

/// Plans, weights and limits change at the peak of a burst and while gateways are down.
///
/// Guards against a lowered limit that stays open for as long as the gateway's own disk takes (rule 7): a
/// gateway wrote a change to its disk before it applied the change and before it read the next one. See
/// `slow_disks` and docs/incidents/limit-behind-disk.md.
#[tokio::test(flavor = "multi_thread")]
async fn scenario_with_changes_breaks_no_rule() {
    let text = include_str!("../../../../days/changes.star");
    let (record, verdict) = run_fault_scenario("changes.star", text, 1).await;
    let limits = record.events.iter().filter(|(_, event)| matches!(event, TestEvent::Limit { .. }));
    assert_eq!(limits.count(), 4, "the first, and three others");
    assert_mostly_acked(&verdict);
}

/// Guards against a drain that uses the op timeouts with which the gateway was started: it closed open
/// requests without a reply.
#[tokio::test(flavor = "multi_thread")]
async fn drain_after_change_uses_op_timeouts_in_force() {
    let ((folder, changes), fleet) = (new_log("drain"), start_fleet(1).await);
    let mut gateway = start_follower(&fleet, &folder, &changes, 1).await.expect("it starts");
    apply_change(&["--set", "op_type/put:op_timeout=5"], &changes);
    wait_until_applied(&folder, 1, 2).await;
    let client = Connection::open(gateway.address, "vol", true).await.expect("a session opens");
    expect_acked(&retry_throttled(async || client.write(0, block_contents(1, 0, 1)).await).await);
    fleet
        .ids()
        .into_iter()
        .for_each(|id| fleet.set_fault(id, Fault { lost_fraction: 1.0, ..Fault::default() }));
    let (reply, ()) = tokio::join!(client.write(0, block_contents(2, 0, 1)), async {
        // The write is in flight before the signal: this client sends nothing else.
        tokio::time::sleep(Duration::from_millis(200)).await;
        gateway.signal(nix::sys::signal::Signal::SIGTERM).expect("it runs");
    });
    assert!(reply.is_some(), "closed without a reply");
    gateway.kill().await.ok();
}
