//! What makes a configuration invalid; the messages are for operators.

use std::fmt;

use umbertray_config::Problem;

use crate::model::Path;

/// One thing that is wrong with a configuration or with the edits that lead to it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationProblem {
    /// An edit of something that the configuration does not have.
    #[error("{0}: is not there")]
    NotFound(Path),
    /// An edit removes what every configuration must have.
    #[error("{0}: cannot be removed")]
    Required(Path),
    /// An edit removes an op type. Ops of it may be in flight; leave it unused instead.
    #[error("{0}: cannot be removed in service; no rule need name it")]
    OpTypeRemoved(Path),
    /// An edit removes a plan that volumes have.
    #[error("{plan}: still has {volumes} volumes")]
    PlanInUse {
        /// The plan.
        plan: Path,
        /// How many volumes have it.
        volumes: usize,
    },
    /// The configuration would lack volumes, request rules or rules.
    #[error("no volume, no request rules or no rules would be there")]
    Incomplete,
    /// An entity's fields are wrong.
    #[error("{path}: {}", problem.what)]
    InvalidEntity {
        /// The entity.
        path: Path,
        /// What is wrong with it.
        problem: Problem,
    },
    /// The settings are wrong when they are read as a whole.
    #[error("{0}")]
    InvalidSettings(Problem),
}

/// A configuration, or a step to one, that was not accepted; all problems at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidConfiguration {
    /// At least one problem.
    pub problems: Vec<ConfigurationProblem>,
}

impl InvalidConfiguration {
    /// The problems as one text.
    pub fn join(&self, separator: &str) -> String {
        let problems: Vec<String> = self.problems.iter().map(ToString::to_string).collect();
        problems.join(separator)
    }
}

impl fmt::Display for InvalidConfiguration {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.join("\n"))
    }
}

impl std::error::Error for InvalidConfiguration {}

impl From<Vec<Problem>> for InvalidConfiguration {
    fn from(problems: Vec<Problem>) -> InvalidConfiguration {
        let problems = problems.into_iter().map(ConfigurationProblem::InvalidSettings).collect();
        InvalidConfiguration { problems }
    }
}
