//! The platform's words on the wire, each once.

/// Fields of requests and answers.
pub const ID: &str = "X-Correlation-Id";
/// The mark of a deduplicated op, by which stores tell a repeat.
pub const MARK: &str = "Idempotency-Key";
pub const PLAN: &str = "X-Qos-Policy";
pub const TIME_LEFT: &str = "X-Time-Left-Ms";
pub const PLACEMENT: &str = "X-Placement";
pub const USED: &str = "X-Iops-Used";
pub const ELSEWHERE: &str = "X-Rho";
pub const LOAD: &str = "X-Backend-Load";
pub const NEVER_RAN: &str = "X-Unprocessed";
pub const RETRY_AFTER: &str = "Retry-After";

/// Parts of a placement.
pub const UNITS: &str = "units";
pub const SHARD: &str = "shard";
pub const GATEWAYS: &str = "hosts";
pub const NEW_OBJECT: &str = "-1";

/// Paths.
pub const READY: &str = "/health/ready";
pub const LIVE: &str = "/health/live";
pub const STATS: &str = "/stats";
pub const STORES: &str = "/registry/instances";

/// Every body holds at most so many bytes.
pub const BODY: usize = 64 * 1024;
/// Hex digits of a volume, a piece of data and an id.
pub const HEX_DIGITS: usize = 16;
/// How often a watch shows a sign of life.
pub const SIGN_OF_LIFE: std::time::Duration = std::time::Duration::from_secs(2);

/// Where changes after a version of the list are told as they come.
pub fn watch(after: u64) -> String {
    format!("{STORES}?watch=1&after={after}")
}
