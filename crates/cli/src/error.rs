//! Why a command failed: one error type for all sub-commands except `config` and `scale`, whose exit statuses
//! differ by the kind of error.

use std::fmt::Display;
use std::io;

use thiserror::Error;
use umbertray_config::Problem;
use umbertray_config_log::InvalidConfiguration;
use umbertray_config_log::follow::FollowError;
use umbertray_coordinator::CoordinatorError;
use umbertray_nbd::Errno;

use crate::measure::MeasureError;

#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// An I/O error, with the file, folder, address or step at which it occurred.
    #[error("{subject}: {source}")]
    IoAt { subject: String, source: io::Error },
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("{}", settings_problems(.0))]
    Settings(Vec<Problem>),
    #[error(transparent)]
    Script(#[from] ScriptProblems),
    /// A gateway's own settings are inconsistent with those of the change log.
    #[error("{}", .0.join("\n"))]
    Configuration(InvalidConfiguration),
    #[error("no configuration: name its file with --config or in ROUTER_CONFIG")]
    NoConfiguration,
    #[error("{folder}: {source}")]
    FollowFolder { folder: String, source: FollowError },
    #[error(transparent)]
    NbdGateway(#[from] umbertray_nbd_gateway::GatewayError),
    #[error(transparent)]
    HttpGateway(#[from] umbertray_http_gateway::GatewayError),
    #[error(transparent)]
    Coordinator(#[from] CoordinatorError),
    #[error(transparent)]
    CoordinatorRequest(#[from] umbertray_coordinator::client::RequestError),
    #[error(transparent)]
    Relay(#[from] umbertray_relay::RelayError),
    #[error(transparent)]
    RelayStatus(#[from] umbertray_relay::client::StatusError),
    /// An NBD gateway or a scale worker terminated with an error, which their packages report as text.
    #[error("{0}")]
    Ended(String),
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("the connection was closed before the reply")]
    NoReply,
    #[error("{errno:?}: {text}")]
    Reply { errno: Errno, text: String },
    #[error("the reply does not cover the requested range")]
    IncompleteReply,
    #[error("{path}: no file holds state that a gateway would restore")]
    NoValidState { path: String },
    #[error("{broken} of {files} state files are damaged or incomplete")]
    DamagedState { broken: usize, files: usize },
    /// Fault-test runs that broke a rule.
    #[error("{broken} of {runs} runs broke a rule")]
    RunsBrokeRules { broken: u64, runs: u64 },
    /// Soak seeds that broke a rule.
    #[error("{broken} of {seeds} seeds broke a rule")]
    SeedsBrokeRules { broken: u64, seeds: u64 },
    #[error(transparent)]
    Measure(#[from] MeasureError),
}

impl CommandError {
    /// Adds the file, folder, address or step at which an I/O error occurred.
    pub(crate) fn io(subject: impl Display) -> impl FnOnce(io::Error) -> CommandError {
        move |source| CommandError::IoAt { subject: subject.to_string(), source }
    }
}

fn settings_problems(problems: &[Problem]) -> String {
    let plural = if problems.len() == 1 { "" } else { "s" };
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    format!("{} problem{plural} in the settings\n{}", problems.len(), lines.join("\n"))
}

/// Problems in the script of the demo or of a fault test, one per line.
#[derive(Debug, Error)]
#[error("{}", .0.iter().map(|problem| format!("{problem}\n")).collect::<String>())]
pub(crate) struct ScriptProblems(pub(crate) Vec<Problem>);
