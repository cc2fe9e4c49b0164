//! `umbertray soak`: randomized faults on real gateways, and what they broke.

use std::path::PathBuf;
use std::time::Duration;

use umbertray_fault_tests::soak::{self, Plan};

use crate::output;

#[derive(clap::Args)]
pub struct Arguments {
    /// What is drawn by chance; the first of the seeds.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// So many seeds, one after another.
    #[arg(long, default_value_t = 1)]
    repeat: u64,
    /// Processes of `umbertray node`, each with a proxy on every link.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u32).range(1..=40))]
    gateways: u32,
    /// For how long faults come.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(4..=600))]
    seconds: u64,
    /// System calls of the gateways are interrupted, short or fail for a moment now and then; needs a C compiler.
    #[arg(long)]
    failing_calls: bool,
    /// The program whose `node` is played; this one where it is not given.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Where configurations and logs go, a folder a seed.
    #[arg(long, default_value = "soaks")]
    out: PathBuf,
}

pub async fn run(arguments: Arguments) -> Result<(), String> {
    let own = std::env::current_exe().map_err(|error| format!("this program: {error}"))?;
    let program = arguments.program.unwrap_or(own);
    let lasts = Duration::from_secs(arguments.seconds);
    let mut broken = 0;
    for seed in arguments.seed..arguments.seed + arguments.repeat {
        let plan =
            Plan { failing_calls: arguments.failing_calls, ..Plan::draw(seed, arguments.gateways, lasts) };
        let folder = arguments.out.join(format!("seed-{seed}"));
        std::fs::create_dir_all(&folder).map_err(|error| format!("{}: {error}", folder.display()))?;
        let record = soak::run(&plan, &program, &folder).await;
        let record = record.map_err(|error| format!("seed {seed}: {error}"))?;
        let findings = soak::judge(&record);
        let soak::Record { requests, stopped, attempts, stalls, .. } = &record;
        output::print_line(&format!(
            "seed {seed}: {} requests, {} attempts, {} stopped clients, {} faults, held up {} times; {} findings",
            requests.len(),
            attempts.len(),
            stopped.len(),
            plan.faults.len(),
            stalls.len(),
            findings.len()
        ));
        findings.iter().for_each(|finding| output::print_line(&format!("  {finding}")));
        if !findings.is_empty() {
            broken += 1;
            output::print_line(&format!("  again: {plan}"));
        }
    }
    if broken > 0 { Err(format!("{broken} of {} seeds broke a rule", arguments.repeat)) } else { Ok(()) }
}
