//! Configuration as versions: plans, volumes, op types and rules that change in service, each change on record.
//!
//! [`model`] is the configuration as data and the paths into it; [`change`] a transaction on a version and what it
//! conflicts with; [`guard`] the steps that need an explicit word; [`version`] a checked version and the step to the next.
//! [`chain`] is a hash-chained log of opaque bodies, [`segment`] its use for changes, and [`log`] the log that changes are
//! committed to. [`follow`] follows the log, from its folder or from updates; [`log_copy`] keeps a copy, and [`applied_version`] the
//! version acted on last. docs/versions.md weighs the alternatives; docs/changing.md is the operators' page.

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
