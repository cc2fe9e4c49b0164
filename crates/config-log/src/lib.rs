//! Versioned configuration: plans, volumes, op types and rules that change while gateways run. Every change
//! is recorded in the change log.
//!
//! [`model`] is the configuration as data and the paths into it. [`change`] is a transaction on a version and
//! detects conflicts. [`guard`] finds the effects that a change's author must explicitly allow. [`version`]
//! is a validated version and computes the next one from edits.
//!
//! [`chain`] is a hash-chained log of opaque bodies, [`segment`] the encoding of changes as such bodies, and
//! [`log`] the log that changes are committed to. [`follow`] follows the log, from its folder or from
//! updates. [`log_copy`] keeps a copy of the log, and [`applied_version`] stores the version applied last.
//!
//! docs/versions.md discusses the design and its alternatives; docs/changing.md documents changes for
//! operators.

pub mod applied_version;
pub mod chain;
pub mod change;
pub mod follow;
pub mod guard;
pub mod log;
pub mod log_copy;
pub mod model;
pub mod problem;
pub mod segment;
pub mod version;

pub use change::{Change, ChangeRejected, Conflict};
pub use follow::{FolderReader, Follower, Replica, Update};
pub use guard::Guard;
pub use log::Log;
pub use log_copy::LogCopy;
pub use model::{Configuration, Edit, Key, Kind, Path};
pub use problem::{ConfigurationProblem, InvalidConfiguration};
pub use version::{SettingsChange, Version};
