//! Callers of a cell, and records of their calls.

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use basilbridge_common::{
    call::{
        Call,
        Verb, //
    },
    error::{
        Error,
        Kind as ErrorKind,
        Ran,
        Result, //
    },
    id::{
        Job,
        Name,
        Shard, //
    },
    job::{
        Kind,
        Request,
        State,
        Status, //
    },
    unit::{
        Millis,
        Resources, //
    },
};

use crate::cell::Cell;

const CALLERS: u64 = 10;
const KEYS: u64 = 6;
const TIMEOUT: Duration = Duration::from_secs(4);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time that a message is in transit; see `docs/design/at-most-once.md`.
pub(crate) const MESSAGE_LIFE: Duration = Duration::from_secs(10);

/// A submission, its result and the times of its call and answer.
#[derive(Debug, Clone)]
pub(crate) struct CallRecord {
    pub(crate) request: Request,
    pub(crate) result: Result<Status>,
    pub(crate) called: Millis,
    pub(crate) returned: Millis,
    /// The time at which the job's cancellation was confirmed, if it was.
    pub(crate) cancelled: Option<Millis>,
}

pub(crate) type CallLog = Arc<Mutex<Vec<CallRecord>>>;

/// Returns a repeatable request of one task that needs one core and 1024 MiB.
pub(crate) fn request(kind: Kind, payload: &str) -> Request {
    Request {
        queue: "checks".into(),
        kind,
        resources: Resources {
            cpu_millis: 1000,
            memory_mib: 1024,
            accelerators: 0,
        },
        count: 1,
        repeatable: true,
        idempotency_key: None,
        family: None,
        run_time: None,
        deadline: None,
        payload: payload.to_owned(),
    }
}

/// Returns a payload whose task runs for `run_ms` and outputs `text`, which identifies it.
pub(crate) fn payload(text: &str, run_ms: u64) -> String {
    format!(r#"{{"run_ms":{run_ms},"output":"{text}"}}"#)
}

/// Runs callers that submit and cancel jobs and repeat keys until `end`, and logs their calls.
pub(crate) async fn run_callers(cell: Cell, end: Millis, log: CallLog) {
    let callers =
        (0..CALLERS).map(|number| run_caller(cell.clone(), number, end, Arc::clone(&log)));
    futures_util::future::join_all(callers).await;
}

async fn run_caller(cell: Cell, number: u64, end: Millis, log: CallLog) {
    let mut serial = 0;
    while cell.timer.now() < end {
        serial += 1;
        let request = draw_request(&cell, &format!("{number}-{serial}"));
        let record = submit(&cell, request).await;
        let position = {
            let mut log = log.lock().unwrap();
            log.push(record.clone());
            log.len() - 1
        };
        if let Ok(status) = &record.result
            && record.request.kind != Kind::Interactive
            && cell.draw(4) == 0
        {
            let cancel = Verb::Cancel(status.id.clone());
            let answer = call(&cell, cancel, TIMEOUT).await;
            if answer.is_ok_and(|status| status.state == State::Cancelled) {
                log.lock().unwrap()[position].cancelled = Some(cell.timer.now());
            }
        }
        let pause = Duration::from_millis(cell.draw(400));
        cell.timer.sleep(pause).await;
    }
}

fn draw_request(cell: &Cell, text: &str) -> Request {
    let kind = match cell.draw(3) {
        0 => Kind::Batch,
        _ => Kind::Interactive,
    };
    let key = (cell.draw(4) == 0).then(|| cell.draw(KEYS));
    let repeatable = cell.draw(2) == 0;
    let run_ms = match kind {
        Kind::Batch => cell.draw(8000),
        _ => cell.draw(1500),
    };
    match key {
        // A request that repeats a key is otherwise equal to the first one.
        Some(key) => Request {
            idempotency_key: Some(Name::from(format!("key-{key}"))),
            repeatable: key % 2 == 0,
            ..request(Kind::Batch, &payload(&format!("key-{key}"), 40 * key))
        },
        None => Request {
            repeatable,
            ..request(kind, &payload(text, run_ms))
        },
    }
}

pub(crate) async fn submit(cell: &Cell, request: Request) -> CallRecord {
    let called = cell.timer.now();
    let shard = Shard {
        data_centre: "local".into(),
        number: cell.draw(2) as u32,
    };
    let verb = Verb::Submit(shard, Box::new(request.clone()));
    let result = call(cell, verb, TIMEOUT).await;
    CallRecord {
        request,
        result,
        called,
        returned: cell.timer.now(),
        cancelled: None,
    }
}

/// Sends a call to the owner that a VM knows of, as the router does.
///
/// Repeats it until `limit` while the shard may have moved and the call is known not to have run.
pub(crate) async fn call(cell: &Cell, verb: Verb, limit: Duration) -> Result<Status> {
    let end = cell.timer.now().after(limit);
    loop {
        let remaining = end.since(cell.timer.now());
        let error = match send(cell, &verb, remaining).await {
            Err(error) if may_have_moved(&error) => error,
            result => return result,
        };
        if remaining <= RETRY_INTERVAL {
            return Err(error);
        }
        cell.timer.sleep(RETRY_INTERVAL).await;
    }
}

/// Returns whether a call that did not run may succeed at another owner.
fn may_have_moved(error: &Error) -> bool {
    matches!(error.kind, ErrorKind::NotOwner | ErrorKind::Unreachable)
        && error.kind.properties().ran == Ran::No
}

/// Sends a call once, through a VM drawn at random.
async fn send(cell: &Cell, verb: &Verb, remaining: Duration) -> Result<Status> {
    let unreachable = || Error::new(ErrorKind::Unreachable, "no owner answers");
    let addresses = cell.addresses();
    if addresses.is_empty() {
        return Err(unreachable());
    }
    let entry = addresses[cell.draw(addresses.len() as u64) as usize];
    let node = cell.node(entry).ok_or_else(unreachable)?;
    let node = if node.owner(verb.shard()).is_some() {
        node
    } else {
        let owner = node.directory.find(verb.shard()).ok_or_else(unreachable)?;
        cell.node(owner.address).ok_or_else(unreachable)?
    };
    let call = Call {
        request_id: "test".into(),
        team: "workshop".into(),
        remaining,
        verb: verb.clone(),
    };
    let lost = || Error::new(ErrorKind::OutcomeUnknown, "no answer came");
    let answer = node.handle_forwarded(call);
    let limit = remaining + RETRY_INTERVAL;
    let answer = cell.timer.timeout(limit, answer).await;
    answer.ok_or_else(lost)?
}

/// Polls a job's status until it is final or `limit` is over, and returns the last result.
pub(crate) async fn final_state(cell: &Cell, job: &Job, limit: Duration) -> Result<Status> {
    let end = cell.timer.now().after(limit);
    loop {
        let result = call(cell, Verb::Status(job.clone()), TIMEOUT).await;
        let last = matches!(&result, Ok(status) if status.state.is_final());
        if last || cell.timer.now() >= end {
            return result;
        }
        cell.timer.sleep(RETRY_INTERVAL).await;
    }
}
