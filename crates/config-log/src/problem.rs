//! Errors of invalid configurations. The messages are for operators.

use std::fmt;

use umbertray_config::Problem;

use crate::model::Path;

/// A problem with a configuration or with the edits that produce it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationProblem {
    /// An edit refers to an entity that the configuration does not have.
    #[error("{0}: is not there")]
    NotFound(Path),
    /// An edit removes an entity that every configuration must have.
    #[error("{0}: cannot be removed")]
    Required(Path),
    /// An edit removes an op type. Ops of this type may be in flight; leave it without request rules instead.
    #[error("{0}: op types cannot be removed; remove the request rules that name it instead")]
    OpTypeRemoved(Path),
    /// An edit removes a plan that volumes still use.
    #[error("{plan}: still has {volumes} volumes")]
    PlanInUse {
        /// The plan.
        plan: Path,
        /// How many volumes use it.
        volumes: usize,
    },
    /// The configuration would lack volumes, request rules or rules.
    #[error("the configuration would have no volume, no request rules or no rules")]
    Incomplete,
    /// An entity has invalid fields.
    #[error("{path}: {}", problem.message)]
    InvalidEntity {
        /// The entity.
        path: Path,
        /// The problem with it.
        problem: Problem,
    },
    /// The complete settings are invalid, though each entity may be valid by itself.
    #[error("{0}")]
    InvalidSettings(Problem),
}

/// A configuration, or edits that would produce one, that was rejected. It holds all problems that were
/// found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidConfiguration {
    /// At least one problem.
    pub problems: Vec<ConfigurationProblem>,
}

impl InvalidConfiguration {
    /// The messages of all problems, joined by `separator`.
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
