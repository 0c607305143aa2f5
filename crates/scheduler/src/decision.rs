//! What a shard starts next.

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
        Found,
        Wanted, //
    },
    policy,
    queue::{
        Block,
        Head, //
    },
    shard::{
        Action,
        Shard, //
    },
    share,
    task, //
};

/// What all passes of one decision share.
pub(crate) struct Round {
    pub(crate) now: Millis,
    pub(crate) actions: Vec<Action>,
    /// The room and the slots that are kept free for interactive work.
    keep: (Resources, u64),
}

impl Shard {
    /// Decides what to do at `now`.
    ///
    /// Teams with less than they are entitled to go first, by the order of kinds; then all
    /// others, so that no room stays empty. Call this after each change, and at least once in
    /// [`policy::DECISION_INTERVAL`] while tasks wait, so that deadlines and expiries are met.
    pub fn decide(&mut self, now: Millis) -> Vec<Action> {
        let keep = self.headroom.keep(&self.capacity, self.slots, now);
        let mut round = Round {
            now,
            actions: Vec::new(),
            keep,
        };
        self.allotments.begin_pass();
        for team in std::mem::take(&mut self.parked) {
            self.update_team_level(team);
        }
        self.expire(&mut round);
        for worker in std::mem::take(&mut self.overcommitted) {
            self.relieve(worker, &mut round);
        }
        self.stop_saved(&mut round);
        self.apply_worker_statuses(now);
        self.unblock();
        self.advance_reservations(&mut round);
        for under in [true, false] {
            for kind in policy::ORDER {
                match kind {
                    Kind::Gang => self.start_groups(under, &mut round),
                    _ => self.start_tasks(kind, under, &mut round),
                }
            }
        }
        self.reserve(&mut round);
        self.backfill(&mut round);
        self.preempt(&mut round);
        round.actions
    }

    fn expire(&mut self, round: &mut Round) {
        while let Some((deadline, key)) = self.deadlines.first().copied()
            && deadline <= round.now
        {
            let id = self.tasks[key].task.id.clone();
            self.remove(&id);
            round.actions.push(Action::Expire { task: id });
        }
    }

    /// Looks again at the classes that what has come free since may hold.
    fn unblock(&mut self) {
        let freed = self.workers.take_freed();
        let rooms: Vec<_> = freed
            .iter()
            .filter_map(|key| self.workers.get(*key))
            .filter(|slot| slot.free_slots() > 0 && !slot.worker.leaving)
            .map(placement::WorkerLoad::free_capacity)
            .collect();
        self.queue.unblock(|block| match block {
            Block::Room(need) => rooms.iter().any(|room| need.fits(room)),
            Block::Headroom | Block::CutOff => true,
        });
        if !rooms.is_empty() {
            for group in self.groups.values_mut() {
                group.tried = false;
            }
        }
    }

    fn start_tasks(&mut self, kind: Kind, under: bool, round: &mut Round) {
        while let Some(head) = self.queue.next(kind) {
            if under && !self.is_under(kind, head.team) {
                return;
            }
            let charge = self.tasks[head.task].charge;
            if !self.admits(head.task, &charge) {
                self.parked.insert(head.team);
                self.queue.park(kind, &head);
                continue;
            }
            match self.place(kind, &head, round) {
                Ok(worker) => self.start(head.task, worker, false, round),
                Err(block) => self.queue.block(kind, head.shape, block),
            }
        }
    }

    /// Says whether a team goes first with work of this kind.
    pub(crate) fn is_under(&self, kind: Kind, team: share::Key) -> bool {
        match policy::of(kind).short_lived {
            true => self.shares.is_urgent_below_entitlement(team),
            false => self.shares.is_below_entitlement(team),
        }
    }

    fn place(&mut self, kind: Kind, head: &Head, round: &Round) -> Result<placement::Key, Block> {
        let need = self.tasks[head.task].charge;
        if !policy::of(kind).uses_headroom && !self.leaves_headroom(&need, 1, round) {
            return Err(Block::Headroom);
        }
        match self.choose(head.task) {
            Found::Worker(worker) => Ok(worker),
            Found::Nothing => Err(Block::Room(need)),
            Found::Unknown => Err(Block::CutOff),
        }
    }

    /// Says whether the allotment of the task's team has `need` left, and notes it if not.
    pub(crate) fn admits(&mut self, key: task::Key, need: &Resources) -> bool {
        self.allotments.admits(&self.tasks[key].task.team, need)
    }

    /// Says whether enough is left for interactive work after `count` tasks start, which need
    /// this much together.
    pub(crate) fn leaves_headroom(&self, need: &Resources, count: u64, round: &Round) -> bool {
        let (free, slots) = self.workers.free();
        let (keep, keep_slots) = round.keep;
        need.plus(&keep).fits(&free) && slots >= count + keep_slots
    }

    /// Searches a worker for a task.
    pub(crate) fn choose(&mut self, key: task::Key) -> Found {
        let entry = &self.tasks[key];
        let policy = policy::of(entry.task.kind);
        let wanted = Wanted {
            need: entry.charge,
            order: policy.order,
            avoid: &[],
            trusted: !entry.task.repeatable,
        };
        if let Some(racks) = self.racks.get(&entry.task.id.job) {
            let elsewhere = Wanted {
                avoid: racks,
                ..wanted
            };
            if let found @ Found::Worker(_) = self.workers.choose(&elsewhere) {
                return found;
            }
        }
        self.workers.choose(&wanted)
    }

    /// Starts a task that waits.
    pub(crate) fn start(
        &mut self,
        key: task::Key,
        worker: placement::Key,
        backfill: bool,
        round: &mut Round,
    ) {
        self.leave_queue(key);
        self.run(key, worker, round.now, backfill);
        if let Some(slot) = self.workers.get(worker) {
            round.actions.push(Action::Start {
                task: self.tasks[key].task.id.clone(),
                worker: slot.worker.clone(),
            });
        }
    }
}
