//! The part of a VM that its clients may take together.
//!
//! Answers the load of clients that take all descriptors or all memory of a VM: its own connections,
//! to the store, the workers and the other VMs, need some that clients can't take. See
//! `docs/design/client-memory.md`.

use crate::memory::Budget;

/// The memory of a connection: its socket buffers, the buffer of `hyper`, one head and its task.
const BYTES_PER_CONNECTION: u64 = 64 * 1024;

/// The size of the socket buffers of a connection in each direction, of which the system may use
/// twice as much.
const SOCKET_BUFFER_BYTES: u32 = 8 * 1024;

/// The part of the memory for connections, and again as much for requests.
const MEMORY_DIVISOR: u64 = 4;

/// The descriptors that are kept for files, as the users' platform does.
const FILE_DESCRIPTORS: usize = 200;

/// The part of the other descriptors that clients may take.
const DESCRIPTOR_DIVISOR: usize = 2;

/// What the clients of a VM may take together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// The number of connections.
    pub connections: usize,
    /// The memory of requests, in bytes.
    pub request_bytes: usize,
}

impl Share {
    /// Returns the share of clients of a VM with this memory, in bytes, and as many descriptors.
    pub fn of(memory_bytes: u64, descriptors: usize) -> Self {
        let part = memory_bytes / MEMORY_DIVISOR;
        let by_memory = usize::try_from(part / BYTES_PER_CONNECTION).unwrap_or(usize::MAX);
        let by_descriptors = descriptors.saturating_sub(FILE_DESCRIPTORS) / DESCRIPTOR_DIVISOR;
        Self {
            connections: by_memory.min(by_descriptors).max(1),
            request_bytes: usize::try_from(part).unwrap_or(usize::MAX),
        }
    }

    /// Splits the connections between two listeners, of which the second gets one in `divisor`.
    #[must_use]
    pub fn split(self, divisor: usize) -> (Self, Self) {
        let part = (self.connections / divisor).max(1);
        let with = |connections| Self {
            connections,
            ..self
        };
        (with((self.connections - part).max(1)), with(part))
    }

    /// Returns the size of the socket buffers of each connection, in bytes and in each direction.
    pub fn socket_buffer_bytes(&self) -> u32 {
        SOCKET_BUFFER_BYTES
    }

    /// Returns a budget of the memory of requests.
    pub fn budget(&self) -> Budget {
        Budget::new(self.request_bytes)
    }
}
