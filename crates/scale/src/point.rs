//! One size of a fleet: started, left alone, changed and restarted for a time, measured from outside, ended.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use nix::time::{clock_getcpuclockid, clock_gettime};
use nix::unistd::Pid;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use umbertray_fakes::fleet::any_port;
use umbertray_fakes::traffic::Crossed;
use umbertray_fault_tests::run::Process;

use crate::ScaleError;
use crate::crew::Worker;
use crate::fit::Quantiles;
use crate::hollow::{self, Acted, Seen};
use crate::plan::{Demand, Limits, Plan, demand};
use crate::relays::{Fault, Relays};
use crate::script::{self, Writer};
use crate::worker::{Named, Order, Reply};

/// How long all gateways may take to hold the whole list, and to act on the last change.
const STEADY: Duration = Duration::from_secs(240);
/// What goes on after the start, such as links that are answered late, is over by then.
const SETTLED: Duration = Duration::from_secs(2);
/// Where a run makes no changes by its plan, so many are made after its idle time, so far apart.
const PROBES: u32 = 8;
const APART: Duration = Duration::from_millis(300);
/// How often workers are asked what they have seen.
const LOOK: Duration = Duration::from_millis(500);
/// A process is asked to end and has so long.
const LAST: Duration = Duration::from_secs(10);
/// Zones that stores are spread over.
pub const ZONES: u32 = 6;

/// Where nobody listens: what a store that does not answer has for its address.
const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::new(127, 0, 0, 2)), 1);

/// Where a run is made.
pub struct Setup {
    /// The program `umbertray`.
    pub program: PathBuf,
    /// Scripts, logs and state of what is started.
    pub scratch: PathBuf,
    pub limits: Limits,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A real one: `umbertray serve` in a process of its own.
    Gateway,
    Keeper,
    /// All relays together.
    Relay,
    List,
    /// All stand-in stores together.
    Store,
}

/// What was measured of one role at one size. Figures of gateways are each one's share; of the others all together.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Line {
    pub point: String,
    pub repeat: u32,
    /// Absent: the hollow gateways.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub role: Option<Role>,
    pub gateways: u32,
    pub stores: u32,
    /// Of the stores, those that answer.
    pub answering: u32,
    pub volumes: u32,
    pub hollow: u32,
    pub processes: u32,
    pub seconds: f64,
    pub changes_per_second: f64,
    pub restarts_per_hour: f64,
    /// From the first gateway's start until all held the whole list and their links were made or refused.
    pub start_seconds: f64,
    /// Bytes of lists and links that a gateway's start took.
    pub start_bytes: f64,
    /// Of one core, over `seconds`.
    pub idle_core_percent: f64,
    pub rss_mb: f64,
    /// Of all processes of the role.
    pub rss_total_mb: f64,
    /// Both ways, at the sockets of list and stores.
    pub control_bytes_per_second: f64,
    pub list_bytes_per_second: f64,
    pub link_bytes_per_second: f64,
    /// Turns of a gateway's loop.
    pub turns_per_second: f64,
    pub changes: u32,
    pub restarts: u32,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub in_force_seconds: Option<Quantiles>,
    /// The machine's load average over a minute, at the end.
    pub load: f64,
    /// Properties that did not hold.
    pub broken: Vec<String>,
}

/// What a process has used and holds.
#[derive(Clone, Copy, Debug, Default)]
struct Used {
    cpu: Duration,
    rss: u64,
}

fn used(id: Option<u32>) -> Used {
    let of = |id: u32| {
        let clock = clock_getcpuclockid(Pid::from_raw(id as i32)).ok()?;
        let cpu = Duration::from(clock_gettime(clock).ok()?);
        let text = std::fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
        let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
        Some(Used { cpu, rss: pages * 4096 })
    };
    id.and_then(of).unwrap_or_default()
}

pub fn load() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().and_then(|load| load.parse().ok()).unwrap_or_default()
}

/// How the gateways of a process are started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Each once the one before it is steady.
    OneByOne,
    /// As fast as the machine can: a herd.
    AtOnce,
}

/// A fleet at work; all its processes end with it.
pub struct Stage {
    pub plan: Plan,
    pub demand: Demand,
    pub(crate) list: Worker,
    pub(crate) listed_at: SocketAddr,
    pub(crate) named: Vec<Named>,
    stores: Vec<Worker>,
    pub(crate) workers: Vec<Worker>,
    /// Gateways of each worker.
    pub(crate) shares: Vec<Vec<u32>>,
    real: Vec<Process>,
    relays: Option<Relays>,
    pub(crate) keeper: Process,
    pub(crate) kept_at: SocketAddr,
    pub(crate) folder: PathBuf,
    writer: Writer,
    /// When each version was committed.
    pub(crate) committed: BTreeMap<u64, u64>,
    pub(crate) acted: Vec<Acted>,
    draw: StdRng,
    pub(crate) started: Duration,
    pub(crate) start_bytes: u64,
    restarts: u32,
}

/// What is counted at one moment.
struct Sample {
    at: Instant,
    workers: Vec<Used>,
    real: Vec<Used>,
    keeper: Used,
    relays: Vec<Used>,
    list: Used,
    stores: Vec<Used>,
    list_traffic: Crossed,
    link_traffic: Crossed,
    turns: u64,
}

impl Stage {
    /// Starts all of a plan and waits until it is steady.
    pub async fn start(plan: &Plan, setup: &Setup, start: Start, name: &str) -> Result<Stage, ScaleError> {
        let demand = demand(plan, &setup.limits)?;
        let folder = setup.scratch.join(name);
        let make = |folder: &Path| {
            std::fs::create_dir_all(folder).map_err(ScaleError::io(folder.display().to_string()))
        };
        make(&folder)?;
        make(&folder.join("changes"))?;
        let worker = |role: String| {
            Worker::start(&setup.program, &["--log-level", "warn", "scale-worker"], &folder, &role)
        };
        let mut stores = Vec::new();
        let mut from = 1;
        for number in 0..demand.store_processes {
            let count = share(demand.answering, demand.store_processes, number);
            let mut worker = worker(format!("stores-{number}"))?;
            worker.tell(&Order::Stores { from, count, seed: plan.seed }).await?;
            from += u64::from(count);
            stores.push(worker);
        }
        let mut addresses = Vec::new();
        for worker in &mut stores {
            if let Reply::Stores(more) = worker.hear().await? {
                addresses.extend(more);
            }
        }
        addresses.resize(plan.stores as usize, NOWHERE);
        let named = (1..).zip(&addresses).map(|(store, address)| Named {
            store,
            address: *address,
            zone: store as u32 % ZONES,
        });
        let named: Vec<Named> = named.collect();
        let mut list = worker("list".into())?;
        let listed_at = start_list(&mut list, any_port(), &named).await?;
        let (keeper, kept_at) = start_keeper(setup, &folder, any_port(), listed_at).await?;
        let writer = Writer::begin(&folder.join("changes"), plan)?;
        let relays = match plan.relays {
            0 => None,
            some => Some(Relays::start(setup, &folder, &folder.join("changes"), some).await?),
        };
        let mut stage = Stage {
            plan: plan.clone(),
            demand,
            list,
            listed_at,
            named,
            kept_at,
            stores,
            workers: Vec::new(),
            shares: Vec::new(),
            real: Vec::new(),
            relays,
            keeper,
            writer,
            committed: BTreeMap::new(),
            acted: Vec::new(),
            draw: StdRng::seed_from_u64(plan.seed),
            started: Duration::ZERO,
            start_bytes: 0,
            restarts: 0,
            folder,
        };
        stage.start_gateways(setup, start).await?;
        Ok(stage)
    }

    async fn start_gateways(&mut self, setup: &Setup, start: Start) -> Result<(), ScaleError> {
        let folder = format!("{:?}", self.folder.join("changes").display().to_string());
        let changes = self.relays.as_ref().map_or(folder, |relays| relays.upstreams.clone());
        let own = |gateway: u32| {
            let state = self.folder.join(format!("state-{gateway}"));
            let seed = self.plan.seed << 16 ^ u64::from(gateway);
            script::own((gateway, seed), self.listed_at, self.kept_at, &changes, &state)
        };
        let mut scripts = Vec::new();
        for gateway in 0..self.plan.gateways {
            let file = self.folder.join(format!("gateway-{gateway}.star"));
            std::fs::write(&file, own(gateway)).map_err(ScaleError::io(file.display().to_string()))?;
            scripts.push((gateway, file));
        }
        let real: Vec<String> = (0..self.plan.real).map(own).collect();
        let mut hollow = scripts.split_off(self.plan.real as usize);
        for number in 0..self.demand.workers {
            let arguments = ["--log-level", "warn", "scale-worker"];
            let role = format!("gateways-{number}");
            self.workers.push(Worker::start(&setup.program, &arguments, &self.folder, &role)?);
        }
        let began = Instant::now();
        let after = (start == Start::OneByOne).then_some(self.plan.stores.into());
        for number in 0..self.demand.workers {
            let count = share(self.plan.hollow(), self.demand.workers, number);
            let rest = hollow.split_off(count as usize);
            self.shares.push(hollow.iter().map(|(gateway, _)| *gateway).collect());
            self.workers[number as usize].tell(&Order::Gateways { files: hollow, after }).await?;
            hollow = rest;
        }
        for (gateway, script) in real.iter().enumerate() {
            let name = format!("gateway-{gateway}");
            let process = Process::start(&setup.program, &self.folder, ("serve", &name), script, &[]).await;
            self.real.push(process.map_err(ScaleError::io(name))?.0);
        }
        for worker in &mut self.workers {
            worker.hear().await?;
        }
        self.started = self.steady(began).await?;
        let (list, links) = self.traffic().await?;
        self.start_bytes = list.bytes() + links.bytes();
        Ok(())
    }

    /// Waits until each gateway holds the whole list and has made its links, or been refused.
    pub async fn steady(&mut self, since: Instant) -> Result<Duration, ScaleError> {
        let stores = u64::from(self.plan.stores);
        loop {
            let (seen, _) = self.look().await?;
            let waits = |seen: &&Seen| seen.listed != stores || seen.linked + seen.refused < stores;
            let late = seen.iter().filter(waits).count();
            if late == 0 {
                return Ok(since.elapsed());
            }
            tracing::info!(late, of = seen.len(), "waiting for gateways to be steady");
            if since.elapsed() > STEADY {
                let why = format!("{late} of {} gateways are not steady in {STEADY:?}", seen.len());
                return Err(ScaleError::Changes(why));
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// A zone's stores are gone, or back and cold; how many are listed in it.
    pub async fn zone(&mut self, zone: u32, there: bool) -> Result<u32, ScaleError> {
        self.list.ask(&Order::Zone { zone, there }).await?;
        Ok((1..=self.plan.stores).filter(|store| store % ZONES == zone).count() as u32)
    }

    /// What the hollow gateways have seen, and their turns; what they acted on is kept.
    pub async fn look(&mut self) -> Result<(Vec<Seen>, u64), ScaleError> {
        for worker in &mut self.workers {
            worker.tell(&Order::Look).await?;
        }
        let mut all = Vec::new();
        for worker in &mut self.workers {
            if let Reply::Looked(look) = worker.hear().await? {
                all.extend(look.gateways);
                self.acted.extend(look.acted);
            }
        }
        let turns = all.iter().map(|seen| seen.turns).sum();
        Ok((all, turns))
    }

    /// What crossed the sockets of the list, and of all stores, since the start.
    pub async fn traffic(&mut self) -> Result<(Crossed, Crossed), ScaleError> {
        let list = self.list.look().await?.traffic;
        let mut links = Crossed::default();
        for store in &mut self.stores {
            links = links + store.look().await?.traffic;
        }
        Ok((list, links))
    }

    async fn sample(&mut self) -> Result<Sample, ScaleError> {
        let (list_traffic, link_traffic) = self.traffic().await?;
        let (_, turns) = self.look().await?;
        let of = |workers: &[Worker]| workers.iter().map(|worker| used(worker.id())).collect();
        Ok(Sample {
            at: Instant::now(),
            workers: of(&self.workers),
            real: self.real.iter().map(|process| used(process.id())).collect(),
            keeper: used(self.keeper.id()),
            relays: self.relays.iter().flat_map(Relays::ids).map(used).collect(),
            list: used(self.list.id()),
            stores: of(&self.stores),
            list_traffic,
            link_traffic,
            turns,
        })
    }

    pub(crate) fn change(&mut self) -> Result<(), ScaleError> {
        let version = tokio::task::block_in_place(|| self.writer.change())?;
        self.committed.insert(version, hollow::now());
        Ok(())
    }

    /// Restarts one hollow gateway, whichever chance takes.
    async fn restart(&mut self) -> Result<(), ScaleError> {
        let worker = self.draw.random_range(0..self.workers.len());
        let share = &self.shares[worker];
        let gateway = share[self.draw.random_range(0..share.len())];
        self.restarts += 1;
        self.workers[worker].ask(&Order::Restart { gateway }).await.map(drop)
    }

    async fn fail(&mut self, fault: Option<Fault>) -> Result<(), ScaleError> {
        match self.relays.as_mut().zip(fault) {
            Some((relays, fault)) => relays.fail(fault).await,
            None => Ok(()),
        }
    }

    fn heal(&mut self, fault: Option<Fault>) -> Result<(), ScaleError> {
        self.relays.as_mut().zip(fault).map_or(Ok(()), |(relays, fault)| relays.heal(fault))
    }

    /// Lets the plan's time pass, with its changes and restarts.
    async fn pass(&mut self) -> Result<(), ScaleError> {
        let began = Instant::now();
        let end = Duration::from_secs_f64(self.plan.seconds);
        let every = |a_second: f64| match a_second {
            rate if rate > 0.0 => Duration::from_secs_f64(1.0 / rate),
            _ => Duration::MAX,
        };
        let (change, restart) =
            (every(self.plan.changes_per_second), every(self.plan.restarts_per_hour / 3600.0));
        let (mut changing, mut restarting, mut looking) = (change / 2, restart / 2, LOOK);
        let fault = self.plan.fault;
        let (mut failing, mut healing) = match fault {
            Some(_) => (end / 3, end / 3 * 2),
            None => (Duration::MAX, Duration::MAX),
        };
        loop {
            let next = changing.min(restarting).min(looking).min(failing).min(healing).min(end);
            tokio::time::sleep(next.saturating_sub(began.elapsed())).await;
            if next == end {
                return Ok(());
            } else if next == changing {
                changing = changing.saturating_add(change);
                self.change()?;
            } else if next == failing {
                failing = Duration::MAX;
                self.fail(fault).await?;
            } else if next == healing {
                healing = Duration::MAX;
                self.heal(fault)?;
            } else if next == restarting {
                restarting = restarting.saturating_add(restart);
                self.restart().await?;
            } else {
                looking += LOOK;
                self.look().await?;
            }
        }
    }

    /// Waits until all hollow gateways have acted on the last change; those that have not.
    pub(crate) async fn in_force(&mut self) -> Result<Vec<u32>, ScaleError> {
        let (began, version) = (Instant::now(), self.writer.version());
        loop {
            let (seen, _) = self.look().await?;
            let behind = seen.iter().filter(|seen| seen.version < version).map(|seen| seen.gateway);
            let behind: Vec<u32> = behind.collect();
            if behind.is_empty() || began.elapsed() > STEADY {
                return Ok(behind);
            }
            tokio::time::sleep(LOOK / 10).await;
        }
    }

    /// When real gateways acted on what, from their logs.
    fn logged(&self) -> Vec<Acted> {
        let of = |gateway: u32| {
            let file = self.folder.join(format!("gateway-{gateway}.log"));
            let text = std::fs::read_to_string(file).unwrap_or_default();
            let acted = text.lines().filter_map(|line| acted_by_log(gateway, line));
            acted.collect::<Vec<_>>()
        };
        (0..self.plan.real).flat_map(of).collect()
    }

    /// Measures the fleet over the plan's time; a line a role.
    pub async fn measure(&mut self, point: &str, repeat: u32) -> Result<Vec<Line>, ScaleError> {
        tokio::time::sleep(SETTLED).await;
        let before = self.sample().await?;
        self.pass().await?;
        let after = self.sample().await?;
        if self.plan.changes_per_second == 0.0 {
            for _ in 0..PROBES {
                self.change()?;
                tokio::time::sleep(APART).await;
            }
        }
        let behind = self.in_force().await?;
        let (seen, _) = self.look().await?;
        let mut broken = Vec::new();
        if !behind.is_empty() {
            let some = &behind[..behind.len().min(5)];
            broken.push(format!("{} gateways did not act on the last change: {some:?}, ...", behind.len()));
        }
        let over = seen.iter().filter(|seen| seen.over).count();
        if over > 0 {
            broken.push(format!("{over} gateways ended early"));
        }
        let wrong = seen.iter().filter(|seen| seen.listed != u64::from(self.plan.stores)).count();
        if wrong > 0 {
            broken.push(format!("{wrong} gateways do not hold what is listed"));
        }
        Ok(self.lines(point, repeat, &before, &after, broken))
    }

    fn lines(
        &self,
        point: &str,
        repeat: u32,
        before: &Sample,
        after: &Sample,
        broken: Vec<String>,
    ) -> Vec<Line> {
        let seconds = (after.at - before.at).as_secs_f64();
        let gateways = f64::from(self.plan.gateways);
        let rate = |after: Crossed, before: Crossed| after.since(before).bytes() as f64 / seconds;
        let list = rate(after.list_traffic, before.list_traffic);
        let links = rate(after.link_traffic, before.link_traffic);
        let line = |role, processes: usize, shares: f64, cpu: f64, rss: u64, per: f64| Line {
            point: point.into(),
            repeat,
            role,
            gateways: self.plan.gateways,
            stores: self.plan.stores,
            answering: self.demand.answering,
            volumes: self.plan.volumes,
            hollow: self.plan.hollow(),
            processes: processes as u32,
            seconds,
            changes_per_second: self.plan.changes_per_second,
            restarts_per_hour: self.plan.restarts_per_hour,
            start_seconds: self.started.as_secs_f64(),
            start_bytes: self.start_bytes as f64 / gateways,
            idle_core_percent: cpu / seconds * 100.0 / shares,
            rss_mb: rss as f64 / MB / shares,
            rss_total_mb: rss as f64 / MB,
            control_bytes_per_second: (list + links) / per,
            list_bytes_per_second: list / per,
            link_bytes_per_second: links / per,
            turns_per_second: 0.0,
            changes: self.committed.len() as u32,
            restarts: self.restarts,
            in_force_seconds: None,
            load: load(),
            broken: Vec::new(),
        };
        let sums = |before: &[Used], after: &[Used]| {
            let cpu: Duration =
                before.iter().zip(after).map(|(before, after)| after.cpu.saturating_sub(before.cpu)).sum();
            (cpu.as_secs_f64(), after.iter().map(|used| used.rss).sum::<u64>())
        };
        let mut lines = Vec::new();
        if self.plan.hollow() > 0 {
            let (cpu, rss) = sums(&before.workers, &after.workers);
            let hollow = f64::from(self.plan.hollow());
            let mut shared = line(None, self.workers.len(), hollow, cpu, rss, gateways);
            shared.turns_per_second = after.turns.saturating_sub(before.turns) as f64 / seconds / hollow;
            shared.in_force_seconds = spans(&self.committed, &self.acted);
            shared.broken = broken;
            lines.push(shared);
        }
        if self.plan.real > 0 {
            let (cpu, rss) = sums(&before.real, &after.real);
            let real = f64::from(self.plan.real);
            let mut alone = line(Some(Role::Gateway), self.real.len(), real, cpu, rss, gateways);
            let logged = self.logged();
            alone.in_force_seconds = spans(&self.committed, &logged);
            alone.broken = unmet(self.plan.real, &self.committed, &logged);
            lines.push(alone);
        }
        let alone = |role, before: Used, after: Used| {
            let (cpu, rss) = sums(&[before], &[after]);
            line(Some(role), 1, 1.0, cpu, rss, 1.0)
        };
        let mut keeper = alone(Role::Keeper, before.keeper, after.keeper);
        (keeper.control_bytes_per_second, keeper.list_bytes_per_second) = (0.0, 0.0);
        keeper.link_bytes_per_second = 0.0;
        let mut listed = alone(Role::List, before.list, after.list);
        (listed.control_bytes_per_second, listed.link_bytes_per_second) = (list, 0.0);
        let (cpu, rss) = sums(&before.stores, &after.stores);
        let mut stores = line(Some(Role::Store), self.stores.len(), 1.0, cpu, rss, 1.0);
        (stores.control_bytes_per_second, stores.list_bytes_per_second) = (links, 0.0);
        if self.relays.is_some() {
            let (cpu, rss) = sums(&before.relays, &after.relays);
            let mut relays = line(Some(Role::Relay), after.relays.len(), 1.0, cpu, rss, 1.0);
            (relays.control_bytes_per_second, relays.list_bytes_per_second) = (0.0, 0.0);
            relays.link_bytes_per_second = 0.0;
            lines.push(relays);
        }
        lines.extend([keeper, listed, stores]);
        lines
    }

    /// Bytes held by all hollow gateways' processes.
    pub(crate) fn held(&self) -> u64 {
        self.workers.iter().map(|worker| used(worker.id()).rss).sum()
    }

    /// Ends all processes, and says which did not end well.
    pub async fn end(self) -> Vec<String> {
        let mut ill = Vec::new();
        for (number, process) in self.real.into_iter().enumerate() {
            if !process.stop(LAST).await.is_ok_and(|(_, well)| well) {
                ill.push(format!("real gateway {number} did not end well"));
            }
        }
        if !self.keeper.stop(LAST).await.is_ok_and(|(_, well)| well) {
            ill.push("the keeper did not end well".into());
        }
        for worker in self.workers.into_iter().chain(self.stores).chain([self.list]) {
            worker.end().await;
        }
        ill
    }
}

pub(crate) async fn start_list(
    list: &mut Worker,
    listen: SocketAddr,
    named: &[Named],
) -> Result<SocketAddr, ScaleError> {
    match list.ask(&Order::List { listen, stores: named.to_vec() }).await? {
        Reply::List(address) => Ok(address),
        other => Err(ScaleError::Changes(format!("the list did not say where it listens but {other:?}"))),
    }
}

pub(crate) async fn start_keeper(
    setup: &Setup,
    folder: &Path,
    listen: SocketAddr,
    list: SocketAddr,
) -> Result<(Process, SocketAddr), ScaleError> {
    let script = script::keeper(listen, list, &folder.join("keeper-folder"));
    let started = Process::start(&setup.program, folder, ("keeper", "keeper"), &script, &[]).await;
    let (keeper, said) = started.map_err(ScaleError::io("keeper"))?;
    let address = said["keeper"].as_str().and_then(|text| text.parse().ok());
    let address = address.ok_or_else(|| std::io::Error::other("it did not say where it listens"));
    Ok((keeper, address.map_err(ScaleError::io("keeper"))?))
}

pub(crate) const MB: f64 = (1 << 20) as f64;

/// Of so many things, shared evenly, those of one who shares.
fn share(things: u32, sharers: u32, number: u32) -> u32 {
    things / sharers + u32::from(number < things % sharers)
}

fn acted_by_log(gateway: u32, line: &str) -> Option<Acted> {
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    let fields = line.get("fields").filter(|fields| fields["message"] == "changes acted on")?;
    let at = humantime::parse_rfc3339(line["timestamp"].as_str()?).ok()?;
    let at = at.duration_since(std::time::UNIX_EPOCH).ok()?.as_micros() as u64;
    Some(Acted { gateway, version: fields["version"].as_u64()?, at })
}

/// For each change and each gateway, the time until the gateway had acted on it or a later one. A gateway that never did is not
/// among them: whoever asks looks for it elsewhere.
pub fn spans(committed: &BTreeMap<u64, u64>, acted: &[Acted]) -> Option<Quantiles> {
    let mut of_gateways = BTreeMap::<u32, Vec<(u64, u64)>>::new();
    acted
        .iter()
        .for_each(|acted| of_gateways.entry(acted.gateway).or_default().push((acted.at, acted.version)));
    let mut all = Vec::new();
    for acted in of_gateways.values_mut() {
        acted.sort_unstable();
        let mut later = acted.iter().peekable();
        for (version, at) in committed {
            // Acted on a later version is acted on this one.
            while later.next_if(|(_, acted_on)| acted_on < version).is_some() {}
            let Some((acted_at, _)) = later.peek() else { break };
            all.push(acted_at.saturating_sub(*at) as f64 / 1e6);
        }
    }
    Quantiles::of(&all)
}

/// Real gateways whose logs do not tell of the last change.
fn unmet(real: u32, committed: &BTreeMap<u64, u64>, logged: &[Acted]) -> Vec<String> {
    let Some(last) = committed.keys().last() else { return Vec::new() };
    let met = |gateway: &u32| logged.iter().any(|acted| acted.gateway == *gateway && acted.version >= *last);
    let unmet: Vec<u32> = (0..real).filter(|gateway| !met(gateway)).collect();
    match unmet.len() {
        0 => Vec::new(),
        count => vec![format!("{count} real gateways did not act on the last change: {unmet:?}")],
    }
}
