//! Asks the table service whether a shard is still ours.
//!
//! A worker that boots anew forgets the highest epoch that it has seen, so its answer alone does
//! not show that no later owner exists. An owner therefore reads its title after the answer and
//! before it starts anything on that boot. See `docs/design/claim-barrier.md`.

use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

use tokio::sync::Mutex;

use crate::{
    owner::Owner,
    session, //
};

/// Lets many claims that end together share one read.
#[derive(Debug, Default)]
pub struct Check {
    asked: AtomicU64,
    /// All who asked up to this number may rely on a read that found the title current.
    answered: Mutex<u64>,
}

/// Says whether the shard was still ours at some time after the call began.
pub(crate) async fn is_current(owner: &Owner) -> bool {
    let check = &owner.ownership_check;
    let ticket = check.asked.fetch_add(1, Ordering::Relaxed) + 1;
    let mut answered = check.answered.lock().await;
    if *answered >= ticket {
        return true;
    }
    let covered = check.asked.load(Ordering::Relaxed);
    let shard = owner.ownership.shard.to_string();
    let row = owner
        .services
        .tables
        .get(session::SHARDS_TABLE, &shard)
        .await;
    let current = row.is_ok_and(|row| row.version == owner.ownership.version);
    if current {
        *answered = covered;
    }
    current
}
