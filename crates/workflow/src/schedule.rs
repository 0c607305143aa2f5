//! The scheduling pass: starts, preemptions and requests for advice for waiting stages.

use std::{
    cell::LazyCell,
    collections::BTreeMap,
    time::Duration, //
};

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};

use crate::{
    active::{
        Job,
        objective, //
    },
    advice_request::Want,
    engine::Engine,
    job::State,
    pool::Pool,
    rank::{
        self,
        Rank,
        RankInput, //
    },
    reserve,
    stage::Task,
    worker::JobKey,
};

/// Minimum remaining validity of a ticket that is used; it covers the time that a start takes to
/// reach its worker.
pub(crate) const TICKET_MARGIN: Duration = Duration::from_millis(150);

/// A stage with tasks to start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ready {
    pub(crate) rank: Rank,
    /// Whether the job is on time and has no slack left to wait until other tasks end.
    pub(crate) is_pressed: bool,
    pub(crate) job: JobKey,
    /// Index of the stage in the job.
    pub(crate) stage: usize,
}

impl Engine {
    /// Starts the waiting tasks that can be started, and makes the preemptions and requests for
    /// advice that the others need.
    pub fn schedule(&mut self, now: Millis) {
        self.update_possible_use(now);
        let mut ready_stages = self.ready_stages(false, now);
        if ready_stages.is_empty() {
            return;
        }
        self.start_window = self.open_start_window();
        let mut pools = self.build_pools(now);
        self.count_waiting_suspects(&ready_stages, &mut pools);
        self.order_by_share(&mut ready_stages, &pools, now);
        let mut wants = Vec::new();
        for ready in ready_stages {
            if self.start_window == 0 {
                break;
            }
            let Some(queue) = self.queue(&self.jobs[ready.job]) else {
                continue;
            };
            let name = queue.pool.clone();
            let Some(pool) = pools.get_mut(&name) else {
                continue;
            };
            let is_urgent = queue.priority == pool.urgent;
            if let Some(waiting) = self.place_stage(ready, pool, is_urgent, now) {
                wants.extend(Want::new(self, ready, waiting, name, is_urgent));
            }
        }
        self.request_advice(wants, &mut pools, now);
    }

    /// Counts, by pool, the tasks that wait under which a single worker has crashed.
    fn count_waiting_suspects(&self, ready: &[Ready], pools: &mut BTreeMap<Name, Pool>) {
        for ready in ready {
            let job = &self.jobs[ready.job];
            let name = self.queue(job).map(|queue| &queue.pool);
            let Some(pool) = name.and_then(|name| pools.get_mut(name)) else {
                continue;
            };
            let tasks = job.stages[ready.stage].tasks.iter();
            let is_counted = |task: &&Task| task.is_waiting() && task.history.crashes.len() == 1;
            pool.waiting_suspects += tasks.filter(is_counted).count();
        }
    }

    /// Returns how many bytes of starts may be sent beside those that are not answered.
    fn open_start_window(&self) -> usize {
        let window = self.settings.budget.start_window();
        if window == usize::MAX {
            return window;
        }
        let unanswered = self
            .workers
            .keys()
            .map(|key| self.summary(key).unanswered_bytes);
        window.saturating_sub(unanswered.sum())
    }

    /// Returns the stages with tasks to start, in the order of their ranks. `unsettled` says whether
    /// to include those whose tasks an earlier owner may have started.
    pub(crate) fn ready_stages(&self, unsettled: bool, now: Millis) -> Vec<Ready> {
        let mut ready = Vec::new();
        for (key, job) in &self.jobs {
            if job.final_state.is_some() {
                continue;
            }
            if !self.may_start(job, now) {
                continue;
            }
            let is_open = !job.inherited || unsettled || self.is_settled();
            let Some(queue) = self.queue(job) else {
                continue;
            };
            // Both are the same for all stages, and take a visit of all steps.
            let times = LazyCell::new(|| {
                let objective = objective(queue, &job.accepted);
                (objective, job.remaining_critical_path())
            });
            for (stage_index, stage) in job.stages.iter().enumerate() {
                if stage.is_complete() || !job.is_stage_ready(stage_index, now) {
                    continue;
                }
                let step = &job.accepted.spec.steps[stage.step];
                let is_known = job.starts_are_stored && step.long_running;
                if !is_open && !is_known {
                    continue;
                }
                let waiting = stage.waiting_count();
                if waiting == 0 || (step.gang && waiting < stage.tasks.len()) {
                    continue;
                }
                let waiting_tasks = stage.tasks.iter().filter(|task| task.is_waiting());
                let (objective, remaining) = *times;
                let input = RankInput {
                    priority: queue.priority,
                    start: job.accepted.accepted_at.max(stage.due),
                    objective,
                    long_running: step.long_running,
                    waiting_since: waiting_tasks
                        .map(|task| task.waiting_since)
                        .min()
                        .unwrap_or(now),
                    remaining,
                    over_quota: job.over_quota,
                };
                ready.push(Ready {
                    rank: rank::rank(&input, now),
                    is_pressed: rank::is_pressed(&input, now),
                    job: key,
                    stage: stage_index,
                });
            }
        }
        ready.sort_by_key(|ready| (ready.rank, ready.job));
        ready
    }

    /// Returns the priority of the most urgent queue of a pool.
    pub(crate) fn urgent_priority(&self, pool: &Name) -> u32 {
        self.urgent_priorities.get(pool).copied().unwrap_or(0)
    }

    /// Returns the priority of a job; jobs of an unknown queue are the least urgent.
    pub(crate) fn priority(&self, job: &Job) -> u32 {
        self.queue(job).map_or(u32::MAX, |queue| queue.priority)
    }

    /// Returns whether a task that waits has used up its attempts.
    ///
    /// The end of a run tells it too, but not while the configuration lacks the queue, which may come
    /// back, or has it with more attempts.
    fn has_exhausted_task(&self, ready: Ready) -> bool {
        let job = &self.jobs[ready.job];
        let stage = &job.stages[ready.stage];
        let max_attempts = self.max_attempts(ready.job);
        let mut waiting = stage.tasks.iter().filter(|task| task.is_waiting());
        !job.accepted.spec.steps[stage.step].long_running
            && waiting.any(|task| task.failed_runs.len() >= max_attempts)
    }

    /// Starts tasks of a stage, and preempts runs if some are left waiting. Returns the number of
    /// tasks that wait for advice, if any.
    fn place_stage(
        &mut self,
        ready: Ready,
        pool: &mut Pool,
        is_urgent: bool,
        now: Millis,
    ) -> Option<usize> {
        if self.has_exhausted_task(ready) {
            self.end_job(ready.job, State::Failed, now);
        }
        let job = &self.jobs[ready.job];
        if job.final_state.is_some() {
            return None;
        }
        let stage = &job.stages[ready.stage];
        let step = &job.accepted.spec.steps[stage.step];
        let advised = self.queue(job).is_some_and(|queue| queue.advice.is_some());
        let demand = step.demand();
        let may_use_reserve = is_urgent || step.long_running;
        if !may_use_reserve && !reserve::admits(&pool.free, &pool.capacity, &demand) {
            return None;
        }
        // Under overload most stages have no ticket, and to look for workers takes most of a pass.
        let may_start = !advised || stage.tickets_until > now.after(TICKET_MARGIN);
        let may_preempt = is_urgent && ready.is_pressed;
        if !may_start && !may_preempt {
            let team = job.accepted.team.as_ref();
            let allows = self.team_allows(team, &step.resources, may_use_reserve);
            return allows.then(|| stage.waiting_count());
        }
        let step = step.clone();
        if may_start && step.gang {
            self.place_gang(ready, &step, pool, advised, now);
        } else if may_start {
            self.place_tasks(ready, &step, pool, advised, is_urgent, now);
        }
        let waiting = self.jobs[ready.job].stages[ready.stage].waiting_count();
        // Tasks that wait for the link need no other worker.
        if waiting == 0 || self.start_window == 0 {
            return None;
        }
        let team = self.jobs[ready.job].accepted.team.clone();
        if let Some(team) = team
            && !self.team_allows(Some(&team), &step.resources, may_use_reserve)
        {
            if may_preempt {
                let missing = step.resources.times(waiting as u64);
                self.preempt_own_team(&team, &missing, pool.urgent, now);
            }
            return None;
        }
        // Tasks that wait for a stop have a ticket for its worker.
        let missing = if may_start && may_preempt {
            self.preempt(ready, &step, waiting, pool, advised, now)
        } else {
            waiting
        };
        let waiting = if step.gang { waiting } else { missing };
        (advised && missing > 0).then_some(waiting)
    }
}
