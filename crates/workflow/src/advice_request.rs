//! Requests to the advice service and the handling of its replies.

use std::time::Duration;

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};

use crate::{
    advice,
    engine::Engine,
    job::{
        Step,
        TaskId, //
    },
    order::{
        AdviceRequest,
        Order, //
    },
    pool::{
        Pool,
        Slot,
        claim_capacity,
        fit_count, //
    },
    retry,
    schedule::{
        Ready,
        TICKET_MARGIN, //
    },
    stage::{
        Stage,
        Ticket,
        Verdict, //
    },
    worker, //
};

/// Delay before the next request after a call that failed or approved no worker.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Delay before workers are scanned again for a request. Capacity is freed every few milliseconds,
/// and each scan visits all workers for each waiting stage.
const RESCAN_DELAY: Duration = Duration::from_millis(25);

/// Weight of one reply in the moving average of the approval rate.
const APPROVAL_RATE_GAIN: f64 = 0.2;

/// Approval of one worker by the advice service.
#[derive(Debug, Clone, PartialEq)]
pub struct Approval {
    /// Name of the worker.
    pub worker: Name,
    /// Token that the worker has to be shown.
    pub ticket: Name,
}

/// Reply of the advice service.
#[derive(Debug, Clone, PartialEq)]
pub struct AdviceReply {
    /// Workers that may run the step.
    pub approved: Vec<Approval>,
    /// Time for which the tickets are valid.
    pub ticket_lifetime: Duration,
}

impl Engine {
    /// Asks which workers may run a stage, unless a request is pending or a reply could not help
    /// now.
    pub(crate) fn request_advice(
        &mut self,
        ready: Ready,
        step: &Step,
        waiting: usize,
        pool: &mut Pool,
        is_urgent: bool,
        now: Millis,
    ) {
        let job = &self.jobs[ready.job];
        let Some(queue) = self.queue(job) else {
            return;
        };
        let Some(advice) = queue.advice else {
            return;
        };
        let approval_rate = self
            .approval_rates
            .get(&queue.name)
            .copied()
            .unwrap_or(advice::INITIAL_APPROVAL_RATE);
        let stage = &job.stages[ready.stage];
        let demand = step.demand();
        if !stage.pending_advice.is_empty() || stage.next_request_at > now {
            claim_capacity(pool, &stage.pending_advice, &demand, waiting, approval_rate);
            return;
        }
        let needed_until = now.after(TICKET_MARGIN);
        let max_per_worker = step.max_per_worker.unwrap_or(u32::MAX) as usize;
        let on_worker = self.stage_tasks_by_worker(ready);
        let allowed_tasks = |slot: &Slot| {
            max_per_worker.saturating_sub(on_worker.get(&slot.key).copied().unwrap_or(0))
        };
        let fitting_tasks = |slot: &Slot| {
            let available = if is_urgent {
                slot.reclaimable
            } else {
                slot.unclaimed
            };
            fit_count(&available, &demand)
                .min(allowed_tasks(slot))
                .min(waiting)
        };
        // A call takes longer with each worker that it names, so workers in doubt are named only if
        // no other may run the stage, or none has become free in time.
        let waited = waited(stage, now);
        let trusted = self.has_trusted_worker(ready, step, pool, &[]);
        let is_eligible = |slot: &Slot| {
            let is_last_resort = !trusted || (!slot.quarantined && waited >= retry::MAX_WAIT);
            stage.ticket(slot.key, slot.boot, needed_until).is_none()
                && stage.verdicts.get(slot.key) != Some(&Verdict::Bad)
                && (slot.is_trusted() || is_last_resort)
                && allowed_tasks(slot) > 0
                && self.has_label(slot.key, step)
        };
        let mut slots = pool.slots.iter();
        if !slots.any(|slot| fitting_tasks(slot) > 0 && is_eligible(slot)) {
            self.jobs[ready.job].stages[ready.stage].next_request_at = now.after(RESCAN_DELAY);
            return;
        }
        let slots = pool.slots.iter().filter(|slot| is_eligible(slot));
        let mut candidates: Vec<(bool, usize, worker::Key)> = slots
            .map(|slot| {
                (
                    !stage.verdicts.contains_key(slot.key),
                    fitting_tasks(slot),
                    slot.key,
                )
            })
            .collect();
        let known_capacity: usize = candidates
            .iter()
            .filter(|candidate| !candidate.0)
            .map(|candidate| candidate.1)
            .sum();
        if known_capacity >= waiting {
            candidates.retain(|candidate| !candidate.0 && candidate.1 > 0);
        }
        // Workers that were approved before come first, then those with the most free capacity. A
        // worker without free capacity may get some while its ticket is valid.
        candidates
            .sort_by_key(|(unknown, fitting, key)| (*unknown, std::cmp::Reverse(*fitting), *key));
        candidates.truncate(advice::MAX_WORKERS);
        let requested: Vec<worker::Key> = candidates.iter().map(|candidate| candidate.2).collect();
        claim_capacity(pool, &requested, &demand, waiting, approval_rate);
        let request = AdviceRequest {
            job: job.id.clone(),
            occurrence: stage.occurrence,
            step: stage.step as u32,
            workers: requested
                .iter()
                .map(|key| self.workers[*key].info.name.clone())
                .collect(),
            advice,
            rank: if step.long_running {
                ready.rank.promoted()
            } else {
                ready.rank
            },
        };
        self.jobs[ready.job].stages[ready.stage].pending_advice = requested;
        self.orders.push(Order::RequestAdvice(request));
    }

    /// Handles a reply of the advice service; `None` stands for a failed call.
    pub fn handle_advice(
        &mut self,
        request: &AdviceRequest,
        reply: Option<&AdviceReply>,
        now: Millis,
    ) {
        let task = TaskId {
            job: request.job.clone(),
            occurrence: request.occurrence,
            step: request.step,
            index: 0,
        };
        let Some(position) = self.position(&task) else {
            return;
        };
        let job = &mut self.jobs[position.job];
        let stage = &mut job.stages[position.stage];
        let requested = std::mem::take(&mut stage.pending_advice);
        let Some(reply) = reply else {
            stage.next_request_at = now.after(RETRY_DELAY);
            return;
        };
        let mut approved_count = 0;
        for key in &requested {
            let Some(worker) = self.workers.get(*key) else {
                continue;
            };
            let name = &worker.info.name;
            match reply
                .approved
                .iter()
                .find(|approval| approval.worker == *name)
            {
                Some(approval) => {
                    approved_count += 1;
                    let ticket = Ticket {
                        token: approval.ticket.clone(),
                        boot: worker.info.boot,
                        valid_until: now.after(reply.ticket_lifetime),
                    };
                    stage.verdicts.insert(*key, Verdict::Good(ticket));
                }
                None => {
                    stage.verdicts.insert(*key, Verdict::Bad);
                }
            }
        }
        if approved_count == 0 {
            stage.next_request_at = now.after(RETRY_DELAY);
        }
        let rate = f64::from(approved_count) / requested.len().max(1) as f64;
        let queue = job.accepted.queue.clone();
        let average = self
            .approval_rates
            .entry(queue)
            .or_insert(advice::INITIAL_APPROVAL_RATE);
        *average += (rate - *average) * APPROVAL_RATE_GAIN;
    }
}

/// Returns the longest time for which a task of the stage has waited.
fn waited(stage: &Stage, now: Millis) -> Duration {
    let waiting = stage.tasks.iter().filter(|task| task.is_waiting());
    let since = waiting.map(|task| task.waiting_since).min();
    since.map_or(Duration::ZERO, |since| now.since(since))
}
