//! Limits that the operators' pages (protocol page, standing page, operators' terms) state in seconds. Each
//! is a duration of real time, and its comment names the page. No setting can extend a limit.

use std::time::Duration;

/// A client that does not send a complete request has to get an error or a close within this time. Standing
/// page, "More than these days".
pub const MISBEHAVING_CLIENT_LIMIT: Duration = Duration::from_secs(3);

/// The longest pause of the process between reading its clock and writing that the limits have to tolerate.
/// Standing page, "More than these days".
pub const MAX_PROCESS_PAUSE: Duration = Duration::from_millis(150);

/// The time left that an attempt sends to its store may exceed what the client has left by this much. The
/// operators' terms.
pub const TIME_LEFT_SLACK: Duration = Duration::from_millis(150);

/// A final response that is late by up to this much is worthless, but does not count as lost; a later one
/// counts as lost. Standing page, "Hundreds of gateways".
pub const RESPONSE_SLACK: Duration = Duration::from_millis(500);

/// SIGKILL follows SIGTERM no sooner than the longest deadline, capped at this value, plus [`KILL_MARGIN`].
/// Protocol page, "Figures".
pub const MAX_KILL_AFTER: Duration = Duration::from_secs(3);

/// See [`MAX_KILL_AFTER`].
pub const KILL_MARGIN: Duration = Duration::from_millis(700);

/// Clients still open new connections for this long after SIGTERM. Protocol page, "Figures".
pub const CONNECTIONS_AFTER_SIGTERM: Duration = Duration::from_millis(400);

/// A change of the endpoint list counts as notified at the latest this long after discovery had it and could
/// be reached, and after the start of a watch's silence. Standing page, "Hundreds of gateways".
pub const CHANGE_NOTIFIED_WITHIN: Duration = Duration::from_secs(6);

/// A change at a new address of discovery counts as notified this long after SIGHUP. Standing page, "Hundreds
/// of gateways".
pub const CHANGE_NOTIFIED_AFTER_MOVE: Duration = Duration::from_secs(4);
