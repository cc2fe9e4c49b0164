//! `umbertray soak`: injects randomized faults into real gateways and prints the rules that they broke.

use std::path::{Path, PathBuf};
use std::time::Duration;

use umbertray_fault_tests::soak::{self, Finding, Plan, Record};

use crate::error::CommandError;
use crate::output;

#[derive(clap::Args)]
pub(crate) struct Arguments {
    /// Seed of all random draws; with --repeat, the first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds to run, one after another.
    #[arg(long, default_value_t = 1)]
    repeat: u64,
    /// Number of `umbertray node` processes, each with a proxy on every link.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u32).range(1..=40))]
    gateways: u32,
    /// Seconds for which faults are injected.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(4..=600))]
    seconds: u64,
    /// Injects faults into the gateways' system calls: some are interrupted, return short counts or fail
    /// transiently. Needs a C compiler.
    #[arg(long)]
    failing_calls: bool,
    /// The program whose `node` command is run; by default this program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Folder for configurations and logs, with a sub-folder for each seed.
    #[arg(long, default_value = "soaks")]
    out: PathBuf,
}

pub(crate) async fn run(arguments: Arguments) -> Result<(), CommandError> {
    let own = std::env::current_exe().map_err(CommandError::io("this program"))?;
    let program = arguments.program.as_deref().unwrap_or(&own);
    let mut broken = 0;
    for seed in arguments.seed..arguments.seed + arguments.repeat {
        broken += u64::from(!run_seed(&arguments, seed, program).await?);
    }
    if broken > 0 {
        return Err(CommandError::SeedsBrokeRules { broken, seeds: arguments.repeat });
    }
    Ok(())
}

/// Runs one seed; returns whether the gateways kept all rules.
async fn run_seed(arguments: &Arguments, seed: u64, program: &Path) -> Result<bool, CommandError> {
    let duration = Duration::from_secs(arguments.seconds);
    let drawn = Plan::draw(seed, arguments.gateways, duration);
    let plan = Plan { failing_calls: arguments.failing_calls, ..drawn };
    let folder = arguments.out.join(format!("seed-{seed}"));
    std::fs::create_dir_all(&folder).map_err(CommandError::io(folder.display()))?;
    let record = soak::run(&plan, program, &folder).await;
    let record = record.map_err(CommandError::io(format!("seed {seed}")))?;
    let findings = soak::judge(&record);
    print_findings(seed, &plan, &record, &findings);
    Ok(findings.is_empty())
}

fn print_findings(seed: u64, plan: &Plan, record: &Record, findings: &[Finding]) {
    output::print_line(&format!(
        "seed {seed}: {} requests, {} later than 0.7 s after SIGTERM, {} process exits, {} attempts, \
         {} stopped clients, {} faults, {} pauses of the test process; {} findings",
        record.requests.len(),
        soak::oracle::late_requests(record),
        record.exits.len(),
        record.attempts.len(),
        record.stopped_clients.len(),
        plan.faults.len(),
        record.held_up.len(),
        findings.len()
    ));
    for finding in findings {
        output::print_line(&format!("  {finding}"));
    }
    if !findings.is_empty() {
        output::print_line(&format!("  reproduce with: {plan}"));
    }
}
