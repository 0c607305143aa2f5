//! Which waiting tasks start where, and what is asked and stopped for the others.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use basilbridge_common::{
    id::Name,
    unit::{
        Millis,
        Resources, //
    },
};

use crate::{
    advice,
    choice::{
        self,
        Candidate, //
    },
    engine::{
        Engine,
        RUNS_PER_EPOCH,
        objective,
        target, //
    },
    event::{
        Cause,
        Event, //
    },
    job::{
        Step,
        TaskId, //
    },
    order::{
        Order,
        Question,
        Start, //
    },
    rank::{
        self,
        Band,
        Claim,
        Rank, //
    },
    reserve,
    stage::Ticket,
    worker::{
        self,
        JobKey,
        Phase,
        Run, //
    },
};

/// A ticket is used only if it holds this long, which covers the way of a start to its worker.
const TICKET_MARGIN: Duration = Duration::from_millis(150);

/// How long to wait before advice is asked for again after a call that failed or found nothing.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// For how long a run may show no progress: two looks of a second each.
const STALL_LIMIT: Duration = Duration::from_millis(2200);

/// For how long a worker on which a run stood still gets nothing new.
const STALL_AVOID: Duration = Duration::from_secs(4);

/// A run that is this far is not stopped for more urgent work: its end comes about as soon as the
/// stop would.
const NEAR_END_PERCENT: f64 = 85.0;

/// By how much one answer of the advice service moves the learned share of good workers.
const GOOD_PART_GAIN: f64 = 0.2;

/// A worker that takes new work, as one scheduling pass sees it.
#[derive(Debug)]
struct Slot {
    key: worker::Key,
    boot: u64,
    free: Resources,
    /// What is free less what earlier stages of this pass have asked for.
    open: Resources,
    /// What is free or will be when the stops so far take effect, less what earlier stages of this
    /// pass count on.
    coming: Resources,
    /// What would be free if all that may be preempted for the most urgent work were gone.
    soft: Resources,
    suspect: bool,
    serves: bool,
    fills: bool,
}

/// The workers of one pool.
#[derive(Debug, Default)]
struct Pool {
    slots: Vec<Slot>,
    capacity_cpu: u64,
    free_cpu: u64,
}

/// A stage with tasks to start.
#[derive(Debug, Clone, Copy)]
struct Ready {
    rank: Rank,
    job: JobKey,
    stage: usize,
}

/// What the advice service said of one worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Good {
    /// The worker.
    pub worker: Name,
    /// What the worker is to be shown.
    pub ticket: Name,
}

/// An answer of the advice service.
#[derive(Debug, Clone, PartialEq)]
pub struct Advised {
    /// The workers that may run the step.
    pub good: Vec<Good>,
    /// How long their tickets hold.
    pub valid: Duration,
}

impl Engine {
    /// Starts what can be started, and asks and stops what that needs.
    pub fn schedule(&mut self, now: Millis) {
        self.stop_stalled(now);
        let ready = self.ready(now);
        if ready.is_empty() {
            return;
        }
        let urgent = self.urgent_priority();
        let mut pools = self.pools(urgent, now);
        for entry in ready {
            let Some(queue) = self.queue(&self.jobs[entry.job]) else {
                continue;
            };
            let name = queue.pool.clone();
            let Some(pool) = pools.get_mut(&name) else {
                continue;
            };
            let is_urgent = queue.priority == urgent;
            self.place_stage(entry, pool, is_urgent, now);
        }
    }

    fn ready(&self, now: Millis) -> Vec<Ready> {
        let mut ready = Vec::new();
        for (key, job) in &self.jobs {
            if job.over.is_some() || (job.inherited && !self.is_settled()) {
                continue;
            }
            let Some(queue) = self.queue(job) else {
                continue;
            };
            for (stage, of_stage) in job.stages.iter().enumerate() {
                if of_stage.is_complete() || !job.is_ready(stage, now) {
                    continue;
                }
                let waiting = of_stage.waiting();
                let step = &job.accepted.spec.steps[of_stage.step];
                if waiting == 0 || (step.gang && waiting < of_stage.tasks.len()) {
                    continue;
                }
                let first = of_stage.tasks.iter().filter(|task| task.is_waiting());
                let claim = Claim {
                    priority: queue.priority,
                    start: job.accepted.at.max(of_stage.due),
                    objective: objective(queue, &job.accepted),
                    lasting: step.lasting,
                    waiting: first.map(|task| task.waiting).min().unwrap_or(now),
                    left: job.left(),
                    excess: job.excess,
                };
                ready.push(Ready {
                    rank: rank::rank(&claim, now),
                    job: key,
                    stage,
                });
            }
        }
        ready.sort_by_key(|entry| (entry.rank, entry.job));
        ready
    }

    fn urgent_priority(&self) -> u32 {
        let priorities = self.policy.queues.values().map(|queue| queue.priority);
        priorities.min().unwrap_or(0)
    }

    fn pools(&self, urgent: u32, now: Millis) -> BTreeMap<Name, Pool> {
        let mut pools: BTreeMap<Name, Pool> = BTreeMap::new();
        for (key, worker) in &self.workers {
            let pool = pools.entry(worker.entry.pool.clone()).or_default();
            if !worker.is_usable(now) {
                continue;
            }
            let mut slot = Slot {
                key,
                boot: worker.entry.boot,
                free: worker.free(),
                open: worker.free(),
                coming: worker.free(),
                soft: worker.free(),
                suspect: !worker.failures.is_empty(),
                serves: false,
                fills: false,
            };
            for run in worker.runs.values() {
                let Some(job) = run.place.and_then(|place| self.jobs.get(place.job)) else {
                    continue;
                };
                let stage = run.place.map_or(0, |place| job.stages[place.stage].step);
                let step = &job.accepted.spec.steps[stage];
                slot.serves |= step.target.is_some();
                slot.fills |= step.fills;
                let stops = matches!(run.phase, Phase::Stopping(_));
                if stops {
                    slot.coming = slot.coming.plus(&run.charge);
                }
                if stops || self.may_preempt(run, urgent) {
                    slot.soft = slot.soft.plus(&run.charge);
                }
            }
            pool.capacity_cpu += worker.entry.capacity.cpu_millis;
            pool.free_cpu += slot.free.cpu_millis;
            pool.slots.push(slot);
        }
        pools
    }

    fn priority(&self, job: &crate::engine::Job) -> u32 {
        self.queue(job).map_or(u32::MAX, |queue| queue.priority)
    }

    fn place_stage(&mut self, entry: Ready, pool: &mut Pool, is_urgent: bool, now: Millis) {
        let job = &self.jobs[entry.job];
        let step = job.accepted.spec.steps[job.stages[entry.stage].step].clone();
        let advised = self.queue(job).is_some_and(|queue| queue.advice.is_some());
        let charge = step.charge();
        if !is_urgent
            && !step.lasting
            && !reserve::admits(pool.free_cpu, pool.capacity_cpu, charge.cpu_millis)
        {
            return;
        }
        if step.gang {
            self.place_gang(entry, &step, pool, advised, now);
        } else {
            self.place_tasks(entry, &step, pool, advised, is_urgent, now);
        }
        let waiting = self.jobs[entry.job].stages[entry.stage].waiting();
        if waiting == 0 {
            return;
        }
        let tenant = self.jobs[entry.job].accepted.tenant.clone();
        let takes_all = is_urgent || step.lasting;
        if let Some(tenant) = tenant
            && !self.tenant_allows(Some(&tenant), &step.room, takes_all)
        {
            if is_urgent && entry.rank.band <= Band::OnTime {
                self.preempt_own(&tenant, &step.room.times(waiting as u64), now);
            }
            return;
        }
        if advised {
            self.ask(entry, &step, waiting, pool, is_urgent, now);
        }
        if is_urgent && entry.rank.band <= Band::OnTime {
            self.preempt(entry, &step, waiting, pool, advised, now);
        }
    }

    fn place_tasks(
        &mut self,
        entry: Ready,
        step: &Step,
        pool: &mut Pool,
        advised: bool,
        is_urgent: bool,
        now: Millis,
    ) {
        let charge = step.charge();
        let mut candidates = self.candidates(entry, step, pool, advised, now);
        if candidates.is_empty() {
            return;
        }
        let count = self.jobs[entry.job].stages[entry.stage].tasks.len();
        let takes_all = is_urgent || step.lasting;
        let mut on_worker = self.members(entry);
        for index in 0..count {
            let job = &self.jobs[entry.job];
            let task = &job.stages[entry.stage].tasks[index];
            if !task.is_waiting() {
                continue;
            }
            if !self.tenant_allows(job.accepted.tenant.as_ref(), &step.room, takes_all) {
                return;
            }
            let keeps_reserve =
                takes_all || reserve::admits(pool.free_cpu, pool.capacity_cpu, charge.cpu_millis);
            if !keeps_reserve {
                return;
            }
            let usable: Vec<Candidate> = candidates
                .iter()
                .filter(|candidate| {
                    let most = step.most_per_worker.unwrap_or(u32::MAX);
                    on_worker.get(&candidate.key).copied().unwrap_or(0) < most
                })
                .map(|candidate| Candidate {
                    suspect: candidate.suspect || task.failed_on.contains(&candidate.key),
                    ..*candidate
                })
                .collect();
            let Some(key) = choice::best(&usable, &charge) else {
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

    fn place_gang(
        &mut self,
        entry: Ready,
        step: &Step,
        pool: &mut Pool,
        advised: bool,
        now: Millis,
    ) {
        let charge = step.charge();
        let count = self.jobs[entry.job].stages[entry.stage].tasks.len();
        let tenant = self.jobs[entry.job].accepted.tenant.clone();
        if !self.tenant_allows(tenant.as_ref(), &step.room.times(count as u64), true) {
            return;
        }
        let all = self.candidates(entry, step, pool, advised, now);
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
        let most = step.most_per_worker.unwrap_or(u32::MAX);
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

    /// Returns the workers that may run a stage now, whether or not they have room.
    fn candidates(
        &self,
        entry: Ready,
        step: &Step,
        pool: &Pool,
        advised: bool,
        now: Millis,
    ) -> Vec<Candidate> {
        let stage = &self.jobs[entry.job].stages[entry.stage];
        let holds = now.after(TICKET_MARGIN);
        pool.slots
            .iter()
            .filter(|slot| !advised || stage.ticket(slot.key, slot.boot, holds).is_some())
            .filter(|slot| self.has_label(slot.key, step))
            .map(|slot| Candidate {
                key: slot.key,
                free: slot.free,
                far: self.is_far(slot.key, step),
                suspect: slot.suspect,
                disturbs: disturbs(slot, step),
            })
            .collect()
    }

    fn has_label(&self, key: worker::Key, step: &Step) -> bool {
        step.label
            .as_ref()
            .is_none_or(|label| self.workers[key].entry.labels.contains(label))
    }

    fn is_far(&self, key: worker::Key, step: &Step) -> bool {
        step.data_rack
            .as_ref()
            .is_some_and(|rack| !self.workers[key].entry.labels.contains(rack))
    }

    /// Counts the tasks of a stage by the worker that they are on.
    fn members(&self, entry: Ready) -> BTreeMap<worker::Key, u32> {
        let mut counts = BTreeMap::new();
        // A run that was given up in favour of another still counts on its worker.
        let job = &self.jobs[entry.job];
        for (key, worker) in &self.workers {
            let here = worker.runs.values().filter(|run| {
                run.place
                    .is_some_and(|place| place.job == entry.job && place.stage == entry.stage)
            });
            let count = here.count() as u32;
            if count > 0 {
                counts.insert(key, count);
            }
        }
        debug_assert!(job.stages.len() > entry.stage);
        counts
    }

    fn tenant_allows(&self, tenant: Option<&Name>, room: &Resources, urgent: bool) -> bool {
        let Some(name) = tenant else {
            return true;
        };
        let used = self.used.get(name).copied().unwrap_or_default();
        self.policy
            .tenants
            .get(name)
            .is_none_or(|tenant| tenant.allows(&used.plus(room), urgent))
    }

    fn start(
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
        let Some(until) = worker.lease(lease, now) else {
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
        let tenant = job.accepted.tenant.clone().map(|name| (name, step.room));
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
            charge: step.charge(),
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
            text: job.accepted.spec.text.clone(),
            until,
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

    /// Asks which workers may run a stage, if an answer could help now.
    fn ask(
        &mut self,
        entry: Ready,
        step: &Step,
        waiting: usize,
        pool: &mut Pool,
        is_urgent: bool,
        now: Millis,
    ) {
        let job = &self.jobs[entry.job];
        let Some(queue) = self.queue(job) else {
            return;
        };
        let Some(advice) = queue.advice else {
            return;
        };
        let good_part = self
            .good_part
            .get(&queue.name)
            .copied()
            .unwrap_or(advice::FIRST_GOOD_PART);
        let stage = &job.stages[entry.stage];
        let charge = step.charge();
        if !stage.asked.is_empty() || stage.ask_after > now {
            claim(pool, &stage.asked, &charge, waiting, good_part);
            return;
        }
        let holds = now.after(TICKET_MARGIN);
        let most = step.most_per_worker.unwrap_or(u32::MAX) as usize;
        let mut fits: Vec<(bool, usize, worker::Key)> = Vec::new();
        for slot in &pool.slots {
            let room = if is_urgent { slot.soft } else { slot.open };
            let fit = fit_count(&room, &charge).min(most).min(waiting);
            let unknown = !stage.good.contains(&slot.key);
            let asked_for = stage.ticket(slot.key, slot.boot, holds).is_some();
            if !asked_for
                && !stage.bad.contains(&slot.key)
                && !slot.suspect
                && self.has_label(slot.key, step)
            {
                fits.push((unknown, fit, slot.key));
            }
        }
        let known_fit: usize = fits.iter().filter(|fit| !fit.0).map(|fit| fit.1).sum();
        let any_fit = fits.iter().any(|fit| fit.1 > 0);
        if !any_fit {
            return;
        }
        if known_fit >= waiting {
            fits.retain(|fit| !fit.0 && fit.1 > 0);
        }
        // Those that are known to be good come first, then those with the most room. A worker
        // without room may have some as long as its ticket holds.
        fits.sort_by_key(|(unknown, fit, key)| (*unknown, std::cmp::Reverse(*fit), *key));
        fits.truncate(advice::MOST_WORKERS);
        let asked: Vec<worker::Key> = fits.iter().map(|fit| fit.2).collect();
        claim(pool, &asked, &charge, waiting, good_part);
        let question = Question {
            job: job.id.clone(),
            occurrence: stage.occurrence,
            step: stage.step as u32,
            workers: asked
                .iter()
                .map(|key| self.workers[*key].entry.name.clone())
                .collect(),
            advice,
            rank: if step.lasting {
                entry.rank.ahead()
            } else {
                entry.rank
            },
        };
        self.jobs[entry.job].stages[entry.stage].asked = asked;
        self.orders.push(Order::Ask(question));
    }

    /// Takes in an answer of the advice service; none stands for a call that failed.
    pub fn advised(&mut self, question: &Question, answer: Option<&Advised>, now: Millis) {
        let task = TaskId {
            job: question.job.clone(),
            occurrence: question.occurrence,
            step: question.step,
            index: 0,
        };
        let Some(place) = self.place(&task) else {
            return;
        };
        let job = &mut self.jobs[place.job];
        let stage = &mut job.stages[place.stage];
        let asked = std::mem::take(&mut stage.asked);
        let Some(answer) = answer else {
            stage.ask_after = now.after(ASK_AGAIN);
            return;
        };
        let mut found = 0;
        for key in &asked {
            let Some(worker) = self.workers.get(*key) else {
                continue;
            };
            let name = &worker.entry.name;
            match answer.good.iter().find(|good| good.worker == *name) {
                Some(good) => {
                    found += 1;
                    stage.good.insert(*key);
                    let ticket = Ticket {
                        text: good.ticket.clone(),
                        boot: worker.entry.boot,
                        until: now.after(answer.valid),
                    };
                    stage.tickets.insert(*key, ticket);
                }
                None => {
                    stage.bad.insert(*key);
                }
            }
        }
        if found == 0 {
            stage.ask_after = now.after(ASK_AGAIN);
        }
        let part = f64::from(found) / asked.len().max(1) as f64;
        let queue = job.accepted.queue.clone();
        let learned = self
            .good_part
            .entry(queue)
            .or_insert(advice::FIRST_GOOD_PART);
        *learned += (part - *learned) * GOOD_PART_GAIN;
    }

    /// Stops less urgent runs where that makes room for a stage that has none.
    fn preempt(
        &mut self,
        entry: Ready,
        step: &Step,
        waiting: usize,
        pool: &mut Pool,
        advised: bool,
        now: Millis,
    ) {
        let charge = step.charge();
        let mut missing = waiting;
        let candidates = self.candidates(entry, step, pool, advised, now);
        for candidate in candidates {
            let Some(slot) = pool.slots.iter_mut().find(|slot| slot.key == candidate.key) else {
                continue;
            };
            while missing > 0 && (charge.fits(&slot.coming) || self.make_room(slot, &charge, now)) {
                slot.coming = slot.coming.minus(&charge);
                missing -= 1;
            }
        }
    }

    /// Stops as many less urgent runs of a worker as `charge` needs; says whether there were enough.
    fn make_room(&mut self, slot: &mut Slot, charge: &Resources, now: Millis) -> bool {
        let urgent = self.urgent_priority();
        let mut victims: Vec<(Millis, TaskId, Resources)> = self.workers[slot.key]
            .runs
            .iter()
            .filter(|(_, run)| self.may_preempt(run, urgent))
            .map(|(task, run)| (run.since, task.clone(), run.charge))
            .collect();
        // The youngest run has the least work to lose.
        victims.sort_by_key(|victim| std::cmp::Reverse(victim.0));
        let mut room = slot.coming;
        let mut chosen = Vec::new();
        for (_, task, frees) in victims {
            if charge.fits(&room) {
                break;
            }
            room = room.plus(&frees);
            chosen.push(task);
        }
        if !charge.fits(&room) {
            return false;
        }
        slot.coming = room;
        for task in chosen {
            self.stop(slot.key, &task, Cause::Preempted, now);
        }
        true
    }

    /// Stops less urgent runs of a team that is at its cap, so that `room` of its urgent work fits.
    fn preempt_own(&mut self, tenant: &Name, room: &Resources, now: Millis) {
        let Some(cap) = self.policy.tenants.get(tenant).map(|tenant| tenant.cap) else {
            return;
        };
        let used = self.used.get(tenant).copied().unwrap_or_default();
        let mut missing = used.plus(room).minus(&cap);
        let urgent = self.urgent_priority();
        let mut victims = Vec::new();
        for (key, worker) in &self.workers {
            for (task, run) in &worker.runs {
                let Some((_, takes)) = run.tenant.as_ref().filter(|(name, _)| name == tenant)
                else {
                    continue;
                };
                if matches!(run.phase, Phase::Stopping(_)) {
                    missing = missing.minus(takes);
                } else if self.may_preempt(run, urgent) {
                    victims.push((run.since, key, task.clone(), *takes));
                }
            }
        }
        let over = |missing: &Resources| {
            (cap.cpu_millis > 0 && missing.cpu_millis > 0)
                || (cap.memory_mib > 0 && missing.memory_mib > 0)
                || (cap.accelerators > 0 && missing.accelerators > 0)
        };
        // The youngest run has the least work to lose.
        victims.sort_by_key(|victim| std::cmp::Reverse(victim.0));
        for (_, key, task, takes) in victims {
            if !over(&missing) {
                return;
            }
            missing = missing.minus(&takes);
            self.stop(key, &task, Cause::Preempted, now);
        }
    }

    fn may_preempt(&self, run: &Run, urgent: u32) -> bool {
        let Some((place, job)) = run
            .place
            .and_then(|place| Some((place, self.jobs.get(place.job)?)))
        else {
            return false;
        };
        let step = &job.accepted.spec.steps[job.stages[place.stage].step];
        self.priority(job) > urgent && is_preemptable(step, run)
    }

    /// Stops runs that stand still, so that they start anew elsewhere.
    fn stop_stalled(&mut self, now: Millis) {
        let mut stalled = Vec::new();
        for (key, worker) in &self.workers {
            for (task, run) in &worker.runs {
                let Some(job) = run.place.and_then(|place| self.jobs.get(place.job)) else {
                    continue;
                };
                let stage = run.place.map_or(0, |place| job.stages[place.stage].step);
                let step = &job.accepted.spec.steps[stage];
                let heard = worker.heard.is_some_and(|heard| heard > run.moved);
                if matches!(run.phase, Phase::Confirmed(_))
                    && !step.lasting
                    && !step.fills
                    && !step.gang
                    && heard
                    && now.since(run.moved) >= STALL_LIMIT
                {
                    stalled.push((key, task.clone()));
                }
            }
        }
        for (key, task) in stalled {
            self.stop(key, &task, Cause::Stalled, now);
            let worker = &mut self.workers[key];
            worker.avoid = worker.avoid.max(now.after(STALL_AVOID));
        }
    }
}

/// Says whether a run may be stopped for more urgent work: it goes on later where it was.
fn is_preemptable(step: &Step, run: &Run) -> bool {
    step.checkpoints
        && !step.gang
        && !step.lasting
        && matches!(run.phase, Phase::Confirmed(_))
        && run.percent < NEAR_END_PERCENT
}

fn disturbs(slot: &Slot, step: &Step) -> bool {
    (step.fills && slot.serves) || (step.target.is_some() && slot.fills)
}

/// Returns how many tasks with `charge` fit into `room`.
fn fit_count(room: &Resources, charge: &Resources) -> usize {
    let part = |room: u64, charge: u64| room.checked_div(charge).unwrap_or(u64::MAX);
    part(room.cpu_millis, charge.cpu_millis)
        .min(part(room.memory_mib, charge.memory_mib))
        .min(part(room.accelerators, charge.accelerators))
        .min(1_000_000) as usize
}

/// Takes what a started task needs off the pool.
fn take(pool: &mut Pool, candidates: &mut [Candidate], key: worker::Key, charge: &Resources) {
    pool.free_cpu = pool.free_cpu.saturating_sub(charge.cpu_millis);
    for slot in pool.slots.iter_mut().filter(|slot| slot.key == key) {
        slot.free = slot.free.minus(charge);
        slot.open = slot.open.minus(charge);
        slot.soft = slot.soft.minus(charge);
        slot.coming = slot.coming.minus(charge);
    }
    for candidate in candidates
        .iter_mut()
        .filter(|candidate| candidate.key == key)
    {
        candidate.free = candidate.free.minus(charge);
    }
}

/// Counts what a stage will likely take of the workers that were asked about, so that later stages
/// of the same pass ask about others.
fn claim(
    pool: &mut Pool,
    asked: &[worker::Key],
    charge: &Resources,
    waiting: usize,
    good_part: f64,
) {
    let good = (asked.len() as f64 * good_part).max(1.0);
    let each = (waiting as f64 / good).ceil() as u64;
    for slot in &mut pool.slots {
        if asked.contains(&slot.key) {
            let likely = charge.times(each.min(fit_count(&slot.open, charge) as u64));
            slot.open = slot.open.minus(&likely);
        }
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
        let key = choice::best(&candidates, charge)?;
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
