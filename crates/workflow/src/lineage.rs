//! What an owner may assume of the owners before it.
//!
//! A new owner waits less if it knows how its predecessors have worked: how long the leases were that
//! they granted, and whether they stored what it relies on. Each claim therefore stores its lineage:
//! since when all owners in a row, up to this one, keep the same promises. An owner of an earlier
//! version stores none, and the next one begins a new lineage. See `docs/design/takeover.md`.

use std::time::Duration;

use basilbridge_common::{
    id::Version,
    unit::Millis, //
};
use basilbridge_derives::data;
use serde_with::DurationMilliSeconds;

use crate::lease;

/// The promises of this version. Owners of earlier versions made none, or fewer.
const PROMISES: u32 = 2;

/// The owners in a row, up to the one with `epoch`, that keep the same promises: they grant no lease
/// longer than the lineage says, extend none without a proof that they have no successor, follow the
/// record of silent workers that they have inherited, and store the starts of long-running tasks
/// before they send them.
#[data]
#[derive(Eq)]
pub struct Lineage {
    /// Version of the promises.
    #[serde(default)]
    pub promises: u32,
    /// Number of owners before the one that stored this.
    pub epoch: u32,
    /// Number of owners before the first of them.
    pub first_epoch: u32,
    /// Version of the store from which on all jobs are known to no owner before the first one; `None`
    /// until that is known.
    pub first_version: Option<Version>,
    /// Longest lease that the owner grants.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease: Duration,
    /// Longest lease of the owners before it that may not be over yet.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub earlier_lease: Duration,
}

/// The claim that a new one replaces.
#[derive(Debug, Clone)]
pub struct Predecessor {
    /// Number of owners before that one.
    pub epoch: u32,
    /// The newest stored lineage, which may be of an earlier owner.
    pub lineage: Option<Lineage>,
    /// Time when this VM received the claim.
    pub received_at: Millis,
    /// Version at which it had outlived all owners before it; `None` unless that is known.
    pub settled_at: Option<Version>,
}

impl Lineage {
    /// Returns the lineage of the first owner of a cell.
    pub fn first(lease: Duration) -> Self {
        Self {
            promises: PROMISES,
            epoch: 0,
            first_epoch: 0,
            first_version: Some(Version(0)),
            lease,
            earlier_lease: Duration::ZERO,
        }
    }

    /// Returns the lineage of an owner that grants leases of `lease` and claims the workers at `now`.
    /// `max_lease` is the longest lease that a worker grants.
    pub fn after(before: &Predecessor, lease: Duration, max_lease: Duration, now: Millis) -> Self {
        let epoch = before.epoch + 1;
        let known = before.lineage.as_ref();
        let Some(known) =
            known.filter(|known| known.promises == PROMISES && known.epoch == before.epoch)
        else {
            return Self {
                promises: PROMISES,
                epoch,
                first_epoch: epoch,
                first_version: None,
                lease,
                earlier_lease: max_lease,
            };
        };
        // Leases of the owners before the predecessor are over once its claim is old enough, if they
        // are known to extend none.
        let is_old = before.settled_at.is_some()
            && now.since(before.received_at) >= lease::worst_case(max_lease) * 3;
        let older = if is_old {
            Duration::ZERO
        } else {
            known.earlier_lease
        };
        Self {
            promises: PROMISES,
            epoch,
            first_epoch: known.first_epoch,
            first_version: known.first_version.or(before.settled_at),
            lease,
            earlier_lease: known.lease.max(older).min(max_lease),
        }
    }
}
