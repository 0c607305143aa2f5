//! The operators' configuration as one versioned document.

use std::collections::BTreeSet;

use basilbridge_common::{
    id::{
        Name,
        Version, //
    },
    job::Kind,
    unit::Resources,
};
use basilbridge_derives::data;

use crate::key::Hash;

/// The complete configuration.
#[data]
#[derive(Default)]
pub struct Configuration {
    /// The number of edits applied so far, which is the sequence of the last audit entry.
    #[serde(default)]
    pub version: Version,
    /// The teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The queues.
    #[serde(default)]
    pub queues: Vec<Queue>,
    /// The workloads that operators want to run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workloads: Vec<Workload>,
    /// The data centres in which no task may be started.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub evacuated: BTreeSet<Name>,
    /// The hashes of the operators' keys.
    #[serde(default)]
    pub operator_keys: Vec<Hash>,
}

/// A team with its keys.
#[data]
pub struct Team {
    /// The name.
    pub name: Name,
    /// The weight of the team when capacity is short.
    pub share: u32,
    /// The maximum resources of the team's running tasks across the fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<Resources>,
    /// The hashes of the team's valid keys.
    #[serde(default)]
    pub keys: Vec<Hash>,
}

/// The settings of a team; its keys are changed separately.
#[data]
#[derive(Copy, Eq)]
pub struct TeamSettings {
    /// The weight of the team when capacity is short.
    pub share: u32,
    /// The maximum resources of the team's running tasks across the fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<Resources>,
}

/// A set of equal tasks that operators want to run.
#[data]
pub struct Workload {
    /// The name, unique in the cell.
    pub name: Name,
    /// The team that the work is charged to.
    pub team: Name,
    /// The queue.
    pub queue: Name,
    /// The kind of work.
    pub kind: Kind,
    /// The resources that each task needs.
    pub resources: Resources,
    /// The number of tasks.
    pub count: u32,
    /// The maximum number of tasks in one rack.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spread: Option<u32>,
    /// Whether a task may be run again after an attempt with unknown outcome.
    pub repeatable: bool,
    /// The input that the worker passes to the program.
    #[serde(default)]
    pub payload: String,
}

/// A queue.
#[data]
pub struct Queue {
    /// The name.
    pub name: Name,
    /// The team that work without a key is charged to; `None` if the queue requires a key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub open_for: Option<Name>,
}

impl Configuration {
    /// Returns the team with the given name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| &*team.name == name)
    }

    /// Returns the queue with the given name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }

    /// Returns the workload with the given name.
    pub fn workload(&self, name: &str) -> Option<&Workload> {
        self.workloads
            .iter()
            .find(|workload| &*workload.name == name)
    }

    /// Returns the team that a key belongs to.
    pub fn team_of_key(&self, key: &str) -> Option<&Team> {
        let hash = Hash::of(key);
        // Compares all keys, so that the time taken does not reveal which one matched.
        self.teams.iter().fold(None, |found, team| {
            let matches = team
                .keys
                .iter()
                .fold(false, |any, known| known.matches(&hash) | any);
            if matches { Some(team) } else { found }
        })
    }

    /// Returns whether a key is an operator's.
    pub fn is_operator_key(&self, key: &str) -> bool {
        let hash = Hash::of(key);
        self.operator_keys
            .iter()
            .fold(false, |any, known| known.matches(&hash) | any)
    }
}

impl Team {
    /// Returns the settings of the team, without its keys.
    pub fn settings(&self) -> TeamSettings {
        TeamSettings {
            share: self.share,
            limit: self.limit,
        }
    }
}
