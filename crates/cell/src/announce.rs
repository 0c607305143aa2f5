//! Notifies the owner of stored jobs and cancellations before the feed of the store reports them.

use std::{
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::id::{
    Name,
    Version, //
};
use basilbridge_peers::Stored;
use basilbridge_workflow::job::Accepted;

use crate::{
    admission,
    node::Node,
    owner::{
        self,
        Owner, //
    },
    record, //
};

/// The timeout of a notification; after it, the owner learns of the job from the feed.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Notifies the owner of a job that was stored at `version`, or of its cancellation if `accepted`
/// is `None`.
pub(crate) fn send(node: &Arc<Node>, id: &str, version: Version, accepted: Option<&Accepted>) {
    let id: Name = id.into();
    if let Some(owner) = node.owner().upgrade() {
        owner::apply_announced(&owner, &id, version, accepted.cloned());
        return;
    }
    // Without a known owner, the next one learns of the job from the feed.
    let Some(address) = node.view().owner_address() else {
        return;
    };
    let accepted = match accepted
        .map(|accepted| record::encode_job(accepted, node.config.max_row_bytes()))
        .transpose()
    {
        Ok(accepted) => accepted,
        Err(error) => {
            slog::error!(node.log, "job can't be encoded"; "job" => %id, "error" => %error);
            return;
        }
    };
    let stored = Stored {
        job: id.to_string(),
        version: version.0,
        accepted: accepted.unwrap_or_default().into_bytes(),
    };
    let node = Arc::clone(node);
    tokio::spawn(async move {
        match node.pool.announce(address, stored, ANNOUNCE_TIMEOUT).await {
            Ok(outlook) => admission::learn_from_reply(&node, &outlook),
            Err(error) => {
                slog::debug!(node.log, "owner not notified"; "job" => %id, "error" => %error);
            }
        }
    });
}

/// Applies a notification from another VM, if this VM owns the workers. Returns the outlook to
/// answer with.
pub(crate) fn receive(node: &Node, stored: &Stored) -> Vec<u8> {
    let owner = node.owner().upgrade();
    let Some(owner) = owner else {
        return Vec::new();
    };
    apply(node, &owner, stored);
    admission::reply(&owner)
}

fn apply(node: &Node, owner: &Owner, stored: &Stored) {
    let id: Name = stored.job.as_str().into();
    let accepted = if stored.accepted.is_empty() {
        None
    } else {
        let text = std::str::from_utf8(&stored.accepted).unwrap_or_default();
        match record::decode(text) {
            Ok(accepted) => Some(accepted),
            Err(error) => {
                slog::error!(node.log, "announced job can't be decoded"; "job" => %id,
                    "error" => %error);
                return;
            }
        }
    };
    owner::apply_announced(owner, &id, Version(stored.version), accepted);
}
