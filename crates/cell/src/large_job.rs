//! Accepts large jobs on the VM of the owner only, since it knows how much memory the others need.
//!
//! The rule is in [`basilbridge_workflow::admission::large`].

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use basilbridge_common::error::{
    Error,
    Kind,
    Result, //
};
use basilbridge_workflow::{
    admission::large,
    job::Spec, //
};

use crate::node::Node;

/// When a caller may return whose job has no room yet, or no owner.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// The memory of the large jobs that this VM is storing, which its owner does not hold yet.
#[derive(Debug, Default)]
pub(crate) struct Pending(Arc<AtomicU64>);

/// Counts a large job as pending until it is dropped.
#[derive(Debug)]
pub(crate) struct Ticket {
    pending: Arc<AtomicU64>,
    bytes: u64,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.pending.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Where a job may be stored.
pub(crate) enum Place {
    /// Here, while the ticket of a large job is held.
    Here(Option<Ticket>),
    /// On the VM with this address, which owns the workers.
    Owner(SocketAddr),
}

/// Returns where a job may be stored.
///
/// # Errors
///
/// Returns [`Kind::Overloaded`] if this VM is the owner and has no room for the job, and
/// [`Kind::NotOwner`] if no owner is known that has read the jobs.
pub(crate) fn place(node: &Node, spec: &Spec) -> Result<Place> {
    let bytes = large::footprint(spec);
    if !large::is_large(bytes) {
        return Ok(Place::Here(None));
    }
    let Some(owner) = node.owner().upgrade() else {
        let address = node.view().owner_address();
        let address = address.filter(|address| *address != node.config.peers);
        return address.map(Place::Owner).ok_or_else(no_owner);
    };
    let held = owner.large_jobs().ok_or_else(no_owner)?;
    let pending = Arc::clone(&node.large_jobs.0);
    let held = held.saturating_add(pending.load(Ordering::Relaxed));
    if !large::admits(bytes, held, node.config.memory_bytes()) {
        let message = "the owner of the workers holds as many large jobs as its memory allows";
        return Err(Error::new(Kind::Overloaded, message).with_retry_after(RETRY_AFTER));
    }
    pending.fetch_add(bytes, Ordering::Relaxed);
    Ok(Place::Here(Some(Ticket { pending, bytes })))
}

/// Returns the error of a large job that no owner can judge.
pub(crate) fn no_owner() -> Error {
    let message = "only the owner of the workers accepts a job of this size";
    Error::new(Kind::NotOwner, message).with_retry_after(RETRY_AFTER)
}
