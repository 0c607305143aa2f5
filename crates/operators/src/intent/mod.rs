//! What operators want to run, as a file.
//!
//! An intent states all teams, queues and workloads; what it does not name goes. Keys are given
//! apart from it. `docs/operators/intents.md` lists the fields.

mod check;
mod fields;
mod tree;

use std::ops::Range;

use basilbridge_common::id::Name;
use basilbridge_derives::data;

use crate::{
    change::Edit,
    configuration::{
        Configuration,
        Queue,
        Team,
        TeamSettings,
        Workload, //
    },
};

/// What operators want to run.
#[data]
#[derive(Default)]
pub struct Intent {
    /// The teams, without their keys.
    pub teams: Vec<DesiredTeam>,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The workloads.
    pub workloads: Vec<Workload>,
}

/// A team that operators want.
#[data]
pub struct DesiredTeam {
    /// The name.
    pub name: Name,
    /// The share and limit.
    #[serde(rename = "terms")]
    pub settings: TeamSettings,
}

/// The form of a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// A TOML document.
    Toml,
    /// A JSON document.
    Json,
}

/// One fault of a file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
#[error("line {line}, column {column}: {message}")]
pub struct Fault {
    /// The line, from one.
    pub line: usize,
    /// The column in characters, from one.
    pub column: usize,
    /// What is wrong.
    pub message: String,
    /// Where it stands, in bytes.
    #[label("{message}")]
    pub span: Range<usize>,
}

/// All faults of a file, with its text to show them in.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("the intent has {} fault{}", faults.len(), if faults.len() == 1 { "" } else { "s" })]
pub struct Faults {
    /// The text of the file.
    #[source_code]
    pub source_code: miette::NamedSource<String>,
    /// The faults, in the order of the file.
    #[related]
    pub faults: Vec<Fault>,
}

impl Fault {
    fn new(span: Range<usize>, message: &str) -> Self {
        Self {
            line: 0,
            column: 0,
            message: message.to_owned(),
            span,
        }
    }

    fn located(mut self, text: &str) -> Self {
        let before = &text.as_bytes()[..self.span.start.min(text.len())];
        let before = String::from_utf8_lossy(before);
        self.line = before.matches('\n').count() + 1;
        let line = before.rsplit('\n').next().unwrap_or_default();
        self.column = line.chars().count() + 1;
        self
    }
}

impl Format {
    /// Returns the form of a file by the ending of its name; what is not JSON is read as TOML.
    pub fn of(name: &str) -> Self {
        if name.ends_with(".json") {
            Self::Json
        } else {
            Self::Toml
        }
    }
}

impl Intent {
    /// Reads a file and checks all of it.
    ///
    /// # Errors
    ///
    /// Returns all faults at once, as far as the form of the file lets them be seen.
    pub fn parse(name: &str, text: &str, format: Format) -> Result<Self, Box<Faults>> {
        let (node, mut faults) = match format {
            Format::Toml => {
                let (node, faults) = tree::from_toml(text);
                (Some(node), faults)
            }
            Format::Json => match tree::from_json(text) {
                Ok(node) => (Some(node), Vec::new()),
                Err(fault) => (None, vec![fault]),
            },
        };
        let intent = node.map_or_else(Self::default, |node| check::read(&node, &mut faults));
        if faults.is_empty() {
            return Ok(intent);
        }
        let mut faults: Vec<_> = faults
            .into_iter()
            .map(|fault| fault.located(text))
            .collect();
        faults.sort_by_key(|fault| fault.span.start);
        Err(Box::new(Faults {
            source_code: miette::NamedSource::new(name, text.to_owned()),
            faults,
        }))
    }

    /// Returns the edit that turns a configuration into this intent.
    pub fn edit(&self, configuration: &Configuration, id: Name) -> Edit {
        configuration.edit_to(id, &self.applied_to(configuration))
    }

    /// Returns the configuration that this intent leads to; keys of teams that stay are kept.
    pub fn applied_to(&self, configuration: &Configuration) -> Configuration {
        let team = |wanted: &DesiredTeam| Team {
            name: wanted.name.clone(),
            share: wanted.settings.share,
            limit: wanted.settings.limit,
            keys: configuration
                .team(&wanted.name)
                .map_or_else(Vec::new, |team| team.keys.clone()),
        };
        let mut next = Configuration {
            version: configuration.version,
            teams: self.teams.iter().map(team).collect(),
            queues: self.queues.clone(),
            workloads: self.workloads.clone(),
            operator_keys: configuration.operator_keys.clone(),
        };
        next.teams.sort_by(|a, b| a.name.cmp(&b.name));
        next.queues.sort_by(|a, b| a.name.cmp(&b.name));
        next.workloads.sort_by(|a, b| a.name.cmp(&b.name));
        next
    }
}
