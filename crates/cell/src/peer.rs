//! What this VM does for the others of the cell.

use std::{
    io,
    sync::Arc,
    time::Duration, //
};

use basilbridge_peers::{
    cell,
    server::Server, //
};
use basilbridge_server::gate::Phase;
use futures_util::FutureExt;

use crate::{
    adviser,
    announce,
    node::Node,
    request,
    title, //
};

/// How long a call that only waits for the end of this process is held: a VM without power shows
/// by the next call without an answer.
pub(crate) const WATCH_TIME: Duration = Duration::from_millis(300);

/// Serves the other VMs.
pub(crate) async fn serve(node: &Arc<Node>) -> io::Result<Server> {
    let advise = Arc::clone(&node.clients.advise);
    let (watched, heir, forwarder) = (Arc::clone(node), Arc::clone(node), Arc::clone(node));
    let listener = Arc::clone(node);
    let app = cell::App {
        advise: Arc::new(move |wire| {
            let advise = Arc::clone(&advise);
            async move {
                let answer = advise(adviser::question_from_wire(wire)).await;
                answer.map(adviser::answer_to_wire)
            }
            .boxed()
        }),
        watch_process: Arc::new(move |nonce| {
            let node = Arc::clone(&watched);
            async move {
                if nonce == node.nonce {
                    let leaving = node.gate.reached(Phase::Leaving);
                    // Whichever comes first, the answer is the same.
                    let _ = node.timer.timeout(WATCH_TIME, leaving).await;
                }
                node.nonce
            }
            .boxed()
        }),
        hand_over: Arc::new(move |nonce| {
            let node = Arc::clone(&heir);
            async move { title::accept_hand_over(&node, nonce).await }.boxed()
        }),
        announce: Arc::new(move |stored| announce::take(&listener, &stored)),
        forward_request: Arc::new(move |wire| {
            let node = Arc::clone(&forwarder);
            async move { request::answer_forwarded(&node, wire).await }.boxed()
        }),
    };
    cell::start(node.config.peers, app).await
}
