//! The gRPC protocol between the entry VMs.
//!
//! Messages carry requests and replies of callers as JSON documents, so that a new field of a
//! request needs no change to the protocol. See `docs/design/peers.md`.

pub mod cell;
pub mod client;
mod convert;
pub mod server;

/// The code that `tools/codegen` generates from `proto/peer.proto`.
#[expect(missing_docs, clippy::allow_attributes, reason = "generated code")]
pub mod generated {
    include!("generated/basilbridge.peer.v1.rs");
}

pub use generated::{
    Advice,
    ClientRequest,
    Configuration,
    Cursor,
    News,
    Owned,
    Permit,
    Question,
    Stored,
    Use, //
};
