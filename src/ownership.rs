//! Checks with the table service that this VM still owns a shard.
//!
//! A worker forgets the highest epoch it has seen when it reboots, so its answer alone does not
//! prove that no later owner exists. An owner therefore reads the row of its shard after the answer
//! and before it starts anything on that boot. See `docs/design/claim-barrier.md`.

use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

use tokio::sync::Mutex;

use crate::{
    owner::Owner,
    session, //
};

/// Lets concurrent claims share one read of the shard's row.
#[derive(Debug, Default)]
pub struct SharedCheck {
    requested: AtomicU64,
    /// The highest ticket that is covered by a read that found the ownership current.
    confirmed: Mutex<u64>,
}

/// Returns whether this VM still owned the shard at some time after the call began; false if the
/// row could not be read.
pub(crate) async fn is_current(owner: &Owner) -> bool {
    let check = &owner.ownership_check;
    let ticket = check.requested.fetch_add(1, Ordering::Relaxed) + 1;
    let mut confirmed = check.confirmed.lock().await;
    if *confirmed >= ticket {
        return true;
    }
    let covered = check.requested.load(Ordering::Relaxed);
    let shard = owner.ownership.shard.to_string();
    let row = owner
        .services
        .tables
        .get(session::SHARDS_TABLE, &shard)
        .await;
    let current = row.is_ok_and(|row| row.version == owner.ownership.version);
    if current {
        *confirmed = covered;
    }
    current
}
