//! The measured gateway: on loopback, with the core or the pass-through as its handler, and with stores so
//! fast that they do not limit it.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use umbertray_config::SettingsDocument;
use umbertray_fakes::client::Connection;
use umbertray_fakes::fleet::Fleet;
use umbertray_fakes::model::StorePerformance;
use umbertray_nbd_gateway::{ChangeSource, Clock, GatewayOptions, RunningGateway};
use umbertray_routing::{Core, RequestHandler, Settings};

use super::error::MeasureError;
use super::pass_through::PassThrough;
use super::timed_handler::TimedHandler;
use crate::demo;
use crate::error::ScriptProblems;

/// The volume that receives the load.
pub(super) const VOLUME: &str = "central";
/// Bytes of each request of the load.
pub(super) const BLOCK_BYTES: u32 = 4096;
/// Number of blocks of the volume that receive requests; they are written beforehand.
pub(super) const BLOCKS: u64 = 4096;
/// Blocks written at once to fill the volume.
const BLOCKS_PER_FILL: u64 = 16;
/// Attempts of each write that fills the volume: the first ones are throttled.
const FILL_ATTEMPTS: u32 = 100;
/// Seed of the random draws, the same for both kinds of gateway.
const SEED: u64 = 1;

/// The request handler of a measured gateway.
pub(super) enum HandlerKind {
    Core,
    PassThrough,
}

/// A gateway in this process, and how long its handler has occupied the event loop.
pub(super) struct MeasuredGateway {
    pub(super) gateway: RunningGateway,
    busy_nanos: Arc<AtomicU64>,
}

impl MeasuredGateway {
    /// Starts a gateway with the demo's settings, with or without a state folder.
    pub(super) async fn start(
        kind: HandlerKind,
        fleet: &Fleet,
        state_folder: Option<PathBuf>,
    ) -> Result<MeasuredGateway, MeasureError> {
        let document = settings_document()?;
        let settings = Arc::new(document.settings.clone());
        let options = options(document, fleet, state_folder, None);
        MeasuredGateway::start_with_handler(kind, settings, options).await
    }

    /// Starts a gateway that follows a change log.
    pub(super) async fn start_following(
        fleet: &Fleet,
        settings: Arc<Settings>,
        changes: ChangeSource,
    ) -> Result<MeasuredGateway, MeasureError> {
        let options = options(settings_document()?, fleet, None, Some(changes));
        MeasuredGateway::start_with_handler(HandlerKind::Core, settings, options).await
    }

    async fn start_with_handler(
        kind: HandlerKind,
        settings: Arc<Settings>,
        options: GatewayOptions,
    ) -> Result<MeasuredGateway, MeasureError> {
        let clock = Clock::start();
        let busy_nanos = Arc::new(AtomicU64::new(0));
        let handler: Box<dyn RequestHandler> = match kind {
            HandlerKind::Core => {
                let core = Core::new(settings.clone(), SEED, clock.now());
                Box::new(TimedHandler::new(core, busy_nanos.clone()))
            }
            HandlerKind::PassThrough => {
                Box::new(TimedHandler::new(PassThrough::new(&settings), busy_nanos.clone()))
            }
        };
        let gateway = umbertray_nbd_gateway::start_with_handler(handler, clock, settings, options).await?;
        Ok(MeasuredGateway { gateway, busy_nanos })
    }

    /// How long the handler has occupied the event loop since the start.
    pub(super) fn busy_nanos(&self) -> u64 {
        self.busy_nanos.load(Ordering::Relaxed)
    }

    pub(super) async fn connect(&self) -> Result<Connection, MeasureError> {
        Ok(Connection::open(self.gateway.addresses[0], VOLUME, true).await?)
    }

    /// Writes all blocks that the load reads.
    pub(super) async fn fill(&self) -> Result<(), MeasureError> {
        let connection = self.connect().await?;
        for block in (0..BLOCKS).step_by(BLOCKS_PER_FILL as usize) {
            fill_blocks(&connection, block).await;
        }
        Ok(())
    }
}

async fn fill_blocks(connection: &Connection, first: u64) {
    let data = Bytes::from(vec![7; BLOCKS_PER_FILL as usize * BLOCK_BYTES as usize]);
    for _ in 0..FILL_ATTEMPTS {
        let reply = connection.write(first * u64::from(BLOCK_BYTES), data.clone()).await;
        if reply.is_some_and(|reply| reply.error.is_none()) {
            return;
        }
    }
}

/// Starts stores so fast that only the gateway limits the throughput.
pub(super) async fn start_fleet() -> Result<Fleet, MeasureError> {
    let performance = StorePerformance {
        cores: 16,
        unit_ms: 0.0005,
        queue: 100_000,
        deferred_fraction: 0.0,
        ..StorePerformance::default()
    };
    Fleet::start(4, performance, 1).await.map_err(MeasureError::Stores)
}

/// The demo's settings, with plan rates as high as the stores' capacity, so that plans delay no request.
pub(super) fn settings_document() -> Result<SettingsDocument, ScriptProblems> {
    let mut document = demo::document(1)?;
    document.settings.bounds.bytes = 256 << 20;
    for plan in &mut document.settings.plans {
        plan.rate = 1e6;
        plan.reserve = 0.0;
    }
    Ok(document)
}

fn options(
    document: SettingsDocument,
    fleet: &Fleet,
    state_folder: Option<PathBuf>,
    changes: Option<ChangeSource>,
) -> GatewayOptions {
    GatewayOptions {
        listen: document.listen,
        endpoint_list: fleet.list.address,
        coordinator: None,
        seed: SEED,
        state_folder,
        changes,
    }
}
