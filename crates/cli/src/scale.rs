//! `umbertray scale`: what a fleet's size costs each of its members.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use umbertray_scale::ScaleError;
use umbertray_scale::moments::moments;
use umbertray_scale::plan::{Limits, Plan, demand};
use umbertray_scale::point::{Line, Setup};
use umbertray_scale::relays::Fault;
use umbertray_scale::report::Out;
use umbertray_scale::sweep::{Factor, once, refit, sweep};

use crate::{output, serve};

#[derive(clap::Args)]
pub struct Arguments {
    /// Gateways in all; in a sweep, the most.
    #[arg(long, default_value_t = 100)]
    gateways: u32,
    /// Of them, those in processes of their own.
    #[arg(long, default_value_t = 1)]
    real: u32,
    /// Stores that the list names; in a sweep, the most.
    #[arg(long, default_value_t = 400)]
    stores: u32,
    /// Stores that answer; at the others' addresses nobody listens. As many as there is room for where it is not given.
    #[arg(long)]
    answering: Option<u32>,
    #[arg(long, default_value_t = 100)]
    volumes: u32,
    /// How long a fleet is measured.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Changes of configuration a second while it is measured; without them a few are made afterwards.
    #[arg(long, default_value_t = 0.0)]
    changes: f64,
    /// Restarts of gateways an hour, in the whole fleet.
    #[arg(long, default_value_t = 0.0)]
    restarts: f64,
    /// Relays in each of six zones, besides three that read the folder; without them gateways read the folder.
    #[arg(long, default_value_t = 0)]
    relays: u32,
    /// What becomes of one relay in each zone a third into the measured time: killed, or stopped for another third.
    #[arg(long, requires = "relays", value_name = "killed|stopped")]
    relay_fault: Option<Fault>,
    /// Factors to sweep one after another: stores, gateways, changes, restarts, volumes.
    #[arg(long, value_delimiter = ',')]
    factors: Vec<Factor>,
    /// Brings on a fleet's worst moments: all started at once, a zone gone and back, list and coordinator stopped or killed.
    #[arg(long, conflicts_with = "factors")]
    moments: bool,
    /// How often each size of a sweep is measured.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=100))]
    repeats: u32,
    /// Runs nothing: works out fits and charts anew from the lines in `--out`.
    #[arg(long, requires = "out", conflicts_with_all = ["factors", "moments"])]
    refit: bool,
    /// Fails where a change was in force later than this at any gateway.
    #[arg(long, value_name = "SECONDS")]
    most_in_force: Option<f64>,
    /// Fails where an idle gateway takes more of a core than this.
    #[arg(long, value_name = "PERCENT")]
    most_core: Option<f64>,
    /// Where lines, the machine, fits and charts go.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// A folder of this run's own, gone with it unless there is something to be read in it.
struct Scratch(PathBuf);

impl Drop for Scratch {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

impl Scratch {
    fn keep(mut self) {
        let folder = std::mem::take(&mut self.0);
        tracing::warn!(folder = %folder.display(), "logs are kept there");
    }
}

impl Arguments {
    fn plan(&self) -> Plan {
        Plan {
            gateways: self.gateways,
            real: self.real,
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

    /// The budgets that a line does not keep to, besides what it says is broken itself.
    fn unkept(&self, line: &Line) -> Vec<String> {
        let mut unkept = line.broken.clone();
        let longest = line.in_force_seconds.map(|spans| spans.max);
        if let Some((most, longest)) =
            self.most_in_force.zip(longest).filter(|(most, longest)| longest > most)
        {
            unkept.push(format!("in force after {longest} s, {most} is allowed"));
        }
        let gateway = matches!(line.role, None | Some(umbertray_scale::point::Role::Gateway));
        if let Some(most) = self.most_core.filter(|most| gateway && line.idle_core_percent > *most) {
            unkept.push(format!("a gateway takes {}% of a core, {most} is allowed", line.idle_core_percent));
        }
        unkept
    }
}

async fn measure(arguments: &Arguments) -> Result<Vec<String>, ScaleError> {
    if let Some(folder) = arguments.out.as_deref().filter(|_| arguments.refit) {
        let out = Out::open(folder)?;
        let lines = out.kept().map_err(|error| ScaleError::Io { what: "--out".into(), error })?;
        out.slopes(&refit(&lines))?;
        return Ok(Vec::new());
    }
    let plan = arguments.plan();
    let limits = Limits::here();
    // A sweep's own plans are smaller, and looked at before the first of them.
    let plans = match arguments.factors.as_slice() {
        [] => vec![plan.clone()],
        factors => factors.iter().flat_map(|factor| factor.plans(&plan)).collect(),
    };
    plans.iter().try_for_each(|plan| demand(plan, &limits).map(drop))?;
    let mut out = arguments.out.as_deref().map(Out::open).transpose()?;
    let failed = |what: &str, error| ScaleError::Io { what: what.into(), error };
    if let Some(out) = &out {
        out.machine(&std::env::args().skip(1).collect::<Vec<_>>()).map_err(|error| failed("--out", error))?;
    }
    let program = std::env::current_exe().map_err(|error| failed("this program", error))?;
    let scratch = std::env::temp_dir().join(format!("umbertray-scale-{}", std::process::id()));
    let scratch = Scratch(scratch);
    let setup = Setup { program, scratch: scratch.0.clone(), limits };
    match bring_on(arguments, &plan, &setup, out.as_mut()).await {
        Ok(unkept) if unkept.is_empty() => Ok(unkept),
        ended => {
            scratch.keep();
            ended
        }
    }
}

/// Runs what is asked for; what did not hold.
async fn bring_on(
    arguments: &Arguments,
    plan: &Plan,
    setup: &Setup,
    mut out: Option<&mut Out>,
) -> Result<Vec<String>, ScaleError> {
    let failed = |what: &str, error| ScaleError::Io { what: what.into(), error };
    let mut unkept = Vec::new();
    let mut unwritten = None;
    let mut each = |line: &Line| {
        unkept.extend(arguments.unkept(line).into_iter().map(|why| format!("{}: {why}", line.point)));
        output::print_line(&serde_json::to_string(line).unwrap_or_default());
        let written = out.as_mut().map_or(Ok(()), |out| out.line(line));
        unwritten = unwritten.take().or(written.err());
    };
    if arguments.moments {
        moments(plan, setup, &mut |moment| {
            unkept.extend(moment.broken.iter().map(|why| format!("{}: {why}", moment.moment)));
            output::print_line(&serde_json::to_string(moment).unwrap_or_default());
            let written = out.as_mut().map_or(Ok(()), |out| out.line(moment));
            unwritten = unwritten.take().or(written.err());
        })
        .await?;
    } else if arguments.factors.is_empty() {
        once(plan, setup, "one", 0).await?.iter().for_each(&mut each);
    } else {
        let slopes = sweep(&arguments.factors, plan, arguments.repeats, setup, &mut each).await?;
        output::print(&format!("{}\n", serde_json::json!({ "slopes": slopes })));
        for slope in slopes.iter().filter(|slope| !slope.held_out.understood()) {
            let (factor, error) = (slope.factor.name(), slope.held_out.error * 100.0);
            tracing::warn!(factor, figure = slope.figure, error, "not understood");
        }
        out.as_ref().map_or(Ok(()), |out| out.slopes(&slopes))?;
    }
    match unwritten {
        Some(error) => Err(failed("--out", error)),
        None => Ok(unkept),
    }
}

pub async fn run(arguments: Arguments) -> ExitCode {
    let ended = tokio::select! {
        ended = measure(&arguments) => ended,
        _ = serve::told_to_stop() => Err(ScaleError::Stopped),
    };
    match ended {
        Ok(unkept) if unkept.is_empty() => ExitCode::SUCCESS,
        Ok(unkept) => {
            unkept.iter().for_each(|why| eprintln!("umbertray: {why}"));
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("umbertray: {error}");
            ExitCode::from(if matches!(error, ScaleError::Refused(_)) { 2 } else { 1 })
        }
    }
}

pub async fn worker() -> Result<(), String> {
    umbertray_scale::worker::run(Arc::new(|file: PathBuf| {
        Box::pin(async move { serve::prepare(&file).await })
    }))
    .await
}
