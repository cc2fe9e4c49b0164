//! The validated settings of each kind of process.

use std::fmt;
use std::net::SocketAddr;

use umbertray_routing::Settings;

use crate::{FunctionCall, canonical};

/// The settings of a gateway: those of the gateway itself, and those that all gateways of its deployment
/// share.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsDocument {
    /// Addresses to accept clients on.
    pub listen: Vec<SocketAddr>,
    /// Address of the list service, which serves the endpoint list of the stores.
    pub endpoint_list: SocketAddr,
    /// Address of the coordinator, which serves the extent map. If `None`, the list service also serves the
    /// extent map.
    pub coordinator: Option<SocketAddr>,
    /// Seed of the gateway's random choices. It also identifies the gateway.
    pub seed: u64,
    /// The folder in which the gateway saves state across restarts.
    pub state: Option<String>,
    /// Source of the change log. The log's plans, volumes, op types and rules replace those of the script.
    pub changes: Option<ChangeSource>,
    /// The gateway's name at relays. It must be unique among all followers of the relays.
    pub name: String,
    /// The zone that the gateway is in.
    pub zone: String,
    /// The settings of the scheduler and the routing.
    pub settings: Settings,
}

/// Source of a change log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeSource {
    /// The folder in which the writer of the change log keeps it.
    Folder(String),
    /// Relays that distribute the change log.
    Relays {
        /// The relays to follow, without duplicates.
        upstreams: Vec<Upstream>,
        /// Number of relays that must confirm a version before it is applied.
        quorum: usize,
    },
}

/// A relay that is followed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The relay's name; by default its address.
    pub name: String,
    /// The zone that the relay is in.
    pub zone: String,
    /// The address on which the relay accepts followers.
    pub address: SocketAddr,
}

impl fmt::Display for Upstream {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}/{}={}", self.zone, self.name, self.address)
    }
}

/// The settings of a coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinatorSettings {
    /// Address to accept gateways on.
    pub listen: SocketAddr,
    /// Address of the list service, which serves the endpoint list of the stores.
    pub endpoint_list: SocketAddr,
    /// The folder of the coordinator's own log.
    pub folder: String,
}

/// The settings of a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelaySettings {
    /// Address to accept followers on.
    pub listen: SocketAddr,
    /// The relay's name. It must be unique among all followers of relays.
    pub name: String,
    /// The zone that the relay is in.
    pub zone: String,
    /// Source of the change log that the relay distributes.
    pub changes: ChangeSource,
    /// The folder in which the relay keeps its copy of the change log across restarts.
    pub folder: Option<String>,
}

impl SettingsDocument {
    /// The settings as a script that states every default explicitly and parses back to equal settings.
    pub fn as_script(&self) -> String {
        as_script(&self.calls())
    }

    /// The part of [`as_script`](SettingsDocument::as_script) that defines the gateway's own settings.
    pub fn local_script(&self) -> String {
        as_script(&[canonical::gateway(self), canonical::bounds(&self.settings.bounds)])
    }

    /// The calls of the script that [`as_script`](SettingsDocument::as_script) returns.
    pub fn calls(&self) -> Vec<FunctionCall> {
        let settings = &self.settings;
        let plans = settings.plans.iter().filter(|plan| !plan.is_removed);
        let volumes = settings.volumes.iter().filter(|volume| !volume.is_removed);
        let mut calls = vec![canonical::gateway(self)];
        calls.extend(settings.op_types.iter().map(canonical::op_type));
        calls.extend(settings.type_rules.iter().map(|rule| canonical::request(rule, &settings.op_types)));
        calls.extend(plans.map(canonical::plan));
        calls.extend(volumes.map(|volume| canonical::volume(volume, &settings.plans[volume.plan].name)));
        calls.push(canonical::rules(&settings.rules));
        calls.push(canonical::bounds(&settings.bounds));
        calls
    }
}

fn as_script(calls: &[FunctionCall]) -> String {
    calls.iter().map(|call| call.as_script() + "\n").collect()
}
