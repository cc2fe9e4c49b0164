//! Start of a fleet.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use umbertray_fakes::fleet::any_port;
use umbertray_fault_tests::process::Process;

use super::processes::{start_coordinator, start_list, start_worker};
use super::testbed::{POLL_INTERVAL, STEADY_TIMEOUT};
use super::{Setup, Start, Testbed, ZONES};
use crate::change_log::Writer;
use crate::hollow::CounterSnapshot;
use crate::plan::{Demand, Plan, check_demand};
use crate::relays::Relays;
use crate::worker::{Reply, StoreEntry, WorkerCommand};
use crate::worker_process::WorkerProcess;
use crate::{ScaleError, script};

/// Address of the stores that do not accept connections: no process listens there.
const UNREACHABLE_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2)), 1);

/// Target of this module's log events. It is the module path from before the module was split, since
/// operators' log filters may contain it.
const LOG_TARGET: &str = "umbertray_scale::point";

impl Testbed {
    /// Starts all processes of a plan and waits until the fleet is steady.
    ///
    /// # Errors
    /// [`ScaleError`] if the plan is rejected, or a process cannot be started or does not become steady.
    pub async fn start(plan: &Plan, setup: &Setup, start: Start, name: &str) -> Result<Testbed, ScaleError> {
        let demand = check_demand(plan, &setup.limits)?;
        let folder = setup.scratch.join(name);
        let create = |folder: &Path| {
            std::fs::create_dir_all(folder).map_err(ScaleError::io(folder.display().to_string()))
        };
        create(&folder)?;
        create(&folder.join("changes"))?;
        let (store_processes, addresses) = start_stores(setup, &folder, plan, &demand).await?;
        let listed_stores = list_entries(plan.stores, addresses);
        let mut list = start_worker(setup, &folder, "list")?;
        let list_address = start_list(&mut list, any_port(), &listed_stores).await?;
        let (coordinator, coordinator_address) =
            start_coordinator(setup, &folder, any_port(), list_address).await?;
        let writer = Writer::create(&folder.join("changes"), plan)?;
        let relays = match plan.relays {
            0 => None,
            some => Some(Relays::start(setup, &folder, &folder.join("changes"), some).await?),
        };
        let mut testbed = Testbed {
            plan: plan.clone(),
            demand,
            list,
            list_address,
            listed_stores,
            coordinator_address,
            store_processes,
            workers: Vec::new(),
            gateways_of_workers: Vec::new(),
            real: Vec::new(),
            relays,
            coordinator,
            writer,
            committed_at: BTreeMap::new(),
            applied: Vec::new(),
            rng: StdRng::seed_from_u64(plan.seed),
            start_duration: Duration::ZERO,
            start_bytes: 0,
            restarts: 0,
            folder,
        };
        testbed.start_gateways(setup, start).await?;
        Ok(testbed)
    }

    /// Starts the plan's gateways, hollow and real, and waits until they are steady.
    async fn start_gateways(&mut self, setup: &Setup, start: Start) -> Result<(), ScaleError> {
        let folder = format!("{:?}", self.folder.join("changes").display().to_string());
        let changes = self.relays.as_ref().map_or(folder, |relays| relays.upstreams.clone());
        let gateway_script = |gateway: u32| {
            let state = self.folder.join(format!("state-{gateway}"));
            let seed = self.plan.seed << 16 ^ u64::from(gateway);
            script::gateway_script(
                (gateway, seed),
                self.list_address,
                self.coordinator_address,
                &changes,
                &state,
            )
        };
        let mut scripts = Vec::new();
        for gateway in 0..self.plan.gateways {
            let file = self.folder.join(format!("gateway-{gateway}.star"));
            std::fs::write(&file, gateway_script(gateway))
                .map_err(ScaleError::io(file.display().to_string()))?;
            scripts.push((gateway, file));
        }
        let real: Vec<String> = (0..self.plan.real_gateways).map(gateway_script).collect();
        let mut hollow = scripts.split_off(self.plan.real_gateways as usize);
        for number in 0..self.demand.workers {
            self.workers.push(start_worker(setup, &self.folder, &format!("gateways-{number}"))?);
        }
        let started_at = Instant::now();
        let connections_before_next = (start == Start::OneByOne).then_some(self.plan.stores.into());
        for number in 0..self.demand.workers {
            let count = even_part(self.plan.hollow_gateways(), self.demand.workers, number);
            let rest = hollow.split_off(count as usize);
            self.gateways_of_workers.push(hollow.iter().map(|(gateway, _)| *gateway).collect());
            self.workers[number as usize]
                .send(&WorkerCommand::Gateways { files: hollow, connections_before_next })
                .await?;
            hollow = rest;
        }
        for (gateway, script) in real.iter().enumerate() {
            let name = format!("gateway-{gateway}");
            let process = Process::start(&setup.program, &self.folder, ("serve", &name), script, &[]).await;
            self.real.push(process.map_err(ScaleError::io(name))?.0);
        }
        for worker in &mut self.workers {
            worker.receive().await?;
        }
        self.start_duration = self.wait_until_steady(started_at).await?;
        let (list, links) = self.traffic().await?;
        self.start_bytes = list.bytes() + links.bytes();
        Ok(())
    }

    /// Waits until each hollow gateway holds the complete list and has made, or failed to make, a connection
    /// to each store. Returns the time since `since`.
    pub(crate) async fn wait_until_steady(&mut self, since: Instant) -> Result<Duration, ScaleError> {
        let stores = u64::from(self.plan.stores);
        loop {
            let (seen, _) = self.observe().await?;
            let is_late = |seen: &&CounterSnapshot| {
                seen.listed != stores || seen.connected + seen.failed_connections < stores
            };
            let late = seen.iter().filter(is_late).count();
            if late == 0 {
                return Ok(since.elapsed());
            }
            tracing::info!(target: LOG_TARGET, late, of = seen.len(), "waiting for gateways to be steady");
            if since.elapsed() > STEADY_TIMEOUT {
                return Err(ScaleError::NotSteady { late, gateways: seen.len(), limit: STEADY_TIMEOUT });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Starts the stores that accept connections, in as many processes as the plan needs. Returns the processes
/// and the addresses of the stores.
async fn start_stores(
    setup: &Setup,
    folder: &Path,
    plan: &Plan,
    demand: &Demand,
) -> Result<(Vec<WorkerProcess>, Vec<SocketAddr>), ScaleError> {
    let mut workers = Vec::new();
    let mut from = 1;
    for number in 0..demand.store_processes {
        let count = even_part(demand.answering, demand.store_processes, number);
        let mut worker = start_worker(setup, folder, &format!("stores-{number}"))?;
        worker.send(&WorkerCommand::Stores { from, count, seed: plan.seed }).await?;
        from += u64::from(count);
        workers.push(worker);
    }
    let mut addresses = Vec::new();
    for worker in &mut workers {
        if let Reply::Stores(started) = worker.receive().await? {
            addresses.extend(started);
        }
    }
    Ok((workers, addresses))
}

/// The entries of the list: first the stores that accept connections, then the others at
/// [`UNREACHABLE_ADDRESS`].
fn list_entries(stores: u32, mut addresses: Vec<SocketAddr>) -> Vec<StoreEntry> {
    addresses.resize(stores as usize, UNREACHABLE_ADDRESS);
    let numbered = (1..).zip(addresses);
    numbered.map(|(store, address)| StoreEntry { store, address, zone: store as u32 % ZONES }).collect()
}

/// The size of part number `part` if `total` is divided into `parts` parts as evenly as possible.
fn even_part(total: u32, parts: u32, part: u32) -> u32 {
    total / parts + u32::from(part < total % parts)
}
