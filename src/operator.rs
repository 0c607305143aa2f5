//! Connects the operators' interface to the node.

use std::{
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::{
    error::Result,
    id::Version, //
};
use basilbridge_operators::{
    App,
    audit::Page,
    change::{
        Accepted,
        Edit, //
    },
};
use futures_util::FutureExt;

use crate::{
    audit,
    data_centre,
    node::Node,
    plan, //
};

/// Returns the handlers of the operators' interface.
pub fn app(node: &Arc<Node>) -> App {
    let (authorizer, reader) = (Arc::clone(node), Arc::clone(node));
    let (writer, auditor) = (Arc::clone(node), Arc::clone(node));
    let (planner, confirmer) = (Arc::clone(node), Arc::clone(node));
    let (lister, counter) = (Arc::clone(node), Arc::clone(node));
    App {
        authorize: Arc::new(move |key| authorizer.configuration.authorize_operator(key)),
        configuration: Arc::new(move || (*reader.configuration.current()).clone()),
        commit: Arc::new(move |edit, wait| {
            let node = Arc::clone(&writer);
            async move { commit(&node, edit, wait).await }.boxed()
        }),
        plan: Arc::new(move |request| {
            let node = Arc::clone(&planner);
            async move { plan::create(&node, request).await }.boxed()
        }),
        confirm: Arc::new(move |id, operator, wait| {
            let node = Arc::clone(&confirmer);
            async move {
                let edit = plan::find_edit(&node, &id, operator).await?;
                commit(&node, edit, wait).await
            }
            .boxed()
        }),
        audit: Arc::new(move |after| {
            let node = Arc::clone(&auditor);
            async move { page(&node, after).await }.boxed()
        }),
        workers: Arc::new(move || lister.fleet.workers()),
        data_centres: Arc::new(move || data_centre::list(&counter)),
        drain_state: node.drain_state.clone(),
    }
}

/// Commits an edit and waits until it is in force on all VMs, for at most `wait`.
async fn commit(node: &Node, edit: Edit, wait: Duration) -> Result<Accepted> {
    let version = node.committer.commit(edit).await?;
    let tracker = &node.config_sync.tracker;
    Ok(tracker
        .wait_until_in_force(version, &node.timer, wait)
        .await)
}

async fn page(node: &Node, after: Version) -> Result<Page> {
    audit::read_page(&node.platform, after).await
}
