//! Which waiting tasks start where, and what is asked and stopped for the others.

use std::time::Duration;

use basilbridge_common::unit::Millis;

use crate::{
    active::{
        Job,
        objective, //
    },
    engine::Engine,
    pool::Pool,
    rank::{
        self,
        Band,
        Claim,
        Rank, //
    },
    reserve,
    worker::JobKey, //
};

/// A ticket is used only if it holds this long, which covers the way of a start to its worker.
pub(crate) const TICKET_MARGIN: Duration = Duration::from_millis(150);

/// A stage with tasks to start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ready {
    pub(crate) rank: Rank,
    pub(crate) job: JobKey,
    pub(crate) stage: usize,
}

impl Engine {
    /// Starts what can be started, and asks and stops what that needs.
    pub fn schedule(&mut self, now: Millis) {
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
                    start: job.accepted.accepted_at.max(of_stage.due),
                    objective: objective(queue, &job.accepted),
                    lasting: step.long_running,
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

    pub(crate) fn urgent_priority(&self) -> u32 {
        let priorities = self.policy.queues.values().map(|queue| queue.priority);
        priorities.min().unwrap_or(0)
    }

    pub(crate) fn priority(&self, job: &Job) -> u32 {
        self.queue(job).map_or(u32::MAX, |queue| queue.priority)
    }

    fn place_stage(&mut self, entry: Ready, pool: &mut Pool, is_urgent: bool, now: Millis) {
        let job = &self.jobs[entry.job];
        let step = job.accepted.spec.steps[job.stages[entry.stage].step].clone();
        let advised = self.queue(job).is_some_and(|queue| queue.advice.is_some());
        let charge = step.demand();
        if !is_urgent
            && !step.long_running
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
        let tenant = self.jobs[entry.job].accepted.team.clone();
        let takes_all = is_urgent || step.long_running;
        if let Some(tenant) = tenant
            && !self.tenant_allows(Some(&tenant), &step.resources, takes_all)
        {
            if is_urgent && entry.rank.band <= Band::OnTime {
                self.preempt_own(&tenant, &step.resources.times(waiting as u64), now);
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
}
