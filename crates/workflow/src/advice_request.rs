//! What the advice service is asked, and what its answers bring.

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
        claim,
        fit_count, //
    },
    schedule::{
        Ready,
        TICKET_MARGIN, //
    },
    stage::{
        Ticket,
        Verdict, //
    },
    worker, //
};

/// How long to wait before advice is asked for again after a call that failed or found nothing.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// How long to wait before the workers are gone through again for one to ask about: room comes free
/// every few milliseconds, and a pass goes through all workers for each stage that waits.
const LOOK_AGAIN: Duration = Duration::from_millis(25);

/// By how much one answer of the advice service moves the learned share of good workers.
const GOOD_PART_GAIN: f64 = 0.2;

/// What the advice service said of one worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Approval {
    /// The worker.
    pub worker: Name,
    /// What the worker is to be shown.
    pub ticket: Name,
}

/// An answer of the advice service.
#[derive(Debug, Clone, PartialEq)]
pub struct AdviceReply {
    /// The workers that may run the step.
    pub approved: Vec<Approval>,
    /// How long their tickets hold.
    pub ticket_lifetime: Duration,
}

impl Engine {
    /// Asks which workers may run a stage, if an answer could help now.
    pub(crate) fn ask(
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
        let charge = step.demand();
        if !stage.asked.is_empty() || stage.ask_after > now {
            claim(pool, &stage.asked, &charge, waiting, good_part);
            return;
        }
        let holds = now.after(TICKET_MARGIN);
        let most = step.max_per_worker.unwrap_or(u32::MAX) as usize;
        let fit = |slot: &Slot| {
            let room = if is_urgent { slot.soft } else { slot.open };
            fit_count(&room, &charge).min(most).min(waiting)
        };
        let may_ask = |slot: &Slot| {
            stage.ticket(slot.key, slot.boot, holds).is_none()
                && stage.verdicts.get(slot.key) != Some(&Verdict::Bad)
                && !slot.suspect
                && self.has_label(slot.key, step)
        };
        let mut slots = pool.slots.iter();
        if !slots.any(|slot| fit(slot) > 0 && may_ask(slot)) {
            self.jobs[entry.job].stages[entry.stage].ask_after = now.after(LOOK_AGAIN);
            return;
        }
        let slots = pool.slots.iter().filter(|slot| may_ask(slot));
        let mut fits: Vec<(bool, usize, worker::Key)> = slots
            .map(|slot| (!stage.verdicts.contains_key(slot.key), fit(slot), slot.key))
            .collect();
        let known_fit: usize = fits.iter().filter(|fit| !fit.0).map(|fit| fit.1).sum();
        if known_fit >= waiting {
            fits.retain(|fit| !fit.0 && fit.1 > 0);
        }
        // Those that are known to be good come first, then those with the most room. A worker
        // without room may have some as long as its ticket holds.
        fits.sort_by_key(|(unknown, fit, key)| (*unknown, std::cmp::Reverse(*fit), *key));
        fits.truncate(advice::MOST_WORKERS);
        let asked: Vec<worker::Key> = fits.iter().map(|fit| fit.2).collect();
        claim(pool, &asked, &charge, waiting, good_part);
        let question = AdviceRequest {
            job: job.id.clone(),
            occurrence: stage.occurrence,
            step: stage.step as u32,
            workers: asked
                .iter()
                .map(|key| self.workers[*key].entry.name.clone())
                .collect(),
            advice,
            rank: if step.long_running {
                entry.rank.ahead()
            } else {
                entry.rank
            },
        };
        self.jobs[entry.job].stages[entry.stage].asked = asked;
        self.orders.push(Order::RequestAdvice(question));
    }

    /// Takes in an answer of the advice service; none stands for a call that failed.
    pub fn handle_advice(
        &mut self,
        question: &AdviceRequest,
        answer: Option<&AdviceReply>,
        now: Millis,
    ) {
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
            match answer.approved.iter().find(|good| good.worker == *name) {
                Some(good) => {
                    found += 1;
                    let ticket = Ticket {
                        text: good.ticket.clone(),
                        boot: worker.entry.boot,
                        until: now.after(answer.ticket_lifetime),
                    };
                    stage.verdicts.insert(*key, Verdict::Good(ticket));
                }
                None => {
                    stage.verdicts.insert(*key, Verdict::Bad);
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
}
