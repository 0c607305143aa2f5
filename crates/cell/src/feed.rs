//! Reads tables of the store and follows their changes by long polling.

use std::time::Duration;

use basilbridge_common::{
    error::Result,
    id::{
        Name,
        Version, //
    },
    unit::Millis,
};
use basilbridge_platform::table::Row;

use crate::{
    clients::{
        Page,
        Range, //
    },
    node::Node,
};

/// How long the store may hold a long poll. A dead connection is noticed after this time and the
/// store's timeout, which together stay within the 2 s in which a configuration has to be in force.
const LONG_POLL_WAIT: Duration = Duration::from_millis(1000);

/// The delay before a failed call is repeated.
const RETRY: Duration = Duration::from_millis(150);

/// How often a table is read.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Rate {
    /// The minimum time between two calls after a change, so that many rows share a response.
    min_interval: Duration,
    /// The longest pause between two complete reads.
    max_pause: Duration,
}

/// The rate for small tables whose changes have to be known at once.
pub(crate) const PROMPT: Rate = Rate {
    min_interval: Duration::ZERO,
    max_pause: Duration::from_millis(250),
};

/// The rate for the table of workers. A leaving worker has to be known within 2 s.
pub(crate) const WORKERS: Rate = Rate {
    min_interval: Duration::from_millis(250),
    max_pause: Duration::from_millis(800),
};

/// The rate for the table of jobs. The owner is also notified of each job.
pub(crate) const JOBS: Rate = Rate {
    min_interval: Duration::from_millis(250),
    max_pause: Duration::from_secs(5),
};

/// How many times as long as the last complete read took, a table is not read completely again. A
/// store that keeps dropping its history would else have its largest tables read all the time.
const READ_PAUSE_FACTOR: u32 = 10;

/// An update of a followed table.
pub(crate) enum Update {
    /// The complete contents of the table.
    All(Contents),
    /// The rows that have changed; one without a value was removed.
    Changed(Contents),
}

/// Rows of a table.
pub(crate) struct Contents {
    pub(crate) rows: Vec<Row>,
    /// When the call was sent that told them.
    pub(crate) asked_at: Millis,
    /// The version up to which all rows and changes of the table have been passed on. Parts are read
    /// at different versions, so rows of later ones may be among the rows, and others missing.
    pub(crate) complete: Version,
}

/// Reads all rows of `tables` and returns them with the version after which to follow changes.
pub(crate) async fn read_all(node: &Node, tables: &[Name]) -> Result<(Vec<Row>, Version)> {
    let parts = tables.iter().map(|table| read_part(node, table));
    let parts = futures_util::future::try_join_all(parts).await?;
    let version = parts.iter().map(|(_, version)| *version).min();
    let rows = parts.into_iter().flat_map(|(rows, _)| rows).collect();
    Ok((rows, version.unwrap_or_default()))
}

async fn read_part(node: &Node, table: &Name) -> Result<(Vec<Row>, Version)> {
    let mut rows: Vec<Row> = Vec::new();
    let mut first = None;
    loop {
        let from = rows.last().map(|row| format!("{}\0", row.key));
        let range = Range {
            table: table.clone(),
            from,
            to: None,
        };
        let Page {
            version,
            more,
            rows: next,
            ..
        } = node.read(range).await?;
        let version = *first.get_or_insert(version);
        let ended = !more || next.is_empty();
        rows.extend(next);
        if ended {
            return Ok((rows, version));
        }
    }
}

/// Follows `table` until the future is dropped, and passes each update to `apply`.
///
/// Starts after the version `start` if the caller has read the table, and else reads it first. One
/// feed covers all `parts` of the table. If the store no longer has the history after the last
/// version, all rows are read again, so that a missing row is not mistaken for a removal. After an
/// update with changes, waits for the interval of `rate` before the next call.
pub(crate) async fn follow(
    node: &Node,
    table: &Name,
    parts: &[Name],
    start: Option<Version>,
    rate: Rate,
    mut apply: impl FnMut(Update),
) {
    let mut version_read = start;
    let mut next_read_at = Millis(0);
    loop {
        let begun = node.timer.now();
        let Some(after) = version_read else {
            if begun < next_read_at {
                node.timer.sleep(next_read_at.since(begun)).await;
                continue;
            }
            let known = node.latest_version();
            match read_all(node, parts).await {
                // Applying rows older than what this VM has seen would revert changes. What it sees
                // while it reads does not count: a busy store would never be read to the end.
                Ok((_, version)) if version < known => {}
                Ok((rows, version)) => {
                    let complete = version;
                    apply(Update::All(Contents {
                        rows,
                        asked_at: begun,
                        complete,
                    }));
                    node.record_feed_answer(table, begun);
                    version_read = Some(version);
                    let read_at = node.timer.now();
                    let pause = read_at.since(begun) * READ_PAUSE_FACTOR;
                    next_read_at = read_at.after(pause.clamp(rate.min_interval, rate.max_pause));
                    continue;
                }
                Err(error) => node.record_store_failure(&error),
            }
            node.timer.sleep(RETRY).await;
            continue;
        };
        let answer = tokio::select! {
            answer = node.watch(table.clone(), after, LONG_POLL_WAIT) => answer,
            // A poll that was sent while the store was silent may get no answer at all.
            () = node.store_return() => continue,
        };
        match answer {
            Ok(Some(page)) => {
                if page.version < after {
                    node.timer.sleep(RETRY).await;
                    continue;
                }
                version_read = Some(page.version);
                let changed = !page.rows.is_empty();
                // Without rows it still says up to which version there are none.
                apply(Update::Changed(Contents {
                    rows: page.rows,
                    asked_at: begun,
                    complete: page.version,
                }));
                node.record_feed_answer(table, begun);
                if changed && !rate.min_interval.is_zero() {
                    node.timer.sleep(rate.min_interval).await;
                }
            }
            Ok(None) => {
                slog::info!(node.log, "table history expired"; "table" => %table,
                    "after" => after.0);
                version_read = None;
            }
            Err(error) => {
                node.record_store_failure(&error);
                node.timer.sleep(RETRY).await;
            }
        }
    }
}
