//! Preemption: stopping running tasks so that others can start.
//!
//! A task is asked to checkpoint and is stopped soon after. Tasks that would lose the least work
//! are stopped first; tasks that must not be repeated are never stopped.
//! `docs/design/preemption.md` compares the alternatives.

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
    decision::DecisionContext,
    placement, policy,
    queue::Head,
    shard::{
        Action,
        Shard, //
    },
    share,
    task::{
        self,
        State,
        StopPhase, //
    },
};

/// The time that a task has to checkpoint before it is stopped.
pub(crate) const CHECKPOINT_GRACE: Duration = Duration::from_millis(1000);

/// The time after which a preemptive hold expires if the task could not start.
const PREEMPTIVE_HOLD_TIMEOUT: Duration = Duration::from_secs(10);

/// The time that a task waits for capacity to free up on its own before it may preempt tasks of
/// teams with a higher level.
const RECLAIM_DELAY: Duration = Duration::from_secs(5);

/// The maximum number of possible victims examined for one waiting task.
const VICTIMS_EXAMINED: usize = 32;

/// One preemptive hold is allowed per this many slots of the shard.
const SLOTS_PER_PREEMPTIVE_HOLD: usize = 8;

/// The maximum number of preemptive holds in a large shard.
const MAX_PREEMPTIVE_HOLDS: usize = 256;

/// Preemptible running tasks, ordered by the time of their start or last checkpoint.
#[derive(Debug, Default)]
pub(crate) struct Victims {
    all: BTreeSet<(Millis, task::Key)>,
    by_team: SecondaryMap<share::Key, BTreeSet<(Millis, task::Key)>>,
}

impl Victims {
    pub(crate) fn insert(&mut self, team: share::Key, last_saved: Millis, task: task::Key) {
        self.all.insert((last_saved, task));
        if !self.by_team.contains_key(team) {
            self.by_team.insert(team, BTreeSet::new());
        }
        self.by_team[team].insert((last_saved, task));
    }

    /// Removes a task, and returns whether it was present.
    pub(crate) fn remove(&mut self, team: share::Key, last_saved: Millis, task: task::Key) -> bool {
        if let Some(tasks) = self.by_team.get_mut(team) {
            tasks.remove(&(last_saved, task));
        }
        self.all.remove(&(last_saved, task))
    }
}

/// The tasks to stop on a worker so that a waiting task fits there.
struct PreemptionPlan {
    worker: placement::Key,
    victims: Vec<task::Key>,
    /// The progress that the victims lose: seconds since the last checkpoint, times the dominant
    /// share of the shard that the victim uses.
    cost: f64,
}

impl Shard {
    /// Preempts tasks in favour of more urgent kinds, and of teams below their fair share.
    pub(crate) fn preempt(&mut self, context: &mut DecisionContext) {
        let max_holds =
            (self.total_slots as usize / SLOTS_PER_PREEMPTIVE_HOLD).clamp(1, MAX_PREEMPTIVE_HOLDS);
        let mut holds = self.preemptive_hold_count();
        for kind in policy::ORDER {
            if kind == Kind::Gang {
                continue;
            }
            while holds < max_holds {
                let heads = self.queue.blocked(kind);
                let planned = heads.iter().find_map(|head| {
                    let plan = self.cheapest_plan(kind, head, context)?;
                    Some((head.task, plan))
                });
                let Some((task, plan)) = planned else {
                    break;
                };
                let charge = self.tasks[task].charge;
                if !self.check_allotment(task, &charge) {
                    break;
                }
                self.hold_preemptively(
                    task,
                    plan.worker,
                    context.now.after(PREEMPTIVE_HOLD_TIMEOUT),
                );
                for victim in plan.victims {
                    self.request_checkpoint(victim, context);
                }
                holds += 1;
            }
        }
    }

    /// Asks the worker of a task for a checkpoint, after which the task is stopped. Does nothing
    /// for tasks that are not preemptible or are already being stopped.
    pub(crate) fn request_checkpoint(&mut self, key: task::Key, context: &mut DecisionContext) {
        let entry = &mut self.tasks[key];
        let State::Running(run) = &mut entry.state else {
            return;
        };
        let policy = policy::of(entry.task.kind);
        if run.stop_phase.is_some() || !(policy.preemptible)(&entry.task) {
            return;
        }
        let deadline = context.now.after(CHECKPOINT_GRACE);
        run.stop_phase = Some(StopPhase::Checkpointing(deadline));
        let (team, charge) = (entry.team, entry.charge);
        self.victims.remove(team, run.last_saved, key);
        self.checkpointing.insert((deadline, key));
        self.shares.update(team, |account| {
            account.stopping = account.stopping.plus(&charge)
        });
        if let Some(load) = self.workers.get(run.worker) {
            context.actions.push(Action::Checkpoint {
                task: entry.task.id.clone(),
                worker: load.worker.clone(),
            });
        }
        self.update_team_level(team);
    }

    /// Stops the tasks that were checkpointed, or whose grace period for a checkpoint is over.
    pub(crate) fn stop_checkpointed(&mut self, context: &mut DecisionContext) {
        while let Some((deadline, key)) = self.checkpointing.first().copied()
            && deadline <= context.now
        {
            self.checkpointing.remove(&(deadline, key));
            let entry = &mut self.tasks[key];
            let State::Running(run) = &mut entry.state else {
                continue;
            };
            run.stop_phase = Some(StopPhase::Stopping);
            if let Some(load) = self.workers.get(run.worker) {
                context.actions.push(Action::Stop {
                    task: entry.task.id.clone(),
                    worker: load.worker.clone(),
                });
            }
        }
    }

    /// Lets tasks go on that were to be stopped after a checkpoint, because nothing may start in the
    /// capacity that they would free. Those on a worker that exceeds its capacity are stopped.
    pub fn cancel_checkpoints(&mut self) {
        let pending: Vec<_> = self.checkpointing.iter().copied().collect();
        for (deadline, key) in pending {
            let entry = &mut self.tasks[key];
            let (team, charge) = (entry.team, entry.charge);
            let State::Running(run) = &mut entry.state else {
                continue;
            };
            let load = self.workers.get(run.worker);
            if load.is_some_and(|load| !load.used.fits(&load.worker.capacity)) {
                continue;
            }
            run.stop_phase = None;
            self.checkpointing.remove(&(deadline, key));
            // Only a victim can have been asked for a checkpoint, unless it was backfilled.
            if !run.backfill && entry.task.preemptions < policy::MAX_PREEMPTIONS {
                self.victims.insert(team, run.last_saved, key);
            }
            self.shares.update(team, |account| {
                account.stopping = account.stopping.minus(&charge)
            });
            self.update_team_level(team);
        }
    }

    /// Stops preemptible tasks, those with the least work to lose first, until the others fit the
    /// worker's capacity.
    pub(crate) fn resolve_overcommit(
        &mut self,
        worker: placement::Key,
        context: &mut DecisionContext,
    ) {
        let Some(load) = self.workers.get(worker) else {
            return;
        };
        let mut victims: Vec<_> = load.tasks.clone();
        victims.retain(|key| {
            (policy::of(self.tasks[*key].task.kind).preemptible)(&self.tasks[*key].task)
        });
        victims.sort_by_key(|key| match &self.tasks[*key].state {
            State::Running(run) => run.last_saved,
            _ => Millis::default(),
        });
        let stopping_charge = |key: &task::Key| match &self.tasks[*key].state {
            State::Running(run) if run.stop_phase.is_some() => Some(self.tasks[*key].charge),
            _ => None,
        };
        let stopping = load.tasks.iter().filter_map(stopping_charge);
        let mut remaining = stopping.fold(load.used, |used, charge| used.minus(&charge));
        let capacity = load.worker.capacity;
        victims.retain(|key| stopping_charge(key).is_none());
        while !remaining.fits(&capacity)
            && let Some(key) = victims.pop()
        {
            remaining = remaining.minus(&self.tasks[key].charge);
            self.request_checkpoint(key, context);
        }
    }

    /// Returns the plan that frees capacity for the task at the least cost.
    fn cheapest_plan(
        &self,
        kind: Kind,
        head: &Head,
        context: &DecisionContext,
    ) -> Option<PreemptionPlan> {
        let entry = &self.tasks[head.task];
        let too_recent = context.now.since(entry.task.accepted) < RECLAIM_DELAY;
        if too_recent && !(policy::of(kind).preempts)(Kind::Batch) {
            return None;
        }
        let mut seen_workers = Vec::new();
        let newest = self.candidates(kind, head).iter().rev();
        newest
            .take(VICTIMS_EXAMINED)
            .filter_map(|(_, victim)| {
                let State::Running(run) = &self.tasks[*victim].state else {
                    return None;
                };
                if seen_workers.contains(&run.worker) {
                    return None;
                }
                seen_workers.push(run.worker);
                self.plan_on_worker(run.worker, kind, head, context.now)
            })
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Returns the possible victims: for urgent kinds the tasks of all teams, otherwise those of
    /// the other team with the highest level.
    fn candidates(&self, kind: Kind, head: &Head) -> &BTreeSet<(Millis, task::Key)> {
        if (policy::of(kind).preempts)(Kind::Batch) {
            return &self.victims.all;
        }
        let teams = self.victims.by_team.iter();
        let others = teams.filter(|(team, tasks)| *team != head.team && !tasks.is_empty());
        let level = |team| self.shares.level(team);
        let highest = others.max_by(|a, b| level(a.0).total_cmp(&level(b.0)));
        highest.map_or(&self.victims.all, |(_, tasks)| tasks)
    }

    fn plan_on_worker(
        &self,
        worker: placement::Key,
        kind: Kind,
        head: &Head,
        now: Millis,
    ) -> Option<PreemptionPlan> {
        let load = self.workers.get(worker)?;
        let need = self.tasks[head.task].charge;
        if load.worker.leaving || load.on_probation() {
            return None;
        }
        let mut candidates: Vec<_> = load
            .tasks
            .iter()
            .filter_map(|key| Some((self.last_saved_if_preemptible(*key)?, *key)))
            .filter(|(_, key)| self.may_preempt(kind, head, *key))
            .collect();
        candidates.sort();
        let mut plan = PreemptionPlan {
            worker,
            victims: Vec::new(),
            cost: 0.0,
        };
        while !self.fits_without(load, &plan.victims, &need) {
            let (last_saved, key) = candidates.pop()?;
            let charge = self.tasks[key].charge;
            plan.cost +=
                now.since(last_saved).as_secs_f64() * charge.dominant_share(&self.capacity);
            plan.victims.push(key);
        }
        Some(plan)
    }

    /// Returns whether a task would fit on a worker without the evicted tasks.
    fn fits_without(
        &self,
        load: &placement::WorkerLoad,
        evicted: &[task::Key],
        need: &Resources,
    ) -> bool {
        let evicted_usage = evicted.iter().fold(Resources::default(), |sum, key| {
            sum.plus(&self.tasks[*key].charge)
        });
        let taken = load.used.plus(&load.held).minus(&evicted_usage);
        let count = load.tasks.len() as u32 + load.hold_count - evicted.len() as u32;
        count < load.max_tasks && need.plus(&taken).fits(&load.worker.capacity)
    }

    /// Returns the time of the start or last checkpoint of a preemptible running task.
    fn last_saved_if_preemptible(&self, key: task::Key) -> Option<Millis> {
        match &self.tasks[key].state {
            State::Running(run) if self.victims.all.contains(&(run.last_saved, key)) => {
                Some(run.last_saved)
            }
            _ => None,
        }
    }

    fn may_preempt(&self, kind: Kind, head: &Head, victim: task::Key) -> bool {
        let preemptor = &self.tasks[head.task];
        let victim = &self.tasks[victim];
        let urgent = (policy::of(kind).preempts)(victim.task.kind);
        if urgent && self.is_below_entitlement(kind, head.team) {
            return true;
        }
        if victim.team == head.team {
            return urgent;
        }
        // The level of the victim's team must not fall below that of the preemptor's team, or the
        // two could preempt each other in turn.
        let weight = |key| self.shares.weight(key);
        let gain = preemptor.charge.dominant_share(self.shares.capacity()) / weight(head.team);
        let loss = victim.charge.dominant_share(self.shares.capacity()) / weight(victim.team);
        self.shares.level(head.team) + gain <= self.shares.level(victim.team) - loss
    }
}
