//! The HTTP server of the interfaces for callers and operators and of the stand-ins.
//!
//! `gotham` provides routing. This package adds limits on the length of heads and bodies, timeouts
//! for slow senders, a limit on the number of connections, error responses with the status of their
//! kind, the count of requests in flight that a drain waits for, and one limit on the memory that all
//! requests hold. See `docs/design/connections.md`, `docs/design/client-memory.md` and
//! `docs/design/drain.md`.

pub mod body;
mod connection;
pub mod drain;
pub mod eviction;
pub mod handler;
pub mod listener;
pub mod memory;
pub mod share;
mod socket;
mod stream;
mod table;
mod turn;
