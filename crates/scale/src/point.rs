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

/// Time that all gateways may take to hold the full list, and to act on the last change.
const STEADY: Duration = Duration::from_secs(240);
/// Pause before a measurement, in which what follows a start, such as late connections, finishes.
const SETTLED: Duration = Duration::from_secs(2);
/// Changes made after the idle time of a plan that has none of its own.
const PROBES: u32 = 8;
/// Pause after each of those changes.
const APART: Duration = Duration::from_millis(300);
/// Interval at which workers are asked for what they have observed.
const LOOK: Duration = Duration::from_millis(500);
/// Time that a product process has to exit after it was asked to.
const LAST: Duration = Duration::from_secs(10);
/// Zones that stores, gateways and relays are spread over.
pub(crate) const ZONES: u32 = 6;

/// The address of a store that does not answer: nobody listens there.
const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::new(127, 0, 0, 2)), 1);

/// Where a run is made.
pub struct Setup {
    /// The program `umbertray`.
    pub program: PathBuf,
    /// Folder for scripts, logs and state of the processes that are started.
    pub scratch: PathBuf,
    /// What the run may use of this machine.
    pub limits: Limits,
}

/// What a group of processes of a run is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A real gateway: `umbertray serve` in a process of its own.
    Gateway,
    /// The coordinator.
    Keeper,
    /// All relays together.
    Relay,
    /// The endpoint list.
    List,
    /// All stand-in stores together.
    Store,
}

/// The measurements of one role at one size. Figures of gateways are for each gateway; those of other roles
/// are for all their processes together.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Line {
    /// Name of the size: the factor and its position in the sweep, or `one`.
    pub point: String,
    /// Number of the repeat, from 0.
    pub repeat: u32,
    /// The role; `None` for the hollow gateways.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub role: Option<Role>,
    /// Gateways of the fleet, real and hollow.
    pub gateways: u32,
    /// Stores that the list names.
    pub stores: u32,
    /// Of those stores, the ones that accept connections.
    pub answering: u32,
    /// Volumes of the configuration.
    pub volumes: u32,
    /// Hollow gateways of the fleet.
    pub hollow: u32,
    /// Processes of the role.
    pub processes: u32,
    /// How long the fleet was measured.
    pub seconds: f64,
    /// Changes of the configuration by the plan.
    pub changes_per_second: f64,
    /// Restarts of hollow gateways by the plan.
    pub restarts_per_hour: f64,
    /// From the first gateway's start until all held the full list and their connections were made or
    /// refused.
    pub start_seconds: f64,
    /// Bytes of list and store connections that the start took, for each gateway.
    pub start_bytes: f64,
    /// CPU time over `seconds`, in percent of one core.
    pub idle_core_percent: f64,
    /// Resident memory, in MiB.
    pub rss_mb: f64,
    /// Resident memory of all processes of the role, in MiB.
    pub rss_total_mb: f64,
    /// Bytes at the sockets of list and stores, both directions.
    pub control_bytes_per_second: f64,
    /// Of those, the list's.
    pub list_bytes_per_second: f64,
    /// Of those, the stores'.
    pub link_bytes_per_second: f64,
    /// Calls of a gateway's core by its event loop; 0 for other roles than the hollow gateways.
    pub turns_per_second: f64,
    /// Changes of the configuration that were committed.
    pub changes: u32,
    /// Hollow gateways that were restarted.
    pub restarts: u32,
    /// Seconds until a change was in force at each gateway.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub in_force_seconds: Option<Quantiles>,
    /// The machine's load average over a minute, at the end.
    pub load: f64,
    /// Properties that did not hold.
    pub broken: Vec<String>,
}

/// CPU time and resident memory of a process.
#[derive(Clone, Copy, Debug, Default)]
struct Used {
    /// CPU time since the start of the process.
    cpu: Duration,
    /// Resident memory in bytes.
    rss: u64,
}

/// Reads what a process uses; zero for one that has ended.
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

/// The machine's load average over the last minute.
pub(crate) fn load() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().and_then(|load| load.parse().ok()).unwrap_or_default()
}

/// The order in which the gateways of a process are started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Each once the one before it is steady.
    OneByOne,
    /// As fast as the machine can: a thundering herd.
    AtOnce,
}

/// A running fleet; its processes end with it.
pub struct Stage {
    /// What was planned.
    pub(crate) plan: Plan,
    /// What the plan needs.
    pub(crate) demand: Demand,
    /// The endpoint list.
    pub(crate) list: Worker,
    /// The list's address.
    pub(crate) listed_at: SocketAddr,
    /// The stores that the list names.
    pub(crate) named: Vec<Named>,
    /// Processes of stand-in stores.
    stores: Vec<Worker>,
    /// Processes of hollow gateways.
    pub(crate) workers: Vec<Worker>,
    /// The gateways of each worker.
    pub(crate) shares: Vec<Vec<u32>>,
    /// Processes of real gateways.
    real: Vec<Process>,
    /// The relays, where the plan has some.
    relays: Option<Relays>,
    /// The coordinator.
    pub(crate) keeper: Process,
    /// The coordinator's address.
    pub(crate) kept_at: SocketAddr,
    /// Folder for the run's scripts, logs and state.
    pub(crate) folder: PathBuf,
    /// Writes the change log.
    writer: Writer,
    /// When each version was committed, in microseconds since 1970.
    pub(crate) committed: BTreeMap<u64, u64>,
    /// What hollow gateways acted on, and when.
    pub(crate) acted: Vec<Acted>,
    /// Chooses the gateways to restart.
    draw: StdRng,
    /// How long the gateways took to become steady.
    pub(crate) started: Duration,
    /// Bytes of list and store connections that the start took.
    pub(crate) start_bytes: u64,
    /// Gateways that were restarted.
    restarts: u32,
}

/// All that is counted, at one instant.
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
    /// Starts all processes of a plan and waits until the fleet is steady.
    ///
    /// # Errors
    /// [`ScaleError`] if the plan is rejected, or a process cannot be started or does not become steady.
    pub async fn start(plan: &Plan, setup: &Setup, start: Start, name: &str) -> Result<Stage, ScaleError> {
        let demand = demand(plan, &setup.limits)?;
        let folder = setup.scratch.join(name);
        let make = |folder: &Path| {
            std::fs::create_dir_all(folder).map_err(ScaleError::io(folder.display().to_string()))
        };
        make(&folder)?;
        make(&folder.join("changes"))?;
        let (stores, addresses) = start_stores(setup, &folder, plan, &demand).await?;
        let named = named_stores(plan.stores, addresses);
        let mut list = start_worker(setup, &folder, "list")?;
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

    /// Starts the plan's gateways, hollow and real, and waits until they are steady.
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
            self.workers.push(start_worker(setup, &self.folder, &format!("gateways-{number}"))?);
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

    /// Waits until each gateway holds the full list and has made or failed to make each connection; returns
    /// how long that took.
    pub(crate) async fn steady(&mut self, since: Instant) -> Result<Duration, ScaleError> {
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

    /// Marks all stores of a zone as gone, or as back with empty caches; returns how many the zone has.
    ///
    /// # Errors
    /// [`ScaleError::Worker`] if the list's process does not follow the order.
    pub async fn zone(&mut self, zone: u32, there: bool) -> Result<u32, ScaleError> {
        self.list.ask(&Order::Zone { zone, there }).await?;
        Ok((1..=self.plan.stores).filter(|store| store % ZONES == zone).count() as u32)
    }

    /// Snapshots of the hollow gateways and the sum of their turns; what they acted on is recorded.
    ///
    /// # Errors
    /// [`ScaleError::Worker`] if a worker process does not reply.
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
    ///
    /// # Errors
    /// [`ScaleError::Worker`] if a worker process does not reply.
    pub async fn traffic(&mut self) -> Result<(Crossed, Crossed), ScaleError> {
        let list = self.list.look().await?.traffic;
        let mut links = Crossed::default();
        for store in &mut self.stores {
            links = links + store.look().await?.traffic;
        }
        Ok((list, links))
    }

    /// Reads all counters.
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

    /// Commits a change of the configuration.
    pub(crate) fn change(&mut self) -> Result<(), ScaleError> {
        let version = tokio::task::block_in_place(|| self.writer.change())?;
        self.committed.insert(version, hollow::now());
        Ok(())
    }

    /// Restarts one hollow gateway, chosen at random.
    async fn restart(&mut self) -> Result<(), ScaleError> {
        let worker = self.draw.random_range(0..self.workers.len());
        let share = &self.shares[worker];
        let gateway = share[self.draw.random_range(0..share.len())];
        self.restarts += 1;
        self.workers[worker].ask(&Order::Restart { gateway }).await.map(drop)
    }

    /// Brings a fault on the first relay of each zone.
    async fn fail(&mut self, fault: Option<Fault>) -> Result<(), ScaleError> {
        match self.relays.as_mut().zip(fault) {
            Some((relays, fault)) => relays.fail(fault).await,
            None => Ok(()),
        }
    }

    /// Ends a fault, as far as it can be ended.
    fn heal(&mut self, fault: Option<Fault>) -> Result<(), ScaleError> {
        self.relays.as_mut().zip(fault).map_or(Ok(()), |(relays, fault)| relays.heal(fault))
    }

    /// Lets the measured time pass, with the plan's changes, restarts and fault.
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

    /// Waits until all hollow gateways have acted on the last change; returns those that have not when the
    /// time is up.
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

    /// What real gateways acted on, from their logs.
    fn logged(&self) -> Vec<Acted> {
        let of = |gateway: u32| {
            let file = self.folder.join(format!("gateway-{gateway}.log"));
            let text = std::fs::read_to_string(file).unwrap_or_default();
            let acted = text.lines().filter_map(|line| acted_by_log(gateway, line));
            acted.collect::<Vec<_>>()
        };
        (0..self.plan.real).flat_map(of).collect()
    }

    /// Measures the fleet over the plan's time; returns a line for each role.
    ///
    /// # Errors
    /// [`ScaleError`] if a process does not follow its orders or the change log cannot be written.
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
        Ok(LineBuilder::new(self, point, repeat, &before, &after).lines(broken))
    }

    /// Resident memory of all hollow gateways' processes, in bytes.
    pub(crate) fn held(&self) -> u64 {
        self.workers.iter().map(|worker| used(worker.id()).rss).sum()
    }

    /// Ends all processes; returns a message for each that did not exit as it should.
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

/// Bytes a second of a line, both directions.
#[derive(Clone, Copy, Default)]
struct TrafficRates {
    control: f64,
    list: f64,
    links: f64,
}

/// What the processes of a role used between both samples.
struct RoleUsage {
    processes: usize,
    /// CPU time in seconds.
    cpu: f64,
    /// Resident memory at the later sample, in bytes.
    rss: u64,
}

impl RoleUsage {
    fn between(before: &[Used], after: &[Used]) -> RoleUsage {
        let cpu: Duration =
            before.iter().zip(after).map(|(before, after)| after.cpu.saturating_sub(before.cpu)).sum();
        let rss = after.iter().map(|used| used.rss).sum();
        RoleUsage { processes: after.len(), cpu: cpu.as_secs_f64(), rss }
    }
}

/// Makes the lines of a measurement from the samples at both of its ends.
struct LineBuilder<'a> {
    stage: &'a Stage,
    point: &'a str,
    repeat: u32,
    before: &'a Sample,
    after: &'a Sample,
    seconds: f64,
    /// Bytes a second at the list's sockets.
    list_rate: f64,
    /// Bytes a second at the stores' sockets.
    link_rate: f64,
}

impl<'a> LineBuilder<'a> {
    fn new(
        stage: &'a Stage,
        point: &'a str,
        repeat: u32,
        before: &'a Sample,
        after: &'a Sample,
    ) -> LineBuilder<'a> {
        let seconds = (after.at - before.at).as_secs_f64();
        let rate = |after: Crossed, before: Crossed| after.since(before).bytes() as f64 / seconds;
        let list_rate = rate(after.list_traffic, before.list_traffic);
        let link_rate = rate(after.link_traffic, before.link_traffic);
        LineBuilder { stage, point, repeat, before, after, seconds, list_rate, link_rate }
    }

    /// The lines of all roles that the fleet has; `broken` goes to the hollow gateways' line.
    fn lines(&self, broken: Vec<String>) -> Vec<Line> {
        let mut lines = Vec::new();
        if self.stage.plan.hollow() > 0 {
            lines.push(self.hollow_gateways(broken));
        }
        if self.stage.plan.real > 0 {
            lines.push(self.real_gateways());
        }
        if self.stage.relays.is_some() {
            let usage = RoleUsage::between(&self.before.relays, &self.after.relays);
            lines.push(self.line(Some(Role::Relay), &usage, 1.0, TrafficRates::default()));
        }
        lines.extend([self.coordinator(), self.endpoint_list(), self.stores()]);
        lines
    }

    fn hollow_gateways(&self, broken: Vec<String>) -> Line {
        let hollow = f64::from(self.stage.plan.hollow());
        let turns = self.after.turns.saturating_sub(self.before.turns);
        let usage = RoleUsage::between(&self.before.workers, &self.after.workers);
        Line {
            turns_per_second: turns as f64 / self.seconds / hollow,
            in_force_seconds: spans(&self.stage.committed, &self.stage.acted),
            broken,
            ..self.line(None, &usage, hollow, self.rates_of_each_gateway())
        }
    }

    fn real_gateways(&self) -> Line {
        let real = f64::from(self.stage.plan.real);
        let logged = self.stage.logged();
        let usage = RoleUsage::between(&self.before.real, &self.after.real);
        Line {
            in_force_seconds: spans(&self.stage.committed, &logged),
            broken: unmet(self.stage.plan.real, &self.stage.committed, &logged),
            ..self.line(Some(Role::Gateway), &usage, real, self.rates_of_each_gateway())
        }
    }

    fn coordinator(&self) -> Line {
        let usage = RoleUsage::between(&[self.before.keeper], &[self.after.keeper]);
        self.line(Some(Role::Keeper), &usage, 1.0, TrafficRates::default())
    }

    fn endpoint_list(&self) -> Line {
        let usage = RoleUsage::between(&[self.before.list], &[self.after.list]);
        let rates = TrafficRates { control: self.list_rate, list: self.list_rate, links: 0.0 };
        self.line(Some(Role::List), &usage, 1.0, rates)
    }

    fn stores(&self) -> Line {
        let usage = RoleUsage::between(&self.before.stores, &self.after.stores);
        let rates = TrafficRates { control: self.link_rate, list: 0.0, links: self.link_rate };
        self.line(Some(Role::Store), &usage, 1.0, rates)
    }

    fn rates_of_each_gateway(&self) -> TrafficRates {
        let gateways = f64::from(self.stage.plan.gateways);
        TrafficRates {
            control: (self.list_rate + self.link_rate) / gateways,
            list: self.list_rate / gateways,
            links: self.link_rate / gateways,
        }
    }

    /// A role's line, its usage divided evenly among `members`.
    fn line(&self, role: Option<Role>, usage: &RoleUsage, members: f64, rates: TrafficRates) -> Line {
        let plan = &self.stage.plan;
        Line {
            point: self.point.into(),
            repeat: self.repeat,
            role,
            gateways: plan.gateways,
            stores: plan.stores,
            answering: self.stage.demand.answering,
            volumes: plan.volumes,
            hollow: plan.hollow(),
            processes: usage.processes as u32,
            seconds: self.seconds,
            changes_per_second: plan.changes_per_second,
            restarts_per_hour: plan.restarts_per_hour,
            start_seconds: self.stage.started.as_secs_f64(),
            start_bytes: self.stage.start_bytes as f64 / f64::from(plan.gateways),
            idle_core_percent: usage.cpu / self.seconds * 100.0 / members,
            rss_mb: usage.rss as f64 / MB / members,
            rss_total_mb: usage.rss as f64 / MB,
            control_bytes_per_second: rates.control,
            list_bytes_per_second: rates.list,
            link_bytes_per_second: rates.links,
            turns_per_second: 0.0,
            changes: self.stage.committed.len() as u32,
            restarts: self.stage.restarts,
            in_force_seconds: None,
            load: load(),
            broken: Vec::new(),
        }
    }
}

/// Arguments of the program that make it a worker process.
const WORKER_ARGUMENTS: [&str; 3] = ["--log-level", "warn", "scale-worker"];

/// Starts a worker process of the program.
pub(crate) fn start_worker(setup: &Setup, folder: &Path, role: &str) -> Result<Worker, ScaleError> {
    Worker::start(&setup.program, &WORKER_ARGUMENTS, folder, role)
}

/// Starts the stores that accept connections, in the processes that the plan needs; returns these and the addresses.
async fn start_stores(
    setup: &Setup,
    folder: &Path,
    plan: &Plan,
    demand: &Demand,
) -> Result<(Vec<Worker>, Vec<SocketAddr>), ScaleError> {
    let mut workers = Vec::new();
    let mut from = 1;
    for number in 0..demand.store_processes {
        let count = share(demand.answering, demand.store_processes, number);
        let mut worker = start_worker(setup, folder, &format!("stores-{number}"))?;
        worker.tell(&Order::Stores { from, count, seed: plan.seed }).await?;
        from += u64::from(count);
        workers.push(worker);
    }
    let mut addresses = Vec::new();
    for worker in &mut workers {
        if let Reply::Stores(more) = worker.hear().await? {
            addresses.extend(more);
        }
    }
    Ok((workers, addresses))
}

/// The stores that the list names: those that accept connections, and at [`NOWHERE`] the others.
fn named_stores(stores: u32, mut addresses: Vec<SocketAddr>) -> Vec<Named> {
    addresses.resize(stores as usize, NOWHERE);
    let named = (1..).zip(addresses);
    named.map(|(store, address)| Named { store, address, zone: store as u32 % ZONES }).collect()
}

/// Starts the endpoint list in a worker process; returns its address.
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

/// Starts the coordinator; returns its process and address.
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

/// Bytes of a MiB.
pub(crate) const MB: f64 = (1 << 20) as f64;

/// The share of one of `sharers` that divide `things` as evenly as possible.
fn share(things: u32, sharers: u32, number: u32) -> u32 {
    things / sharers + u32::from(number < things % sharers)
}

/// What a line of a real gateway's log says that it acted on, if it says so.
fn acted_by_log(gateway: u32, line: &str) -> Option<Acted> {
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    let fields = line.get("fields").filter(|fields| fields["message"] == "changes acted on")?;
    let at = humantime::parse_rfc3339(line["timestamp"].as_str()?).ok()?;
    let at = at.duration_since(std::time::UNIX_EPOCH).ok()?.as_micros() as u64;
    Some(Acted { gateway, version: fields["version"].as_u64()?, at })
}

/// Quantiles over each change and each gateway of the seconds until the gateway had acted on that change or a
/// later one.
///
/// A gateway that never did is left out; the caller finds it by other means.
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

/// A message about the real gateways whose logs do not say that they acted on the last change.
fn unmet(real: u32, committed: &BTreeMap<u64, u64>, logged: &[Acted]) -> Vec<String> {
    let Some(last) = committed.keys().last() else { return Vec::new() };
    let met = |gateway: &u32| logged.iter().any(|acted| acted.gateway == *gateway && acted.version >= *last);
    let unmet: Vec<u32> = (0..real).filter(|gateway| !met(gateway)).collect();
    match unmet.len() {
        0 => Vec::new(),
        count => vec![format!("{count} real gateways did not act on the last change: {unmet:?}")],
    }
}
