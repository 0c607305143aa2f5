//! Crowds of clients against a daemon of its own with small limits; one test at a time.
//!
//! Each test checks that the process lives, that its memory and descriptors stay within the limits
//! of its settings, and that an ordinary request is answered. See `docs/design/connections.md`.

mod bodies;
mod cell;
mod connections;
mod crowd;
mod embedded;
mod process;
mod streams;
