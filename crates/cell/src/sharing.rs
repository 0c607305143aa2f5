//! Stores the past use of teams with the owner's heartbeats, and reports which teams are over their
//! share.

use std::{
    fmt::Write,
    sync::Arc,
    time::Duration, //
};

use basilbridge_platform::table::Put;
use basilbridge_workflow::sharing::{
    Report,
    past, //
};

use crate::{
    clients::Range,
    election,
    node::Node,
    owner::Owner,
    packing,
    record::{
        self,
        OWNERSHIP_TABLE,
        USAGE_KEY, //
    },
};

/// The number of heartbeats with one row of past use: 5 s of use are lost with an owner, of hours
/// that count.
const HEARTBEATS_PER_RECORD: u64 = 10;

/// The time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(30);

/// The most teams in one field of a report, those with the highest ratios.
const MAX_TEAMS_REPORTED: usize = 10;

/// The most attempts to read the row. Scheduling waits for them, and without the row past use only
/// starts anew.
const MAX_READS: usize = 3;

/// The delay after a failed read.
const RETRY: Duration = Duration::from_millis(100);

/// Returns the row of past use to store with the heartbeat `sequence`, if one is due.
///
/// Nothing is stored before the owner has read its predecessor's row, which it would replace.
pub(crate) fn row(owner: &Owner, sequence: u64) -> Option<Put> {
    if !sequence.is_multiple_of(HEARTBEATS_PER_RECORD) || !owner.is_loaded() {
        return None;
    }
    let usage = owner.engine().usage_record(owner.now())?;
    // An old row decays by the time that it holds, so it need not be replaced by an empty one.
    if usage.teams.is_empty() {
        return None;
    }
    match packing::encode(&usage, owner.node.config.max_row_bytes()) {
        Ok(value) => Some(election::put(USAGE_KEY, value)),
        Err(error) => {
            slog::error!(owner.node.log, "past use can't be encoded"; "error" => %error);
            None
        }
    }
}

/// Reads the past use that an earlier owner has stored.
pub(crate) async fn read(node: &Node) -> Option<past::Record> {
    for _ in 0..MAX_READS {
        let range = Range {
            table: OWNERSHIP_TABLE.into(),
            from: Some(USAGE_KEY.to_owned()),
            to: Some(format!("{USAGE_KEY}\0")),
        };
        match node.read(range).await {
            Ok(page) => {
                let row = page.rows.first()?;
                return record::decode_row(&node.log, row);
            }
            Err(error) => {
                node.record_store_failure(&error);
                node.timer.sleep(RETRY).await;
            }
        }
    }
    slog::warn!(node.log, "past use not read"; "attempts" => MAX_READS);
    None
}

/// Logs and counts the teams that are over their share or above twice their entitlement until the
/// future is dropped.
pub(crate) async fn report(owner: Arc<Owner>) {
    let node = &owner.node;
    loop {
        node.timer.sleep(REPORT_INTERVAL).await;
        let report = owner.engine().take_sharing_report(node.timer.now());
        let (over_share, past_use) = (report.over_share.len(), report.past_use.len());
        node.metrics.gauge("teams_over_share", over_share as u64);
        node.metrics
            .gauge("teams_above_twice_entitlement", past_use as u64);
        if over_share + past_use > 0 {
            let (over_share, past_use) = summary(&report);
            slog::info!(node.log, "team shares"; "epoch" => owner.epoch(),
                "over_share" => over_share, "past_use" => past_use);
        }
    }
}

/// Returns the teams over their share as `POOL/TEAM=RATIO`, and those with much past use as
/// `TEAM=RATIO`, separated by spaces, the ten with the highest ratios in descending order.
pub fn summary(report: &Report) -> (String, String) {
    let over_share = report.over_share.iter();
    let over_share = over_share.map(|((pool, team), ratio)| (format!("{pool}/{team}"), *ratio));
    let past_use = report.past_use.iter();
    let past_use = past_use.map(|(team, ratio)| (team.to_string(), *ratio));
    (highest(over_share.collect()), highest(past_use.collect()))
}

fn highest(mut ratios: Vec<(String, f64)>) -> String {
    ratios.sort_by(|(_, a), (_, b)| b.total_cmp(a));
    let mut text = String::new();
    for (name, ratio) in ratios.iter().take(MAX_TEAMS_REPORTED) {
        let separator = if text.is_empty() { "" } else { " " };
        // Writing to a string does not fail.
        let _ = write!(text, "{separator}{name}={ratio:.2}");
    }
    text
}
