//! Follows a table of the store.

use std::time::Duration;

use basilbridge_common::{
    error::Result,
    id::{
        Name,
        Version, //
    },
};
use basilbridge_platform::table::Row;

use crate::{
    clients::{
        Page,
        Range, //
    },
    node::Node,
};

/// How long the store may hold a feed back: a connection that has gone silent is noticed within
/// this and the store's time-out, inside the 2 s in which a configuration has to be in force.
const WAIT: Duration = Duration::from_millis(1000);

/// How long to wait after a call that failed.
const RETRY: Duration = Duration::from_millis(150);

/// The least time between two calls of a feed that may lag a little, so that the entries of many
/// workers share an answer; a leaving worker has to be known within 2 s.
pub(crate) const GATHER: Duration = Duration::from_millis(250);

/// What a feed tells.
pub(crate) enum News {
    /// All rows of the table, and none besides.
    All(Vec<Row>),
    /// Rows that have changed.
    Changed(Vec<Row>),
}

/// Reads all rows of `tables`; the version is that from which on changes are to be followed.
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
        } = node.read(range).await?;
        let version = *first.get_or_insert(version);
        let ended = !more || next.is_empty();
        rows.extend(next);
        if ended {
            return Ok((rows, version));
        }
    }
}

/// Follows `table` until the future is dropped, from `start` on if the caller has read it.
///
/// The table is kept in `parts`, which a feed covers together. A history that is gone is read anew in full; a gap is never taken for a removal.
pub(crate) async fn follow(
    node: &Node,
    table: &Name,
    parts: &[Name],
    start: Option<Version>,
    gather: Duration,
    mut apply: impl FnMut(News),
) {
    let mut known = start;
    loop {
        let Some(after) = known else {
            match read_all(node, parts).await {
                // An answer from before what was seen already would take changes back.
                Ok((_, version)) if version < node.seen() => {}
                Ok((rows, version)) => {
                    apply(News::All(rows));
                    known = Some(version);
                    continue;
                }
                Err(error) => node.note_store_failure(&error),
            }
            node.timer.sleep(RETRY).await;
            continue;
        };
        match node.watch(table.clone(), after, WAIT).await {
            Ok(Some(page)) => {
                if page.version < after {
                    node.timer.sleep(RETRY).await;
                    continue;
                }
                known = Some(page.version);
                if !page.rows.is_empty() {
                    apply(News::Changed(page.rows));
                    if !gather.is_zero() {
                        node.timer.sleep(gather).await;
                    }
                }
            }
            Ok(None) => {
                slog::info!(node.log, "history gone"; "table" => %table, "after" => after.0);
                known = None;
            }
            Err(error) => {
                node.note_store_failure(&error);
                node.timer.sleep(RETRY).await;
            }
        }
    }
}
