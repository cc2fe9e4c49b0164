//! `umbertray fault-test`: runs a scripted fault scenario against real gateways and prints the verdict.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};

use serde::Serialize;
use umbertray_fault_tests::judge::{Count, Service};
use umbertray_fault_tests::{Record, Scenario, Verdict, judge, run_scenario};

use crate::error::{CommandError, ScriptProblems};
use crate::output;

#[derive(clap::Args)]
pub(crate) struct Arguments {
    /// The script of the scenario.
    #[arg(value_name = "DAY")]
    scenario: PathBuf,
    /// Seed of all random draws; with --repeat, the first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds to run, one after another.
    #[arg(long, default_value_t = 1)]
    repeat: u64,
    /// Folder for the scenario, the records of clients and stores, and the verdict, with a sub-folder for
    /// each seed.
    #[arg(long, default_value = "rehearsals")]
    out: PathBuf,
}

pub(crate) async fn run(arguments: Arguments) -> Result<(), CommandError> {
    let name = arguments.scenario.display().to_string();
    let text = std::fs::read_to_string(&arguments.scenario).map_err(CommandError::io(&name))?;
    let scenario = Scenario::read(&name, text).map_err(ScriptProblems)?;
    let program = std::env::current_exe().map_err(CommandError::io("this program"))?;
    let mut broken = 0;
    for seed in arguments.seed..arguments.seed + arguments.repeat {
        let folder = arguments.out.join(format!("seed-{seed}"));
        let verdict = run_seed(&scenario, seed, &program, &folder).await?;
        print_verdict(seed, &verdict);
        if !verdict.has_passed {
            broken += 1;
            output::print_line(&format!("  reproduce with: umbertray fault-test {name} --seed {seed}"));
        }
    }
    if broken > 0 {
        return Err(CommandError::RunsBrokeRules { broken, runs: arguments.repeat });
    }
    Ok(())
}

async fn run_seed(
    scenario: &Scenario,
    seed: u64,
    program: &Path,
    folder: &Path,
) -> Result<Verdict, CommandError> {
    std::fs::create_dir_all(folder).map_err(CommandError::io(folder.display()))?;
    let record = run_scenario(scenario, seed, program, folder).await;
    let record = record.map_err(CommandError::io(format!("seed {seed}")))?;
    let verdict = judge(scenario, &record);
    save(folder, scenario, &record, &verdict).map_err(CommandError::io(folder.display()))?;
    Ok(verdict)
}

fn save(folder: &Path, scenario: &Scenario, record: &Record, verdict: &Verdict) -> io::Result<()> {
    std::fs::write(folder.join("day.star"), &scenario.text)?;
    write_json_lines(&folder.join("clients.jsonl"), &record.client_requests)?;
    write_json_lines(&folder.join("stores.jsonl"), &record.stores)?;
    write_json_lines(&folder.join("deeds.jsonl"), &record.events)?;
    std::fs::write(folder.join("verdict.json"), serde_json::to_vec_pretty(verdict)?)
}

fn write_json_lines<T: Serialize>(path: &Path, items: &[T]) -> io::Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    for item in items {
        serde_json::to_writer(&mut file, item)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}

fn print_verdict(seed: u64, verdict: &Verdict) {
    let service = &verdict.service;
    let all = &service.all;
    output::print_line(&format!(
        "seed {seed}: {} - {} requests: {} acked ({} in target latency), {} throttled, {} aborted, \
         {} lost; {}",
        if verdict.has_passed { "kept" } else { "BROKEN" },
        all.requests,
        all.acked,
        all.in_target,
        all.throttled,
        all.aborted,
        all.lost,
        utility_served(all)
    ));
    for finding in &verdict.findings {
        output::print_line(&format!(
            "  {:32} checked {:6}  broken {:4}  {:.3} {}",
            finding.rule, finding.cases_checked, finding.breach_count, finding.value, finding.unit
        ));
        for breach in &finding.breaches {
            output::print_line(&format!("    {breach}"));
        }
    }
    for step in &verdict.late_steps {
        output::print_line(&format!(
            "  {} planned at {:.3} s began {:.3} s late",
            step.fault,
            step.planned as f64 / 1e6,
            step.late as f64 / 1e6
        ));
    }
    print_after_return("10 s after a return to service", &service.after_return);
    print_after_return("other gateways at that time", &service.others_then);
    print_recovery(service);
    for (name, count) in service.by_op_type.iter().chain(&service.by_plan) {
        output::print_line(&format!("  {name:32} requests {:6}  {}", count.requests, utility_served(count)));
    }
}

/// Prints the requests in the seconds after gateways returned to service, if there were any.
fn print_after_return(label: &str, count: &Count) {
    let Count { requests, throttled, .. } = count;
    if *requests > 0 {
        let served = utility_served(count);
        output::print_line(&format!("  {label:32} requests {requests:6}  throttled {throttled:6}  {served}"));
    }
}

/// Prints how long gateways took after their return to service until they served as well as the others.
fn print_recovery(service: &Service) {
    if service.recovered.is_empty() {
        return;
    }
    let mut times: Vec<u64> = service.recovered.iter().map(|time| time.unwrap_or(u64::MAX)).collect();
    times.sort_unstable();
    let median_seconds = times[times.len() / 2] as f64 / 1e6;
    let never = service.recovered.iter().filter(|time| time.is_none()).count();
    let label = format!("of {} returns to service", times.len());
    output::print_line(&format!(
        "  {label:32} served as well as the others after {median_seconds:.1} s (median); {never} never"
    ));
}

fn utility_served(count: &Count) -> String {
    format!("utility in target latency {:.3} of the requested utility", count.served())
}
