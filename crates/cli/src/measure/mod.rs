//! `umbertray measure`: compares the gateway with a pass-through, in one run on loopback.

mod changes;
mod error;
mod load;
mod memory;
mod pass_through;
mod state;
mod testbed;
mod timed_handler;

use std::path::Path;
use std::time::Duration;

use serde_json::json;
use umbertray_fakes::fleet::Fleet;
use umbertray_nbd::Command;

use crate::error::CommandError;
use crate::output;
use load::{LoadResult, Metrics, Workload, run_load};
use testbed::{BLOCK_BYTES, HandlerKind, MeasuredGateway};

pub(crate) use error::MeasureError;

/// Time to receive the endpoint list and to connect to the stores before the load starts.
const WARM_UP_TIME: Duration = Duration::from_millis(500);
/// The kinds of requests that are measured, with their names in the output.
const COMMANDS: [(&str, Command); 2] = [("read", Command::Read), ("write", Command::Write)];

#[derive(clap::Args)]
pub(crate) struct Arguments {
    /// Seconds of each turn; gateway and pass-through are measured in turn.
    #[arg(long, default_value_t = 1.0)]
    seconds: f64,
    /// Number of turns of each.
    #[arg(long, default_value_t = 3)]
    turns: u32,
    /// Number of idle clients whose memory is measured.
    #[arg(long, default_value_t = 2000)]
    idle: u32,
    /// Measures only the cost of configuration changes while requests are served.
    #[arg(long)]
    only_changes: bool,
    /// Number of changes in the log whose opening is timed.
    #[arg(long, default_value_t = 1_000_000)]
    changes: u64,
}

impl Arguments {
    fn turn_duration(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }
}

pub(crate) async fn run(arguments: Arguments) -> Result<(), CommandError> {
    let folder = std::env::temp_dir().join(format!("umbertray-measure-{}", std::process::id()));
    let fleet = testbed::start_fleet().await?;
    let measured = if arguments.only_changes {
        changes::run(&fleet, &folder, &arguments).await
    } else {
        measure_all(&fleet, &folder, &arguments).await
    };
    _ = std::fs::remove_dir_all(&folder);
    Ok(measured?)
}

async fn measure_all(fleet: &Fleet, folder: &Path, arguments: &Arguments) -> Result<(), MeasureError> {
    let core = MeasuredGateway::start(HandlerKind::Core, fleet, None).await?;
    let pass_through = MeasuredGateway::start(HandlerKind::PassThrough, fleet, None).await?;
    tokio::time::sleep(WARM_UP_TIME).await;
    core.fill().await?;
    pass_through.fill().await?;
    for (name, command) in COMMANDS {
        for depth in [1, 32] {
            for clients in [1, 16, 256] {
                let workload = Workload { command, depth, clients };
                let comparison = measure_in_turn(&core, &pass_through, workload, arguments).await?;
                print_comparison(name, workload, &comparison);
            }
        }
    }
    drop(pass_through);
    state::measure_cost(&core, fleet, &folder.join("state"), arguments).await?;
    drop(core);
    state::measure_largest(&folder.join("largest"))?;
    memory::measure(fleet, folder, arguments).await
}

/// The metrics of a gateway and of the one that it is compared with.
struct Comparison {
    subject: Metrics,
    baseline: Metrics,
}

/// Runs the same workload on both gateways in turn, so that a slow phase of the machine affects both.
async fn measure_in_turn(
    subject: &MeasuredGateway,
    baseline: &MeasuredGateway,
    workload: Workload,
    arguments: &Arguments,
) -> Result<Comparison, MeasureError> {
    let mut subject = Total::new(subject);
    let mut baseline = Total::new(baseline);
    for _ in 0..arguments.turns {
        subject.measure(workload, arguments.turn_duration()).await?;
        baseline.measure(workload, arguments.turn_duration()).await?;
    }
    let seconds = arguments.seconds * f64::from(arguments.turns);
    Ok(Comparison { subject: subject.metrics(seconds), baseline: baseline.metrics(seconds) })
}

/// The sum over a gateway's turns.
struct Total<'a> {
    gateway: &'a MeasuredGateway,
    result: LoadResult,
    busy_nanos: u64,
}

impl<'a> Total<'a> {
    fn new(gateway: &'a MeasuredGateway) -> Total<'a> {
        Total { gateway, result: LoadResult::new(), busy_nanos: 0 }
    }

    async fn measure(&mut self, workload: Workload, duration: Duration) -> Result<(), MeasureError> {
        let busy_before = self.gateway.busy_nanos();
        let result = run_load(self.gateway, workload, duration).await?;
        self.busy_nanos += self.gateway.busy_nanos() - busy_before;
        self.result.add(&result)
    }

    fn metrics(&self, seconds: f64) -> Metrics {
        self.result.metrics(self.busy_nanos, seconds)
    }
}

fn print_comparison(name: &str, workload: Workload, comparison: &Comparison) {
    let Comparison { subject, baseline } = comparison;
    output::print_json(&json!({
        "work": name, "bytes": BLOCK_BYTES, "depth": workload.depth, "clients": workload.clients,
        "throughput_ratio": subject.per_second / baseline.per_second,
        "median_ratio": ratio(subject.median_us, baseline.median_us),
        "p99_ratio": ratio(subject.p99_us, baseline.p99_us),
        "gateway": subject, "pass_through": baseline,
    }));
}

fn ratio(subject: u64, baseline: u64) -> f64 {
    subject as f64 / baseline.max(1) as f64
}
