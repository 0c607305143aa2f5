//! The HTTP server that the interfaces for callers and operators and the stand-ins share.
//!
//! `gotham` brings routing; this package brings what it leaves out: bounded bodies, answers from
//! the table of error kinds, and the count of requests in flight that a drain waits for. See
//! `docs/design/drain.md`.

pub mod body;
pub mod gate;
pub mod listener;
