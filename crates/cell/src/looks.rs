//! Looks at each worker, one after the other.

use std::{
    sync::Arc,
    time::Duration, //
};

use basilbridge_workflow::{
    order::Poll,
    worker, //
};
use tokio::task::JoinSet;

use crate::{
    clients::Polled,
    owner::Owner, //
};

/// How long to wait after a look without an answer.
const RETRY: Duration = Duration::from_millis(200);

/// How long a look waits for the ends of the last one to be stored: until then the worker answers
/// each look at once, but ends that came since must not stay unseen while the store is slow.
const STORE_WAIT: Duration = Duration::from_millis(100);

/// Starts to look at workers that nobody looks at yet.
pub(crate) fn spawn_new(owner: &Arc<Owner>, tasks: &mut JoinSet<()>) {
    for key in owner.engine().take_unpolled() {
        tasks.spawn(run(Arc::clone(owner), key));
    }
}

/// Looks at workers at once, beside the looks that wait there.
pub(crate) fn hurry(owner: &Arc<Owner>) {
    for key in owner.engine().take_immediate_polls() {
        tokio::spawn(look_once(Arc::clone(owner), key));
    }
}

async fn look_once(owner: Arc<Owner>, key: worker::Key) {
    let sent = owner.now();
    let look = owner.engine().poll(key, sent);
    // The look that waits acknowledges; this one may be the first to meet a new boot.
    let Some(look) = look.map(|look| Poll {
        max_wait: Duration::ZERO,
        acknowledged: 0,
        ..look
    }) else {
        return;
    };
    owner.node.metrics.count("looks");
    // An answer that does not come is left to the look that waits.
    if let Polled::Answered(seen) = (owner.node.clients.workers.poll)(owner.epoch(), look).await {
        owner
            .engine()
            .handle_inventory(key, sent, owner.now(), &seen);
        owner.unstored.notify_one();
        owner.wake.notify_one();
    }
}

async fn run(owner: Arc<Owner>, key: worker::Key) {
    let timer = owner.node.timer.clone();
    loop {
        let mut rounds = owner.rounds.subscribe();
        let now = owner.now();
        let Some(look) = owner.engine().poll(key, now) else {
            return;
        };
        let name = look.target.name.clone();
        owner.node.metrics.count("looks");
        match (owner.node.clients.workers.poll)(owner.epoch(), look).await {
            Polled::Answered(seen) => {
                let unstored = {
                    let mut engine = owner.engine();
                    engine.handle_inventory(key, now, owner.now(), &seen);
                    engine.has_unstored_ends(key)
                };
                owner.wake.notify_one();
                if unstored {
                    owner.unstored.notify_one();
                    let stored = async {
                        while owner.engine().has_unstored_ends(key)
                            && rounds.changed().await.is_ok()
                        {}
                    };
                    // Without an answer of the store the next look goes on without waiting.
                    let _ = timer.timeout(STORE_WAIT, stored).await;
                }
            }
            Polled::Fenced => {
                owner.depose("a worker knows a higher epoch");
                return;
            }
            Polled::NoAnswer(why) => {
                let first = owner.engine().handle_poll_failure(key, owner.now());
                if first && owner.node.decisions.admit() {
                    slog::info!(owner.node.log, "worker silent"; "worker" => %name, "why" => why);
                }
                if !first {
                    timer.sleep(RETRY).await;
                }
            }
        }
    }
}
