//! Hollow gateways: the product's own gateways without clients, many in a process. The inputs of each core
//! are counted where the gateway's event loop calls it.

mod counters;
mod fleet;
mod host;

pub(crate) use counters::unix_time_us;
pub use counters::{AppliedVersion, CounterSnapshot};
pub(crate) use fleet::{FleetError, HollowFleet};

use std::path::PathBuf;
use std::pin::Pin;
use std::sync::Arc;

use umbertray_nbd_gateway::GatewayOptions;
use umbertray_routing::Settings;

/// Reads a gateway's script in the same way as the program does.
pub type PrepareGateway = dyn Fn(PathBuf) -> PreparedGateway + Send + Sync;

/// Resolves to the settings and options of a gateway once its script has been read.
type PreparedGateway = Pin<Box<dyn Future<Output = Result<(Arc<Settings>, GatewayOptions), String>> + Send>>;
