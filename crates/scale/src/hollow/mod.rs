//! Hollow gateways: the product's own gateways without clients, many in a process, counted where the event
//! loop hosts the core.

mod counters;
mod fleet;
mod host;

pub(crate) use counters::now;
pub use counters::{Acted, Seen};
pub(crate) use fleet::{FleetError, HollowFleet};

use std::path::PathBuf;
use std::pin::Pin;
use std::sync::Arc;

use umbertray_nbd_gateway::GatewayOptions;
use umbertray_routing::Settings;

/// Reads a gateway's script as the program does.
pub type Prepare = dyn Fn(PathBuf) -> Prepared + Send + Sync;

/// The settings and options of a gateway, once its script has been read.
type Prepared = Pin<Box<dyn Future<Output = Result<(Arc<Settings>, GatewayOptions), String>> + Send>>;
