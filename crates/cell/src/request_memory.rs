//! How much memory a request takes while it is answered, and the errors of those that find none.
//!
//! See `docs/design/client-memory.md`.

use basilbridge_common::error::{
    Error,
    Kind, //
};
use basilbridge_workflow::job::Spec;

use crate::{
    admission,
    node::Node, //
};

/// Returns the error of a submission that was not stored for want of memory: a refusal, unless an
/// earlier attempt may be stored.
pub(crate) async fn reject(node: &Node, id: &str, error: Error) -> Error {
    node.metrics.count("jobs_refused_memory");
    match error.kind == Kind::Overloaded && admission::may_be_stored(node, id).await {
        true => without_promise(error),
        false => error,
    }
}

/// Returns the error of a request of which an earlier attempt may take effect.
pub(crate) fn without_promise(error: Error) -> Error {
    Error {
        kind: Kind::OutcomeUnknown,
        ..error
    }
}

/// Returns the error of a call that was not passed on, for which another VM may have room.
pub(crate) fn without_room(error: Error) -> Error {
    Error {
        kind: Kind::Unreachable,
        ..error
    }
}

/// Returns about how much memory a job holds from its decoding until it is stored, in bytes: its
/// steps, their stored form and the call to the store.
pub(crate) fn footprint(spec: &Spec) -> usize {
    const PER_STEP: usize = 512;
    const PER_DEPENDENCY: usize = 32;
    const PER_PAYLOAD_BYTE: usize = 5;
    let dependencies: usize = spec.steps.iter().map(|step| step.after.len()).sum();
    PER_STEP * spec.steps.len()
        + PER_DEPENDENCY * dependencies
        + PER_PAYLOAD_BYTE * spec.payload.len()
}
