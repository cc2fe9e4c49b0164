//! Configuration of a node: its identity, and where it receives the log from.

use std::collections::BTreeSet;

use umbertray_store_protocol::changes::{MAX_NAME, Role};

/// A configured upstream: a node that another one may follow.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Upstream {
    /// Its name among all relays and gateways.
    pub name: String,
    /// The zone it runs in; upstreams in the follower's own zone are preferred.
    pub zone: String,
}

/// Where a node receives the log from.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Origin {
    /// The writer's folder, which the node's owner reads. It is trusted, as it is by a gateway that reads the
    /// folder.
    Folder,
    /// Other nodes.
    Upstreams {
        /// All upstreams that the node may connect to.
        upstreams: Vec<Upstream>,
        /// How many of them have to report the same: one more than the number that may lie.
        quorum: usize,
    },
}

/// The configuration of a [`RelayNode`](super::RelayNode).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Its name among all relays and gateways.
    pub name: String,
    /// The zone it runs in.
    pub zone: String,
    /// Whether it has followers.
    pub role: Role,
    /// Where it receives the log from.
    pub origin: Origin,
    /// Seed of its jitter.
    pub seed: u64,
    /// Maximum number of connected followers; further ones are rejected.
    pub max_followers: usize,
}

/// Why a configuration is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// A name is empty or too long for the protocol.
    #[error("the name {0:?} of a relay, gateway or zone is empty or longer than 128 bytes")]
    Name(String),
    /// The node is its own upstream.
    #[error("{0:?} follows itself: remove it from its own upstreams")]
    FollowsItself(String),
    /// An upstream is named twice.
    #[error("the upstream {0:?} is named twice: one relay would vouch for itself")]
    Duplicate(String),
    /// The quorum is zero, or above the number of upstreams.
    #[error("vouch = {quorum} with {upstreams} upstreams: it must be at least 1 and at most their number")]
    Quorum {
        /// The configured quorum.
        quorum: usize,
        /// The number of configured upstreams.
        upstreams: usize,
    },
}

impl Config {
    pub(super) fn check(&self) -> Result<(), ConfigError> {
        if let Origin::Upstreams { upstreams, quorum } = &self.origin {
            self.check_upstreams(upstreams, *quorum)?;
        }
        match self.names().into_iter().find(|name| name.is_empty() || name.len() > MAX_NAME) {
            Some(name) => Err(ConfigError::Name(name.clone())),
            None => Ok(()),
        }
    }

    fn check_upstreams(&self, upstreams: &[Upstream], quorum: usize) -> Result<(), ConfigError> {
        let mut seen = BTreeSet::new();
        for upstream in upstreams {
            if upstream.name == self.name {
                return Err(ConfigError::FollowsItself(self.name.clone()));
            }
            if !seen.insert(&upstream.name) {
                return Err(ConfigError::Duplicate(upstream.name.clone()));
            }
        }
        if quorum == 0 || quorum > upstreams.len() {
            return Err(ConfigError::Quorum { quorum, upstreams: upstreams.len() });
        }
        Ok(())
    }

    fn names(&self) -> Vec<&String> {
        let mut names = vec![&self.name, &self.zone];
        if let Origin::Upstreams { upstreams, .. } = &self.origin {
            names.extend(upstreams.iter().flat_map(|upstream| [&upstream.name, &upstream.zone]));
        }
        names
    }
}
