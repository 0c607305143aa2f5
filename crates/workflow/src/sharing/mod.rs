//! Sharing of capacity between teams.
//!
//! Under overload, the order of waiting work decides which team gets how much. Within a band and a
//! priority, stages of teams over their share of a pool come after all others ([`current`]), and
//! the deadlines of teams that have used more than their weight over hours move back by a part of
//! the slack of each job ([`past`]). See `docs/design/sharing.md`.

pub mod current;
mod order;
pub mod past;

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration,
};

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};

use crate::{
    sharing::current::Usage,
    worker::Run, //
};

/// Time for which the ratios of past use are kept: they change over minutes, and a pass runs every
/// few milliseconds.
const RATIO_LIFETIME: Duration = Duration::from_secs(1);

/// Usage of all teams.
#[derive(Debug)]
pub(crate) struct Sharing {
    /// Resources that the runs of each team reserve, by pool.
    pools: HashMap<Name, HashMap<Name, Usage>>,
    past: past::Ledger,
    /// Past use over entitlement, with the time when it was computed.
    ratios: Option<(Millis, HashMap<Name, f64>)>,
    /// Teams whose stages were placed last since the last report, by pool: their highest share over
    /// their entitlement.
    over_share: BTreeMap<(Name, Name), f64>,
}

/// What the operators are shown of the sharing.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Teams whose stages were placed after those of other teams since the last report, by pool:
    /// their highest share over their entitlement.
    pub over_share: BTreeMap<(Name, Name), f64>,
    /// Past use over entitlement of the teams above twice their entitlement.
    pub past_use: BTreeMap<Name, f64>,
}

/// Ratio of past use to entitlement from which a team is reported, from the operators' wish to see
/// who uses "far more".
const REPORTED_RATIO: f64 = 2.0;

impl Sharing {
    pub(crate) fn new(half_life: Duration) -> Self {
        Self {
            pools: HashMap::new(),
            past: past::Ledger::new(half_life),
            ratios: None,
            over_share: BTreeMap::new(),
        }
    }

    /// Adds a run to the usage of `team`.
    pub(crate) fn charge(&mut self, run: &Run, team: &Name, now: Millis) {
        let teams = self.pools.entry(run.pool.clone()).or_default();
        let used = teams.entry(team.clone()).or_default();
        used.add(&run.demand, run.over_quota);
        self.past.start(team, &run.demand, now);
    }

    /// Removes a run from the usage of `team`.
    pub(crate) fn release(&mut self, run: &Run, team: &Name, now: Millis) {
        if let Some(teams) = self.pools.get_mut(&run.pool)
            && let Some(used) = teams.get_mut(team)
        {
            used.remove(&run.demand, run.over_quota);
            if *used == Usage::default() {
                teams.remove(team);
            }
        }
        self.past.end(team, &run.demand, now);
    }
}
