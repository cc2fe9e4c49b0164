//! `umbertray fault-test`: a scripted day through real gateways, and its verdict.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};

use serde::Serialize;
use umbertray_fault_tests::judge::Count;
use umbertray_fault_tests::{Day, Record, Verdict, judge, run_scenario};

use crate::output;

#[derive(clap::Args)]
pub struct Arguments {
    /// The day, a script.
    day: PathBuf,
    /// What is drawn by chance; the first of the seeds.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// So many seeds, one after another.
    #[arg(long, default_value_t = 1)]
    repeat: u64,
    /// Where the day, both sides' records and the verdict go, a folder a seed.
    #[arg(long, default_value = "rehearsals")]
    out: PathBuf,
}

pub async fn run(arguments: Arguments) -> Result<(), String> {
    let name = arguments.day.display().to_string();
    let text = std::fs::read_to_string(&arguments.day).map_err(|error| format!("{name}: {error}"))?;
    let day = Day::read(&name, text)
        .map_err(|problems| problems.iter().map(|problem| format!("{problem}\n")).collect::<String>())?;
    let program = std::env::current_exe().map_err(|error| format!("this program: {error}"))?;
    let mut broken = 0;
    for seed in arguments.seed..arguments.seed + arguments.repeat {
        let folder = arguments.out.join(format!("seed-{seed}"));
        std::fs::create_dir_all(&folder).map_err(|error| format!("{}: {error}", folder.display()))?;
        let record = run_scenario(&day, seed, &program, &folder).await;
        let record = record.map_err(|error| format!("seed {seed}: {error}"))?;
        let verdict = judge(&day, &record);
        keep(&folder, &day, &record, &verdict).map_err(|error| format!("{}: {error}", folder.display()))?;
        say(seed, &verdict);
        broken += u64::from(!verdict.kept);
        if !verdict.kept {
            output::print_line(&format!("  again: umbertray fault-test {name} --seed {seed}"));
        }
    }
    if broken > 0 { Err(format!("{broken} of {} runs broke a rule", arguments.repeat)) } else { Ok(()) }
}

fn keep(folder: &Path, day: &Day, record: &Record, verdict: &Verdict) -> std::io::Result<()> {
    fn lines<T: Serialize>(path: PathBuf, items: &[T]) -> std::io::Result<()> {
        let mut file = BufWriter::new(File::create(path)?);
        for item in items {
            serde_json::to_writer(&mut file, item)?;
            file.write_all(b"\n")?;
        }
        file.flush()
    }
    std::fs::write(folder.join("day.star"), &day.text)?;
    lines(folder.join("clients.jsonl"), &record.asked)?;
    lines(folder.join("stores.jsonl"), &record.stores)?;
    lines(folder.join("deeds.jsonl"), &record.deeds)?;
    std::fs::write(folder.join("verdict.json"), serde_json::to_vec_pretty(verdict)?)
}

fn say(seed: u64, verdict: &Verdict) {
    let all = &verdict.service.all;
    output::print_line(&format!(
        "seed {seed}: {} - {} requests: {} acked ({} in target latency), {} throttled, {} aborted, {} lost; {}",
        if verdict.kept { "kept" } else { "BROKEN" },
        all.asked,
        all.acked,
        all.in_target,
        all.throttled,
        all.aborted,
        all.lost,
        served(all)
    ));
    for finding in &verdict.findings {
        output::print_line(&format!(
            "  {:32} looked {:6}  broken {:4}  {:.3} {}",
            finding.rule, finding.looked, finding.broken, finding.figure, finding.unit
        ));
        finding.breaches.iter().for_each(|breach| output::print_line(&format!("    {breach}")));
    }
    let returned = &verdict.service;
    for (what, count) in
        [("10 s after a return", &returned.after_return), ("others then", &returned.others_then)]
    {
        if count.asked > 0 {
            let (asked, throttled) = (count.asked, count.throttled);
            output::print_line(&format!(
                "  {what:32} asked {asked:6}  throttled {throttled:6}  {}",
                served(count)
            ));
        }
    }
    if !returned.recovered.is_empty() {
        let mut times: Vec<u64> = returned.recovered.iter().map(|time| time.unwrap_or(u64::MAX)).collect();
        times.sort_unstable();
        let median = times[times.len() / 2] as f64 / 1e6;
        let never = returned.recovered.iter().filter(|time| time.is_none()).count();
        let what = format!("of {} returns", times.len());
        output::print_line(&format!(
            "  {what:32} as good as others after {median:.1} s (median); {never} never"
        ));
    }
    for (name, count) in verdict.service.by_op_type.iter().chain(&verdict.service.by_plan) {
        output::print_line(&format!("  {name:32} asked {:6}  {}", count.asked, served(count)));
    }
}

fn served(count: &Count) -> String {
    format!("utility in target latency {:.3} of what was asked", count.served())
}
