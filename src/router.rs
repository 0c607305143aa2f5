//! Brings a caller's request to the owner of a shard.

use std::time::Duration;

use basilbridge_callers as callers;
use basilbridge_common::{
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
        Name,
        Shard, //
    },
    job::{
        Kind,
        Request,
        Status, //
    },
};

use crate::node::Node;

/// How long to wait before the owner of a shard is looked up again.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(100);

/// Handles a request that came from a caller.
pub async fn route(node: &Node, request: callers::Request) -> Result<Status> {
    let team = authorize(node, &request)?;
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
        callers::Verb::Submit(job) => node.settings.team(&job.queue, key),
        _ => node.settings.team_of_key(key),
    }
}

/// Chooses a shard for new work: one of our own that could run it, else any that could.
fn choose(node: &Node, request: &Request) -> Result<Shard> {
    let own = node.owners();
    let mut own: Vec<_> = own.iter().filter(|owner| owner.possible(request)).collect();
    own.sort_by_key(|owner| owner.load());
    if let Some(owner) = own.first() {
        return Ok(owner.title.shard.clone());
    }
    let shards = node.fleet.shards();
    let possible = shards.iter().find(|(_, workers)| {
        workers
            .iter()
            .any(|worker| request.resources.fits(&worker.capacity))
    });
    if let Some((shard, _)) = possible {
        return Ok(shard.clone());
    }
    if shards.is_empty() {
        let error = Error::new(error::Kind::Unreachable, "no workers are known yet");
        return Err(error.retry_after(node.config.poll_interval));
    }
    let message = "no worker of the fleet is large enough for a task of this size";
    Err(Error::new(error::Kind::Impossible, message))
}

/// Hands a call to the owner of its shard, and looks the owner up again if it has moved.
async fn forward(node: &Node, call: Call) -> Result<Status> {
    let deadline = node.timer.now().after(call.remaining);
    loop {
        let remaining = deadline.since(node.timer.now());
        let attempt = Call {
            remaining,
            ..call.clone()
        };
        let error = match send(node, attempt).await {
            Err(error) if may_have_moved(&error) => error,
            result => return result,
        };
        if remaining <= LOOKUP_INTERVAL {
            return Err(error.retry_after(node.config.session_lease));
        }
        node.timer.sleep(LOOKUP_INTERVAL).await;
    }
}

fn may_have_moved(error: &Error) -> bool {
    matches!(error.kind, error::Kind::NotOwner | error::Kind::Unreachable)
        && error.kind.answer().ran == Ran::No
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
