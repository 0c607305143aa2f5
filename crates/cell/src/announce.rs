//! Tells the owner at once what was stored of a job; the feed of the store tells it later.

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
    node::Node,
    owner,
    record, //
};

/// How long the owner may take to hear of a job before it is left to the feed.
const TIME: Duration = Duration::from_millis(500);

/// Tells the owner of a job, or of a cancellation where nothing was accepted.
pub(crate) fn send(node: &Arc<Node>, id: &str, version: Version, accepted: Option<&Accepted>) {
    let id: Name = id.into();
    if let Some(owner) = node.owner().upgrade() {
        owner::take_announced(&owner, &id, version, accepted.cloned());
        return;
    }
    let address = {
        let view = node.view();
        let claim = view.claim.as_ref();
        claim.and_then(|held| Some(view.nodes.get(&held.claim.holder)?.peers))
    };
    // Without an owner the feed tells the next one.
    let Some(address) = address else {
        return;
    };
    let accepted = match accepted.map(record::encode).transpose() {
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
        if let Err(error) = node.pool.announce(address, stored, TIME).await {
            slog::debug!(node.log, "owner not told"; "job" => %id, "error" => %error);
        }
    });
}

/// Takes in what another VM has stored, if this VM owns the workers.
pub(crate) fn take(node: &Node, stored: &Stored) {
    let Some(owner) = node.owner().upgrade() else {
        return;
    };
    let id: Name = stored.job.as_str().into();
    let accepted = if stored.accepted.is_empty() {
        None
    } else {
        let text = std::str::from_utf8(&stored.accepted).unwrap_or_default();
        match record::decode(text) {
            Ok(accepted) => Some(accepted),
            Err(error) => {
                slog::error!(node.log, "announced job can't be read"; "job" => %id,
                    "error" => %error);
                return;
            }
        }
    };
    owner::take_announced(&owner, &id, Version(stored.version), accepted);
}
