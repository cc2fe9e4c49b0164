//! A coordinator that stands still while it starts may be taken over from once its lease is over. When it goes
//! on, it must not harm what its successor has acknowledged.

mod common;
mod directory;

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use common::*;
use directory::*;

/// Placed extents: 25 GiB of data at extents of 256 KiB.
const EXTENTS: u64 = 100_000;
/// How long the coordinator stands still: a little longer than its lease of three seconds.
const STAND_STILL: Duration = Duration::from_millis(3200);
/// In which parts of its start it is stopped, in thousandths of the time until its new segment appears.
const STOPS: [u32; 14] = [850, 910, 790, 880, 940, 820, 760, 895, 865, 925, 835, 805, 955, 775];
/// No trial begins after this time.
const LAST_TRIAL_MS: u128 = 88_000;

/// A coordinator started by hand, since it may be stopped before its first line.
struct Coordinator {
    child: Child,
    output: BufReader<std::process::ChildStdout>,
}

impl Coordinator {
    fn spawn(config: &Path, take_over: bool) -> Coordinator {
        let mut command = Command::new(program());
        command.args(["coordinator", "--config"]).arg(config).env("NO_COLOR", "1");
        if take_over {
            command.arg("--take-over");
        }
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap_or_else(|error| not_run(&error.to_string()));
        register_child(child.id());
        let output = BufReader::new(child.stdout.take().expect("piped"));
        Coordinator { child, output }
    }

    /// The address in its first line; `None` if it ended without one.
    fn address(&mut self) -> Option<SocketAddr> {
        let mut line = String::new();
        self.output.read_line(&mut line).ok()?;
        note(&format!("coordinator {}: {}", self.child.id(), line.trim()));
        let start = line.find("127.0.0.1:")?;
        line[start..].split('"').next()?.parse().ok()
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// A planned stop.
    fn terminate(&mut self) {
        signal(self.child.id(), "TERM");
        for _ in 0..50 {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return;
            }
            sleep_ms(20);
        }
        self.kill();
    }

    /// What it wrote to standard error, once it has ended.
    fn log(&mut self) -> String {
        self.kill();
        let mut text = String::new();
        if let Some(mut log) = self.child.stderr.take() {
            let _ = log.read_to_string(&mut text);
        }
        text.trim().to_string()
    }
}

fn config(list: SocketAddr, name: &str) -> (PathBuf, PathBuf) {
    let folder = path(name);
    let text = format!(
        "keeper(listen = \"127.0.0.1:0\", list = \"{list}\", folder = \"{}\")\n",
        folder.display()
    );
    (folder, write_file(&format!("{name}.star"), &text))
}

fn segments(folder: &Path) -> Vec<String> {
    let names = std::fs::read_dir(folder).map(|entries| {
        entries.filter_map(|entry| entry.ok()?.file_name().into_string().ok()).collect::<Vec<_>>()
    });
    let mut names: Vec<String> = names.unwrap_or_default();
    names.retain(|name| name.starts_with("map-"));
    names.sort();
    names
}

fn claim(what: &str, address: SocketAddr, extent: u64) -> Option<Place> {
    let place = Directory::connect(address)
        .and_then(|mut directory| directory.claim(volume_number("office"), extent, 1))
        .ok()
        .flatten();
    note(&format!("{what}: claim of extent {extent} of \"office\" answered with {place:?}"));
    place
}

/// A folder with the map of a deployment in use.
fn prepare(list: SocketAddr) -> PathBuf {
    let (folder, file) = config(list, "template");
    let mut first = Coordinator::spawn(&file, false);
    let address = first.address().unwrap_or_else(|| not_run("the first coordinator did not start"));
    let claims = (0..EXTENTS).map(|extent| (extent, (extent % 2) as u32));
    let mut directory = Directory::connect(address).unwrap_or_else(|error| not_run(&error.to_string()));
    if let Err(error) = directory.claim_all(volume_number("central"), claims) {
        not_run(&format!("claims: {error}"));
    }
    note(&format!("{EXTENTS} extents of \"central\" are placed"));
    first.kill();
    // One more start leaves the map in one segment.
    let mut second = Coordinator::spawn(&file, false);
    second.address();
    second.kill();
    folder
}

fn copy_newest(template: &Path, folder: &Path) {
    let newest = segments(template).pop().unwrap_or_else(|| not_run("no segment"));
    let copied = std::fs::create_dir_all(folder)
        .and_then(|()| std::fs::copy(template.join(&newest), folder.join(&newest)));
    copied.unwrap_or_else(|error| not_run(&error.to_string()));
}

/// The time from a start to the moment at which its new segment is being written.
fn measure_start(template: &Path, list: SocketAddr) -> Duration {
    let mut times = Vec::new();
    for round in 0..3 {
        let (folder, file) = config(list, &format!("measure-{round}"));
        copy_newest(template, &folder);
        let started = Instant::now();
        let mut coordinator = Coordinator::spawn(&file, false);
        while !folder.join("map.new").exists() && segments(&folder).len() < 2 {
            if started.elapsed() > Duration::from_secs(10) {
                not_run("no new segment within 10 s");
            }
        }
        times.push(started.elapsed());
        coordinator.address();
        coordinator.kill();
        let _ = std::fs::remove_dir_all(&folder);
    }
    times.sort();
    note(&format!("a start begins its new segment after {times:?}"));
    times[1]
}

/// Starts the coordinator again on its folder and compares what it knows with what was acknowledged.
fn check(file: &Path, acknowledged: &[(u64, Place)]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut third = Coordinator::spawn(file, false);
    let Some(address) = third.address() else {
        broken.push(format!(
            "the coordinator does not start again; the claims {acknowledged:?} were acknowledged. It says: {}",
            third.log().lines().last().unwrap_or_default()
        ));
        return broken;
    };
    for (extent, place) in acknowledged {
        let found = Directory::connect(address)
            .and_then(|mut directory| directory.look_up(volume_number("office"), *extent));
        note(&format!("after the restart extent {extent} lies at {found:?}"));
        if !matches!(found, Ok(Some(found)) if found == *place) {
            broken.push(format!("extent {extent} was acknowledged at {place:?} and is now at {found:?}"));
        }
    }
    third.kill();
    broken
}

/// One trial with a coordinator that stands still from `stop_after` on.
fn stalled(trial: usize, template: &Path, list: SocketAddr, stop_after: Duration) -> Vec<String> {
    let (folder, file) = config(list, &format!("folder-{trial}"));
    copy_newest(template, &folder);
    let mut first = Coordinator::spawn(&file, false);
    std::thread::sleep(stop_after);
    signal(first.child.id(), "STOP");
    note(&format!("trial {trial}: coordinator {} stands still {stop_after:?} after its start", first.child.id()));
    std::thread::sleep(STAND_STILL);
    let mut second = Coordinator::spawn(&file, true);
    let Some(address) = second.address() else {
        note(&format!("the second does not take over: {}", second.log()));
        first.kill();
        return Vec::new();
    };
    let mut acknowledged = Vec::new();
    acknowledged.extend(claim("the second", address, 1).map(|place| (1, place)));
    signal(first.child.id(), "CONT");
    note("the first goes on");
    sleep_ms(600);
    note(&format!("the first has ended: {:?}", first.child.try_wait()));
    acknowledged.extend(claim("the second", address, 2).map(|place| (2, place)));
    second.terminate();
    note(&format!("log of the first: {}", first.log()));
    let broken = check(&file, &acknowledged);
    let _ = std::fs::remove_dir_all(&folder);
    broken
}

/// The same without a stall: the second is refused, and a planned restart keeps what was acknowledged.
fn undisturbed(template: &Path, list: SocketAddr) -> Vec<String> {
    let (folder, file) = config(list, "folder");
    copy_newest(template, &folder);
    let mut first = Coordinator::spawn(&file, false);
    let address = first.address().unwrap_or_else(|| not_run("the coordinator did not start"));
    std::thread::sleep(STAND_STILL);
    let mut second = Coordinator::spawn(&file, true);
    if second.address().is_some() {
        return vec!["a second coordinator took over from one that holds its lease".into()];
    }
    note(&format!("the second is refused: {}", second.log()));
    let acknowledged: Vec<(u64, Place)> =
        [1, 2].into_iter().filter_map(|extent| Some((extent, claim("the first", address, extent)?))).collect();
    first.terminate();
    check(&file, &acknowledged)
}

fn main() {
    begin();
    let list = start("list", &["fake", "list"], &[]);
    let template = prepare(list.address());
    if !with_trouble() {
        verdict(&undisturbed(&template, list.address()));
    }
    let until_segment = measure_start(&template, list.address());
    let mut broken = Vec::new();
    for (trial, thousandths) in STOPS.into_iter().enumerate() {
        if now_ms() > LAST_TRIAL_MS || !broken.is_empty() {
            break;
        }
        broken = stalled(trial, &template, list.address(), until_segment * thousandths / 1000);
    }
    verdict(&broken)
}
