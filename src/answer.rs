//! Answers the calls for the jobs of a shard.
//!
//! A job is in the journal before its caller is told that it was accepted, and a job that is given up
//! is closed there before its caller is told that it did not run. See `docs/design/at-most-once.md`.

use std::{
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::{
    call::{
        Call,
        Verb, //
    },
    error::{
        Error,
        Kind,
        Result, //
    },
    id::{
        self,
        Name, //
    },
    job::{
        self,
        Request,
        State,
        Status, //
    },
};
use tokio::{
    sync::watch,
    task::JoinError, //
};

use crate::{
    journal::{
        Accepted,
        Closed,
        Record, //
    },
    owner::{
        Inner,
        Owner,
        Phase,
        is_durable,
        queued_status,
        tasks_of, //
    },
};

impl Owner {
    /// Handles a call.
    pub async fn handle(self: &Arc<Self>, call: Call) -> Result<Status> {
        let changes = matches!(call.verb, Verb::Submit(..) | Verb::Cancel(_));
        let _in_flight = changes.then(|| InFlight::new(&self.in_flight));
        tokio::select! {
            biased;
            result = self.answer(call) => result,
            () = self.released.wait_until(true) => Err(self.moved_error(changes)),
        }
    }

    async fn answer(self: &Arc<Self>, call: Call) -> Result<Status> {
        match call.verb {
            Verb::Submit(_, ref request) => self.submit(&call, request).await,
            Verb::Status(ref job) => Ok(self.watch(&call.team, job)?.borrow().clone()),
            Verb::Wait(ref job) => {
                let mut status = self.watch(&call.team, job)?;
                let last = self.final_status(&mut status, call.remaining).await;
                Ok(last.unwrap_or_else(|| status.borrow().clone()))
            }
            Verb::Cancel(ref job) => self.cancel(&call, job).await,
        }
    }

    async fn submit(self: &Arc<Self>, call: &Call, request: &Request) -> Result<Status> {
        if request.count == 0 {
            return Err(Error::new(Kind::Malformed, "a job has at least one task"));
        }
        if !self.can_run(request) {
            let message = "no worker is large enough for a task of this size";
            return Err(Error::new(Kind::Impossible, message));
        }
        if *self.draining.borrow() {
            return Err(Error::new(Kind::NotOwner, "the shard is being handed over"));
        }
        let accepted = self.accepted(call, request);
        self.check_load(&accepted)?;
        let id = accepted.job.clone();
        // A caller that goes away must not leave a job that is kept and not queued.
        let kept = tokio::spawn(Arc::clone(self).accept(accepted));
        let kept = self.services.timer.timeout(call.remaining, kept).await;
        let mut status = match kept.ok_or_else(in_doubt)?.map_err(ended)?? {
            Accept::New(status) => status,
            Accept::Held(held) => return self.repeat(call, request, &held).await,
        };
        if request.kind != job::Kind::Interactive {
            return Ok(status.borrow().clone());
        }
        match self.final_status(&mut status, call.remaining).await {
            Some(status) => outcome(status),
            None => Err(self.give_up(&id).await),
        }
    }

    /// Keeps and queues a job, unless its idempotency key is another job's.
    async fn accept(self: Arc<Self>, accepted: Accepted) -> Result<Accept> {
        if is_durable(&accepted.request)
            && let Some(held) = self.services.journal.accept(accepted.clone()).await?
        {
            return Ok(Accept::Held(held));
        }
        let status = self.admit(accepted);
        self.wake.notify_one();
        Ok(Accept::New(status))
    }

    /// Answers a repeated submission with the first one's job.
    async fn repeat(&self, call: &Call, request: &Request, held: &id::Job) -> Result<Status> {
        if held.shard != self.ownership.shard {
            // The router asks the job's own shard.
            return Ok(queued_status(held.clone(), call.team.clone()));
        }
        let mut status = self.watch(&call.team, held).map_err(|error| {
            // The first submission is kept and not queued yet.
            Error::new(Kind::Unreachable, error.message)
        })?;
        if request.kind != job::Kind::Interactive {
            return Ok(status.borrow().clone());
        }
        let last = self.final_status(&mut status, call.remaining).await;
        let late = || Error::new(Kind::OutcomeUnknown, "the first submission has not ended");
        outcome(last.ok_or_else(late)?)
    }

    /// Ends the wait of an interactive caller, and says whether the work ran.
    async fn give_up(&self, id: &id::Job) -> Error {
        let expired = Error::new(Kind::Expired, "no room came free before the deadline");
        let unknown = Error::new(Kind::OutcomeUnknown, "the work has started, not ended");
        let durable = {
            let mut inner = self.lock();
            let Some(job) = inner.jobs.get(id) else {
                return unknown;
            };
            let durable = is_durable(&job.request);
            if job.sent > 0 {
                return unknown;
            }
            let error = Some(expired.clone());
            inner.finish_job(id, State::Failed, error, self.services.timer.now());
            durable
        };
        if durable && self.close(id, State::Failed, Some(&expired)).await.is_err() {
            // A later owner may find the job accepted and run it.
            return unknown;
        }
        expired
    }

    /// Makes it durable that a job changes no more.
    pub(crate) async fn close(
        &self,
        id: &id::Job,
        state: State,
        error: Option<&Error>,
    ) -> Result<()> {
        let closed = Closed {
            job: id.clone(),
            state,
            error: error.cloned(),
            at: self.services.timer.now(),
        };
        self.services.journal.append(Record::Closed(closed)).await
    }

    fn accepted(&self, call: &Call, request: &Request) -> Accepted {
        let at = self.services.timer.now();
        let stated = request.deadline.map(|wait| at.after(wait));
        let patience = (request.kind == job::Kind::Interactive).then(|| at.after(call.remaining));
        Accepted {
            job: self.next_job(),
            team: call.team.clone(),
            at,
            request_id: call.request_id.clone(),
            deadline: stated.into_iter().chain(patience).min(),
            request: request.clone(),
        }
    }

    /// Refuses a job whose tasks would wait in vain.
    fn check_load(&self, accepted: &Accepted) -> Result<()> {
        let inner = self.lock();
        let admitted = inner
            .scheduler
            .admit(accepted.request.kind, accepted.deadline, accepted.at);
        admitted.map_err(|refusal| {
            let message = "too much of this kind waits here already";
            Error::new(Kind::Overloaded, message).with_retry_after(refusal.retry_after)
        })
    }

    fn next_job(&self) -> id::Job {
        let mut inner = self.lock();
        inner.next_job += 1;
        id::Job {
            shard: self.ownership.shard.clone(),
            epoch: self.ownership.epoch,
            number: inner.next_job,
        }
    }

    /// Queues the tasks of a job that was accepted.
    fn admit(&self, accepted: Accepted) -> watch::Receiver<Status> {
        let mut inner = self.lock();
        for task in tasks_of(&accepted) {
            inner.scheduler.submit(task);
        }
        inner.add_job(accepted)
    }

    fn watch(&self, team: &Name, id: &id::Job) -> Result<watch::Receiver<Status>> {
        let inner = self.lock();
        let Some(job) = inner.jobs.get(id) else {
            return Err(self.missing(&inner, id));
        };
        if job.team != *team {
            return Err(Error::new(Kind::Forbidden, "the job is another team's"));
        }
        Ok(job.status.subscribe())
    }

    fn missing(&self, inner: &Inner, id: &id::Job) -> Error {
        if inner.phase == Phase::Replaying && id.epoch < self.ownership.epoch {
            return Error::new(Kind::Unreachable, "the shard is being taken over");
        }
        Error::new(Kind::NotFound, format!("there is no job {id}"))
    }

    async fn final_status(
        &self,
        status: &mut watch::Receiver<Status>,
        limit: Duration,
    ) -> Option<Status> {
        let wait = status.wait_for(|status| status.state.is_final());
        let last = self.services.timer.timeout(limit, wait).await?;
        last.ok().map(|status| status.clone())
    }

    async fn cancel(self: &Arc<Self>, call: &Call, id: &id::Job) -> Result<Status> {
        let status = self.watch(&call.team, id)?;
        if !status.borrow().state.is_final() {
            let kept = tokio::spawn(Arc::clone(self).close_cancelled(id.clone()));
            let kept = self.services.timer.timeout(call.remaining, kept).await;
            kept.ok_or_else(in_doubt)?.map_err(ended)??;
        }
        let last = status.borrow().clone();
        Ok(last)
    }

    async fn close_cancelled(self: Arc<Self>, id: id::Job) -> Result<()> {
        self.close(&id, State::Cancelled, None).await?;
        let now = self.services.timer.now();
        let stops = self.lock().cancel(&id, now);
        self.wake.notify_one();
        for placed in stops {
            let owner = Arc::clone(&self);
            tokio::spawn(async move { owner.stop(&placed.attempt, &placed.worker).await });
        }
        Ok(())
    }
}

/// What became of a submission.
enum Accept {
    /// The job was queued.
    New(watch::Receiver<Status>),
    /// An earlier submission with the same idempotency key has made this job.
    Held(id::Job),
}

fn in_doubt() -> Error {
    Error::new(Kind::WriteUnknown, "the journal is slow")
}

fn ended(error: JoinError) -> Error {
    Error::new(Kind::Internal, error.to_string())
}

/// Counts a call while it is being answered.
struct InFlight<'a>(&'a watch::Sender<usize>);

impl<'a> InFlight<'a> {
    fn new(calls: &'a watch::Sender<usize>) -> Self {
        calls.send_modify(|calls| *calls += 1);
        Self(calls)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.send_modify(|calls| *calls -= 1);
    }
}

/// Answers an interactive caller.
fn outcome(status: Status) -> Result<Status> {
    match status.error.clone() {
        Some(error) => Err(error),
        None => Ok(status),
    }
}
