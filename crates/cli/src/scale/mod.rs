//! `umbertray scale`: measures how the cost of each member of a fleet grows with the size of the fleet.

mod arguments;

use std::io;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::process::ExitCode;
use std::sync::Arc;

use serde::Serialize;
use umbertray_nbd_gateway::GatewayOptions;
use umbertray_routing::Settings;
use umbertray_scale::ScaleError;
use umbertray_scale::disruptions::{Disruption, run_disruptions};
use umbertray_scale::measurement::{Line, Setup};
use umbertray_scale::plan::{Limits, Plan, check_demand};
use umbertray_scale::report::ResultsFolder;
use umbertray_scale::sweep::{measure_once, refit, sweep};

use crate::error::CommandError;
use crate::{output, serve};

pub(crate) use arguments::Arguments;

/// Exit status of a plan that was rejected before anything started.
const REJECTED: u8 = 2;

pub(crate) async fn run(arguments: Arguments) -> ExitCode {
    let result = tokio::select! {
        result = measure(&arguments) => result,
        _ = serve::stop_signal() => Err(ScaleError::Stopped),
    };
    match result {
        Ok(exceeded) if exceeded.is_empty() => ExitCode::SUCCESS,
        Ok(exceeded) => {
            for budget in exceeded {
                eprintln!("umbertray: {budget}");
            }
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("umbertray: {error}");
            match error {
                ScaleError::PlanRejected(_) => ExitCode::from(REJECTED),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

pub(crate) async fn worker() -> Result<(), CommandError> {
    let prepare = Arc::new(|file| -> Prepared { Box::pin(prepare(file)) });
    umbertray_scale::worker::run(prepare).await.map_err(CommandError::Ended)
}

/// The settings and options that a worker starts a gateway with, or the error as its protocol reports it.
type Prepared = Pin<Box<dyn Future<Output = Result<(Arc<Settings>, GatewayOptions), String>> + Send>>;

async fn prepare(file: PathBuf) -> Result<(Arc<Settings>, GatewayOptions), String> {
    let prepared = serve::prepare(&file).await.map_err(|error| error.to_string())?;
    Ok((prepared.settings, prepared.options))
}

/// Runs the measurement that the arguments select; returns the budgets that were exceeded.
async fn measure(arguments: &Arguments) -> Result<Vec<String>, ScaleError> {
    if let Some(folder) = arguments.out.as_deref().filter(|_| arguments.refit) {
        refit_lines(folder)?;
        return Ok(Vec::new());
    }
    let plan = arguments.plan();
    let limits = Limits::of_this_machine();
    check_demands(arguments, &plan, &limits)?;
    let out = arguments.out.as_deref().map(ResultsFolder::open).transpose()?;
    if let Some(out) = &out {
        let command_line: Vec<String> = std::env::args().skip(1).collect();
        out.write_machine(&command_line).map_err(io_error("--out"))?;
    }
    let program = std::env::current_exe().map_err(io_error("this program"))?;
    let scratch = ScratchFolder::new();
    let setup = Setup { program, scratch: scratch.0.clone(), limits };
    let result = run_plan(arguments, &plan, &setup, Recorder::new(arguments, out)).await;
    if !matches!(&result, Ok(exceeded) if exceeded.is_empty()) {
        scratch.keep();
    }
    result
}

/// Recomputes fits and charts from the lines of earlier runs.
fn refit_lines(folder: &Path) -> Result<(), ScaleError> {
    let out = ResultsFolder::open(folder)?;
    let lines = out.saved_lines().map_err(io_error("--out"))?;
    out.write_slopes(&refit(&lines))
}

/// Rejects a plan, or any plan of a sweep, that this machine cannot run, before the first one starts.
fn check_demands(arguments: &Arguments, plan: &Plan, limits: &Limits) -> Result<(), ScaleError> {
    if arguments.factors.is_empty() {
        check_demand(plan, limits)?;
    }
    for plan in arguments.factors.iter().flat_map(|factor| factor.plans(plan)) {
        check_demand(&plan, limits)?;
    }
    Ok(())
}

async fn run_plan(
    arguments: &Arguments,
    plan: &Plan,
    setup: &Setup,
    mut recorder: Recorder<'_>,
) -> Result<Vec<String>, ScaleError> {
    if arguments.moments {
        run_disruptions(plan, setup, &mut |disruption| recorder.disruption(disruption)).await?;
    } else if arguments.factors.is_empty() {
        for line in measure_once(plan, setup, "one", 0).await? {
            recorder.line(&line);
        }
    } else {
        run_sweep(arguments, plan, setup, &mut recorder).await?;
    }
    match recorder.write_error {
        Some(error) => Err(io_error("--out")(error)),
        None => Ok(recorder.exceeded),
    }
}

async fn run_sweep(
    arguments: &Arguments,
    plan: &Plan,
    setup: &Setup,
    recorder: &mut Recorder<'_>,
) -> Result<(), ScaleError> {
    let mut record = |line: &Line| recorder.line(line);
    let slopes = sweep(&arguments.factors, plan, arguments.repeats, setup, &mut record).await?;
    output::print_json(&serde_json::json!({ "slopes": slopes }));
    for slope in slopes.iter().filter(|slope| !slope.held_out.is_within_error()) {
        let factor = slope.factor.name();
        let error = slope.held_out.error * 100.0;
        tracing::warn!(
            factor,
            figure = slope.metric,
            error,
            "fit did not predict the measurement at the largest size"
        );
    }
    recorder.out.as_ref().map_or(Ok(()), |out| out.write_slopes(&slopes))
}

/// Prints each measured line, appends it to the folder of `--out` and collects the budgets that it exceeds.
struct Recorder<'a> {
    arguments: &'a Arguments,
    out: Option<ResultsFolder>,
    exceeded: Vec<String>,
    /// The first error of writing to the folder. The run continues, since the lines are printed too.
    write_error: Option<io::Error>,
}

impl<'a> Recorder<'a> {
    fn new(arguments: &'a Arguments, out: Option<ResultsFolder>) -> Recorder<'a> {
        Recorder { arguments, out, exceeded: Vec::new(), write_error: None }
    }

    fn line(&mut self, line: &Line) {
        let exceeded = self.arguments.exceeded_budgets(line);
        self.exceeded.extend(exceeded.iter().map(|budget| format!("{}: {budget}", line.point)));
        self.write(line);
    }

    fn disruption(&mut self, disruption: &Disruption) {
        self.exceeded
            .extend(disruption.broken.iter().map(|rule| format!("{}: {rule}", disruption.description)));
        self.write(disruption);
    }

    fn write(&mut self, row: &impl Serialize) {
        output::print_line(&serde_json::to_string(row).unwrap_or_default());
        let written = self.out.as_mut().map_or(Ok(()), |out| out.line(row));
        if let Err(error) = written {
            self.write_error.get_or_insert(error);
        }
    }
}

/// A folder for the logs of this run. It is removed at the end of the run, unless the logs may explain a
/// failure.
struct ScratchFolder(PathBuf);

impl ScratchFolder {
    fn new() -> ScratchFolder {
        ScratchFolder(std::env::temp_dir().join(format!("umbertray-scale-{}", std::process::id())))
    }

    fn keep(mut self) {
        let folder = std::mem::take(&mut self.0);
        tracing::warn!(folder = %folder.display(), "logs of the run were kept");
    }
}

impl Drop for ScratchFolder {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

fn io_error(what: &str) -> impl FnOnce(io::Error) -> ScaleError {
    move |error| ScaleError::Io { what: what.into(), error }
}
