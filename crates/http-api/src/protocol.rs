//! Names and constants of the platform's protocol, each defined once. Source: the protocol page.

use std::time::Duration;

/// Header field: the request id.
pub const REQUEST_ID: &str = "X-Correlation-Id";
/// Header field: the idempotency key of a deduplicated operation, by which stores recognise a retry.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Header field: the plan of the volume.
pub const PLAN: &str = "X-Qos-Policy";
/// Header field: how long the client still waits, in milliseconds.
pub const TIME_LEFT: &str = "X-Time-Left-Ms";
/// Header field: location of the data and cost of the operation.
pub const PLACEMENT: &str = "X-Placement";
/// Header field of a response: percentage of its plan's rate that the volume used through all gateways.
pub const PLAN_RATE_USED: &str = "X-Iops-Used";
/// Header field of a response: units that the shard served for the volume through other gateways.
pub const UNITS_ELSEWHERE: &str = "X-Rho";
/// Header field of a response: the store's load report.
pub const LOAD_REPORT: &str = "X-Backend-Load";
/// Header field of a response: `1` if the request was not executed.
pub const NOT_EXECUTED: &str = "X-Unprocessed";
/// Header field of a rejection: seconds after which a retry is worthwhile.
pub const RETRY_AFTER: &str = "Retry-After";

/// Field of `X-Placement`: cost of the operation.
pub const UNITS: &str = "units";
/// Field of `X-Placement`: the shard that holds the data.
pub const SHARD: &str = "shard";
/// Field of `X-Placement`: number of gateways that the volume's operations are sent through.
pub const GATEWAYS: &str = "hosts";
/// Value of the shard field for a new object.
pub const NEW_OBJECT: &str = "-1";

/// Path of a gateway's readiness check.
pub const READY: &str = "/health/ready";
/// Path of a gateway's liveness check.
pub const LIVE: &str = "/health/live";
/// Path of a store's load report.
pub const LOAD_REPORT_PATH: &str = "/stats";
/// Path of the endpoint list on discovery.
pub const ENDPOINT_LIST: &str = "/registry/instances";

/// Maximum length of the body of a request or response, in bytes.
pub const MAX_BODY: usize = 64 * 1024;
/// Number of hex digits of a volume, a key and a request id.
pub const HEX_DIGITS: usize = 16;
/// Interval between heartbeats of a watch.
pub const WATCH_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Path of a watch that reports the changes after a version of the endpoint list.
pub fn watch(after: u64) -> String {
    format!("{ENDPOINT_LIST}?watch=1&after={after}")
}
