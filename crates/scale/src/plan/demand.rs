//! What a plan needs: processes, descriptors and memory.

use serde::{Deserialize, Serialize};

use super::refused::check_consistency;
use super::{Limits, Plan, Refused};
use crate::relays;

/// Connections of gateways to stores that a run opens by default; `--answering` may ask for more.
const DEFAULT_CONNECTIONS: u64 = 20_000;

/// Hollow gateways of one process at most: each has a thread that writes its snapshots.
const MAX_GATEWAYS_PER_WORKER: u64 = 450;

/// Relays of a zone at most.
pub(super) const MAX_RELAYS: u32 = 16;

/// Descriptors of a process besides those that grow with the fleet.
const BASE_DESCRIPTORS: u64 = 64;

/// Descriptors of a gateway besides its connections to stores: listener, list, coordinator, the lock of the
/// state folder, and the source of its configuration.
const GATEWAY_DESCRIPTORS: u64 = 6;

/// Bytes of a process without gateways.
///
/// This estimate and the four below are upper bounds for rejecting plans: trials of `umbertray scale` on a
/// busy machine of 8 cores, rounded up. 20 hollow gateways, 8 stores answering, held 42, 93 and 302 MB with
/// 250, 1,000 and 4,000 listed; 3 of them with 4,000 answering 149 MB, and the stores of the 16,000 links 204
/// MB.
const PROCESS_BYTES: u64 = 12 << 20;

/// Bytes of a hollow gateway without stores, volumes and connections.
const GATEWAY_BYTES: u64 = 1 << 20;

/// Bytes of a gateway for each store that the list names.
const LISTED_STORE_BYTES: u64 = 4_000;

/// Bytes of a gateway for each volume.
const VOLUME_BYTES: u64 = 1_000;

/// Bytes of both ends of a connection, the gateway's and the stand-in store's.
const CONNECTION_BYTES: u64 = 22 << 10;

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

/// Rejects a plan in which a process of some role needs more descriptors than the system allows.
fn check_descriptors(needs: &[(&'static str, u64)], limits: &Limits) -> Result<(), Refused> {
    let available = limits.descriptors.saturating_sub(BASE_DESCRIPTORS);
    match needs.iter().find(|(_, need)| *need > available) {
        Some((role, need)) => {
            let need = need + BASE_DESCRIPTORS;
            Err(Refused::Descriptors { role, need, limit: limits.descriptors })
        }
        None => Ok(()),
    }
}

/// Bytes of memory that all processes of a plan hold together, by estimate.
fn needed_bytes(plan: &Plan, processes: u64, connections: u64) -> u64 {
    let (stores, volumes) = (u64::from(plan.stores), u64::from(plan.volumes));
    let gateway_bytes = GATEWAY_BYTES + stores * LISTED_STORE_BYTES + volumes * VOLUME_BYTES;
    processes * PROCESS_BYTES + u64::from(plan.gateways) * gateway_bytes + connections * CONNECTION_BYTES
}

/// Works out what a plan needs.
///
/// # Errors
/// [`Refused`] if the plan contradicts itself or needs more than `limits` allow.
pub fn demand(plan: &Plan, limits: &Limits) -> Result<Demand, Refused> {
    check_consistency(plan)?;
    let gateways = u64::from(plan.gateways);
    let (hollow, stores) = (u64::from(plan.hollow()), u64::from(plan.stores));
    let default_answering = (DEFAULT_CONNECTIONS / gateways).max(1).min(stores) as u32;
    let answering = u64::from(plan.answering.unwrap_or(default_answering));
    let available_descriptors = limits.descriptors.saturating_sub(BASE_DESCRIPTORS);
    // At the worst moment a gateway is connected to every relay, and a relay to every gateway.
    let relays = u64::from(relays::process_count(plan.relays));
    let gateway_descriptors = answering + GATEWAY_DESCRIPTORS + relays;
    // Each store has its listener, a link from each gateway, and one from the coordinator where it gives
    // orders.
    let store_descriptors = gateways + 2;
    let needs = [
        ("gateway", gateway_descriptors),
        ("stand-in store", if answering > 0 { store_descriptors } else { 0 }),
        ("list", gateways + 1),
        ("relay", if relays > 0 { gateways + relays } else { 0 }),
    ];
    check_descriptors(&needs, limits)?;
    let gateways_per_worker = (available_descriptors / gateway_descriptors).min(MAX_GATEWAYS_PER_WORKER);
    let stores_per_process = available_descriptors / store_descriptors;
    let workers = hollow.div_ceil(gateways_per_worker);
    let store_processes = answering.div_ceil(stores_per_process);
    let links = answering * gateways;
    // Itself, the list and the coordinator.
    let processes = workers + store_processes + relays + u64::from(plan.real) + 3;
    if processes > u64::from(limits.processes) {
        let need = u32::try_from(processes).unwrap_or(u32::MAX);
        return Err(Refused::Processes { need, limit: limits.processes, links });
    }
    let bytes = needed_bytes(plan, processes, links);
    if bytes > limits.bytes {
        return Err(Refused::Memory { need: bytes >> 20, limit: limits.bytes >> 20 });
    }
    let descriptors = BASE_DESCRIPTORS
        + (gateways_per_worker.min(hollow) * gateway_descriptors)
            .max(stores_per_process.min(answering) * store_descriptors)
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
