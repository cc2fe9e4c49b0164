//! CPU time, memory and load average, as the system reports them.

use std::time::Duration;

use nix::time::{clock_getcpuclockid, clock_gettime};
use nix::unistd::Pid;

/// Bytes in a MiB.
pub(crate) const MIB: f64 = (1 << 20) as f64;

/// Bytes in a memory page, the unit in which the system reports resident memory.
///
/// Hazard: on a machine with larger pages the measured memory is too low.
const PAGE_BYTES: u64 = 4096;

/// CPU time and resident memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ProcessUsage {
    /// CPU time since the start of the process.
    pub(super) cpu: Duration,
    /// Resident memory in bytes.
    pub(super) rss: u64,
}

/// Reads the CPU time and resident memory of a process; zero if it has ended.
pub(super) fn process_usage(id: Option<u32>) -> ProcessUsage {
    let read = |id: u32| {
        let clock = clock_getcpuclockid(Pid::from_raw(id as i32)).ok()?;
        let cpu = Duration::from(clock_gettime(clock).ok()?);
        let text = std::fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
        let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
        Some(ProcessUsage { cpu, rss: pages * PAGE_BYTES })
    };
    id.and_then(read).unwrap_or_default()
}

/// The machine's load average over the last minute.
pub(crate) fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().and_then(|load| load.parse().ok()).unwrap_or_default()
}
