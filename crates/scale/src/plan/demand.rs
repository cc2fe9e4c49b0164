//! What a plan needs: processes, descriptors and memory.

use serde::{Deserialize, Serialize};

use super::refused::check_consistency;
use super::{Limits, Plan, Refused};
use crate::relays;

/// Connections of gateways to stores that a run opens by default; `--answering` may ask for more.
const LINKS: u64 = 20_000;

/// Hollow gateways of one process at most: each has a thread that writes its snapshots.
const A_WORKER: u64 = 450;

/// Relays of a zone at most.
pub(super) const MOST_RELAYS: u32 = 16;

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
const PROCESS_BYTES: u64 = 12 << 20;

/// Bytes of a hollow gateway without stores, volumes and connections.
const GATEWAY_BYTES: u64 = 1 << 20;

/// Bytes of a gateway for each store that the list names.
const LISTED_BYTES: u64 = 4_000;

/// Bytes of a gateway for each volume.
const VOLUME_BYTES: u64 = 1_000;

/// Bytes of both ends of a connection, the gateway's and the stand-in store's.
const LINK_BYTES: u64 = 22 << 10;

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

/// Works out what a plan needs.
///
/// # Errors
/// [`Refused`] if the plan contradicts itself or needs more than `limits` allow.
pub fn demand(plan: &Plan, limits: &Limits) -> Result<Demand, Refused> {
    check_consistency(plan)?;
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
