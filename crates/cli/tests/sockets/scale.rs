//! `umbertray scale` with a few gateways and stores, checked by counts that do not depend on the machine.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use umbertray_scale::hollow::CounterSnapshot;
use umbertray_scale::measurement::{Line, Role, Setup, Start, Testbed};
use umbertray_scale::plan::{Limits, Plan};
use umbertray_store_protocol::Message;
use umbertray_store_protocol::list::{EndpointState, FromList, ListedStore, ToList};

const PROGRAM: &str = env!("CARGO_BIN_EXE_umbertray");
const TIMEOUT: Duration = Duration::from_secs(30);

fn empty_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("umbertray-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn plan() -> Plan {
    Plan {
        gateways: 3,
        real_gateways: 0,
        stores: 8,
        answering: Some(6),
        volumes: 4,
        changes_per_second: 0.0,
        restarts_per_hour: 0.0,
        seconds: 0.5,
        seed: 1,
        relays: 0,
        fault: None,
    }
}

/// Polls the hollow gateways until all are in the expected state.
async fn poll_until(
    testbed: &mut Testbed,
    is_expected: impl Fn(&CounterSnapshot) -> bool,
) -> Vec<CounterSnapshot> {
    let end = Instant::now() + TIMEOUT;
    loop {
        let (seen, _) = testbed.observe().await.expect("the hollow gateways can be polled");
        if seen.iter().all(&is_expected) {
            return seen;
        }
        assert!(Instant::now() < end, "not in {TIMEOUT:?}: {seen:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn hollow_gateways_hold_all_listed_stores_and_get_each_change_once() {
    let folder = empty_folder("scale-counts");
    let setup = Setup { program: PROGRAM.into(), scratch: folder.clone(), limits: Limits::of_this_machine() };
    let mut testbed = Testbed::start(&plan(), &setup, Start::OneByOne, "tiny").await.expect("it starts");
    // Hollow gateways know all listed stores; they are connected to those that respond, and have tried the
    // others once.
    let seen = poll_until(&mut testbed, |_| true).await;
    assert_eq!(seen.iter().map(|seen| seen.gateway).collect::<Vec<_>>(), [0, 1, 2]);
    for seen in &seen {
        assert_eq!((seen.listed, seen.complete_lists, seen.deltas), (8, 1, 0));
        assert_eq!((seen.connected, seen.failed_connections, seen.is_finished), (6, 2, false));
    }
    // Each of three gateways and the coordinator gets a welcome and one complete list.
    let (list, _) = testbed.traffic().await.expect("the list can be queried");
    // Addresses are encoded as text; ports that the system chooses have five digits.
    let entry = |address: &str| ListedStore {
        store: 1,
        address: address.parse().expect("an address"),
        shard: 1,
        zone: 1,
        state: EndpointState::Ready,
        incarnation: 1,
        age: None,
    };
    let hello = (ToList::Hello { run: 1 }.frame().len() + ToList::Watch.frame().len()) as u64;
    let welcome = FromList::Welcome { term: 0 }.frame().len() as u64;
    let (responding, refusing) = (entry("127.0.0.1:40000"), entry("127.0.0.2:1"));
    let entries = [vec![responding.clone(); 6], vec![refusing.clone(); 2]].concat();
    let complete_list = FromList::Complete(entries).frame().len() as u64;
    assert_eq!(list.frames, 2 * 4);
    assert_eq!(list.read, 4 * hello);
    assert_eq!(list.written, 4 * (welcome + complete_list));
    // Stores 1 and 7 are in zone 1, and store 7 does not respond: each of the four gets two frames of one
    // entry, and no complete list.
    assert_eq!(testbed.set_zone_present(1, false).await.expect("the zone can be changed"), 2);
    let seen = poll_until(&mut testbed, |seen| seen.deltas >= 2).await;
    assert!(seen.iter().all(|seen| (seen.deltas, seen.complete_lists) == (2, 1)), "{seen:?}");
    let delta = |entry| {
        FromList::Changes(vec![ListedStore { state: EndpointState::Gone, ..entry }]).frame().len() as u64
    };
    let deltas = delta(responding) + delta(refusing);
    let (after, _) = testbed.traffic().await.expect("the list can be queried");
    let change = after.since(list);
    assert_eq!((change.read, change.frames, change.written), (0, 2 * 4, 4 * deltas));
    assert_eq!(testbed.stop().await, Vec::<String>::new());
    std::fs::remove_dir_all(folder).expect("it can be removed");
}

#[tokio::test(flavor = "multi_thread")]
async fn gateways_after_restart_apply_each_change() {
    let folder = empty_folder("scale-changes");
    let setup = Setup { program: PROGRAM.into(), scratch: folder.clone(), limits: Limits::of_this_machine() };
    let plan = Plan { real_gateways: 1, changes_per_second: 8.0, restarts_per_hour: 7200.0, ..plan() };
    let plan = Plan { seconds: 1.0, ..plan };
    let mut testbed = Testbed::start(&plan, &setup, Start::AtOnce, "tiny").await.expect("it starts");
    let lines = testbed.measure("tiny", 0).await.expect("it is measured");
    let roles: Vec<Option<Role>> = lines.iter().map(|line| line.role).collect();
    assert_eq!(
        roles,
        [None, Some(Role::Gateway), Some(Role::Coordinator), Some(Role::List), Some(Role::Store)]
    );
    for line in &lines {
        assert_eq!(line.broken, Vec::<String>::new(), "{line:?}");
        assert_eq!((line.gateways, line.stores, line.answering, line.hollow), (3, 8, 6, 2));
        assert_eq!((line.changes, line.restarts), (8, 2));
    }
    assert!(lines[0].apply_delay_seconds.is_some() && lines[1].apply_delay_seconds.is_some());
    assert!(lines[0].rss_mb > 1.0 && lines[0].control_bytes_per_second > 0.0);
    // All started at version 1.
    let (seen, _) = testbed.observe().await.expect("the hollow gateways can be polled");
    assert!(seen.iter().all(|seen| seen.version == 9 && !seen.is_finished), "{seen:?}");
    assert_eq!(testbed.stop().await, Vec::<String>::new());
    std::fs::remove_dir_all(folder).expect("it can be removed");
}

/// Ids of the processes whose parent is this process.
fn children(parent: u32) -> Vec<u32> {
    let folders = std::fs::read_dir("/proc").expect("processes can be listed");
    let ids = folders.flatten().filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    let parent_of = |id: &u32| {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        stat.rsplit_once(')')?.1.split_whitespace().nth(1)?.parse::<u32>().ok()
    };
    ids.filter(|id| parent_of(id) == Some(parent)).collect()
}

fn is_running(id: u32) -> bool {
    Path::new(&format!("/proc/{id}")).exists()
}

fn wait_until(mut is_reached: impl FnMut() -> bool, what: &str) {
    let end = Instant::now() + TIMEOUT;
    while !is_reached() {
        assert!(Instant::now() < end, "{what}: not in {TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn run_on_sigterm_ends_all_its_processes() {
    let mut run = Command::new(PROGRAM)
        .args(["scale", "--gateways", "3", "--real", "1", "--stores", "8", "--seconds", "600"])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("it starts");
    // List, stores, coordinator, a real gateway, a worker.
    wait_until(|| children(run.id()).len() == 5, "five processes of the run");
    let started = children(run.id());
    let id = nix::unistd::Pid::from_raw(run.id() as i32);
    nix::sys::signal::kill(id, nix::sys::signal::Signal::SIGTERM).expect("the run can be signalled");
    let status = run.wait().expect("it ends");
    assert_eq!(status.code(), Some(1));
    wait_until(|| started.iter().all(|id| !is_running(*id)), "all processes of the run end with it");
}

#[test]
fn workers_of_killed_run_end_by_themselves() {
    let mut run = Command::new(PROGRAM)
        .args(["scale", "--gateways", "2", "--real", "0", "--stores", "8", "--seconds", "600"])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("it starts");
    // List, stores, coordinator, a worker; the coordinator is a product process and does not end with its
    // parent.
    wait_until(|| children(run.id()).len() == 4, "four processes of the run");
    let is_worker = |id: &u32| {
        std::fs::read_to_string(format!("/proc/{id}/cmdline")).is_ok_and(|line| line.contains("scale-worker"))
    };
    let (workers, coordinators): (Vec<u32>, Vec<u32>) = children(run.id()).into_iter().partition(is_worker);
    assert_eq!(workers.len(), 3);
    run.kill().expect("it can be killed");
    run.wait().expect("it ends");
    for coordinator in coordinators {
        let coordinator = nix::unistd::Pid::from_raw(coordinator as i32);
        nix::sys::signal::kill(coordinator, nix::sys::signal::Signal::SIGKILL)
            .expect("the coordinator can be killed");
    }
    wait_until(|| workers.iter().all(|id| !is_running(*id)), "workers end with the run");
    let left = std::env::temp_dir().join(format!("umbertray-scale-{}", run.id()));
    std::fs::remove_dir_all(left).expect("a run that is killed leaves its folder");
}

fn rejection(arguments: &[&str]) -> String {
    let output = Command::new(PROGRAM).arg("scale").args(arguments).output().expect("it runs");
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(output.stdout.is_empty());
    String::from_utf8(output.stderr).expect("text")
}

#[test]
fn impossible_plan_is_rejected_before_anything_starts() {
    let output = rejection(&["--gateways", "1700", "--stores", "4000", "--answering", "4000"]);
    assert!(output.contains("processes") && output.contains("300") && output.contains("6800000"), "{output}");
    let output = rejection(&["--gateways", "100000", "--stores", "4000"]);
    assert!(output.contains("limit"), "{output}");
    let output = rejection(&["--gateways", "3", "--stores", "8", "--out", "/proc/nowhere"]);
    assert!(output.contains("/proc/nowhere"), "{output}");
}

#[test]
fn run_with_out_prints_and_saves_a_line_for_each_role() {
    let folder = empty_folder("scale-out");
    let out = folder.join("out");
    let output = Command::new(PROGRAM)
        .args(["scale", "--gateways", "2", "--real", "0", "--stores", "8", "--volumes", "4"])
        .args(["--seconds", "0.3", "--out"])
        .arg(&out)
        .output()
        .expect("it runs");
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout).expect("text");
    let lines: Vec<Line> = text.lines().map(|line| serde_json::from_str(line).expect("a line")).collect();
    assert_eq!(lines.len(), 4);
    let kept = std::fs::read_to_string(out.join("lines.jsonl")).expect("lines are saved");
    assert_eq!(kept, text);
    let machine = std::fs::read_to_string(out.join("machine.json")).expect("the machine is described");
    let machine: serde_json::Value = serde_json::from_str(&machine).expect("JSON");
    assert!(machine["cores"].as_u64() > Some(0) && machine["memory_mb"].as_u64() > Some(0));
    std::fs::remove_dir_all(folder).expect("it can be removed");
}

#[test]
fn exceeded_budget_is_named_and_exits_with_1() {
    let output = Command::new(PROGRAM)
        .args(["--log", "json", "scale", "--gateways", "1", "--real", "0", "--stores", "2", "--volumes", "1"])
        .args(["--seconds", "0.3", "--most-core", "0", "--most-in-force", "0"])
        .output()
        .expect("it runs");
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(text.contains("of a core, 0 is allowed") && text.contains("in force after"), "{text}");
    assert_eq!(
        String::from_utf8(output.stdout).expect("text").lines().count(),
        4,
        "the lines are printed nevertheless"
    );
    // If a budget was exceeded, the logs are kept and their folder is named.
    let logged = text.lines().filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    let folder = logged.filter_map(|line| Some(line["fields"]["folder"].as_str()?.to_string())).next();
    let folder = folder.expect("the log names the folder");
    std::fs::remove_dir_all(folder).expect("it exists");
}
