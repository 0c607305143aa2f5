//! Where the tasks of a stage start.

use std::collections::BTreeMap;

use basilbridge_common::{
    id::Name,
    unit::{
        Millis,
        Resources, //
    },
};

use crate::{
    choice::{
        self,
        Candidate, //
    },
    engine::{
        Engine,
        RUNS_PER_EPOCH,
        target, //
    },
    event::Event,
    job::Step,
    order::{
        Order,
        Start, //
    },
    pool::{
        Pool,
        Slot,
        take, //
    },
    reserve,
    schedule::Ready,
    worker::{
        self,
        Phase,
        Run, //
    },
};

impl Engine {
    pub(crate) fn place_tasks(
        &mut self,
        entry: Ready,
        step: &Step,
        pool: &mut Pool,
        advised: bool,
        is_urgent: bool,
        now: Millis,
    ) {
        let charge = step.demand();
        let has_room = |slot: &Slot| charge.fits(&slot.free);
        let mut candidates = self.candidates(entry, step, pool, advised, has_room, now);
        if candidates.is_empty() {
            return;
        }
        let count = self.jobs[entry.job].stages[entry.stage].tasks.len();
        let takes_all = is_urgent || step.long_running;
        let mut on_worker = match step.max_per_worker {
            Some(_) => self.members(entry),
            None => BTreeMap::new(),
        };
        for index in 0..count {
            let job = &self.jobs[entry.job];
            let task = &job.stages[entry.stage].tasks[index];
            if !task.is_waiting() {
                continue;
            }
            if !self.tenant_allows(job.accepted.team.as_ref(), &step.resources, takes_all) {
                return;
            }
            let keeps_reserve =
                takes_all || reserve::admits(pool.free_cpu, pool.capacity_cpu, charge.cpu_millis);
            if !keeps_reserve {
                return;
            }
            let usable = candidates
                .iter()
                .filter(|candidate| {
                    let most = step.max_per_worker.unwrap_or(u32::MAX);
                    on_worker.get(&candidate.key).copied().unwrap_or(0) < most
                })
                .map(|candidate| Candidate {
                    suspect: candidate.suspect || task.failed_on.contains(&candidate.key),
                    ..*candidate
                });
            let Some(key) = choice::best(usable, &charge) else {
                return;
            };
            let epoch_first = self.settings.epoch * RUNS_PER_EPOCH + 1;
            let run = (task.run + 1).max(epoch_first);
            let checkpoint = task.checkpoint.clone();
            self.start(entry, index, key, run, checkpoint, now);
            *on_worker.entry(key).or_default() += 1;
            take(pool, &mut candidates, key, &charge);
        }
    }

    pub(crate) fn place_gang(
        &mut self,
        entry: Ready,
        step: &Step,
        pool: &mut Pool,
        advised: bool,
        now: Millis,
    ) {
        let charge = step.demand();
        let count = self.jobs[entry.job].stages[entry.stage].tasks.len();
        let tenant = self.jobs[entry.job].accepted.team.clone();
        if !self.tenant_allows(tenant.as_ref(), &step.resources.times(count as u64), true) {
            return;
        }
        let has_room = |slot: &Slot| charge.fits(&slot.free);
        let all = self.candidates(entry, step, pool, advised, has_room, now);
        let mut choices: Vec<Vec<Candidate>> = Vec::new();
        if step.same_rack {
            let mut racks: BTreeMap<Option<Name>, Vec<Candidate>> = BTreeMap::new();
            for candidate in &all {
                let rack = self.workers[candidate.key].rack().cloned();
                racks.entry(rack).or_default().push(*candidate);
            }
            choices.extend(racks.into_values());
        }
        choices.push(all);
        let most = step.max_per_worker.unwrap_or(u32::MAX);
        let Some(chosen) = choices
            .into_iter()
            .find_map(|candidates| fit_all(candidates, &charge, count, most))
        else {
            return;
        };
        let tasks = &self.jobs[entry.job].stages[entry.stage].tasks;
        let highest = tasks.iter().map(|task| task.run).max().unwrap_or(0);
        let run = (highest + 1).max(self.settings.epoch * RUNS_PER_EPOCH + 1);
        let newest = tasks
            .iter()
            .max_by_key(|task| (task.checkpoint_run, &task.checkpoint))
            .and_then(|task| task.checkpoint.clone());
        for (index, key) in chosen.into_iter().enumerate() {
            self.start(entry, index, key, run, newest.clone(), now);
            take(pool, &mut [], key, &charge);
        }
    }

    pub(crate) fn tenant_allows(
        &self,
        tenant: Option<&Name>,
        room: &Resources,
        urgent: bool,
    ) -> bool {
        let Some(name) = tenant else {
            return true;
        };
        let used = self.used.get(name).copied().unwrap_or_default();
        self.policy
            .teams
            .get(name)
            .is_none_or(|tenant| tenant.allows(&used.plus(room), urgent))
    }

    pub(crate) fn start(
        &mut self,
        entry: Ready,
        index: usize,
        key: worker::Key,
        run: u32,
        checkpoint: Option<Name>,
        now: Millis,
    ) {
        let lease = self.settings.lease;
        let worker = &mut self.workers[key];
        let Some(lease_end) = worker.lease(lease, now) else {
            return;
        };
        let boot = worker.entry.boot;
        let job = &mut self.jobs[entry.job];
        let task_id = job.task(entry.stage, index);
        let stage = &mut job.stages[entry.stage];
        let step = &job.accepted.spec.steps[stage.step];
        let ticket = stage.ticket(key, boot, now).map(|held| held.text.clone());
        let task = &mut stage.tasks[index];
        let waited = now.since(task.waiting);
        task.run = run;
        task.placed = Some(key);
        job.begun = true;
        let tenant = job.accepted.team.clone().map(|name| (name, step.resources));
        if let Some((name, room)) = &tenant {
            let used = self.used.entry(name.clone()).or_default();
            *used = used.plus(room);
        }
        let place = worker::Place {
            job: entry.job,
            stage: entry.stage,
            index,
        };
        let held = Run {
            run,
            place: Some(place),
            charge: step.demand(),
            tenant,
            phase: Phase::Ordered,
            since: now,
            percent: 0.0,
            moved: now,
            figure: 0.0,
            pace: 100,
            stop_sent: None,
        };
        self.orders.push(Order::Start(Start {
            target: target(key, worker),
            task: task_id.clone(),
            run,
            payload: job.accepted.spec.payload.clone(),
            lease_end,
            ticket,
            checkpoint,
        }));
        self.events.push(Event::Start {
            task: task_id.clone(),
            run,
            worker: worker.entry.name.clone(),
            waited,
        });
        worker.add(task_id, held);
    }
}

/// Returns a worker for each of `count` tasks, if there are enough.
fn fit_all(
    mut candidates: Vec<Candidate>,
    charge: &Resources,
    count: usize,
    most: u32,
) -> Option<Vec<worker::Key>> {
    let mut chosen: Vec<worker::Key> = Vec::with_capacity(count);
    for _ in 0..count {
        let key = choice::best(candidates.iter().copied(), charge)?;
        chosen.push(key);
        let here = chosen.iter().filter(|other| **other == key).count() as u32;
        if here >= most {
            candidates.retain(|candidate| candidate.key != key);
        }
        for candidate in candidates
            .iter_mut()
            .filter(|candidate| candidate.key == key)
        {
            candidate.free = candidate.free.minus(charge);
        }
    }
    Some(chosen)
}
