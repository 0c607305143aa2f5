//! Routes callers' requests to the owners of shards.

use std::time::Duration;

use basilbridge_callers as callers;
use basilbridge_common::{
    backoff::Backoff,
    call::{
        Call,
        Verb, //
    },
    error::{
        self,
        Error,
        Ran,
        Result, //
    },
    id::{
        Epoch,
        Name,
        Shard, //
    },
    job::{
        Kind,
        Request,
        Status, //
    },
};

use crate::{
    admission::Ticket,
    directory,
    node::Node, //
};

/// The interval between lookups of the owner of a shard after a failed call.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(50);

/// The first delay before a call is sent to the same owner again.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);

/// The maximum delay before a call is sent to the same owner again.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The maximum number of times that a submission which an owner does not accept goes to another
/// shard without delay.
const MAX_REROUTES: u32 = 2;

/// Handles a request from a caller: authorizes and admits it, chooses a shard for a submission, and
/// forwards the call to the owner of the shard.
pub async fn route(node: &Node, request: callers::Request) -> Result<Status> {
    let team = authorize(node, &request)?;
    let _ticket = admit(node, &request, &team)?;
    let verb = match request.verb {
        callers::Verb::Submit(job) => {
            let shard = choose(node, &job)?;
            Verb::Submit(shard, job)
        }
        callers::Verb::Status(job) => Verb::Status(job),
        callers::Verb::Wait(job) => Verb::Wait(job),
        callers::Verb::Cancel(job) => Verb::Cancel(job),
    };
    let call = Call {
        request_id: request.request_id,
        team,
        remaining: request.remaining.unwrap_or(node.config.default_wait),
        verb,
    };
    let status = forward(node, call.clone()).await?;
    match follow_up(&call, &status) {
        Some(verb) => forward(node, Call { verb, ..call }).await,
        None => Ok(status),
    }
}

/// Returns the call that gets the result of a repeated submission whose job is in another shard.
fn follow_up(call: &Call, status: &Status) -> Option<Verb> {
    let Verb::Submit(shard, request) = &call.verb else {
        return None;
    };
    if status.id.shard == *shard {
        return None;
    }
    let job = status.id.clone();
    Some(match request.kind {
        Kind::Interactive => Verb::Wait(job),
        _ => Verb::Status(job),
    })
}

/// Returns the team that a request counts for, or an error if its key does not permit the request.
fn authorize(node: &Node, request: &callers::Request) -> Result<Name> {
    let key = request.key.as_deref();
    match &request.verb {
        callers::Verb::Submit(job) => node.configuration.team(&job.queue, key),
        _ => node.configuration.team_of_key(key),
    }
}

/// Admits a request, or returns an error if too many are in flight. Status and cancel requests are
/// short and always admitted.
fn admit(node: &Node, request: &callers::Request, team: &Name) -> Result<Option<Ticket>> {
    let configuration = node.configuration.current();
    let share = configuration.team(team).map_or(1, |team| team.share);
    match &request.verb {
        callers::Verb::Submit(job) if request.key.is_none() => {
            // Submissions without a key must not use up the capacity of the queue's team.
            let queue: Name = format!("open queue {}", job.queue).into();
            node.submissions.admit(&queue, 1, job.kind).map(Some)
        }
        callers::Verb::Submit(job) => node.submissions.admit(team, share, job.kind).map(Some),
        callers::Verb::Wait(_) => {
            let ticket = node.waits.admit(team, share, Kind::Interactive);
            ticket.map(Some)
        }
        callers::Verb::Status(_) | callers::Verb::Cancel(_) => Ok(None),
    }
}

/// Chooses a shard for a submission among those with a worker large enough for its tasks.
fn choose(node: &Node, request: &Request) -> Result<Shard> {
    let Some(possible) = node.fleet.shards_that_fit(&request.resources) else {
        let error = Error::new(error::Kind::Unreachable, "no workers are known yet");
        return Err(error.with_retry_after(node.config.poll_interval));
    };
    // Work that a shard of an evacuated data centre accepts waits until the evacuation ends.
    let evacuated = &node.configuration.current().evacuated;
    let is_in_use = |shard: &Shard| !evacuated.contains(&shard.data_centre);
    let in_use: Vec<_> = possible.iter().filter(|s| is_in_use(s)).cloned().collect();
    let possible = if in_use.is_empty() { possible } else { in_use };
    // A shard without an owner accepts no calls yet and is chosen only if no shard has an owner.
    let is_owned = |shard: &Shard| node.directory.find(shard).is_some();
    let owned: Vec<_> = possible.iter().filter(|s| is_owned(s)).cloned().collect();
    let candidates = if owned.is_empty() { possible } else { owned };
    let now = node.timer.now();
    let count = u64::from(request.count);
    let chosen = node
        .cluster
        .choose(&candidates, &request.resources, count, now);
    chosen.ok_or_else(|| {
        let message = "no worker is large enough for a task of this size";
        Error::new(error::Kind::Impossible, message)
    })
}

/// Sends a call to the owner of its shard. If the call was not carried out, sends it again, to the
/// next owner or to another shard, until the call's time is over.
async fn forward(node: &Node, mut call: Call) -> Result<Status> {
    let mut reroutes = 0;
    let deadline = node.timer.now().after(call.remaining);
    let mut backoff = Backoff::new(FIRST_BACKOFF, MAX_BACKOFF);
    node.retries.record_call(&call.team);
    loop {
        let owner = owner_of(node, call.verb.shard());
        let attempt = Call {
            remaining: deadline.since(node.timer.now()),
            ..call.clone()
        };
        let error = match send(node, attempt).await {
            Err(error) if is_safe_to_retry(&error) => error,
            result => return result,
        };
        if reroutes < MAX_REROUTES && reroute(node, &mut call) {
            reroutes += 1;
            continue;
        }
        backoff.record_failure(node.timer.now(), rand::random());
        while owner_of(node, call.verb.shard()) == owner {
            let now = node.timer.now();
            if deadline.since(now) <= LOOKUP_INTERVAL {
                return Err(error.with_retry_after(node.config.session_lease));
            }
            if backoff.remaining(now).is_none() && node.retries.take(&call.team) {
                break;
            }
            node.timer.sleep(LOOKUP_INTERVAL).await;
        }
    }
}

/// Returns where a call for a shard would go: the epoch of the owner on this VM, if there is one,
/// and the owner in the directory.
fn owner_of(node: &Node, shard: &Shard) -> (Option<Epoch>, Option<directory::Entry>) {
    let own = node.owner(shard).map(|owner| owner.ownership.epoch);
    (own, node.directory.find(shard))
}

/// Chooses another shard for a submission that did not run, and returns whether the shard changed.
fn reroute(node: &Node, call: &mut Call) -> bool {
    let Verb::Submit(shard, request) = &mut call.verb else {
        return false;
    };
    match choose(node, request) {
        Ok(chosen) if chosen != *shard && node.retries.take(&call.team) => {
            *shard = chosen;
            true
        }
        _ => false,
    }
}

/// Returns whether an error shows that the call was not carried out, because the receiver does not
/// own the shard or was not reached.
fn is_safe_to_retry(error: &Error) -> bool {
    matches!(error.kind, error::Kind::NotOwner | error::Kind::Unreachable)
        && error.kind.properties().ran == Ran::No
}

/// Sends a call to the owner of its shard, on this VM or another.
async fn send(node: &Node, call: Call) -> Result<Status> {
    if let Some(owner) = node.owner(call.verb.shard()) {
        return owner.handle(call).await;
    }
    let shard = call.verb.shard();
    let entry = node.directory.find(shard).ok_or_else(|| {
        Error::new(
            error::Kind::Unreachable,
            format!("shard {shard} has no owner yet"),
        )
    })?;
    node.pool.forward(entry.address, &call).await
}
