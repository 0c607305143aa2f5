//! What operators have set, in one versioned document.

use basilbridge_common::{
    id::{
        Name,
        Version, //
    },
    unit::Resources,
};
use basilbridge_derives::data;

use crate::key::Hash;

/// All that operators have set.
#[data]
#[derive(Default)]
pub struct Configuration {
    /// Grows with each change; it is the version of the row in the table service.
    #[serde(default)]
    pub version: Version,
    /// The teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The queues.
    #[serde(default)]
    pub queues: Vec<Queue>,
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
