//! What scripts evaluate to: the settings of each kind of process.

use std::fmt;
use std::net::SocketAddr;

use umbertray_routing::Settings;

use crate::{FunctionCall, canonical};

/// The settings of a gateway: its own, and those that all gateways of a deployment share.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsDocument {
    /// Addresses to accept clients on.
    pub listen: Vec<SocketAddr>,
    /// Address of the service that has the store list.
    pub endpoint_list: SocketAddr,
    /// The coordinator of the map of extents; `None`: the service of the store list has it.
    pub coordinator: Option<SocketAddr>,
    /// Seed of the gateway's random choices, and its identity.
    pub seed: u64,
    /// The folder in which state survives restarts.
    pub state: Option<String>,
    /// Source of the log of changes, whose plans, volumes, op types and rules replace the script's.
    pub changes: Option<ChangeSource>,
    /// The gateway's name at relays; unique among all that follow them.
    pub name: String,
    /// The zone that the gateway is in.
    pub zone: String,
    /// What the scheduler and the routing work by.
    pub settings: Settings,
}

/// Source of a log of changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeSource {
    /// The writer's folder.
    Folder(String),
    /// Relays.
    Relays {
        /// The relays to follow, each once.
        upstreams: Vec<Upstream>,
        /// How many of them must say the same before it is acted on.
        quorum: usize,
    },
}

/// A relay that is followed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The relay's name; its address where it has no other.
    pub name: String,
    /// The zone that the relay is in.
    pub zone: String,
    /// Where it accepts followers.
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
    /// Address of the service that has the store list.
    pub endpoint_list: SocketAddr,
    /// The folder of its log.
    pub folder: String,
}

/// The settings of a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelaySettings {
    /// Address to accept followers on.
    pub listen: SocketAddr,
    /// The relay's name; unique among all that follow relays.
    pub name: String,
    /// The zone that the relay is in.
    pub zone: String,
    /// Source of the log that it carries.
    pub changes: ChangeSource,
    /// The folder in which its copy of the log survives restarts.
    pub folder: Option<String>,
}

impl SettingsDocument {
    /// The settings, every default filled in, as a script that reads back to the same.
    pub fn as_script(&self) -> String {
        as_script(&self.calls())
    }

    /// The gateway's own part of that script.
    pub fn own_script(&self) -> String {
        as_script(&[canonical::gateway(self), canonical::bounds(&self.settings.bounds)])
    }

    /// The calls of that script.
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
