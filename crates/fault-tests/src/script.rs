//! The script of a scenario: the settings' calls, and its own calls `day`, `clients` and `trouble`.

use std::time::Duration;

use umbertray_config::{Arguments, Problem, SettingsDocument};
use umbertray_fakes::model::StorePerformance;

/// A group of clients with the same load on one volume.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientLoad {
    /// Index of the volume.
    pub volume: usize,
    /// Number of clients.
    pub clients: u32,
    /// Most requests that a client has pending at a time.
    pub depth: u32,
    /// Requests per second that a client sends if responses are immediate.
    pub rate: f64,
    /// Fraction of the requests that are reads. Requests that are neither reads nor flushes are writes.
    pub read_fraction: f64,
    /// Fraction of the requests that are flushes.
    pub flush_fraction: f64,
    /// Most bytes of a request; the length is drawn in whole blocks.
    pub max_length: u32,
    /// Number of distinct blocks that requests address. Fewer blocks mean more conflicting requests.
    pub block_count: u32,
}

/// Kinds of faults: those of a benchmark scenario, and a few that are specific to real connections. The
/// `Debug` form names the fault in the record's late steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Stores crash and restart cold.
    Crash,
    /// Work at stores takes longer.
    Slow,
    /// Stores pause repeatedly.
    Pauses,
    /// Attempts fail immediately.
    FastErrors,
    /// Stores reject all attempts.
    Full,
    /// Another workload uses a share of the store's capacity.
    Neighbour,
    /// The list service responds late.
    ReportLate,
    /// Responses of stores are lost.
    AnswerLost,
    /// Stores slow down and are replaced.
    Ageing,
    /// Stores drain in waves and are replaced.
    Preempt,
    /// Stores drain one by one and are replaced.
    Deploy,
    /// Stores accept connections and send nothing.
    Mute,
    /// Stores hold writes back for a while before queueing them.
    Sit,
    /// Connections to stores are reset repeatedly.
    Reset,
    /// The list service rejects calls.
    ListDown,
    /// Gateways are killed and started again at once.
    GatewayCrash,
    /// Gateways are killed, and started again at the end of the fault.
    GatewayDown,
    /// One gateway after another is killed and started again.
    GatewayLoop,
    /// Gateways are stalled with SIGSTOP for a while.
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
    /// Clients read sequentially through a volume.
    Scan,
    /// A range moves to another shard.
    Move,
    /// The coordinator is killed, and started again at the end of the fault.
    KeeperCrash,
    /// The coordinator is stalled with SIGSTOP for a while.
    KeeperStall,
    /// A second coordinator takes over from one that is stalled.
    KeeperSecond,
}

/// Names of the kinds in a script.
pub const FAULT_KINDS: [(&str, FaultKind); 29] = [
    ("crash", FaultKind::Crash),
    ("slow", FaultKind::Slow),
    ("pauses", FaultKind::Pauses),
    ("fast_errors", FaultKind::FastErrors),
    ("full", FaultKind::Full),
    ("neighbour", FaultKind::Neighbour),
    ("report_late", FaultKind::ReportLate),
    ("answer_lost", FaultKind::AnswerLost),
    ("ageing", FaultKind::Ageing),
    ("preempt", FaultKind::Preempt),
    ("deploy", FaultKind::Deploy),
    ("mute", FaultKind::Mute),
    ("sit", FaultKind::Sit),
    ("reset", FaultKind::Reset),
    ("list_down", FaultKind::ListDown),
    ("gateway_crash", FaultKind::GatewayCrash),
    ("gateway_down", FaultKind::GatewayDown),
    ("gateway_loop", FaultKind::GatewayLoop),
    ("gateway_stall", FaultKind::GatewayStall),
    ("reconnect", FaultKind::Reconnect),
    ("change", FaultKind::Change),
    ("burst", FaultKind::Burst),
    ("surge", FaultKind::Surge),
    ("hot_key", FaultKind::HotKey),
    ("scan", FaultKind::Scan),
    ("move", FaultKind::Move),
    ("keeper_crash", FaultKind::KeeperCrash),
    ("keeper_stall", FaultKind::KeeperStall),
    ("keeper_second", FaultKind::KeeperSecond),
];

/// A fault of a scenario, as its script describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptedFault {
    /// Kind of fault.
    pub kind: FaultKind,
    /// When it begins, from the start of the scenario.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// Fraction of the stores, gateways or clients that it affects; at least one store or gateway is
    /// affected.
    pub fraction: f64,
    /// Severity, whose meaning depends on the kind: a multiple, a share, milliseconds (`pauses`), seconds
    /// (`sit`, `report_late`, `gateway_loop`) or extents (`move`).
    pub magnitude: f64,
    /// Volume that a surge, a hot key, a scan or a move affects.
    pub volume: usize,
    /// Edits of a settings change, each KIND/NAME:FIELD=VALUE with the value in JSON.
    pub edits: Vec<String>,
}

/// A scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Text of the script.
    pub text: String,
    /// Settings of the gateways.
    pub document: SettingsDocument,
    /// How long faults are injected.
    pub duration: Duration,
    /// Number of gateways.
    pub gateways: u32,
    /// Number of stores, one per shard.
    pub stores: u32,
    /// Capacity of a store.
    pub store_performance: StorePerformance,
    /// Longest delay allowed between an event and its observation, on a machine that is busy with other work.
    pub slack: Duration,
    /// Whether gateways keep state in a folder across restarts.
    pub keeps_state: bool,
    /// Whether gateways follow a change log, which the scenario's faults may append to.
    pub uses_change_log: bool,
    /// Whether a coordinator, in a separate process, holds the map.
    pub has_coordinator: bool,
    /// Groups of clients.
    pub client_loads: Vec<ClientLoad>,
    /// Faults to inject.
    pub faults: Vec<ScriptedFault>,
}

impl Scenario {
    /// Reads a script; `file` names it in error messages.
    ///
    /// # Errors
    /// All problems with the script.
    pub fn read(file: &str, text: String) -> Result<Scenario, Vec<Problem>> {
        let calls = umbertray_config::evaluate(file, text.clone()).map_err(|problem| vec![problem])?;
        let mut document = umbertray_config::document(file, &calls)?;
        let mut problems = Vec::new();
        let volumes: Vec<String> = document.settings.volumes.iter().map(|v| v.name.clone()).collect();
        let mut read_calls = |function: &str, read: &mut dyn FnMut(&mut Arguments)| {
            for call in calls.iter().filter(|call| call.function == function) {
                let mut args = Arguments::new(call, &mut problems);
                read(&mut args);
                args.reject_unread();
            }
        };
        let (mut client_loads, mut faults, mut parameters) = (Vec::new(), Vec::new(), Vec::new());
        read_calls("clients", &mut |args| client_loads.push(read_load(args, &volumes)));
        read_calls("trouble", &mut |args| faults.push(read_fault(args, &volumes)));
        read_calls("day", &mut |args| parameters.push(read_parameters(args)));
        let script_problem =
            |what: &str| Problem { file: file.into(), line: 0, column: 0, message: what.into() };
        if parameters.len() != 1 {
            problems.push(script_problem("the script must call day exactly once"));
        }
        if client_loads.is_empty() {
            problems.push(script_problem("the script must call clients at least once"));
        }
        let Some(parameters) = parameters.pop().filter(|_| problems.is_empty()) else {
            return Err(problems);
        };
        let (
            duration,
            gateways,
            stores,
            slack,
            keeps_state,
            uses_change_log,
            has_coordinator,
            mut store_performance,
        ) = parameters;
        let rules = &document.settings.rules;
        store_performance.cold_speed_fraction = rules.slow_start_fraction;
        store_performance.warm_up_seconds = rules.slow_start_duration.as_secs_f64();
        store_performance.crash_multiple = rules.slow_start_multiple;
        store_performance.crash_window_seconds = rules.slow_start_window.as_secs_f64();
        document.settings.gateways = gateways;
        document.settings.volumes.iter_mut().for_each(|volume| volume.gateways = gateways);
        Ok(Scenario {
            text,
            document,
            duration,
            gateways,
            stores,
            store_performance,
            slack,
            keeps_state,
            uses_change_log,
            has_coordinator,
            client_loads,
            faults,
        })
    }
}

/// Arguments of `day`: duration, gateways, stores, slack, whether state is kept, whether a change log is
/// used, whether there is a coordinator, and the capacity of a store.
type Parameters = (Duration, u32, u32, Duration, bool, bool, bool, StorePerformance);

fn read_parameters(args: &mut Arguments) -> Parameters {
    let default = StorePerformance::default();
    let store_performance = StorePerformance {
        cores: args.count("cores", 1..=64, Some(default.cores.into())) as u32,
        unit_ms: args.number("unit_ms", 0.01..=1000.0, Some(default.unit_ms)),
        queue: args.count("queue", 1..=100_000, Some(default.queue as u64)) as usize,
        locality_saving: args.number("run_saves", 0.0..=0.95, Some(default.locality_saving)),
        deferred_fraction: args.number("put_off", 0.0..=0.95, Some(default.deferred_fraction)),
        ..default
    };
    (
        args.duration("length", 0.1..=3600.0, None),
        args.count("gateways", 1..=32, Some(3)) as u32,
        args.count("stores", 1..=64, Some(6)) as u32,
        args.duration("slack", 0.0..=10.0, Some(0.25)),
        args.flag("state"),
        args.flag("changes"),
        args.flag("keeper"),
        store_performance,
    )
}

/// Index of the volume of this name. Reports an unknown name as a problem and returns 0.
fn volume_index(args: &mut Arguments, name: &str, volumes: &[String]) -> usize {
    volumes.iter().position(|known| known == name).unwrap_or_else(|| {
        args.problem(format!("there is no volume {name:?}"));
        0
    })
}

fn read_load(args: &mut Arguments, volumes: &[String]) -> ClientLoad {
    let name = args.positional_text();
    let volume = volume_index(args, &name, volumes);
    let read_fraction = args.number("reads", 0.0..=1.0, Some(0.6));
    let flush_fraction = args.number("flushes", 0.0..=1.0, Some(0.02));
    if read_fraction + flush_fraction > 1.0 {
        args.problem(format!("the sum of reads {read_fraction} and flushes {flush_fraction} exceeds 1"));
    }
    ClientLoad {
        volume,
        clients: args.count("count", 1..=10_000, Some(10)) as u32,
        depth: args.count("depth", 1..=64, Some(1)) as u32,
        rate: args.number("rate", 0.01..=100_000.0, Some(20.0)),
        read_fraction,
        flush_fraction,
        max_length: args.count("length", 4096..=1 << 20, Some(16 << 10)) as u32,
        block_count: args.count("blocks", 1..=1 << 20, Some(256)) as u32,
    }
}

fn read_fault(args: &mut Arguments, volumes: &[String]) -> ScriptedFault {
    let name = args.positional_text();
    let kind = FAULT_KINDS.iter().find(|(known, _)| *known == name).map(|(_, kind)| *kind);
    if kind.is_none() {
        let known = FAULT_KINDS.map(|(name, _)| name).join(", ");
        args.problem(format!("unknown kind {name:?}; known kinds: {known}"));
    }
    let volume_name = args.text("volume", volumes.first().map(String::as_str));
    ScriptedFault {
        kind: kind.unwrap_or(FaultKind::Crash),
        at: args.duration("at", 0.0..=3600.0, None),
        duration: args.duration("lasts", 0.0..=3600.0, Some(1.0)),
        fraction: args.number("part", 0.0..=1.0, Some(0.0)),
        magnitude: args.number("size", 0.0..=1e6, Some(2.0)),
        volume: volume_index(args, &volume_name, volumes),
        edits: args.text("edits", Some("")).split_whitespace().map(String::from).collect(),
    }
}
