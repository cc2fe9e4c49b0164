//! The program `umbertray`: its arguments, its sub-commands and its exit status.

mod config;
mod coordinator;
mod demo;
mod error;
mod fake;
mod fault_test;
mod measure;
mod nbd;
mod node;
mod output;
mod relay;
mod scale;
mod serve;
mod soak;
mod state;

use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use tokio::runtime::Runtime;
use tracing_subscriber::EnvFilter;

use error::CommandError;

/// A storage gateway: serves clients over NBD or HTTP from storage nodes, and keeps each volume to its plan.
#[derive(Parser)]
#[command(name = "umbertray", version)]
struct Arguments {
    /// The format of the log on standard error.
    #[arg(long, value_enum, default_value = "pretty", global = true)]
    log: LogFormat,
    /// The log filter: a level or targets with levels, such as "info" or "umbertray_nbd_gateway=debug".
    #[arg(long, default_value = "info", global = true)]
    log_level: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Pretty,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Runs one NBD gateway until SIGTERM or SIGINT.
    Serve(serve::Arguments),
    /// Runs one HTTP gateway on the platform until SIGTERM.
    Node(node::Arguments),
    /// Runs the coordinator, which holds the extent map (extents to shards), until SIGTERM or SIGINT.
    #[command(alias = "keeper")]
    Coordinator(coordinator::Arguments),
    /// Runs a relay, which forwards the change log to gateways and other relays, until SIGTERM or SIGINT.
    Relay(relay::Arguments),
    /// Runs gateways, a coordinator, fake stores and a fake endpoint list on loopback; prints the addresses
    /// of gateways and coordinator as one line of JSON.
    Demo(demo::Arguments),
    /// Checks settings, and changes plans, volumes, op types and rules while gateways run; logs each change.
    #[command(subcommand)]
    Config(config::Command),
    /// Inspects a folder or file of saved state, which a gateway restores when it restarts.
    #[command(subcommand)]
    State(state::Command),
    /// Runs a fake store or a fake endpoint list, for trying out a gateway by hand.
    #[command(subcommand, alias = "stand-in")]
    Fake(fake::Command),
    /// Runs a scripted fault scenario against real gateways and judges it by the traffic at their sockets.
    #[command(alias = "rehearse")]
    FaultTest(fault_test::Arguments),
    /// Injects randomized faults, drawn from a seed, into processes of `umbertray node`, and judges the
    /// traffic at their sockets.
    Soak(soak::Arguments),
    /// Measures the gateway against a pass-through with the same sockets and codecs, on loopback; prints a
    /// line of JSON for each case.
    Measure(measure::Arguments),
    /// Measures how the cost of each gateway grows with the size of the fleet, which has hollow and real
    /// gateways; prints a line of JSON for each point and role.
    Scale(scale::Arguments),
    /// A worker process of `umbertray scale`, controlled by it over standard input.
    #[command(hide = true)]
    ScaleWorker,
    /// A small NBD client.
    #[command(subcommand)]
    Nbd(nbd::Command),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if let Err(error) = init_logging(&arguments) {
        eprintln!("umbertray: --log-level: {error}");
        return ExitCode::from(2);
    }
    match arguments.command {
        // Builds its own single-threaded runtime.
        Command::Node(arguments) => exit_code(node::run(arguments)),
        Command::Config(command) => config::run(command),
        Command::State(command) => exit_code(state::run(command)),
        Command::Serve(arguments) => run_async(serve::run(arguments)),
        Command::Coordinator(arguments) => run_async(coordinator::run(arguments)),
        Command::Relay(arguments) => run_async(relay::run(arguments)),
        Command::Demo(arguments) => run_async(demo::run(arguments)),
        Command::Fake(command) => run_async(fake::run(command)),
        Command::FaultTest(arguments) => run_async(fault_test::run(arguments)),
        Command::Soak(arguments) => run_async(soak::run(arguments)),
        Command::Measure(arguments) => run_async(measure::run(arguments)),
        Command::Scale(arguments) => block_on(scale::run(arguments)),
        Command::ScaleWorker => run_async(scale::worker()),
        Command::Nbd(command) => run_async(nbd::run(command)),
    }
}

fn run_async(command: impl Future<Output = Result<(), CommandError>>) -> ExitCode {
    block_on(async { exit_code(command.await) })
}

/// Runs a command on a runtime with a thread for each core.
fn block_on(command: impl Future<Output = ExitCode>) -> ExitCode {
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return exit_code(Err(CommandError::io("cannot start the async runtime")(error))),
    };
    let exit_code = runtime.block_on(command);
    // Tasks that still wait for a timer or a socket must not delay the exit.
    runtime.shutdown_background();
    exit_code
}

fn exit_code(result: Result<(), CommandError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("umbertray: {error}");
            ExitCode::FAILURE
        }
    }
}

fn init_logging(arguments: &Arguments) -> Result<(), tracing_subscriber::filter::ParseError> {
    let filter = EnvFilter::try_new(&arguments.log_level)?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match arguments.log {
        LogFormat::Pretty => builder.init(),
        LogFormat::Json => builder.json().init(),
    }
    Ok(())
}
