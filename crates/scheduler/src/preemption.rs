//! Tasks that are stopped so that others can start.
//!
//! A task is asked to save its progress first and stopped soon after. Those that lose the least
//! work go first; those that must not be repeated never go. `docs/design/preemption.md` weighs
//! the ways.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use basilbridge_common::{
    job::Kind,
    unit::{
        Millis,
        Resources, //
    },
};

use slotmap::SecondaryMap;

use crate::{
    decision::Round,
    placement, policy,
    queue::Head,
    shard::{
        Action,
        Shard, //
    },
    share,
    task::{
        self,
        State, //
        StopPhase,
    },
};

/// How long a task that is to be stopped has for its checkpoint.
pub(crate) const CHECKPOINT_GRACE: Duration = Duration::from_millis(1000);

/// How long a task keeps the promise of a worker that others are to leave.
const CLAIM_TIME: Duration = Duration::from_secs(10);

/// How long a task waits for others to end by themselves before its team takes its share back.
const RECLAIM_AFTER: Duration = Duration::from_secs(5);

/// How many tasks that might be stopped are looked at for one that waits.
const VICTIMS_EXAMINED: usize = 32;

/// How many tasks wait for others to leave at one time, as one in this many of the slots.
const CLAIMS_PER_SLOTS: usize = 8;

/// How many tasks wait for others to leave at one time in a large shard.
const MOST_CLAIMS: usize = 256;

/// The tasks that may be stopped, by start or last checkpoint.
#[derive(Debug, Default)]
pub(crate) struct Victims {
    all: BTreeSet<(Millis, task::Key)>,
    teams: SecondaryMap<share::Key, BTreeSet<(Millis, task::Key)>>,
}

impl Victims {
    pub(crate) fn insert(&mut self, team: share::Key, saved: Millis, task: task::Key) {
        self.all.insert((saved, task));
        if !self.teams.contains_key(team) {
            self.teams.insert(team, BTreeSet::new());
        }
        self.teams[team].insert((saved, task));
    }

    /// Removes a task, and says whether it was there.
    pub(crate) fn remove(&mut self, team: share::Key, saved: Millis, task: task::Key) -> bool {
        if let Some(tasks) = self.teams.get_mut(team) {
            tasks.remove(&(saved, task));
        }
        self.all.remove(&(saved, task))
    }
}

struct Offer {
    worker: placement::Key,
    victims: Vec<task::Key>,
    lost: f64,
}

impl Shard {
    /// Has tasks stopped for urgent work, and for teams that have less than their share.
    pub(crate) fn preempt(&mut self, round: &mut Round) {
        let most = (self.slots as usize / CLAIMS_PER_SLOTS).clamp(1, MOST_CLAIMS);
        let mut claims = self.claims();
        for kind in policy::ORDER {
            if kind == Kind::Gang {
                continue;
            }
            while claims < most {
                let heads = self.queue.blocked(kind);
                let claimed = heads.iter().find_map(|head| {
                    let offer = self.offer(kind, head, round)?;
                    Some((head.task, offer))
                });
                let Some((task, offer)) = claimed else {
                    break;
                };
                let charge = self.tasks[task].charge;
                if !self.admits(task, &charge) {
                    break;
                }
                self.claim(task, offer.worker, round.now.after(CLAIM_TIME));
                for victim in offer.victims {
                    self.ask_to_leave(victim, round);
                }
                claims += 1;
            }
        }
    }

    /// Asks a task to save its progress; the stop follows.
    pub(crate) fn ask_to_leave(&mut self, key: task::Key, round: &mut Round) {
        let entry = &mut self.tasks[key];
        let State::Running(run) = &mut entry.state else {
            return;
        };
        let policy = policy::of(entry.task.kind);
        if run.stop_phase.is_some() || !(policy.preemptible)(&entry.task) {
            return;
        }
        let until = round.now.after(CHECKPOINT_GRACE);
        run.stop_phase = Some(StopPhase::Checkpointing(until));
        let (team, charge) = (entry.team, entry.charge);
        self.victims.remove(team, run.saved, key);
        self.saving.insert((until, key));
        self.shares.update(team, |account| {
            account.stopping = account.stopping.plus(&charge)
        });
        if let Some(slot) = self.workers.get(run.worker) {
            round.actions.push(Action::Checkpoint {
                task: entry.task.id.clone(),
                worker: slot.worker.clone(),
            });
        }
        self.update_team_level(team);
    }

    /// Stops the tasks that have saved their progress, or had the time to.
    pub(crate) fn stop_saved(&mut self, round: &mut Round) {
        while let Some((until, key)) = self.saving.first().copied()
            && until <= round.now
        {
            self.saving.remove(&(until, key));
            let entry = &mut self.tasks[key];
            let State::Running(run) = &mut entry.state else {
                continue;
            };
            run.stop_phase = Some(StopPhase::Stopping);
            if let Some(slot) = self.workers.get(run.worker) {
                round.actions.push(Action::Stop {
                    task: entry.task.id.clone(),
                    worker: slot.worker.clone(),
                });
            }
        }
    }

    /// Has tasks stopped until a worker is within its size, those with the least to lose first.
    pub(crate) fn relieve(&mut self, worker: placement::Key, round: &mut Round) {
        let Some(slot) = self.workers.get(worker) else {
            return;
        };
        let mut victims: Vec<_> = slot.tasks.clone();
        victims.retain(|key| {
            (policy::of(self.tasks[*key].task.kind).preemptible)(&self.tasks[*key].task)
        });
        victims.sort_by_key(|key| match &self.tasks[*key].state {
            State::Running(run) => run.saved,
            _ => Millis::default(),
        });
        let leaving = |key: &task::Key| match &self.tasks[*key].state {
            State::Running(run) if run.stop_phase.is_some() => Some(self.tasks[*key].charge),
            _ => None,
        };
        let gone = slot.tasks.iter().filter_map(leaving);
        let mut left = gone.fold(slot.used, |used, charge| used.minus(&charge));
        let capacity = slot.worker.capacity;
        victims.retain(|key| leaving(key).is_none());
        while !left.fits(&capacity)
            && let Some(key) = victims.pop()
        {
            left = left.minus(&self.tasks[key].charge);
            self.ask_to_leave(key, round);
        }
    }

    /// Returns the worker on which room for a task costs the least work.
    fn offer(&self, kind: Kind, head: &Head, round: &Round) -> Option<Offer> {
        let entry = &self.tasks[head.task];
        let patient = round.now.since(entry.task.accepted) < RECLAIM_AFTER;
        if patient && !(policy::of(kind).preempts)(Kind::Batch) {
            return None;
        }
        let mut seen = Vec::new();
        let latest = self.candidates(kind, head).iter().rev();
        latest
            .take(VICTIMS_EXAMINED)
            .filter_map(|(_, victim)| {
                let State::Running(run) = &self.tasks[*victim].state else {
                    return None;
                };
                if seen.contains(&run.worker) {
                    return None;
                }
                seen.push(run.worker);
                self.offer_on(run.worker, kind, head, round.now)
            })
            .min_by(|a, b| a.lost.total_cmp(&b.lost))
    }

    /// Returns the tasks that may give way: for urgent work those of all teams, otherwise those
    /// of the team with the highest level.
    fn candidates(&self, kind: Kind, head: &Head) -> &BTreeSet<(Millis, task::Key)> {
        if (policy::of(kind).preempts)(Kind::Batch) {
            return &self.victims.all;
        }
        let teams = self.victims.teams.iter();
        let others = teams.filter(|(team, tasks)| *team != head.team && !tasks.is_empty());
        let level = |team| self.shares.level(team);
        let highest = others.max_by(|a, b| level(a.0).total_cmp(&level(b.0)));
        highest.map_or(&self.victims.all, |(_, tasks)| tasks)
    }

    fn offer_on(
        &self,
        worker: placement::Key,
        kind: Kind,
        head: &Head,
        now: Millis,
    ) -> Option<Offer> {
        let slot = self.workers.get(worker)?;
        let need = self.tasks[head.task].charge;
        if slot.worker.leaving || slot.on_probation() {
            return None;
        }
        let mut candidates: Vec<_> = slot
            .tasks
            .iter()
            .filter_map(|key| Some((self.saved_of(*key)?, *key)))
            .filter(|(_, key)| self.may_preempt(kind, head, *key))
            .collect();
        candidates.sort();
        let mut offer = Offer {
            worker,
            victims: Vec::new(),
            lost: 0.0,
        };
        while !self.fits_without(slot, &offer.victims, &need) {
            let (saved, key) = candidates.pop()?;
            let charge = self.tasks[key].charge;
            offer.lost += now.since(saved).as_secs_f64() * charge.dominant_share(&self.capacity);
            offer.victims.push(key);
        }
        Some(offer)
    }

    /// Says whether a worker has room without these tasks.
    fn fits_without(
        &self,
        slot: &placement::WorkerLoad,
        gone: &[task::Key],
        need: &Resources,
    ) -> bool {
        let gone_use = gone.iter().fold(Resources::default(), |sum, key| {
            sum.plus(&self.tasks[*key].charge)
        });
        let taken = slot.used.plus(&slot.held).minus(&gone_use);
        let count = slot.tasks.len() as u32 + slot.holds - gone.len() as u32;
        count < slot.max_tasks && need.plus(&taken).fits(&slot.worker.capacity)
    }

    /// Returns when a task that may be stopped was last saved.
    fn saved_of(&self, key: task::Key) -> Option<Millis> {
        match &self.tasks[key].state {
            State::Running(run) if self.victims.all.contains(&(run.saved, key)) => Some(run.saved),
            _ => None,
        }
    }

    fn may_preempt(&self, kind: Kind, head: &Head, victim: task::Key) -> bool {
        let claimant = &self.tasks[head.task];
        let victim = &self.tasks[victim];
        let urgent = (policy::of(kind).preempts)(victim.task.kind);
        if urgent && self.is_under(kind, head.team) {
            return true;
        }
        if victim.team == head.team {
            return urgent;
        }
        // The victim's team stays at or above the claimant's, so that it can't ask for the same
        // room back.
        let weight = |key| self.shares.weight(key);
        let gain = claimant.charge.dominant_share(self.shares.capacity()) / weight(head.team);
        let loss = victim.charge.dominant_share(self.shares.capacity()) / weight(victim.team);
        self.shares.level(head.team) + gain <= self.shares.level(victim.team) - loss
    }
}
