//! The platform's words on the wire, each once.

/// Fields of requests and answers.
pub const REQUEST_ID: &str = "X-Correlation-Id";
/// The mark of a deduplicated op, by which stores tell a repeat.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
pub const PLAN: &str = "X-Qos-Policy";
pub const TIME_LEFT: &str = "X-Time-Left-Ms";
pub const PLACEMENT: &str = "X-Placement";
pub const PLAN_RATE_USED: &str = "X-Iops-Used";
pub const UNITS_ELSEWHERE: &str = "X-Rho";
pub const LOAD_REPORT: &str = "X-Backend-Load";
pub const NOT_EXECUTED: &str = "X-Unprocessed";
pub const RETRY_AFTER: &str = "Retry-After";

/// Parts of a placement.
pub const UNITS: &str = "units";
pub const SHARD: &str = "shard";
pub const GATEWAYS: &str = "hosts";
pub const NEW_OBJECT: &str = "-1";

/// Paths.
pub const READY: &str = "/health/ready";
pub const LIVE: &str = "/health/live";
pub const LOAD_REPORT_PATH: &str = "/stats";
pub const ENDPOINT_LIST: &str = "/registry/instances";

/// Every body holds at most so many bytes.
pub const MAX_BODY: usize = 64 * 1024;
/// Hex digits of a volume, a piece of data and an id.
pub const HEX_DIGITS: usize = 16;
/// How often a watch shows a sign of life.
pub const WATCH_HEARTBEAT_INTERVAL: std::time::Duration = std::time::Duration::from_secs(2);

/// Where changes after a version of the list are told as they come.
pub fn watch(after: u64) -> String {
    format!("{ENDPOINT_LIST}?watch=1&after={after}")
}
