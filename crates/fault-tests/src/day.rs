//! A day as a script: the settings' calls, and `day`, `clients` and `trouble`.

use std::time::Duration;

use umbertray_config::{Arguments, Problem, SettingsDocument};
use umbertray_fakes::model::Power;

/// Clients of one kind, on one volume.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Index of the volume.
    pub volume: usize,
    /// Number of clients.
    pub clients: u32,
    /// Requests that a client has out at most.
    pub depth: u32,
    /// Requests a second that a client asks for, if they are answered at once.
    pub rate: f64,
    /// Parts of the requests that read and flush; the others write.
    pub reads: f64,
    /// See `reads`.
    pub flushes: f64,
    /// Bytes of a request, at most; drawn in blocks.
    pub length: u32,
    /// The blocks that requests go to: the fewer, the more they meet.
    pub blocks: u32,
}

/// Kinds of trouble, of a bench day and a few of the wire's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Stores die and come back cold.
    Crash,
    /// Work takes longer.
    Slow,
    /// Stores stop for a while, again and again.
    Pauses,
    /// Attempts fail at once.
    FastErrors,
    /// All is rejected.
    Full,
    /// A neighbour takes a share of the store.
    Neighbour,
    /// The list answers late.
    ReportLate,
    /// Answers never come.
    AnswerLost,
    /// Stores slow down and are replaced.
    Ageing,
    /// Stores drain in waves and are replaced.
    Preempt,
    /// Stores drain one by one and are replaced.
    Deploy,
    /// Connections are accepted and nothing is said.
    Mute,
    /// Writes are put aside before they queue.
    Sit,
    /// Connections to stores are reset again and again.
    Reset,
    /// The list rejects calls.
    ListDown,
    /// Gateways are killed and started again.
    GatewayCrash,
    /// The same, after the fault's time.
    GatewayDown,
    /// One gateway after another is killed and started again.
    GatewayLoop,
    /// Gateways are stopped for a while.
    GatewayStall,
    /// Clients drop their connections.
    Reconnect,
    /// The shared settings change.
    Change,
    /// All volumes get more requests.
    Burst,
    /// One volume gets more requests.
    Surge,
    /// One block gets all requests of its volume.
    HotKey,
    /// Clients read through a volume.
    Scan,
    /// A range moves to another shard.
    Move,
    /// The coordinator is killed and started again.
    KeeperCrash,
    /// The coordinator is stopped for a while.
    KeeperStall,
    /// A second coordinator takes over from one that is stopped.
    KeeperSecond,
}

/// The kinds by their names in a script.
pub const KINDS: [(&str, Kind); 29] = [
    ("crash", Kind::Crash),
    ("slow", Kind::Slow),
    ("pauses", Kind::Pauses),
    ("fast_errors", Kind::FastErrors),
    ("full", Kind::Full),
    ("neighbour", Kind::Neighbour),
    ("report_late", Kind::ReportLate),
    ("answer_lost", Kind::AnswerLost),
    ("ageing", Kind::Ageing),
    ("preempt", Kind::Preempt),
    ("deploy", Kind::Deploy),
    ("mute", Kind::Mute),
    ("sit", Kind::Sit),
    ("reset", Kind::Reset),
    ("list_down", Kind::ListDown),
    ("gateway_crash", Kind::GatewayCrash),
    ("gateway_down", Kind::GatewayDown),
    ("gateway_loop", Kind::GatewayLoop),
    ("gateway_stall", Kind::GatewayStall),
    ("reconnect", Kind::Reconnect),
    ("change", Kind::Change),
    ("burst", Kind::Burst),
    ("surge", Kind::Surge),
    ("hot_key", Kind::HotKey),
    ("scan", Kind::Scan),
    ("move", Kind::Move),
    ("keeper_crash", Kind::KeeperCrash),
    ("keeper_stall", Kind::KeeperStall),
    ("keeper_second", Kind::KeeperSecond),
];

/// A fault of a day.
#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    /// What happens.
    pub kind: Kind,
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// The part of the stores, gateways or clients that it strikes; one of them at least.
    pub part: f64,
    /// How bad: a multiple, a share or milliseconds, by kind.
    pub size: f64,
    /// The volume that it is about, for a surge, a hot key or a scan.
    pub volume: usize,
    /// Of a change: KIND/NAME:FIELD=VALUE, the value in JSON.
    pub edits: Vec<String>,
}

/// A scenario.
#[derive(Clone, Debug)]
pub struct Day {
    /// The script.
    pub text: String,
    /// The settings of its gateways.
    pub document: SettingsDocument,
    /// How long faults are played.
    pub length: Duration,
    /// Number of gateways.
    pub gateways: u32,
    /// Number of stores, each with a shard of its own.
    pub stores: u32,
    /// What a store can do.
    pub power: Power,
    /// What may pass between a thing's happening and its being seen, on a machine that does much else.
    pub slack: Duration,
    /// Gateways keep state in a folder over their restarts.
    pub state: bool,
    /// Gateways follow a log of changes, in which the day's troubles may change things.
    pub changes: bool,
    /// A coordinator in a process of its own has the map.
    pub keeper: bool,
    /// Its clients.
    pub loads: Vec<Load>,
    /// Its faults.
    pub troubles: Vec<Trouble>,
}

impl Day {
    /// Reads a script; `file` is its name in messages.
    ///
    /// # Errors
    /// All problems of the script.
    pub fn read(file: &str, text: String) -> Result<Day, Vec<Problem>> {
        let calls = umbertray_config::evaluate(file, text.clone()).map_err(|problem| vec![problem])?;
        let mut document = umbertray_config::document(file, &calls)?;
        let mut problems = Vec::new();
        let volumes: Vec<String> = document.settings.volumes.iter().map(|v| v.name.clone()).collect();
        let mut of = |function: &str, read: &mut dyn FnMut(&mut Arguments)| {
            for call in calls.iter().filter(|call| call.function == function) {
                let mut args = Arguments::new(call, &mut problems);
                read(&mut args);
                args.end();
            }
        };
        let (mut loads, mut troubles, mut days) = (Vec::new(), Vec::new(), Vec::new());
        of("clients", &mut |args| loads.push(load(args, &volumes)));
        of("trouble", &mut |args| troubles.push(trouble(args, &volumes)));
        of("day", &mut |args| days.push(figures(args)));
        let whole = |what: &str| Problem { file: file.into(), line: 0, column: 0, what: what.into() };
        if days.len() != 1 {
            problems.push(whole("one call of day is wanted"));
        }
        if loads.is_empty() {
            problems.push(whole("no clients are named"));
        }
        let Some((length, gateways, stores, slack, state, changes, keeper, mut power)) =
            days.pop().filter(|_| problems.is_empty())
        else {
            return Err(problems);
        };
        let rules = &document.settings.rules;
        power.cold_from = rules.slow_start_from;
        power.cold_s = rules.slow_start_duration.as_secs_f64();
        power.fall_multiple = rules.slow_start_multiple;
        power.fall_s = rules.slow_start_window.as_secs_f64();
        document.settings.gateways = gateways;
        document.settings.volumes.iter_mut().for_each(|volume| volume.gateways = gateways);
        #[rustfmt::skip]
        let day = Day { text, document, length, gateways, stores, power, slack, state, changes, keeper, loads, troubles };
        Ok(day)
    }
}

type Figures = (Duration, u32, u32, Duration, bool, bool, bool, Power);

fn figures(args: &mut Arguments) -> Figures {
    let plain = Power::default();
    let power = Power {
        cores: args.count("cores", 1..=64, Some(plain.cores.into())) as u32,
        unit_ms: args.number("unit_ms", 0.01..=1000.0, Some(plain.unit_ms)),
        queue: args.count("queue", 1..=100_000, Some(plain.queue as u64)) as usize,
        run_saves: args.number("run_saves", 0.0..=0.95, Some(plain.run_saves)),
        put_off: args.number("put_off", 0.0..=0.95, Some(plain.put_off)),
        ..plain
    };
    (
        args.duration("length", 0.1..=3600.0, None),
        args.count("gateways", 1..=32, Some(3)) as u32,
        args.count("stores", 1..=64, Some(6)) as u32,
        args.duration("slack", 0.0..=10.0, Some(0.25)),
        args.flag("state"),
        args.flag("changes"),
        args.flag("keeper"),
        power,
    )
}

fn volume(args: &mut Arguments, name: &str, volumes: &[String]) -> usize {
    volumes.iter().position(|known| known == name).unwrap_or_else(|| {
        args.problem(format!("there is no volume {name:?}"));
        0
    })
}

fn load(args: &mut Arguments, volumes: &[String]) -> Load {
    let name = args.first_text();
    let volume = volume(args, &name, volumes);
    let (reads, flushes) =
        (args.number("reads", 0.0..=1.0, Some(0.6)), args.number("flushes", 0.0..=1.0, Some(0.02)));
    if reads + flushes > 1.0 {
        args.problem(format!("reads {reads} and flushes {flushes} are over 1 together"));
    }
    Load {
        volume,
        clients: args.count("count", 1..=10_000, Some(10)) as u32,
        depth: args.count("depth", 1..=64, Some(1)) as u32,
        rate: args.number("rate", 0.01..=100_000.0, Some(20.0)),
        reads,
        flushes,
        length: args.count("length", 4096..=1 << 20, Some(16 << 10)) as u32,
        blocks: args.count("blocks", 1..=1 << 20, Some(256)) as u32,
    }
}

fn trouble(args: &mut Arguments, volumes: &[String]) -> Trouble {
    let name = args.first_text();
    let kind = KINDS.iter().find(|(known, _)| *known == name).map(|(_, kind)| *kind);
    if kind.is_none() {
        let known = KINDS.map(|(name, _)| name).join(", ");
        args.problem(format!("{name:?} is none of {known}"));
    }
    let on = args.text("volume", volumes.first().map(String::as_str));
    Trouble {
        kind: kind.unwrap_or(Kind::Crash),
        at: args.duration("at", 0.0..=3600.0, None),
        lasts: args.duration("lasts", 0.0..=3600.0, Some(1.0)),
        part: args.number("part", 0.0..=1.0, Some(0.0)),
        size: args.number("size", 0.0..=1e6, Some(2.0)),
        volume: volume(args, &on, volumes),
        edits: args.text("edits", Some("")).split_whitespace().map(String::from).collect(),
    }
}
