//! Decides which actions a shard takes next.

use basilbridge_common::{
    job::Kind,
    unit::{
        Millis,
        Resources, //
    },
};

use crate::{
    placement::{
        self,
        Query,
        SearchResult, //
    },
    policy,
    queue::{
        BlockReason,
        Head, //
    },
    shard::{
        Action,
        Shard, //
    },
    share,
    task, //
};

/// Data shared by all passes of one decision.
pub(crate) struct DecisionContext {
    pub(crate) now: Millis,
    pub(crate) actions: Vec<Action>,
    /// The capacity and slots to keep free for interactive work.
    headroom: (Resources, u64),
}

impl Shard {
    /// Returns the actions to take at `now`.
    ///
    /// A first round of passes over the kinds, in the order of [`policy::ORDER`], starts only tasks
    /// of teams below their entitlement. A second round serves all teams, so that no capacity stays
    /// idle.
    ///
    /// Call this after each change, and at least once per [`policy::DECISION_INTERVAL`] while
    /// [`Shard::needs_periodic_decision`] returns true, so that deadlines, grace periods and
    /// reservations expire on time.
    pub fn decide(&mut self, now: Millis) -> Vec<Action> {
        let headroom = self
            .headroom
            .required(&self.capacity, self.total_slots, now);
        let mut context = DecisionContext {
            now,
            actions: Vec::new(),
            headroom,
        };
        self.allotments.begin_pass();
        for team in std::mem::take(&mut self.parked_teams) {
            self.update_team_level(team);
        }
        self.expire_tasks(&mut context);
        for worker in std::mem::take(&mut self.overcommitted) {
            self.resolve_overcommit(worker, &mut context);
        }
        self.stop_checkpointed(&mut context);
        self.apply_worker_statuses(now);
        self.unblock_classes();
        self.advance_reservations(&mut context);
        for below_entitlement in [true, false] {
            for kind in policy::ORDER {
                match kind {
                    Kind::Gang => self.start_gangs(below_entitlement, &mut context),
                    _ => self.start_tasks(kind, below_entitlement, &mut context),
                }
            }
        }
        self.reserve(&mut context);
        self.backfill(&mut context);
        self.preempt(&mut context);
        context.actions
    }

    fn expire_tasks(&mut self, context: &mut DecisionContext) {
        while let Some((deadline, key)) = self.deadlines.first().copied()
            && deadline <= context.now
        {
            let id = self.tasks[key].task.id.clone();
            self.remove(&id);
            context.actions.push(Action::Expire { task: id });
        }
    }

    /// Unblocks the size classes and gangs that may fit into capacity freed since the last
    /// decision.
    fn unblock_classes(&mut self) {
        let freed = self.workers.take_freed_workers();
        let free_capacities: Vec<_> = freed
            .iter()
            .filter_map(|key| self.workers.get(*key))
            .filter(|load| load.free_slots() > 0 && !load.worker.leaving)
            .map(placement::WorkerLoad::free_capacity)
            .collect();
        self.queue.unblock(|reason| match reason {
            BlockReason::Capacity(need) => free_capacities.iter().any(|free| need.fits(free)),
            BlockReason::Headroom | BlockReason::SearchBudget => true,
        });
        if !free_capacities.is_empty() {
            for gang in self.gangs.values_mut() {
                gang.blocked = false;
            }
        }
    }

    fn start_tasks(&mut self, kind: Kind, below_entitlement: bool, context: &mut DecisionContext) {
        while let Some(head) = self.queue.next(kind) {
            if below_entitlement && !self.is_below_entitlement(kind, head.team) {
                return;
            }
            let charge = self.tasks[head.task].charge;
            if !self.check_allotment(head.task, &charge) {
                self.parked_teams.insert(head.team);
                self.queue.park(kind, &head);
                continue;
            }
            match self.find_placement(kind, &head, context) {
                Ok(worker) => self.start(head.task, worker, false, context),
                Err(reason) => self.queue.block(kind, head.size_class, reason),
            }
        }
    }

    /// Returns whether a team is below its entitlement, which gives its tasks of this kind
    /// priority.
    ///
    /// For short-lived kinds, only the team's usage by such kinds counts.
    pub(crate) fn is_below_entitlement(&self, kind: Kind, team: share::Key) -> bool {
        match policy::of(kind).short_lived {
            true => self.shares.is_urgent_below_entitlement(team),
            false => self.shares.is_below_entitlement(team),
        }
    }

    fn find_placement(
        &mut self,
        kind: Kind,
        head: &Head,
        context: &DecisionContext,
    ) -> Result<placement::Key, BlockReason> {
        let need = self.tasks[head.task].charge;
        if !policy::of(kind).uses_headroom && !self.leaves_headroom(&need, 1, context) {
            return Err(BlockReason::Headroom);
        }
        match self.find_worker(head.task) {
            SearchResult::Worker(worker) => Ok(worker),
            SearchResult::NoFit => Err(BlockReason::Capacity(need)),
            SearchResult::BudgetExhausted => Err(BlockReason::SearchBudget),
        }
    }

    /// Returns whether the allotment of the task's team covers `need`, and otherwise records the
    /// task as waiting for allotment.
    pub(crate) fn check_allotment(&mut self, key: task::Key, need: &Resources) -> bool {
        self.allotments.admits(&self.tasks[key].task.team, need)
    }

    /// Returns whether the headroom for interactive work stays free after starting `count` tasks
    /// that need `need` in total.
    pub(crate) fn leaves_headroom(
        &self,
        need: &Resources,
        count: u64,
        context: &DecisionContext,
    ) -> bool {
        let (free, slots) = self.workers.free();
        let (headroom, headroom_slots) = context.headroom;
        need.plus(&headroom).fits(&free) && slots >= count + headroom_slots
    }

    /// Searches for a worker for a task, preferring racks that run no other task of its job if the
    /// kind is spread over racks.
    pub(crate) fn find_worker(&mut self, key: task::Key) -> SearchResult {
        let entry = &self.tasks[key];
        let policy = policy::of(entry.task.kind);
        let query = Query {
            need: entry.charge,
            strategy: policy.strategy,
            excluded_racks: &[],
            exclude_probation: !entry.task.repeatable,
        };
        if let Some(racks) = self.racks_by_job.get(&entry.task.id.job) {
            let other_racks = Query {
                excluded_racks: racks,
                ..query
            };
            if let result @ SearchResult::Worker(_) = self.workers.search(&other_racks) {
                return result;
            }
        }
        self.workers.search(&query)
    }

    /// Starts a waiting task on a worker.
    pub(crate) fn start(
        &mut self,
        key: task::Key,
        worker: placement::Key,
        backfill: bool,
        context: &mut DecisionContext,
    ) {
        self.dequeue(key);
        self.assign_to_worker(key, worker, context.now, backfill);
        if let Some(load) = self.workers.get(worker) {
            context.actions.push(Action::Start {
                task: self.tasks[key].task.id.clone(),
                worker: load.worker.clone(),
            });
        }
    }
}
