//! The protocol between the entry VMs.
//!
//! A call carries the caller's document as it came, so that a new field of a request is added in
//! one place. See `docs/design/peers.md`.

pub mod cell;
pub mod client;
mod convert;
pub mod server;

/// The code that `tools/codegen` writes from `proto/peer.proto`.
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
