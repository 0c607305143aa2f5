//! Callers of a cell, and what they were told.

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
const PATIENCE: Duration = Duration::from_secs(4);
const LOOKUP: Duration = Duration::from_millis(100);

/// The longest that a message may be under way; see `docs/design/at-most-once.md`.
pub(crate) const MESSAGE_LIFE: Duration = Duration::from_secs(10);

/// What a caller was told about one submission.
#[derive(Debug, Clone)]
pub(crate) struct Told {
    pub(crate) request: Request,
    pub(crate) result: Result<Status>,
    pub(crate) called: Millis,
    pub(crate) returned: Millis,
    /// When a cancellation was answered, if one was.
    pub(crate) cancelled: Option<Millis>,
}

pub(crate) type Log = Arc<Mutex<Vec<Told>>>;

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

/// Makes a payload that runs so long and returns a text that no other returns.
pub(crate) fn payload(text: &str, run_ms: u64) -> String {
    format!(r#"{{"run_ms":{run_ms},"output":"{text}"}}"#)
}

/// Submits, cancels and repeats until the time is over.
pub(crate) async fn call_until(cell: Cell, end: Millis, log: Log) {
    let callers = (0..CALLERS).map(|number| caller(cell.clone(), number, end, Arc::clone(&log)));
    futures_util::future::join_all(callers).await;
}

async fn caller(cell: Cell, number: u64, end: Millis, log: Log) {
    let mut serial = 0;
    while cell.timer.now() < end {
        serial += 1;
        let request = draw_request(&cell, &format!("{number}-{serial}"));
        let told = submit(&cell, request).await;
        let position = {
            let mut log = log.lock().unwrap();
            log.push(told.clone());
            log.len() - 1
        };
        if let Ok(status) = &told.result
            && told.request.kind != Kind::Interactive
            && cell.draw(4) == 0
        {
            let cancel = Verb::Cancel(status.id.clone());
            let answer = call(&cell, cancel, PATIENCE).await;
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
        // Whoever repeats a key repeats the whole request.
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

pub(crate) async fn submit(cell: &Cell, request: Request) -> Told {
    let called = cell.timer.now();
    let shard = Shard {
        data_centre: "local".into(),
        number: cell.draw(2) as u32,
    };
    let verb = Verb::Submit(shard, Box::new(request.clone()));
    let result = call(cell, verb, PATIENCE).await;
    Told {
        request,
        result,
        called,
        returned: cell.timer.now(),
        cancelled: None,
    }
}

/// Brings a call to the owner that some VM knows of, as the router does.
pub(crate) async fn call(cell: &Cell, verb: Verb, limit: Duration) -> Result<Status> {
    let end = cell.timer.now().after(limit);
    loop {
        let remaining = end.since(cell.timer.now());
        let error = match send(cell, &verb, remaining).await {
            Err(error) if may_have_moved(&error) => error,
            result => return result,
        };
        if remaining <= LOOKUP {
            return Err(error);
        }
        cell.timer.sleep(LOOKUP).await;
    }
}

fn may_have_moved(error: &Error) -> bool {
    matches!(error.kind, ErrorKind::NotOwner | ErrorKind::Unreachable)
        && error.kind.properties().ran == Ran::No
}

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
    let limit = remaining + LOOKUP;
    let answer = cell.timer.timeout(limit, answer).await;
    answer.ok_or_else(lost)?
}

/// Asks for the end of a job until it has one.
pub(crate) async fn final_state(cell: &Cell, job: &Job, limit: Duration) -> Result<Status> {
    let end = cell.timer.now().after(limit);
    loop {
        let result = call(cell, Verb::Status(job.clone()), PATIENCE).await;
        let last = matches!(&result, Ok(status) if status.state.is_final());
        if last || cell.timer.now() >= end {
            return result;
        }
        cell.timer.sleep(LOOKUP).await;
    }
}
