//! Logs what keeps the owner busy and what waits for it.

use std::{
    fmt::Write,
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::unit::Millis;
use basilbridge_workflow::{
    load::Load,
    wait::Wait, //
};

use crate::{
    owner::Owner,
    profile,
    traffic, //
};

/// The time between two reports of the use of the link.
const TRAFFIC_INTERVAL: Duration = Duration::from_secs(5);

/// The time between two reports of the load. An overload of the processor lasts for seconds.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);

/// The time between two reports of what inherited work waits for.
const WAITS_INTERVAL: Duration = Duration::from_millis(500);

/// The time between two looks at whether the store confirms the claim.
const DOUBT_INTERVAL: Duration = Duration::from_millis(250);

/// The time between two reports that it does not.
const DOUBT_REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// The most workers that a report of what inherited work waits for names.
const MAX_WAITS: usize = 12;

/// Logs how much of the link the messages of each kind use.
pub(crate) async fn report_traffic(owner: Arc<Owner>) {
    let node = &owner.node;
    let mut before = (node.timer.now(), node.clients.traffic.totals());
    loop {
        node.timer.sleep(TRAFFIC_INTERVAL).await;
        let now = (node.timer.now(), node.clients.traffic.totals());
        let passed = now.0.since(before.0);
        let link = node.config.link_bytes_per_second;
        let usage = traffic::usage(&before.1, &now.1, passed, link);
        slog::info!(node.log, "traffic"; "epoch" => owner.epoch(), "kb_per_s" => usage.rates,
            "link_percent" => usage.percent);
        before = now;
    }
}

/// Logs how much of the processor the parts of the owner use, and what waits.
pub(crate) async fn report_load(owner: Arc<Owner>) {
    let node = &owner.node;
    let profile = &node.clients.profile;
    let mut before = (node.timer.now(), profile.totals());
    loop {
        node.timer.sleep(LOAD_INTERVAL).await;
        let now = (node.timer.now(), profile.totals());
        let usage = profile::usage(&before.1, &now.1, now.0.since(before.0));
        let (load, capacity_age) = {
            let engine = owner.engine();
            (engine.load(now.0), engine.capacity_age(now.0))
        };
        slog::info!(node.log, "load"; "epoch" => owner.epoch(), "busy_percent" => usage.busy_percent,
            "parts" => usage.parts, "late_ms" => profile.take_lateness().as_millis() as u64,
            "capacity_age_ms" => capacity_age.as_millis() as u64,
            "unanswered" => load.unanswered, "stopping" => load.stopping, "silent" => load.silent,
            "waiting" => waiting(&load));
        before = now;
    }
}

/// Logs which workers inherited work waits for, until there are none.
pub(crate) async fn report_waits(owner: Arc<Owner>) {
    let node = &owner.node;
    loop {
        node.timer.sleep(WAITS_INTERVAL).await;
        let waits = owner.engine().waits();
        if waits.is_empty() {
            continue;
        }
        slog::info!(node.log, "inherited work waits"; "epoch" => owner.epoch(),
            "workers" => waits.len(), "for" => workers_waited_for(&waits, owner.now()));
    }
}

/// Logs when the store has not confirmed the claim for a while, and how many workers answer meanwhile.
pub(crate) async fn report_doubt(owner: Arc<Owner>) {
    let node = &owner.node;
    let mut reported: Option<Millis> = None;
    loop {
        node.timer.sleep(DOUBT_INTERVAL).await;
        let now = node.timer.now();
        let doubt = owner.engine().claim_doubt(now);
        match (doubt, reported) {
            (Some(_), None) => node.metrics.count("claims_unconfirmed"),
            (Some(_), Some(at)) if now.since(at) < DOUBT_REPORT_INTERVAL => continue,
            (Some(_), Some(_)) => {}
            (None, Some(_)) => {
                slog::warn!(node.log, "claim confirmed again"; "epoch" => owner.epoch());
                reported = None;
                continue;
            }
            (None, None) => continue,
        }
        if let Some(doubt) = doubt {
            slog::warn!(node.log, "claim unconfirmed"; "epoch" => owner.epoch(),
                "silent_ms" => doubt.since_proof.as_millis() as u64,
                "workers" => doubt.workers, "answering" => doubt.answering,
                "proven" => doubt.is_proven);
        }
        reported = Some(now);
    }
}

/// Returns the first workers that are waited for as `WORKER:GROUND@REMAINING_MS`, separated by spaces.
pub fn workers_waited_for(waits: &[Wait], now: Millis) -> String {
    let first = waits.iter().take(MAX_WAITS);
    let texts: Vec<String> = first
        .map(|wait| {
            let remaining = wait.until.since(now).as_millis();
            format!("{}:{}@{remaining}", wait.worker, wait.ground)
        })
        .collect();
    texts.join(" ")
}

/// Returns what waits as `QUEUE:STAGES/BEGUN/LATE/TASKS@LONGEST_MS`, separated by spaces.
pub fn waiting(load: &Load) -> String {
    let mut text = String::new();
    for (name, waiting) in &load.queues {
        let separator = if text.is_empty() { "" } else { " " };
        // Writing to a string does not fail.
        let _ = write!(
            text,
            "{separator}{name}:{}/{}/{}/{}@{}",
            waiting.stages,
            waiting.begun,
            waiting.late,
            waiting.tasks,
            waiting.longest.as_millis()
        );
    }
    text
}
