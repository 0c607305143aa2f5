//! What operators have set, in one versioned document.

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

/// All that operators have set.
#[data]
#[derive(Default)]
pub struct Configuration {
    /// The number of changes that led here, which is the sequence of the last audit entry.
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
    /// The keys of operators.
    #[serde(default)]
    pub operator_keys: Vec<Hash>,
}

/// A team.
#[data]
pub struct Team {
    /// The name.
    pub name: Name,
    /// The weight of the team when capacity is short.
    pub share: u32,
    /// The most that the team may have running across the fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<Resources>,
    /// The keys that are valid now.
    #[serde(default)]
    pub keys: Vec<Hash>,
}

/// What operators set of a team; its keys change apart from it.
#[data]
#[derive(Copy, Eq)]
pub struct TeamSettings {
    /// The weight of the team when capacity is short.
    pub share: u32,
    /// The most that the team may have running across the fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<Resources>,
}

/// Work that operators want to run.
#[data]
pub struct Workload {
    /// The name, unique in the cell.
    pub name: Name,
    /// The team that the work is counted for.
    pub team: Name,
    /// The queue.
    pub queue: Name,
    /// The kind of work.
    pub kind: Kind,
    /// What each task needs.
    pub resources: Resources,
    /// How many tasks.
    pub count: u32,
    /// The most tasks that may stand in one rack.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spread: Option<u32>,
    /// Whether a task may be run again after a try whose outcome is not known.
    pub repeatable: bool,
    /// What the worker hands to the program.
    #[serde(default)]
    pub payload: String,
}

/// A queue.
#[data]
pub struct Queue {
    /// The name.
    pub name: Name,
    /// The team that work without a key is counted for; other queues take no such work.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub open_for: Option<Name>,
}

impl Configuration {
    /// Returns the team of this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| &*team.name == name)
    }

    /// Returns the queue of this name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }

    /// Returns the workload of this name.
    pub fn workload(&self, name: &str) -> Option<&Workload> {
        self.workloads
            .iter()
            .find(|workload| &*workload.name == name)
    }

    /// Returns the team that a key belongs to.
    pub fn team_of_key(&self, key: &str) -> Option<&Team> {
        let hash = Hash::of(key);
        // All keys are looked at, so that the time tells nothing of which one matched.
        self.teams.iter().fold(None, |found, team| {
            let matches = team
                .keys
                .iter()
                .fold(false, |any, known| known.matches(&hash) | any);
            if matches { Some(team) } else { found }
        })
    }

    /// Says whether a key is an operator's.
    pub fn is_operator_key(&self, key: &str) -> bool {
        let hash = Hash::of(key);
        self.operator_keys
            .iter()
            .fold(false, |any, known| known.matches(&hash) | any)
    }
}

impl Team {
    /// Returns what operators set of the team besides its keys.
    pub fn settings(&self) -> TeamSettings {
        TeamSettings {
            share: self.share,
            limit: self.limit,
        }
    }
}
