//! The resources that a plan needs: processes, file descriptors and memory.

use serde::{Deserialize, Serialize};

use super::rejected::check_consistency;
use super::{Limits, Plan, PlanRejected};
use crate::relays;

/// Default number of connections of gateways to stores in a run. `--answering` overrides it.
const DEFAULT_CONNECTIONS: u64 = 20_000;

/// Maximum number of hollow gateways in one process, since each of them has a thread that writes its
/// snapshots.
const MAX_GATEWAYS_PER_WORKER: u64 = 450;

/// Maximum number of relays in a zone.
pub(super) const MAX_RELAYS: u32 = 16;

/// File descriptors of a process, without those whose number grows with the fleet.
const BASE_DESCRIPTORS: u64 = 64;

/// File descriptors of a gateway, without its connections to stores and relays: listener, list, coordinator,
/// the lock of the state folder, and the source of its configuration.
const GATEWAY_DESCRIPTORS: u64 = 6;

/// Memory of a process without gateways, in bytes.
///
/// This estimate and the four below are upper bounds by which plans are rejected. They are rounded up from
/// trials of `umbertray scale` on a busy machine of 8 cores: 20 hollow gateways with 8 answering stores held
/// 42, 93 and 302 MB with 250, 1,000 and 4,000 listed stores. With 4,000 answering stores, 3 hollow gateways
/// held 149 MB, and the stores' processes, with 16,000 connections, held 204 MB.
const PROCESS_BYTES: u64 = 12 << 20;

/// Memory of a hollow gateway without stores, volumes and connections, in bytes.
const GATEWAY_BYTES: u64 = 1 << 20;

/// Memory of a gateway for each listed store, in bytes.
const LISTED_STORE_BYTES: u64 = 4_000;

/// Memory of a gateway for each volume, in bytes.
const VOLUME_BYTES: u64 = 1_000;

/// Memory of both ends of a connection, the gateway's and the stand-in store's, in bytes.
const CONNECTION_BYTES: u64 = 22 << 10;

/// The resources that a plan needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Stores that accept connections.
    pub answering: u32,
    /// Processes that run hollow gateways.
    pub workers: u32,
    /// Processes that run stand-in stores.
    pub store_processes: u32,
    /// All processes of the run.
    pub processes: u32,
    /// Estimated memory of all processes together, in bytes.
    pub bytes: u64,
    /// File descriptors of the process that needs the most.
    pub descriptors: u64,
}

/// Rejects a plan in which a process needs more file descriptors than the system allows. `needs` has the
/// number of descriptors for each role, without [`BASE_DESCRIPTORS`].
fn check_descriptors(needs: &[(&'static str, u64)], limits: &Limits) -> Result<(), PlanRejected> {
    let available = limits.descriptors.saturating_sub(BASE_DESCRIPTORS);
    match needs.iter().find(|(_, need)| *need > available) {
        Some((role, need)) => {
            let need = need + BASE_DESCRIPTORS;
            Err(PlanRejected::Descriptors { role, need, limit: limits.descriptors })
        }
        None => Ok(()),
    }
}

/// Estimated memory of all processes of a plan together, in bytes.
fn needed_bytes(plan: &Plan, processes: u64, connections: u64) -> u64 {
    let (stores, volumes) = (u64::from(plan.stores), u64::from(plan.volumes));
    let gateway_bytes = GATEWAY_BYTES + stores * LISTED_STORE_BYTES + volumes * VOLUME_BYTES;
    processes * PROCESS_BYTES + u64::from(plan.gateways) * gateway_bytes + connections * CONNECTION_BYTES
}

/// Computes the resources that a plan needs.
///
/// # Errors
/// [`PlanRejected`] if the plan contradicts itself or needs more than `limits` allow.
pub fn check_demand(plan: &Plan, limits: &Limits) -> Result<Demand, PlanRejected> {
    check_consistency(plan)?;
    let gateways = u64::from(plan.gateways);
    let (hollow, stores) = (u64::from(plan.hollow_gateways()), u64::from(plan.stores));
    let default_answering = (DEFAULT_CONNECTIONS / gateways).max(1).min(stores) as u32;
    let answering = u64::from(plan.answering.unwrap_or(default_answering));
    let available_descriptors = limits.descriptors.saturating_sub(BASE_DESCRIPTORS);
    // In the worst case each gateway is connected to all relays, so each relay to all gateways.
    let relays = u64::from(relays::process_count(plan.relays));
    let gateway_descriptors = answering + GATEWAY_DESCRIPTORS + relays;
    // Each store has its listener, a connection from each gateway, and one from the coordinator while that
    // sends it orders.
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
    let connections = answering * gateways;
    // The 3 are this process, the list and the coordinator.
    let processes = workers + store_processes + relays + u64::from(plan.real_gateways) + 3;
    if processes > u64::from(limits.processes) {
        let need = u32::try_from(processes).unwrap_or(u32::MAX);
        return Err(PlanRejected::Processes { need, limit: limits.processes, connections });
    }
    let bytes = needed_bytes(plan, processes, connections);
    if bytes > limits.bytes {
        return Err(PlanRejected::Memory { need: bytes >> 20, limit: limits.bytes >> 20 });
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
