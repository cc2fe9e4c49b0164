//! Configuration as versions: plans, volumes, op types and rules that change in service, each change on record.
//!
//! [`model`] is the configuration as data and the places in it; [`change`] a transaction on a version and what it
//! conflicts with; [`guard`] what needs an explicit word; [`version`] a checked version and the step to the next;
//! [`log`] the log they are committed to, which stands on [`chain`], a hash-chained log of anything; [`follow`] the
//! following of it, from its folder or as told. docs/versions.md weighs the ways; docs/changing.md is the operators' page.

pub mod acted;
pub mod chain;
pub mod change;
pub mod follow;
pub mod guard;
pub mod log;
pub mod mirror;
pub mod model;
pub mod segment;
pub mod version;

pub use change::{Change, ChangeRejected, Conflict};
pub use follow::{FolderReader, Follower, Replica, Update};
pub use guard::Guard;
pub use log::Log;
pub use mirror::LogCopy;
pub use model::{Configuration, Edit, Key, Kind, Path};
pub use version::{SettingsChange, Version};
