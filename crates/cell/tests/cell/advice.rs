//! Calls to the advice service through the VMs of a cell.

use std::collections::BTreeSet;

use crate::{
    fake_platform::FakePlatform,
    vm::{
        start,
        state,
        submit,
        until, //
    },
};

/// The service serves each calling VM one call at a time, so a second call of the owner would wait
/// there behind the first one.
#[tokio::test]
async fn the_owner_calls_the_advice_service_through_a_peer_while_its_own_call_is_unanswered() {
    let platform = FakePlatform::new(&["w1"]);
    platform.write("operator", "configuration", "9");
    let (first, second) = (start(&platform, "a").await, start(&platform, "b").await);
    until("the entries of the peers", async || {
        first.node.knows_peer("b") && second.node.knows_peer("a")
    })
    .await;
    until("readiness", async || first.node.is_ready()).await;
    platform.hold_advice(true);

    submit(&first, "j1").await;
    submit(&first, "j2").await;
    until("the calls for both jobs", async || {
        platform.advice_callers().len() >= 2
    })
    .await;
    let callers: BTreeSet<_> = platform.advice_callers().into_iter().take(2).collect();
    platform.hold_advice(false);

    for job in ["j1", "j2"] {
        until("the end of the job", async || {
            state(&first, job).await.contains("completed")
        })
        .await;
    }
    assert_eq!(callers, ["a".into(), "b".into()].into());
}
