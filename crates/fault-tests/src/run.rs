//! Playing a day: gateways as child processes, stores and clients here, troubles at their times.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::watch;
use umbertray_config_log::guard::GUARDS;
use umbertray_config_log::log::SEGMENT_BYTES;
use umbertray_config_log::{Change, Configuration, Edit, Log, Version};
use umbertray_fakes::fleet::Fleet;
use umbertray_fakes::model::Fault;
use umbertray_snapshot::Disk;
use umbertray_store_protocol::list::EndpointState;
use umbertray_store_protocol::orders::ExtentRange;
use umbertray_store_protocol::volume_id;

use crate::coordinator::CoordinatorProcess;
use crate::day::{Day, Kind, Trouble};
use crate::load::{Client, Shared, Weather};
use crate::record::{Deed, Record};

/// How long a gateway may take to say where it listens.
const START: Duration = Duration::from_secs(20);

/// After a day's troubles a move may take so long to its end.
const MOVED: Duration = Duration::from_secs(20);

/// Connections that are reset now and then are so this often.
const RESETS: Duration = Duration::from_millis(40);

/// One process of the program; ended when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a sub-command, under a name of its own, on a script written into `folder`; what it says first.
    pub async fn start(
        program: &Path,
        folder: &Path,
        (command, name): (&str, &str),
        script: &str,
        arguments: &[&str],
    ) -> io::Result<(Process, serde_json::Value)> {
        Process::start_in(program, folder, (command, name), script, arguments, &[]).await
    }

    /// The same with variables of its own.
    pub async fn start_in(
        program: &Path,
        folder: &Path,
        (command, name): (&str, &str),
        script: &str,
        arguments: &[&str],
        environment: &[(&str, String)],
    ) -> io::Result<(Process, serde_json::Value)> {
        let file = folder.join(format!("{name}.star"));
        tokio::task::block_in_place(|| std::fs::write(&file, script))?;
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(folder.join(format!("{name}.log")))?;
        let mut child = Command::new(program)
            .args(["--log", "json", command, "--config"])
            .arg(&file)
            .args(arguments)
            .envs(environment.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        let out = child.stdout.take().ok_or_else(|| io::Error::other("no standard output"))?;
        let mut lines = BufReader::new(out).lines();
        let line = tokio::time::timeout(START, lines.next_line()).await??;
        let said: serde_json::Value = serde_json::from_str(&line.unwrap_or_default())?;
        Ok((Process { child }, said))
    }

    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = self.child.id().ok_or(io::ErrorKind::NotFound)?;
        kill(Pid::from_raw(id as i32), signal).map_err(io::Error::from)
    }

    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    pub async fn kill(&mut self) -> io::Result<()> {
        self.child.kill().await
    }

    /// Asks it to stop, and says how long that took and whether it ended well.
    pub async fn stop(mut self, patience: Duration) -> io::Result<(Duration, bool)> {
        let began = std::time::Instant::now();
        self.signal(Signal::SIGTERM)?;
        let status = tokio::time::timeout(patience, self.child.wait()).await??;
        Ok((began.elapsed(), status.success()))
    }

    /// Waits for its end; whether it ended well.
    pub async fn ended(&mut self, patience: Duration) -> io::Result<bool> {
        Ok(tokio::time::timeout(patience, self.child.wait()).await??.success())
    }
}

/// One gateway in a process of its own.
pub struct Gateway {
    process: Process,
    pub address: SocketAddr,
}

impl Gateway {
    /// Starts `program serve` on a settings file written into `folder`.
    pub async fn start(program: &Path, folder: &Path, name: &str, settings: &str) -> io::Result<Gateway> {
        Gateway::start_in(program, folder, name, settings, &[]).await
    }

    /// The same with variables of its own.
    pub async fn start_in(
        program: &Path,
        folder: &Path,
        name: &str,
        settings: &str,
        environment: &[(&str, String)],
    ) -> io::Result<Gateway> {
        let (process, said) =
            Process::start_in(program, folder, ("serve", name), settings, &[], environment).await?;
        let address = said["nbd"][0].as_str().and_then(|text| text.parse().ok());
        let address =
            address.ok_or_else(|| io::Error::other(format!("{name} did not say where it listens")))?;
        Ok(Gateway { process, address })
    }

    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        self.process.signal(signal)
    }

    pub fn id(&self) -> Option<u32> {
        self.process.id()
    }

    pub async fn kill(&mut self) -> io::Result<()> {
        self.process.kill().await
    }

    /// Asks it to stop, and says how long that took and whether it ended well.
    pub async fn stop(self, patience: Duration) -> io::Result<(Duration, bool)> {
        self.process.stop(patience).await
    }
}

struct Stage {
    day: Day,
    seed: u64,
    program: PathBuf,
    folder: PathBuf,
    fleet: Fleet,
    gateways: Vec<Gateway>,
    shared: Arc<Shared>,
    weather: watch::Sender<Weather>,
    draw: StdRng,
    /// Stores killed, to be started again.
    down: Vec<umbertray_fakes::store::Identity>,
    keeper: Option<CoordinatorProcess>,
    /// Coordinators that were taken over from, standing still.
    still: Vec<Process>,
    /// Moves that were taken on.
    moves: Vec<u64>,
}

/// Plays a day with gateways of `program`, their settings and logs in `folder`.
pub async fn run_scenario(day: &Day, seed: u64, program: &Path, folder: &Path) -> io::Result<Record> {
    let fleet = Fleet::start(day.stores, day.power.clone(), seed).await?;
    let volumes = &day.document.settings.volumes;
    let (weather, watched) = watch::channel(Weather::fair(volumes.len()));
    let longest = day.document.settings.op_types.iter().map(|op_type| op_type.op_timeout).max();
    let shared = Arc::new(Shared {
        book: fleet.book.clone(),
        weather: watched,
        record: Mutex::default(),
        marks: AtomicU64::new(1),
        gateways: Mutex::default(),
        patience: 2 * longest.unwrap_or_default() + Duration::from_secs(5),
    });
    let mut stage = Stage {
        day: day.clone(),
        seed,
        program: program.into(),
        folder: folder.into(),
        fleet,
        gateways: Vec::new(),
        shared: shared.clone(),
        weather,
        draw: StdRng::seed_from_u64(seed),
        down: Vec::new(),
        keeper: None,
        still: Vec::new(),
        moves: Vec::new(),
    };
    if day.keeper {
        _ = std::fs::remove_dir_all(folder.join("keeper"));
        stage.keeper = Some(CoordinatorProcess::start(program, folder, stage.fleet.list.address).await?);
    }
    if day.changes {
        _ = std::fs::remove_dir_all(stage.log());
        let wanted = Configuration::of_calls(&day.document.calls());
        stage.change(Configuration::default().diff(&wanted))?;
    }
    for number in 0..day.gateways as usize {
        // What another rehearsal left in the same place is not this one's.
        _ = std::fs::remove_dir_all(folder.join(format!("state-{number}")));
        let gateway = stage.gateway(number, 0).await?;
        stage.shared.gateways.lock().map_err(|_| io::Error::other("poisoned"))?.push(gateway.address);
        stage.gateways.push(gateway);
    }
    let mut clients = tokio::task::JoinSet::new();
    let mut number = 0;
    for load in &day.loads {
        for _ in 0..load.clients {
            let client = Client {
                number,
                gateway: number as usize % day.gateways as usize,
                load: load.clone(),
                volume_name: volumes[load.volume].name.clone(),
                volume_bytes: volumes[load.volume].size,
                seed: seed ^ (u64::from(number) + 1).wrapping_mul(0x2545_f491_4f6c_dd1d),
                shared: shared.clone(),
            };
            clients.spawn(client.run());
            number += 1;
        }
    }
    stage.play().await?;
    stage.weather.send_modify(|weather| weather.over = true);
    stage.moves_ended().await?;
    while clients.join_next().await.is_some() {}
    for gateway in stage.gateways.drain(..) {
        let (_, well) = gateway.stop(shared.patience).await?;
        if !well {
            return Err(io::Error::other("a gateway did not end well when asked to stop"));
        }
    }
    let mut record = shared.record.lock().map(|mut record| std::mem::take(&mut *record));
    if let Ok(record) = &mut record {
        record.asked.sort_by_key(|asked| asked.sent);
        record.stores = stage.fleet.book.entries();
    }
    record.map_err(|_| io::Error::other("poisoned"))
}

/// A step of a trouble: what is to be done when.
enum Step {
    Begin(usize),
    End(usize),
    /// A store killed by a trouble comes back.
    Restart(u64),
    /// A drained store's process ends.
    Gone(u64),
    /// One more store is drained and replaced.
    Replace(u64),
    Worse(usize, u32),
    /// The coordinator comes back.
    CoordinatorProcess,
}

impl Stage {
    async fn gateway(&self, number: usize, life: u64) -> io::Result<Gateway> {
        let mut document = self.day.document.clone();
        document.endpoint_list = self.fleet.list.address;
        document.coordinator = self.keeper.as_ref().map(|keeper| keeper.address);
        // A gateway's state is that of its seed, so its lives share one where state is kept.
        let life = if self.day.state { 0 } else { life };
        document.seed = (self.seed << 16 ^ number as u64 ^ life << 8) & ((1 << 53) - 1);
        let folder = std::path::absolute(self.folder.join(format!("state-{number}")))?;
        document.state = self.day.state.then(|| folder.display().to_string());
        document.listen = vec![SocketAddr::from(([127, 0, 0, 1], 0))];
        let name = format!("gateway-{number}");
        let own = |call: &&umbertray_config::FunctionCall| {
            !self.day.changes || ["gateway", "bounds"].contains(&call.function)
        };
        if self.day.changes {
            let folder = std::path::absolute(self.log())?.display().to_string();
            document.changes = Some(umbertray_config::ChangeSource::Folder(folder));
        }
        let script: String =
            document.calls().iter().filter(own).map(|call| call.as_script() + "\n").collect();
        Gateway::start(&self.program, &self.folder, &name, &script).await
    }

    fn log(&self) -> PathBuf {
        self.folder.join("changes")
    }

    /// Commits edits of the shared settings; which limits are others from then on is on record.
    fn change(&self, edits: Vec<Edit>) -> io::Result<()> {
        let disk = Disk::open(&self.log())?;
        let mut log = Log::open(Box::new(disk), SEGMENT_BYTES).map_err(io::Error::other)?;
        let before = log.head().clone();
        let change = Change {
            id: format!("change-{}", before.number),
            base: before.number,
            actor: "the day".into(),
            reason: "its script says so".into(),
            at: self.shared.book.now(),
            edits,
            allow: GUARDS.iter().map(|(_, guard)| *guard).collect(),
        };
        log.commit(change).map_err(io::Error::other)?;
        let limit =
            |version: &Version, name: &str| version.plan_named(name).and_then(|plan| plan.limit.clone());
        for plan in &self.day.document.settings.plans {
            let now = limit(log.head(), &plan.name);
            if let Some(now) = now.filter(|now| limit(&before, &plan.name).as_ref() != Some(now)) {
                self.note(Deed::Limit { plan: plan.name.clone(), rate: now.rate, burst: now.burst });
            }
        }
        Ok(())
    }

    fn note(&self, deed: Deed) {
        if let Ok(mut record) = self.shared.record.lock() {
            record.deeds.push((self.shared.book.now(), deed));
        }
    }

    async fn play(&mut self) -> io::Result<()> {
        let began = tokio::time::Instant::now();
        let mut steps: Vec<(Duration, Step)> = Vec::new();
        for (i, trouble) in self.day.troubles.iter().enumerate() {
            steps.push((trouble.at, Step::Begin(i)));
            steps.push((trouble.at + trouble.lasts, Step::End(i)));
        }
        let mut struck: Vec<Vec<u64>> = vec![Vec::new(); self.day.troubles.len()];
        loop {
            steps.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
            let Some((at, step)) = steps.pop().filter(|(at, _)| *at <= self.day.length) else { break };
            tokio::time::sleep_until(began + at).await;
            match step {
                Step::Begin(i) => {
                    let trouble = self.day.troubles[i].clone();
                    struck[i] = self.begin(&trouble, i, at, &mut steps).await?;
                }
                Step::End(i) => {
                    let trouble = self.day.troubles[i].clone();
                    self.end(&trouble, &std::mem::take(&mut struck[i])).await?;
                }
                Step::Restart(id) => self.restart(id).await?,
                Step::Gone(id) => {
                    self.fleet.list.state(id, EndpointState::Gone);
                    self.fleet.kill(id).await;
                }
                Step::Replace(id) => self.replace(id, at, &mut steps).await?,
                Step::CoordinatorProcess => {
                    if let Some(keeper) = &mut self.keeper {
                        keeper.again().await?;
                    }
                }
                Step::Worse(i, times) => {
                    let slow = self.day.troubles[i].size.powf(f64::from(times) / 4.0);
                    struck[i].iter().for_each(|id| self.fleet.fault(*id, Fault { slow, ..Fault::default() }));
                }
            }
        }
        tokio::time::sleep_until(began + self.day.length).await;
        Ok(())
    }

    /// So many of them, drawn by the seed; one at least.
    fn some<T: Clone>(&mut self, all: &[T], part: f64) -> Vec<T> {
        let mut all = all.to_vec();
        all.shuffle(&mut self.draw);
        all.truncate(((all.len() as f64 * part).round() as usize).max(1));
        all
    }

    async fn begin(
        &mut self,
        trouble: &Trouble,
        index: usize,
        at: Duration,
        steps: &mut Vec<(Duration, Step)>,
    ) -> io::Result<Vec<u64>> {
        let (size, volume) = (trouble.size, trouble.volume);
        let ids = self.fleet.ids();
        let stores = self.some(&ids, trouble.part);
        let share = size.clamp(0.0, 1.0);
        let fault = match trouble.kind {
            Kind::Slow => Some(Fault { slow: size.max(1.0), ..Fault::default() }),
            Kind::FastErrors => Some(Fault { errors: share, ..Fault::default() }),
            Kind::AnswerLost => Some(Fault { lost: share, ..Fault::default() }),
            Kind::Full => Some(Fault { full: true, ..Fault::default() }),
            Kind::Neighbour => Some(Fault { slow: 1.0 / (1.0 - share.min(0.95)), ..Fault::default() }),
            Kind::Mute => Some(Fault { mute: true, ..Fault::default() }),
            Kind::Sit => Some(Fault { sits: Duration::from_secs_f64(size), ..Fault::default() }),
            _ => None,
        };
        if let Some(fault) = fault {
            stores.iter().for_each(|id| self.fleet.fault(*id, fault.clone()));
            return Ok(stores);
        }
        match trouble.kind {
            Kind::Crash => {
                for id in &stores {
                    self.fleet.kill(*id).await.into_iter().for_each(|identity| self.down.push(identity));
                    steps.push((at + trouble.lasts, Step::Restart(*id)));
                }
            }
            Kind::Reset => {
                stores.iter().filter_map(|id| self.fleet.get(*id)).for_each(|store| store.cut_links());
                // Again and again while it lasts.
                let again = at + RESETS;
                if again < trouble.at + trouble.lasts {
                    steps.push((again, Step::Begin(index)));
                }
            }
            Kind::Pauses => {
                let length = Duration::from_secs_f64(size / 1000.0);
                stores.iter().filter_map(|id| self.fleet.get(*id)).for_each(|store| store.pause(length));
                // Again and again, each time a few pauses later.
                let again = at + length * 8;
                if again < trouble.at + trouble.lasts {
                    steps.push((again, Step::Begin(index)));
                }
            }
            Kind::Ageing => {
                (0..4).for_each(|n| steps.push((at + trouble.lasts * n / 5, Step::Worse(index, n + 1))));
                for id in &stores {
                    steps.push((at + trouble.lasts, Step::Replace(*id)));
                }
            }
            Kind::Preempt => {
                for (n, id) in stores.iter().enumerate() {
                    steps.push((at + trouble.lasts / 4 * (n as u32 % 4), Step::Replace(*id)));
                }
            }
            Kind::Deploy => {
                let gap = trouble.lasts / stores.len() as u32;
                for (n, id) in stores.iter().enumerate() {
                    steps.push((at + gap * n as u32, Step::Replace(*id)));
                }
            }
            Kind::ReportLate => {
                self.fleet.list.delay(Duration::from_secs_f64(size));
                self.note(Deed::ListDelay { delay: (size * 1e6) as u64 });
            }
            Kind::ListDown => self.fleet.list.fail(true),
            Kind::GatewayCrash => {
                let all: Vec<usize> = (0..self.gateways.len()).collect();
                for number in self.some(&all, trouble.part) {
                    self.kill(number).await?;
                    self.revive(number).await?;
                }
            }
            Kind::GatewayDown => {
                let all: Vec<usize> = (0..self.gateways.len()).collect();
                let struck = self.some(&all, trouble.part);
                for number in &struck {
                    self.kill(*number).await?;
                }
                return Ok(struck.into_iter().map(|number| number as u64).collect());
            }
            Kind::GatewayLoop => {
                let number = self.draw.random_range(0..self.gateways.len());
                self.kill(number).await?;
                self.revive(number).await?;
                let again = at + Duration::from_secs_f64(size);
                if again < trouble.at + trouble.lasts {
                    steps.push((again, Step::Begin(index)));
                }
            }
            Kind::GatewayStall => {
                let all: Vec<usize> = (0..self.gateways.len()).collect();
                let struck = self.some(&all, trouble.part);
                for number in &struck {
                    let until = self.shared.book.now() + trouble.lasts.as_micros() as u64;
                    self.note(Deed::Stalled { gateway: *number, until });
                    self.gateways[*number].signal(Signal::SIGSTOP)?;
                }
                return Ok(struck.into_iter().map(|number| number as u64).collect());
            }
            Kind::Change => {
                let edits = trouble.edits.iter().map(|text| Edit::set(text)).collect::<Result<_, _>>();
                let edits = edits.map_err(io::Error::other)?;
                tokio::task::block_in_place(|| self.change(edits))?;
            }
            Kind::Reconnect => self.weather.send_modify(|weather| {
                weather.drops += 1;
                weather.drop_part = trouble.part;
            }),
            Kind::Burst => self.weather.send_modify(|weather| weather.rate.fill(size)),
            Kind::Surge => self.weather.send_modify(|weather| weather.rate[volume] = size),
            Kind::HotKey => self.weather.send_modify(|weather| {
                (weather.hot[volume], weather.rate[volume]) = (true, size);
            }),
            Kind::Move => self.wish(trouble).await?,
            Kind::KeeperCrash => {
                if let Some(keeper) = &mut self.keeper {
                    keeper.kill().await?;
                    steps.push((at + trouble.lasts, Step::CoordinatorProcess));
                }
            }
            Kind::KeeperStall => {
                self.keeper.iter().try_for_each(|keeper| keeper.signal(Signal::SIGSTOP))?;
            }
            Kind::KeeperSecond => {
                if let Some(keeper) = &mut self.keeper {
                    self.still.push(keeper.second().await?);
                }
            }
            Kind::Scan => self.weather.send_modify(|weather| weather.scan[volume] = true),
            _ => {}
        }
        Ok(stores)
    }

    async fn end(&mut self, trouble: &Trouble, struck: &[u64]) -> io::Result<()> {
        let volume = trouble.volume;
        match trouble.kind {
            Kind::ReportLate => {
                self.fleet.list.delay(Duration::ZERO);
                self.note(Deed::ListDelay { delay: 0 });
            }
            Kind::ListDown => self.fleet.list.fail(false),
            Kind::GatewayDown => {
                for number in struck {
                    self.revive(*number as usize).await?;
                }
            }
            Kind::GatewayStall => {
                struck.iter().try_for_each(|n| self.gateways[*n as usize].signal(Signal::SIGCONT))?;
            }
            Kind::KeeperStall => {
                self.keeper.iter().try_for_each(|keeper| keeper.signal(Signal::SIGCONT))?;
            }
            Kind::Burst => self.weather.send_modify(|weather| weather.rate.fill(1.0)),
            Kind::Surge | Kind::HotKey | Kind::Scan => self.weather.send_modify(|weather| {
                weather.rate[volume] = 1.0;
                (weather.hot[volume], weather.scan[volume]) = (false, false);
            }),
            _ => struck.iter().for_each(|id| self.fleet.fault(*id, Fault::default())),
        }
        Ok(())
    }

    /// Moves some extents of a volume to a shard: fewer, where so many do not lie together.
    async fn wish(&mut self, trouble: &Trouble) -> io::Result<()> {
        let settings = &self.day.document.settings;
        let volume = &settings.volumes[trouble.volume];
        let extents = volume.size.div_ceil(settings.extent_bytes.into());
        for size in [trouble.size, trouble.size / 2.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0] {
            let from = self.draw.random_range(0..extents);
            let to = (from + size.max(1.0) as u64).min(extents);
            let shard = self.draw.random_range(0..self.day.stores);
            let span = ExtentRange { volume: volume_id(&volume.name), start: from, end: to };
            let Some(keeper) = &self.keeper else { return Ok(()) };
            // It may be down, or refuse: whoever wishes asks again.
            if let Ok(Ok(number)) = keeper.wish(span, shard).await {
                self.moves.push(number);
                return Ok(());
            }
        }
        Ok(())
    }

    /// Danger: a move that never ends is a range that nobody serves, or two homes of one.
    async fn moves_ended(&mut self) -> io::Result<()> {
        let Some(keeper) = &self.keeper else { return Ok(()) };
        for number in &self.moves {
            keeper.ended(*number, MOVED).await?;
        }
        for mut former in self.still.drain(..) {
            former.signal(Signal::SIGCONT)?;
            if former.ended(START).await? {
                return Err(io::Error::other("a keeper that was taken over from ended as if nothing was"));
            }
        }
        Ok(())
    }

    async fn kill(&mut self, number: usize) -> io::Result<()> {
        self.note(Deed::Killed { gateway: number });
        self.gateways[number].kill().await
    }

    /// Starts a killed gateway again.
    async fn revive(&mut self, number: usize) -> io::Result<()> {
        let life = self.draw.random_range(1..256);
        let gateway = self.gateway(number, life).await?;
        if let Ok(mut all) = self.shared.gateways.lock() {
            all[number] = gateway.address;
        }
        self.gateways[number] = gateway;
        self.note(Deed::Returned { gateway: number });
        Ok(())
    }

    async fn restart(&mut self, id: u64) -> io::Result<()> {
        let Some(at) = self.down.iter().position(|identity| identity.store == id) else { return Ok(()) };
        let identity = self.down.swap_remove(at);
        self.fleet.restart(identity).await?;
        self.note(Deed::Ready { store: id });
        Ok(())
    }

    /// A successor starts cold; the store drains, and is gone a little later.
    async fn replace(&mut self, id: u64, at: Duration, steps: &mut Vec<(Duration, Step)>) -> io::Result<()> {
        let Some(shard) = self.fleet.shard(id) else { return Ok(()) };
        self.fleet.add(shard, true).await?;
        self.fleet.list.state(id, EndpointState::Draining);
        self.note(Deed::Barred { store: id });
        let grace = self.day.document.settings.rules.drain_grace;
        // It could serve on for long: nothing but the gateways' own doing keeps new work from it.
        steps.push((at + grace * 3 + self.day.slack * 2, Step::Gone(id)));
        Ok(())
    }
}
