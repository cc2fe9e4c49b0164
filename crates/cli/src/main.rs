//! The program `umbertray`.

mod config;
mod coordinator;
mod demo;
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

/// A storage gateway: NBD clients on one side, storage nodes on the other, and each volume kept to its plan.
#[derive(Parser)]
#[command(name = "umbertray", version)]
struct Arguments {
    /// The form of the log on standard error.
    #[arg(long, value_enum, default_value = "pretty", global = true)]
    log: LogForm,
    /// What is logged, such as "info" or "umbertray_nbd_gateway=debug".
    #[arg(long, default_value = "info", global = true)]
    log_level: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogForm {
    Pretty,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Runs one gateway until SIGTERM or SIGINT.
    Serve(serve::Arguments),
    /// Runs one gateway on the platform, over HTTP, until SIGTERM.
    Node(node::Arguments),
    /// Runs the coordinator of the map of where data lies, until SIGTERM or SIGINT.
    #[command(alias = "keeper")]
    Coordinator(coordinator::Arguments),
    /// Runs a relay, which carries the log of changes to gateways and other relays, until SIGTERM or SIGINT.
    Relay(relay::Arguments),
    /// Runs gateways with stand-in stores and list on loopback; prints their addresses as one line of JSON.
    Demo(demo::Arguments),
    /// Checks settings, and changes plans, volumes, op types and rules in service, each change on record.
    #[command(subcommand)]
    Config(config::Command),
    /// Looks into a folder of state kept over restarts.
    #[command(subcommand)]
    State(state::Command),
    /// Runs a scripted store or list, for trying a gateway by hand.
    #[command(subcommand, alias = "stand-in")]
    Fake(fake::Command),
    /// Plays a scripted day through real gateways and judges it by what crossed the sockets.
    #[command(alias = "rehearse")]
    FaultTest(fault_test::Arguments),
    /// Plays randomized faults, drawn from a seed, on processes of `umbertray node`, and judges what crossed the sockets.
    Soak(soak::Arguments),
    /// Measures the gateway against a pass-through of the same sockets and codecs, on loopback; a line of JSON a case.
    Measure(measure::Arguments),
    /// Measures what a fleet's size costs each gateway: hollow ones beside real ones; a line of JSON a point and role.
    Scale(scale::Arguments),
    /// A process of `umbertray scale`, told by it what to do.
    #[command(hide = true)]
    ScaleWorker,
    /// A small NBD client.
    #[command(subcommand)]
    Nbd(nbd::Command),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if let Err(error) = log(&arguments) {
        eprintln!("umbertray: --log-level: {error}");
        return ExitCode::from(2);
    }
    if let Command::Node(arguments) = arguments.command {
        return node::run(arguments).map_or_else(failed, |()| ExitCode::SUCCESS);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return failed(format!("no runtime: {error}")),
    };
    let ended = match arguments.command {
        Command::Serve(arguments) => runtime.block_on(serve::run(arguments)),
        Command::Coordinator(arguments) => runtime.block_on(coordinator::run(arguments)),
        Command::Relay(arguments) => runtime.block_on(relay::run(arguments)),
        Command::Demo(arguments) => runtime.block_on(demo::run(arguments)),
        Command::Node(_) => Ok(()),
        Command::Config(command) => return config::run(command),
        Command::State(command) => state::run(command),
        Command::Fake(command) => runtime.block_on(fake::run(command)),
        Command::FaultTest(arguments) => runtime.block_on(fault_test::run(arguments)),
        Command::Soak(arguments) => runtime.block_on(soak::run(arguments)),
        Command::Measure(arguments) => runtime.block_on(measure::run(arguments)),
        Command::Scale(arguments) => {
            let status = runtime.block_on(scale::run(arguments));
            runtime.shutdown_background();
            return status;
        }
        Command::ScaleWorker => runtime.block_on(scale::worker()),
        Command::Nbd(command) => runtime.block_on(nbd::run(command)),
    };
    // What still waits for a clock or a socket must not hold up the exit.
    runtime.shutdown_background();
    ended.map_or_else(failed, |()| ExitCode::SUCCESS)
}

fn failed(why: String) -> ExitCode {
    eprintln!("umbertray: {why}");
    ExitCode::FAILURE
}

fn log(arguments: &Arguments) -> Result<(), String> {
    let filter = tracing_subscriber::EnvFilter::try_new(&arguments.log_level).map_err(|e| e.to_string())?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match arguments.log {
        LogForm::Pretty => builder.init(),
        LogForm::Json => builder.json().init(),
    }
    Ok(())
}
