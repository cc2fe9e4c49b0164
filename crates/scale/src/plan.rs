//! A fleet's sizes, what it will need, and whether there is room for it: decided before anything starts.

use serde::{Deserialize, Serialize};

use crate::relays::{self, Fault};

/// Bytes of memory that all processes of a run may hold together.
pub(crate) const MOST_BYTES: u64 = 12 << 30;
/// Processes of a run, this one among them.
pub(crate) const MOST_PROCESSES: u32 = 300;
/// Connections of gateways to stores that a run opens by default; `--answering` may ask for more.
pub(crate) const LINKS: u64 = 20_000;
/// Hollow gateways of one process at most: each has a thread that writes its snapshots.
const A_WORKER: u64 = 450;
/// Relays of a zone at most.
pub(crate) const MOST_RELAYS: u32 = 16;
/// Descriptors of a process besides those that grow with the fleet.
const OWN: u64 = 64;
/// Descriptors of a gateway besides its connections to stores: listener, list, coordinator, the lock of the
/// state folder, and the source of its configuration.
const A_GATEWAY: u64 = 6;

/// Bytes of a process without gateways.
///
/// This estimate and the four below are upper bounds for rejecting plans: trials of `umbertray scale` on a
/// busy machine of 8 cores, rounded up. 20 hollow gateways, 8 stores answering, held 42, 93 and 302 MB with
/// 250, 1,000 and 4,000 listed; 3 of them with 4,000 answering 149 MB, and the stores of the 16,000 links 204
/// MB.
pub(crate) const PROCESS_BYTES: u64 = 12 << 20;
/// Bytes of a hollow gateway without stores, volumes and connections.
pub(crate) const GATEWAY_BYTES: u64 = 1 << 20;
/// Bytes of a gateway for each store that the list names.
pub(crate) const LISTED_BYTES: u64 = 4_000;
/// Bytes of a gateway for each volume.
pub(crate) const VOLUME_BYTES: u64 = 1_000;
/// Bytes of both ends of a connection, the gateway's and the stand-in store's.
pub(crate) const LINK_BYTES: u64 = 22 << 10;

/// One size of a fleet, and what is done with it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// All gateways, real and hollow.
    pub gateways: u32,
    /// Real gateways, each in a process of its own.
    pub real: u32,
    /// Stores that the list names.
    pub stores: u32,
    /// Stores that accept connections; nobody listens at the others' addresses. `None`: as many as the
    /// default number of connections allows.
    pub answering: Option<u32>,
    /// Volumes of the configuration.
    pub volumes: u32,
    /// Changes of the configuration while the fleet is measured.
    pub changes_per_second: f64,
    /// Restarts of hollow gateways in the whole fleet while it is measured.
    pub restarts_per_hour: f64,
    /// How long the fleet is measured.
    pub seconds: f64,
    /// Seed of the random choices of the run, its gateways and its stores.
    pub seed: u64,
    /// Relays in each zone, between the change log's folder and the gateways; 0: gateways read the folder.
    #[serde(default)]
    pub relays: u32,
    /// What happens to one relay of each zone while the fleet is measured.
    #[serde(default)]
    pub fault: Option<Fault>,
}

impl Plan {
    /// Gateways that share processes.
    pub(crate) fn hollow(&self) -> u32 {
        self.gateways.saturating_sub(self.real)
    }
}

/// What a run may use of this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Open descriptors of one process.
    pub descriptors: u64,
    /// Bytes of memory of all processes together.
    pub bytes: u64,
    /// Processes.
    pub processes: u32,
}

impl Limits {
    /// The limits of a run on this machine, with the descriptors that the system allows a process.
    pub fn here() -> Limits {
        let most = nix::sys::resource::getrlimit(nix::sys::resource::Resource::RLIMIT_NOFILE);
        Limits {
            descriptors: most.map_or(1024, |(soft, _)| soft),
            bytes: MOST_BYTES,
            processes: MOST_PROCESSES,
        }
    }
}

/// What a plan needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Stores that accept connections.
    pub answering: u32,
    /// Processes of hollow gateways.
    pub workers: u32,
    /// Processes of stand-in stores.
    pub store_processes: u32,
    /// All processes of the run.
    pub processes: u32,
    /// Bytes of memory of all processes together.
    pub bytes: u64,
    /// Descriptors of the process that needs most.
    pub descriptors: u64,
}

/// Why a plan is rejected before anything is started.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum Refused {
    /// The plan contradicts itself or is out of range.
    #[error("{0}")]
    Wrong(String),
    #[error(
        "the plan needs {need} MB of memory, the limit is {limit} MB: fewer gateways, stores or answering stores"
    )]
    /// The plan needs more memory than the limit, both in MiB.
    Memory {
        /// What the plan needs.
        need: u64,
        /// What the run may use.
        limit: u64,
    },
    #[error(
        "the plan needs {need} processes, the limit is {limit}: fewer real gateways or answering stores ({links} links of gateways to stores)"
    )]
    /// The plan needs more processes than the limit.
    Processes {
        /// What the plan needs.
        need: u32,
        /// What the run may use.
        limit: u32,
        /// Connections of gateways to stores in the plan.
        links: u64,
    },
    #[error(
        "a {role} needs {need} descriptors, the limit is {limit} (ulimit -n): fewer gateways or answering stores, or a higher limit"
    )]
    /// One process of the plan needs more descriptors than the system allows.
    Descriptors {
        /// What the process is for.
        role: &'static str,
        /// What the process needs.
        need: u64,
        /// What the system allows it.
        limit: u64,
    },
    /// The folder of results cannot be written.
    #[error("--out {folder}: cannot be written: {why}")]
    Out {
        /// The folder.
        folder: String,
        /// The system's error.
        why: String,
    },
}

/// Rejects a plan that contradicts itself or is out of range.
fn sane(plan: &Plan) -> Result<(), Refused> {
    let wrong = |what: String| Err(Refused::Wrong(what));
    if plan.relays > MOST_RELAYS {
        return wrong(format!("{} relays a zone, the limit is {MOST_RELAYS}", plan.relays));
    }
    if plan.fault.is_some() && plan.relays == 0 {
        return wrong("a fault of relays, and no relays".into());
    }
    if plan.gateways == 0 || plan.stores == 0 || plan.volumes == 0 {
        return wrong(format!(
            "{} gateways, {} stores, {} volumes: one of each is the least",
            plan.gateways, plan.stores, plan.volumes
        ));
    }
    if plan.real > plan.gateways {
        return wrong(format!("{} real gateways of {} in all", plan.real, plan.gateways));
    }
    if let Some(answering) = plan.answering.filter(|answering| *answering > plan.stores) {
        return wrong(format!("{answering} answering stores of {} listed", plan.stores));
    }
    let spans = [
        ("seconds", plan.seconds, 0.1, 3600.0),
        ("changes a second", plan.changes_per_second, 0.0, 1000.0),
        ("restarts an hour", plan.restarts_per_hour, 0.0, 360_000.0),
    ];
    for (what, figure, least, most) in spans {
        if !(least..=most).contains(&figure) {
            return wrong(format!("{figure} {what} is not within {least} to {most}"));
        }
    }
    Ok(())
}

/// Works out what a plan needs.
///
/// # Errors
/// [`Refused`] if the plan contradicts itself or needs more than `limits` allow.
pub fn demand(plan: &Plan, limits: &Limits) -> Result<Demand, Refused> {
    sane(plan)?;
    let gateways = u64::from(plan.gateways);
    let (hollow, stores) = (u64::from(plan.hollow()), u64::from(plan.stores));
    let by_itself = (LINKS / gateways).max(1).min(stores) as u32;
    let answering = u64::from(plan.answering.unwrap_or(by_itself));
    let room = limits.descriptors.saturating_sub(OWN);
    // At the worst moment a gateway is connected to every relay, and a relay to every gateway.
    let relays = u64::from(relays::processes(plan.relays));
    let a_gateway = answering + A_GATEWAY + relays;
    // Each store has its listener, a link from each gateway, and one from the coordinator where it gives orders.
    let a_store = gateways + 2;
    let needs = [
        ("gateway", a_gateway),
        ("stand-in store", if answering > 0 { a_store } else { 0 }),
        ("list", gateways + 1),
        ("relay", if relays > 0 { gateways + relays } else { 0 }),
    ];
    for (role, need) in needs {
        if need > room {
            return Err(Refused::Descriptors { role, need: need + OWN, limit: limits.descriptors });
        }
    }
    let in_worker = (room / a_gateway).min(A_WORKER);
    let in_store_process = room / a_store;
    let workers = hollow.div_ceil(in_worker);
    let store_processes = answering.div_ceil(in_store_process);
    let links = answering * gateways;
    // Itself, the list and the coordinator.
    let processes = workers + store_processes + relays + u64::from(plan.real) + 3;
    if processes > u64::from(limits.processes) {
        let need = u32::try_from(processes).unwrap_or(u32::MAX);
        return Err(Refused::Processes { need, limit: limits.processes, links });
    }
    let a_gateway_bytes = GATEWAY_BYTES + stores * LISTED_BYTES + u64::from(plan.volumes) * VOLUME_BYTES;
    let bytes = processes * PROCESS_BYTES + gateways * a_gateway_bytes + links * LINK_BYTES;
    if bytes > limits.bytes {
        return Err(Refused::Memory { need: bytes >> 20, limit: limits.bytes >> 20 });
    }
    let descriptors = OWN
        + (in_worker.min(hollow) * a_gateway)
            .max(in_store_process.min(answering) * a_store)
            .max(gateways + 1);
    Ok(Demand {
        answering: answering as u32,
        workers: workers as u32,
        store_processes: store_processes as u32,
        processes: processes as u32,
        bytes,
        descriptors,
    })
}
