//! Brings a caller's request to the owner of a shard.

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

/// How long to wait before the owner of a shard is looked up again.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(50);

/// How long to wait before the same owner is asked again.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);

/// The longest such wait.
const LONGEST_BACKOFF: Duration = Duration::from_secs(2);

/// How often new work goes to another shard at once when an owner does not take it.
const MOST_MOVES: u32 = 2;

/// Handles a request that came from a caller.
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
    match first_of(&call, &status) {
        Some(verb) => forward(node, Call { verb, ..call }).await,
        None => Ok(status),
    }
}

/// Returns how to ask for a job of another shard that a repeated submission has found.
fn first_of(call: &Call, status: &Status) -> Option<Verb> {
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

fn authorize(node: &Node, request: &callers::Request) -> Result<Name> {
    let key = request.key.as_deref();
    match &request.verb {
        callers::Verb::Submit(job) => node.configuration.team(&job.queue, key),
        _ => node.configuration.team_of_key(key),
    }
}

/// Counts a request for as long as it is worked on; the short ones are not bounded.
fn admit(node: &Node, request: &callers::Request, team: &Name) -> Result<Option<Ticket>> {
    let configuration = node.configuration.current();
    let share = configuration.team(team).map_or(1, |team| team.share);
    match &request.verb {
        callers::Verb::Submit(job) if request.key.is_none() => {
            // What comes without a key must not take the room of the team that it counts for.
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

/// Chooses a shard for new work among those that could run it.
fn choose(node: &Node, request: &Request) -> Result<Shard> {
    let Some(possible) = node.fleet.possible(&request.resources) else {
        let error = Error::new(error::Kind::Unreachable, "no workers are known yet");
        return Err(error.with_retry_after(node.config.poll_interval));
    };
    // A shard without an owner takes nothing for now, so it is the last resort.
    let is_owned = |shard: &Shard| node.directory.find(shard).is_some();
    let owned: Vec<_> = possible.iter().filter(|s| is_owned(s)).cloned().collect();
    let candidates = if owned.is_empty() { possible } else { owned };
    let now = node.timer.now();
    let count = u64::from(request.count);
    let chosen = node
        .cluster
        .choose(&candidates, &request.resources, count, now);
    chosen.ok_or_else(|| {
        let message = "no worker of the fleet is large enough for a task of this size";
        Error::new(error::Kind::Impossible, message)
    })
}

/// Hands a call to the owner of its shard, and to the next owner if the shard has moved.
async fn forward(node: &Node, mut call: Call) -> Result<Status> {
    let mut moves = 0;
    let deadline = node.timer.now().after(call.remaining);
    let mut backoff = Backoff::new(FIRST_BACKOFF, LONGEST_BACKOFF);
    node.retries.record_call(&call.team);
    loop {
        let asked = owner_of(node, call.verb.shard());
        let attempt = Call {
            remaining: deadline.since(node.timer.now()),
            ..call.clone()
        };
        let error = match send(node, attempt).await {
            Err(error) if may_have_moved(&error) => error,
            result => return result,
        };
        if moves < MOST_MOVES && move_on(node, &mut call) {
            moves += 1;
            continue;
        }
        backoff.record_failure(node.timer.now(), rand::random());
        while owner_of(node, call.verb.shard()) == asked {
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

/// Returns whom a call for a shard would go to: this VM, if it owns the shard, or another.
fn owner_of(node: &Node, shard: &Shard) -> (Option<Epoch>, Option<directory::Entry>) {
    let own = node.owner(shard).map(|owner| owner.ownership.epoch);
    (own, node.directory.find(shard))
}

/// Chooses another shard for new work that provably did not run; says whether there is one.
fn move_on(node: &Node, call: &mut Call) -> bool {
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

fn may_have_moved(error: &Error) -> bool {
    matches!(error.kind, error::Kind::NotOwner | error::Kind::Unreachable)
        && error.kind.properties().ran == Ran::No
}

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
