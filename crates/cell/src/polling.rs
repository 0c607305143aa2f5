//! Polls each worker to renew its lease and to learn of its runs.

use std::{
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::id::Name;
use basilbridge_workflow::worker;
use tokio::{
    sync::Notify,
    task::JoinSet, //
};

use crate::{
    clients::Polled,
    owner::{
        Owner,
        spawn_measured, //
    },
    profile::Part,
};

/// The delay between polls of a worker that does not answer.
const RETRY: Duration = Duration::from_millis(200);

/// How long the next poll waits until the ends that the last one reported are stored, and how much
/// longer for each of them. A worker with unacknowledged ends answers at once, and lists all of them
/// again, instead of waiting for new ones. The wait is limited, so that new ends are reported even if
/// the store is slow.
const STORE_TIMEOUT: Duration = Duration::from_millis(100);
const STORE_TIMEOUT_PER_END: Duration = Duration::from_millis(20);
const MAX_STORE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Starts polling the workers that are not polled yet.
pub(crate) fn spawn_pollers(owner: &Arc<Owner>, tasks: &mut JoinSet<()>) {
    for key in owner.engine().take_unpolled() {
        spawn_measured(tasks, owner, Part::Poll, |owner| run(owner, key));
    }
}

/// Polls workers once without waiting, beside the long polls that wait there.
pub(crate) fn poll_immediately(owner: &Arc<Owner>) {
    for key in owner.engine().take_immediate_polls() {
        let (profile, owner) = (owner.node.clients.profile.clone(), Arc::clone(owner));
        tokio::spawn(async move { profile.measure(Part::Poll, poll_once(owner, key)).await });
    }
}

async fn poll_once(owner: Arc<Owner>, key: worker::Key) {
    let sent = owner.now();
    let poll = owner.engine().immediate_poll(key);
    let Some(poll) = poll else {
        return;
    };
    owner.node.metrics.count("looks");
    let address = poll.target.address.clone();
    match (owner.node.clients.workers.poll)(owner.epoch(), poll).await {
        Polled::Answered(inventory) => {
            owner
                .engine()
                .handle_inventory(key, sent, owner.now(), &inventory);
            owner.unstored.notify_one();
            owner.wake.notify_one();
        }
        Polled::OtherWorker => handle_replaced(&owner, key, &address),
        // A missing answer is handled by the long poll.
        Polled::Fenced | Polled::NoAnswer(_) => {}
    }
}

fn handle_replaced(owner: &Owner, key: worker::Key, address: &Name) {
    if owner.engine().handle_replaced(key, address, owner.now()) {
        owner.node.metrics.count("workers_replaced");
        owner.wake.notify_one();
    }
}

async fn run(owner: Arc<Owner>, key: worker::Key) {
    let stored = owner.stored_ends(key);
    poll_until_gone(&owner, key, &stored).await;
    owner.forget_stored_ends(key);
}

async fn poll_until_gone(owner: &Arc<Owner>, key: worker::Key, stored: &Notify) {
    let timer = owner.node.timer.clone();
    loop {
        let now = owner.now();
        let poll = owner.engine_after_stall().poll(key, now);
        let Some(poll) = poll else {
            return;
        };
        let (name, address) = (poll.target.name.clone(), poll.target.address.clone());
        owner.node.metrics.count("looks");
        match (owner.node.clients.workers.poll)(owner.epoch(), poll).await {
            Polled::Answered(inventory) => {
                let listed = inventory.ended.len() as u32;
                let unstored = {
                    let mut engine = owner.engine();
                    engine.handle_inventory(key, now, owner.now(), &inventory);
                    engine.has_unstored_ends(key)
                };
                owner.wake.notify_one();
                if unstored {
                    owner.unstored.notify_one();
                    let all_stored = async {
                        while owner.engine().has_unstored_ends(key) {
                            stored.notified().await;
                        }
                    };
                    // If the store does not answer in time, poll again anyway.
                    let limit = STORE_TIMEOUT + STORE_TIMEOUT_PER_END * listed;
                    let _ = timer
                        .timeout(limit.min(MAX_STORE_TIMEOUT), all_stored)
                        .await;
                }
            }
            Polled::Fenced => {
                owner.end_ownership("a worker has seen a higher epoch");
                return;
            }
            Polled::OtherWorker => {
                handle_replaced(owner, key, &address);
                timer.sleep(RETRY).await;
            }
            Polled::NoAnswer(reason) => {
                let first = owner.engine().handle_poll_failure(key, owner.now());
                if first {
                    owner.unstored.notify_one();
                    owner.node.metrics.count("workers_silent");
                    if owner.node.decisions.admit() {
                        slog::info!(owner.node.log, "worker silent"; "worker" => %name,
                            "why" => reason);
                    }
                } else {
                    timer.sleep(RETRY).await;
                }
            }
        }
    }
}
