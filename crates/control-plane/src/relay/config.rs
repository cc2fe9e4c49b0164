//! How a node is configured: who it is, and where it has the log from.

use std::collections::BTreeSet;

use umbertray_store_protocol::changes::{MAX_NAME, Role};

/// A node that another one follows, as the configuration names it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Upstream {
    /// Its name among all relays and gateways.
    pub name: String,
    /// The zone it runs in; upstreams in the follower's own zone are preferred.
    pub zone: String,
}

/// Where a node has the log from.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Origin {
    /// The writer's folder, which the node's owner reads, and which is trusted as a gateway trusts it.
    Folder,
    /// Other nodes.
    Upstreams {
        /// All that may be connected to.
        upstreams: Vec<Upstream>,
        /// How many of them must say the same: one more than may lie.
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
    /// Where it has the log from.
    pub origin: Origin,
    /// Seed of its jitter.
    pub seed: u64,
    /// Followers at once, at most; those beyond are refused.
    pub max_followers: usize,
}

/// Why a configuration is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// A name that the protocol cannot carry.
    #[error("the name {0:?} of a relay, gateway or zone is empty or over 128 bytes")]
    Name(String),
    /// The node is its own upstream.
    #[error("{0:?} follows itself: take it out of its own upstreams")]
    FollowsItself(String),
    /// An upstream is named twice.
    #[error("the upstream {0:?} is named twice: one relay would vouch for itself")]
    Duplicate(String),
    /// The quorum is zero, or above the number of upstreams.
    #[error("vouch = {quorum} with {upstreams} upstreams: name at least so many, and ask for at least 1")]
    Quorum {
        /// The quorum that was configured.
        quorum: usize,
        /// How many upstreams are named.
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
