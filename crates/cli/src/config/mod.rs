//! `umbertray config`: checks settings, reads the change log and commits new changes to it.

mod error;
mod print;
mod read;
mod write;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Subcommand, ValueEnum};
use umbertray_config_log::{Guard, Path};

use crate::serve;
use error::ConfigError;

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Prints the settings as they were parsed, or every error with its file, line and column.
    Check { file: PathBuf },
    /// Creates a change log from the plans, volumes, op types and rules of a script.
    Import {
        file: PathBuf,
        #[command(flatten)]
        log: LogArguments,
        #[command(flatten)]
        author: AuthorArguments,
    },
    /// Shows what a change would do and which volumes it affects, without committing it.
    Plan {
        #[command(flatten)]
        change: ChangeArguments,
        #[command(flatten)]
        log: LogArguments,
    },
    /// Commits a change; gateways that follow the log apply it once it is durable.
    Apply {
        #[command(flatten)]
        change: ChangeArguments,
        #[command(flatten)]
        log: LogArguments,
        #[command(flatten)]
        author: AuthorArguments,
    },
    /// Lists changes with their authors, times, reasons and edits.
    Log {
        #[command(flatten)]
        log: LogArguments,
        /// Lists only changes after this version.
        #[arg(long, default_value_t = 0)]
        after: u64,
        /// Rebuilds every version from the first and compares it with what is stored.
        #[arg(long)]
        verify: bool,
    },
    /// Prints the configuration of a version as a script; by default that of the newest version.
    Show {
        #[command(flatten)]
        log: LogArguments,
        /// A version number, or a time such as 2026-12-01T09:30:00Z.
        #[arg(long)]
        at: Option<String>,
    },
    /// Prints the differences between two versions.
    Diff {
        from: u64,
        to: u64,
        #[command(flatten)]
        log: LogArguments,
    },
    /// Prints the last change of an entity or a field, such as plan/basic or plan/basic:limit.
    Blame {
        #[arg(value_name = "PLACE")]
        path: Path,
        #[command(flatten)]
        log: LogArguments,
    },
    /// Undoes the changes of a version by committing a new version.
    Revert {
        version: u64,
        #[arg(long, value_enum)]
        allow: Vec<GuardName>,
        #[command(flatten)]
        log: LogArguments,
        #[command(flatten)]
        author: AuthorArguments,
    },
    /// Prints the newest configuration as a script that `import` and `apply` accept.
    Export {
        #[command(flatten)]
        log: LogArguments,
    },
}

#[derive(Args)]
pub(crate) struct LogArguments {
    /// The folder of the change log.
    #[arg(long)]
    changes: PathBuf,
    /// Prints JSON, one record per line.
    #[arg(long)]
    json: bool,
}

/// Who commits a change, and why; recorded in the log with the change.
#[derive(Args)]
pub(crate) struct AuthorArguments {
    #[arg(long)]
    actor: String,
    #[arg(long)]
    reason: String,
    /// The idempotency key of the change: a change that is sent again with the same key is committed only
    /// once. Generated if it is not given.
    #[arg(long)]
    id: Option<String>,
}

#[derive(Args)]
pub(crate) struct ChangeArguments {
    /// A script whose plans, volumes, op types and rules replace all current ones.
    file: Option<PathBuf>,
    /// Sets a field: KIND/NAME:FIELD=VALUE, where the value is JSON or a plain word; null resets the field to
    /// its default.
    #[arg(long)]
    set: Vec<String>,
    /// Adds an entity, or replaces the one of this name: KIND/NAME=FIELDS, with the fields as a JSON object.
    #[arg(long)]
    put: Vec<String>,
    /// Removes an entity: KIND/NAME.
    #[arg(long)]
    remove: Vec<Path>,
    /// The version that the change is based on; by default the newest one.
    #[arg(long)]
    base: Option<u64>,
    /// Guarded effects that the change may have.
    #[arg(long, value_enum)]
    allow: Vec<GuardName>,
}

/// The name of a guard on the command line.
#[derive(Clone, Copy, ValueEnum)]
pub(crate) enum GuardName {
    Reserve,
    Cut,
    Removal,
    Parts,
}

impl From<GuardName> for Guard {
    fn from(name: GuardName) -> Guard {
        match name {
            GuardName::Reserve => Guard::Reserve,
            GuardName::Cut => Guard::Cut,
            GuardName::Removal => Guard::Removal,
            GuardName::Parts => Guard::Parts,
        }
    }
}

/// Runs a sub-command; each kind of failure has its own exit status.
pub(crate) fn run(command: Command) -> ExitCode {
    match execute(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("umbertray: {error}");
            ExitCode::from(error.exit_status())
        }
    }
}

fn execute(command: Command) -> Result<(), ConfigError> {
    match command {
        Command::Check { file } => {
            let document = serve::read_document(&file)?;
            print::document(&document);
            Ok(())
        }
        Command::Import { file, log, author } => write::import(&file, &log, author),
        Command::Plan { change, log } => write::plan(&change, &log),
        Command::Apply { change, log, author } => write::apply(&change, &log, author),
        Command::Log { log, verify: true, .. } => read::verify(&log),
        Command::Log { log, after, verify: false } => read::list(&log, after),
        Command::Show { log, at } => read::show(&log, at.as_deref()),
        Command::Export { log } => read::show(&log, None),
        Command::Diff { from, to, log } => read::diff(&log, from, to),
        Command::Blame { path, log } => read::blame(&log, &path),
        Command::Revert { version, allow, log, author } => write::revert(version, &allow, &log, author),
    }
}
