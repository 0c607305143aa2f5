//! Handles the calls for the jobs of a shard.
//!
//! A job is written to the journal before its caller is told that it was accepted, and a job that
//! expires is closed there before its caller is told that it did not run. See
//! `docs/design/at-most-once.md`.

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
    /// Handles a call. If the shard is released in the meantime, returns an error that says whether
    /// the call may have had an effect.
    pub async fn handle(self: &Arc<Self>, call: Call) -> Result<Status> {
        let is_mutation = matches!(call.verb, Verb::Submit(..) | Verb::Cancel(_));
        let _in_flight = is_mutation.then(|| InFlight::new(&self.in_flight));
        tokio::select! {
            biased;
            result = self.answer(call) => result,
            () = self.released.wait_until(true) => Err(self.moved_error(is_mutation)),
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

    /// Accepts and queues a job. Waits for the result of an interactive one.
    async fn submit(self: &Arc<Self>, call: &Call, request: &Request) -> Result<Status> {
        if request.count == 0 {
            return Err(Error::new(
                Kind::Malformed,
                "a job must have at least one task",
            ));
        }
        if !self.can_run(request) {
            let message = "no worker is large enough for a task of this size";
            return Err(Error::new(Kind::Impossible, message));
        }
        if *self.draining.borrow() {
            return Err(Error::new(Kind::NotOwner, "the shard is being handed over"));
        }
        let accepted = self.new_accepted(call, request);
        self.check_load(&accepted)?;
        let id = accepted.job.clone();
        // The job is accepted in a task of its own, because a caller that disconnects must not
        // leave a job that is in the journal and not queued.
        let call_task = tokio::spawn(Arc::clone(self).accept(accepted));
        let result = self.services.timer.timeout(call.remaining, call_task).await;
        let mut status = match result.ok_or_else(unknown_write)?.map_err(join_error)?? {
            Accept::Queued(status) => status,
            Accept::Duplicate(job) => return self.answer_duplicate(call, request, &job).await,
        };
        if request.kind != job::Kind::Interactive {
            return Ok(status.borrow().clone());
        }
        match self.final_status(&mut status, call.remaining).await {
            Some(status) => result_of(status),
            None => Err(self.expire(&id).await),
        }
    }

    /// Writes a job to the journal if it is durable, and queues it, unless its idempotency key
    /// belongs to another job.
    async fn accept(self: Arc<Self>, accepted: Accepted) -> Result<Accept> {
        if is_durable(&accepted.request)
            && let Some(first_job) = self.services.journal.accept(accepted.clone()).await?
        {
            return Ok(Accept::Duplicate(first_job));
        }
        let status = self.admit(accepted);
        self.wake.notify_one();
        Ok(Accept::Queued(status))
    }

    /// Answers a submission whose idempotency key belongs to the job of an earlier submission.
    async fn answer_duplicate(
        &self,
        call: &Call,
        request: &Request,
        first_job: &id::Job,
    ) -> Result<Status> {
        if first_job.shard != self.ownership.shard {
            // The router gets the status from the job's own shard.
            return Ok(queued_status(first_job.clone(), call.team.clone()));
        }
        let mut status = self.watch(&call.team, first_job).map_err(|error| {
            // The job is in the journal and not queued yet.
            Error::new(Kind::Unreachable, error.message)
        })?;
        if request.kind != job::Kind::Interactive {
            return Ok(status.borrow().clone());
        }
        let last = self.final_status(&mut status, call.remaining).await;
        let timed_out = || {
            Error::new(
                Kind::OutcomeUnknown,
                "the job of the first submission with this key has not ended",
            )
        };
        result_of(last.ok_or_else(timed_out)?)
    }

    /// Ends the wait of an interactive caller. Closes the job if no attempt was sent, and returns
    /// the error for the caller, which says whether the job may have run.
    async fn expire(&self, id: &id::Job) -> Error {
        let expired = Error::new(
            Kind::Expired,
            "no worker had free capacity before the deadline",
        );
        let unknown = Error::new(
            Kind::OutcomeUnknown,
            "the job was started and has not ended",
        );
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
            // The next owner may find the job in the journal and run it.
            return unknown;
        }
        expired
    }

    /// Records in the journal that a job has reached a final state.
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

    /// Returns the journal record of a new job. Its deadline is the earlier of the requested one
    /// and, for an interactive job, the end of the caller's wait.
    fn new_accepted(&self, call: &Call, request: &Request) -> Accepted {
        let at = self.services.timer.now();
        let requested_deadline = request.deadline.map(|wait| at.after(wait));
        let wait_end = (request.kind == job::Kind::Interactive).then(|| at.after(call.remaining));
        Accepted {
            job: self.next_job(),
            team: call.team.clone(),
            at,
            request_id: call.request_id.clone(),
            deadline: requested_deadline.into_iter().chain(wait_end).min(),
            request: request.clone(),
        }
    }

    /// Returns an [`Overloaded`](Kind::Overloaded) error if too many tasks of the job's kind wait,
    /// or if its tasks are not expected to start before its deadline.
    fn check_load(&self, accepted: &Accepted) -> Result<()> {
        let inner = self.lock();
        let admitted = inner
            .scheduler
            .admit(accepted.request.kind, accepted.deadline, accepted.at);
        admitted.map_err(|refusal| {
            let message = "too many tasks of this kind are waiting in the shard";
            Error::new(Kind::Overloaded, message).with_retry_after(refusal.retry_after)
        })
    }

    /// Returns a new job id.
    fn next_job(&self) -> id::Job {
        let mut inner = self.lock();
        inner.next_job += 1;
        id::Job {
            shard: self.ownership.shard.clone(),
            epoch: self.ownership.epoch,
            number: inner.next_job,
        }
    }

    /// Queues the tasks of an accepted job and returns its status.
    fn admit(&self, accepted: Accepted) -> watch::Receiver<Status> {
        let mut inner = self.lock();
        for task in tasks_of(&accepted) {
            inner.scheduler.submit(task);
        }
        inner.add_job(accepted)
    }

    /// Returns the status of a job, or an error if it is unknown or belongs to another team.
    fn watch(&self, team: &Name, id: &id::Job) -> Result<watch::Receiver<Status>> {
        let inner = self.lock();
        let Some(job) = inner.jobs.get(id) else {
            return Err(self.unknown_job_error(&inner, id));
        };
        if job.team != *team {
            return Err(Error::new(
                Kind::Forbidden,
                "the job belongs to another team",
            ));
        }
        Ok(job.status.subscribe())
    }

    /// Returns the error for an unknown job. During the replay of the journal, a job of an earlier
    /// owner may still turn up, so the caller should retry.
    fn unknown_job_error(&self, inner: &Inner, id: &id::Job) -> Error {
        if inner.phase == Phase::Replaying && id.epoch < self.ownership.epoch {
            return Error::new(Kind::Unreachable, "the shard is being taken over");
        }
        Error::new(Kind::NotFound, format!("job {id} does not exist"))
    }

    /// Waits at most `limit` for the final status of a job.
    async fn final_status(
        &self,
        status: &mut watch::Receiver<Status>,
        limit: Duration,
    ) -> Option<Status> {
        let wait = status.wait_for(|status| status.state.is_final());
        let last = self.services.timer.timeout(limit, wait).await?;
        last.ok().map(|status| status.clone())
    }

    /// Cancels a job unless it has ended, and returns its status.
    async fn cancel(self: &Arc<Self>, call: &Call, id: &id::Job) -> Result<Status> {
        let status = self.watch(&call.team, id)?;
        if !status.borrow().state.is_final() {
            let call_task = tokio::spawn(Arc::clone(self).cancel_durably(id.clone()));
            let result = self.services.timer.timeout(call.remaining, call_task).await;
            result.ok_or_else(unknown_write)?.map_err(join_error)??;
        }
        let last = status.borrow().clone();
        Ok(last)
    }

    /// Records in the journal that a job is cancelled, and then stops its tasks.
    async fn cancel_durably(self: Arc<Self>, id: id::Job) -> Result<()> {
        self.close(&id, State::Cancelled, None).await?;
        let now = self.services.timer.now();
        let stops = self.lock().cancel(&id, now);
        self.wake.notify_one();
        for placement in stops {
            let owner = Arc::clone(&self);
            tokio::spawn(async move { owner.stop(&placement.attempt, &placement.worker).await });
        }
        Ok(())
    }
}

/// The outcome of a submission.
enum Accept {
    /// The job was queued.
    Queued(watch::Receiver<Status>),
    /// An earlier submission with the same idempotency key created this job.
    Duplicate(id::Job),
}

/// Returns the error for a journal write that has not ended in time.
fn unknown_write() -> Error {
    Error::new(
        Kind::WriteUnknown,
        "the journal did not confirm the write in time",
    )
}

fn join_error(error: JoinError) -> Error {
    Error::new(Kind::Internal, error.to_string())
}

/// Counts a call as in flight until it is dropped.
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

/// Returns the result of an interactive job that has ended.
fn result_of(status: Status) -> Result<Status> {
    match status.error.clone() {
        Some(error) => Err(error),
        None => Ok(status),
    }
}
