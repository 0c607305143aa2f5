//! The server for calls from the other entry VMs of the cell.

use std::{
    io,
    sync::Arc,
    time::Duration, //
};

use basilbridge_peers::{
    cell,
    server::Server, //
};
use basilbridge_server::drain::Phase;
use futures_util::FutureExt;

use crate::{
    advisor,
    announce,
    election,
    node::Node,
    request, //
};

/// How long a call that waits for the end of this process is held. When a VM loses power, the next
/// call gets no answer.
pub(crate) const WATCH_HOLD_TIME: Duration = Duration::from_millis(300);

/// Starts the server for the other VMs. Fails if the address can't be bound.
pub(crate) async fn serve(node: &Arc<Node>) -> io::Result<Server> {
    let advise = Arc::clone(&node.clients.advise);
    let (watched_node, successor, forwarding_node) =
        (Arc::clone(node), Arc::clone(node), Arc::clone(node));
    let notified_node = Arc::clone(node);
    let app = cell::App {
        advise: Arc::new(move |wire| {
            let advise = Arc::clone(&advise);
            async move {
                let answer = advise(advisor::request_from_wire(wire)).await;
                answer.map(advisor::advice_to_wire)
            }
            .boxed()
        }),
        watch_process: Arc::new(move |nonce| {
            let node = Arc::clone(&watched_node);
            async move {
                if nonce == node.nonce {
                    let leaving = node.drain_state.wait_for_phase(Phase::Draining);
                    // The answer is the same after a timeout.
                    let _ = node.timer.timeout(WATCH_HOLD_TIME, leaving).await;
                }
                node.nonce
            }
            .boxed()
        }),
        hand_over: Arc::new(move |nonce| {
            let node = Arc::clone(&successor);
            async move { election::accept_hand_over(&node, nonce).await }.boxed()
        }),
        announce: Arc::new(move |stored| announce::receive(&notified_node, &stored)),
        forward_request: Arc::new(move |wire| {
            let node = Arc::clone(&forwarding_node);
            async move { request::answer_forwarded(&node, wire).await }.boxed()
        }),
    };
    cell::start(node.config.peers, app).await
}
