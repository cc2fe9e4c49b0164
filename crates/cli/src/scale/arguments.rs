//! The arguments of `umbertray scale`, and the budgets that they set.

use std::path::PathBuf;

use umbertray_scale::measurement::{Line, Role};
use umbertray_scale::plan::Plan;
use umbertray_scale::relays::Fault;
use umbertray_scale::sweep::Factor;

#[derive(clap::Args)]
pub(crate) struct Arguments {
    /// Total number of gateways; in a sweep, the largest number.
    #[arg(long, default_value_t = 100)]
    pub(super) gateways: u32,
    /// Number of these gateways that run in their own processes.
    #[arg(long, default_value_t = 1)]
    pub(super) real: u32,
    /// Number of stores in the endpoint list; in a sweep, the largest number.
    #[arg(long, default_value_t = 400)]
    pub(super) stores: u32,
    /// Number of stores that accept connections; no process listens at the addresses of the others. By
    /// default, as many as 20,000 connections from gateways to stores allow, but at least one.
    #[arg(long)]
    pub(super) answering: Option<u32>,
    #[arg(long, default_value_t = 100)]
    pub(super) volumes: u32,
    /// Seconds for which a fleet is measured.
    #[arg(long, default_value_t = 10.0)]
    pub(super) seconds: f64,
    #[arg(long, default_value_t = 1)]
    pub(super) seed: u64,
    /// Configuration changes per second during the measurement; with 0, a few are made after it.
    #[arg(long, default_value_t = 0.0)]
    pub(super) changes: f64,
    /// Gateway restarts per hour over the entire fleet.
    #[arg(long, default_value_t = 0.0)]
    pub(super) restarts: f64,
    /// Relays in each of six zones, in addition to three that read the folder of the change log; with 0,
    /// gateways read the folder.
    #[arg(long, default_value_t = 0)]
    pub(super) relays: u32,
    /// Fault of one relay in each zone after a third of the measured time: killed, or stopped (paused with
    /// SIGSTOP) for another third.
    #[arg(long, requires = "relays", value_name = "killed|stopped")]
    pub(super) relay_fault: Option<Fault>,
    /// Factors to sweep one after another: stores, gateways, changes, restarts, volumes.
    #[arg(long, value_delimiter = ',')]
    pub(super) factors: Vec<Factor>,
    /// Measures disruptions: all gateways started at once, a zone lost and restored, the endpoint list paused
    /// and killed, the coordinator killed, all hollow gateways restarted.
    #[arg(long, conflicts_with = "factors")]
    pub(super) moments: bool,
    /// Number of measurements of each size in a sweep.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=100))]
    pub(super) repeats: u32,
    /// Runs no fleet; recomputes fits and charts from the lines in `--out`.
    #[arg(long, requires = "out", conflicts_with_all = ["factors", "moments"])]
    pub(super) refit: bool,
    /// Fails if a change took longer than this to be in force at any gateway.
    #[arg(long, value_name = "SECONDS")]
    pub(super) most_in_force: Option<f64>,
    /// Fails if an idle gateway uses more than this percentage of a core.
    #[arg(long, value_name = "PERCENT")]
    pub(super) most_core: Option<f64>,
    /// Folder for the lines, a description of the machine, fits and charts.
    #[arg(long)]
    pub(super) out: Option<PathBuf>,
}

impl Arguments {
    pub(super) fn plan(&self) -> Plan {
        Plan {
            gateways: self.gateways,
            real_gateways: self.real,
            stores: self.stores,
            answering: self.answering,
            volumes: self.volumes,
            changes_per_second: self.changes,
            restarts_per_hour: self.restarts,
            seconds: self.seconds,
            seed: self.seed,
            relays: self.relays,
            fault: self.relay_fault,
        }
    }

    /// What a measured line itself reports as broken, then the budgets that it exceeds.
    pub(super) fn exceeded_budgets(&self, line: &Line) -> Vec<String> {
        let mut exceeded = line.broken.clone();
        exceeded.extend(self.exceeded_in_force(line));
        exceeded.extend(self.exceeded_core(line));
        exceeded
    }

    fn exceeded_in_force(&self, line: &Line) -> Option<String> {
        let longest = line.apply_delay_seconds?.max;
        let allowed = self.most_in_force?;
        (longest > allowed).then(|| format!("in force after {longest} s, {allowed} is allowed"))
    }

    fn exceeded_core(&self, line: &Line) -> Option<String> {
        let allowed = self.most_core?;
        let used = line.idle_core_percent;
        let is_gateway = matches!(line.role, None | Some(Role::Gateway));
        (is_gateway && used > allowed)
            .then(|| format!("a gateway uses {used}% of a core, {allowed} is allowed"))
    }
}
