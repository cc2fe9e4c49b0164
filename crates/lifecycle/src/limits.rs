//! Limits that the operators' pages state in seconds. Each is a duration of real time and names its page; no setting
//! extends one.

use std::time::Duration;

/// A client that sends no whole request is owed its error or a close within so long. Standing page, "More than these
/// days".
pub const BAD_CLIENT_LIMIT: Duration = Duration::from_secs(3);

/// A process may be held up for so long between reading its clock and writing. Standing page, "More than these days".
pub const HOLD_UP: Duration = Duration::from_millis(150);

/// The time that an attempt tells its store is at most what its client has left, and so much more. The operators' terms.
pub const TIME_LEFT_SLACK: Duration = Duration::from_millis(150);

/// Up to so long after its time a request's final answer only earns nothing; later it is lost. Standing page, "Hundreds
/// of gateways".
pub const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// SIGKILL follows SIGTERM no sooner than the longest deadline, or this where that is longer, and [`KILL_MARGIN`].
/// Protocol page, "Figures".
pub const KILL_AFTER_AT_MOST: Duration = Duration::from_secs(3);

/// See [`KILL_AFTER_AT_MOST`].
pub const KILL_MARGIN: Duration = Duration::from_millis(700);

/// After SIGTERM new connections still come for so long. Protocol page, "Figures".
pub const CONNECTIONS_AFTER_SIGTERM: Duration = Duration::from_millis(400);
