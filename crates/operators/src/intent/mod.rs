//! Intents: files that state what operators want to run.
//!
//! An intent lists all teams, queues and workloads; those that it does not list are removed. A data
//! centre that it does not list as evacuated is in use. It holds no keys.
//! `docs/operators/intents.md` lists the fields.

mod check;
mod fields;
mod tree;

use std::{
    collections::BTreeSet,
    ops::Range, //
};

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

/// The teams, queues and workloads that operators want, and the data centres to evacuate.
#[data]
#[derive(Default)]
pub struct Intent {
    /// The teams, without their keys.
    pub teams: Vec<DesiredTeam>,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The workloads.
    pub workloads: Vec<Workload>,
    /// The data centres in which no task may be started.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub evacuate: BTreeSet<Name>,
}

/// A team of an intent.
#[data]
pub struct DesiredTeam {
    /// The name.
    pub name: Name,
    /// The share and limit.
    #[serde(rename = "terms")]
    pub settings: TeamSettings,
}

/// The format of an intent file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// A TOML document.
    Toml,
    /// A JSON document.
    Json,
}

/// An error in an intent file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
#[error("line {line}, column {column}: {message}")]
pub struct IntentError {
    /// The line, from one.
    pub line: usize,
    /// The column in characters, from one.
    pub column: usize,
    /// The error message.
    pub message: String,
    /// The byte range of the faulty text.
    #[label("{message}")]
    pub span: Range<usize>,
}

/// All errors of an intent file, with its text.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("the intent has {} error{}", errors.len(), if errors.len() == 1 { "" } else { "s" })]
pub struct IntentErrors {
    /// The text of the file.
    #[source_code]
    pub source_code: miette::NamedSource<String>,
    /// The errors, in the order of their positions.
    #[related]
    pub errors: Vec<IntentError>,
}

impl IntentError {
    fn new(span: Range<usize>, message: &str) -> Self {
        Self {
            line: 0,
            column: 0,
            message: message.to_owned(),
            span,
        }
    }

    fn with_location(mut self, text: &str) -> Self {
        let before = &text.as_bytes()[..self.span.start.min(text.len())];
        let before = String::from_utf8_lossy(before);
        self.line = before.matches('\n').count() + 1;
        let line = before.rsplit('\n').next().unwrap_or_default();
        self.column = line.chars().count() + 1;
        self
    }
}

impl Format {
    /// Returns the format for a file name: JSON if it ends in `.json`, otherwise TOML.
    pub fn of(name: &str) -> Self {
        if name.ends_with(".json") {
            Self::Json
        } else {
            Self::Toml
        }
    }
}

impl Intent {
    /// Parses and checks an intent file.
    ///
    /// # Errors
    ///
    /// Returns all errors in the file; if JSON has a syntax error, only the first one.
    pub fn parse(name: &str, text: &str, format: Format) -> Result<Self, Box<IntentErrors>> {
        let (node, mut errors) = match format {
            Format::Toml => {
                let (node, errors) = tree::from_toml(text);
                (Some(node), errors)
            }
            Format::Json => match tree::from_json(text) {
                Ok(node) => (Some(node), Vec::new()),
                Err(error) => (None, vec![error]),
            },
        };
        let intent = node.map_or_else(Self::default, |node| check::read_intent(&node, &mut errors));
        if errors.is_empty() {
            return Ok(intent);
        }
        let mut errors: Vec<_> = errors
            .into_iter()
            .map(|error| error.with_location(text))
            .collect();
        errors.sort_by_key(|error| error.span.start);
        Err(Box::new(IntentErrors {
            source_code: miette::NamedSource::new(name, text.to_owned()),
            errors,
        }))
    }

    /// Returns the edit that turns a configuration into this intent.
    pub fn edit(&self, configuration: &Configuration, id: Name) -> Edit {
        configuration.edit_to(id, &self.applied_to(configuration))
    }

    /// Returns the configuration that this intent leads to; teams that stay keep their keys.
    pub fn applied_to(&self, configuration: &Configuration) -> Configuration {
        let team = |desired: &DesiredTeam| Team {
            name: desired.name.clone(),
            share: desired.settings.share,
            limit: desired.settings.limit,
            keys: configuration
                .team(&desired.name)
                .map_or_else(Vec::new, |team| team.keys.clone()),
        };
        let mut next = Configuration {
            version: configuration.version,
            teams: self.teams.iter().map(team).collect(),
            queues: self.queues.clone(),
            workloads: self.workloads.clone(),
            evacuated: self.evacuate.clone(),
            operator_keys: configuration.operator_keys.clone(),
        };
        next.teams.sort_by(|a, b| a.name.cmp(&b.name));
        next.queues.sort_by(|a, b| a.name.cmp(&b.name));
        next.workloads.sort_by(|a, b| a.name.cmp(&b.name));
        next
    }
}
