//! The HTTP server that the interfaces for callers and operators and the stand-ins share.
//!
//! `gotham` brings routing; this package brings what it leaves out: bounded heads and bodies,
//! time-outs for slow senders, a cap on connections, answers from the table of error kinds, and
//! the count of requests in flight that a drain waits for. See `docs/design/connections.md` and
//! `docs/design/drain.md`.

pub mod body;
mod connection;
pub mod drain;
pub mod edge;
pub mod listener;
mod stream;
