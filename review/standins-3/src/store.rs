//! The platform's store: tables of rows, with the limits of the users' pages.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use base64::{
    Engine as _,
    engine::general_purpose::STANDARD, //
};
use serde_json::{
    Value,
    json, //
};
use tokio::{
    sync::Notify,
    time::{
        sleep,
        sleep_until, //
    },
};

use crate::http::{
    Handler,
    Request,
    Response,
    Server, //
};

/// The time to answer a call.
const LATENCY: Duration = Duration::from_millis(4);

/// `historyS`.
const HISTORY: Duration = Duration::from_secs(20);

/// "A call holds at most 100 entries and at most 1 MB."
const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1024 * 1024;

/// `rowBytes`: the longest value in base64.
const MAX_ROW_BYTES: usize = 65_536;

/// "At most 500 rows or 1 MB."
const MAX_ROWS: usize = 500;
const MAX_ANSWER_BYTES: usize = 1_000_000;

type RowKey = (String, String, String);

#[derive(Debug, Clone)]
struct Row {
    key: RowKey,
    version: u64,
    value: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    rows: BTreeMap<RowKey, Row>,
    history: Vec<(Instant, Row)>,
    compacted: u64,
    /// The VM that last wrote under a condition.
    last_writer: Option<usize>,
    /// Calls that were refused for their size, and the largest of them.
    refused: (u64, usize),
}

/// The store, shared by all VMs.
#[derive(Debug)]
pub(crate) struct Store {
    state: Mutex<State>,
    changed: Notify,
    started: Instant,
}

fn text(value: &Value, field: &str) -> String {
    value[field].as_str().unwrap_or_default().to_owned()
}

fn row_key(row: &Value) -> RowKey {
    (text(row, "table"), text(row, "part"), text(row, "key"))
}

fn to_wire(row: &Row) -> Value {
    let (table, part, key) = &row.key;
    match &row.value {
        Some(value) => {
            json!({"table": table, "part": part, "key": key, "ver": row.version, "value": value})
        }
        None => {
            json!({"table": table, "part": part, "key": key, "ver": row.version, "deleted": true})
        }
    }
}

impl State {
    fn put(&mut self, key: RowKey, value: Option<String>) {
        let row = Row {
            key: key.clone(),
            version: self.version,
            value,
        };
        match row.value {
            Some(_) => self.rows.insert(key, row.clone()),
            None => self.rows.remove(&key),
        };
        self.history.push((Instant::now(), row));
        let old = self.history.iter();
        let old = old.take_while(|(at, _)| at.elapsed() >= HISTORY).count();
        if let Some((_, last)) = old.checked_sub(1).map(|last| &self.history[last]) {
            self.compacted = last.version;
            self.history.drain(..old);
        }
    }
}

impl Store {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            changed: Notify::new(),
            started: Instant::now(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a row as operators and workers do; `None` removes it.
    pub(crate) fn write(&self, table: &str, key: &str, value: Option<&Value>) {
        let mut state = self.lock();
        state.version += 1;
        let value = value.map(|value| STANDARD.encode(value.to_string()));
        state.put((table.to_owned(), String::new(), key.to_owned()), value);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the VM that last wrote under a condition.
    pub(crate) fn last_writer(&self) -> Option<usize> {
        self.lock().last_writer
    }

    /// Returns how many calls were refused for their size, and the bytes of the largest of them.
    pub(crate) fn refused(&self) -> (u64, usize) {
        self.lock().refused
    }

    /// Serves the calls of a VM.
    pub(crate) fn serve(self: &Arc<Self>, vm: usize, address: SocketAddr) -> io::Result<Server> {
        let store = Arc::clone(self);
        let handler: Handler = Arc::new(move |request| {
            let store = Arc::clone(&store);
            Box::pin(async move {
                sleep(LATENCY).await;
                match request.path.as_str() {
                    "/rows-tx" => store.transact(vm, &request),
                    "/rows-get" => store.read(&request),
                    "/rows-feed" => store.feed(&request).await,
                    _ => (404, json!({})),
                }
            })
        });
        Server::start(address, handler)
    }

    fn transact(&self, vm: usize, request: &Request) -> Response {
        let list = |field: &str| request.body[field].as_array().cloned().unwrap_or_default();
        let (conditions, puts, removals) = (list("precondition"), list("puts"), list("remove"));
        let entries = conditions.len() + puts.len() + removals.len();
        let mut state = self.lock();
        let is_long = |row: &Value| text(row, "value").len() > MAX_ROW_BYTES;
        if request.body_bytes > MAX_CALL_BYTES
            || entries > MAX_ENTRIES
            || puts.iter().any(is_long)
            || request.body.is_null()
        {
            let (count, largest) = state.refused;
            state.refused = (count + 1, largest.max(request.body_bytes));
            return (413, json!({}));
        }
        let holds = conditions.iter().all(|row| {
            let found = state.rows.get(&row_key(row));
            found.map_or(0, |found| found.version) == row["ver"].as_u64().unwrap_or(0)
        });
        if !holds {
            let rows = conditions.iter().map(|row| {
                let key = row_key(row);
                let missing = Row {
                    key: key.clone(),
                    version: 0,
                    value: None,
                };
                to_wire(state.rows.get(&key).unwrap_or(&missing))
            });
            let rows: Vec<Value> = rows.collect();
            return (
                412,
                json!({"rows": rows, "ver": state.version, "nowMs": self.clock()}),
            );
        }
        state.version += 1;
        for row in &puts {
            state.put(row_key(row), Some(text(row, "value")));
        }
        for row in &removals {
            state.put(row_key(row), None);
        }
        if !conditions.is_empty() {
            state.last_writer = Some(vm);
        }
        let version = state.version;
        drop(state);
        self.changed.notify_waiters();
        (200, json!({"ver": version, "nowMs": self.clock()}))
    }

    fn read(&self, request: &Request) -> Response {
        let field = |name: &str| request.parameter(name).unwrap_or_default().to_owned();
        let (table, part, from) = (field("table"), field("part"), field("from"));
        let state = self.lock();
        let first = (table.clone(), part.clone(), from);
        let found = state.rows.range(first..);
        let found = found.take_while(|(key, _)| key.0 == table && key.1 == part);
        let (mut rows, mut bytes, mut truncated) = (Vec::new(), 0, false);
        for (key, row) in found {
            if request
                .parameter("to")
                .is_some_and(|to| key.2.as_str() >= to)
            {
                break;
            }
            bytes += row.value.as_ref().map_or(0, String::len) + 100;
            if rows.len() >= MAX_ROWS || (bytes > MAX_ANSWER_BYTES && !rows.is_empty()) {
                truncated = true;
                break;
            }
            rows.push(to_wire(row));
        }
        (
            200,
            json!({"rows": rows, "truncated": truncated, "ver": state.version,
                "nowMs": self.clock()}),
        )
    }

    async fn feed(&self, request: &Request) -> Response {
        let number = |name: &str| request.parameter(name).and_then(|text| text.parse().ok());
        let after: u64 = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let deadline = tokio::time::Instant::now() + wait;
        let table = request.parameter("table").unwrap_or_default();
        loop {
            let changed = self.changed.notified();
            {
                let state = self.lock();
                if after < state.compacted {
                    return (410, json!({}));
                }
                let new = state.history.iter().rev();
                let new = new.take_while(|(_, row)| row.version > after);
                let mut rows: Vec<Value> = new
                    .filter(|(_, row)| row.key.0 == table)
                    .map(|(_, row)| to_wire(row))
                    .collect();
                rows.reverse();
                if !rows.is_empty() || tokio::time::Instant::now() >= deadline {
                    let version = state.version;
                    return (
                        200,
                        json!({"rows": rows, "ver": version, "nowMs": self.clock()}),
                    );
                }
            }
            tokio::select! {
                () = changed => {}
                () = sleep_until(deadline) => {}
            }
        }
    }
}
