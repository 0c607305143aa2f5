//! Turns for requests that take much processor time for what they are.
//!
//! Answers the load of a thousand bodies in chunks of one byte: each was always ready to run, so that
//! a call to the store waited for all of them at each of its steps, and timed out.

use std::sync::Arc;

use tokio::{
    sync::Semaphore,
    task::yield_now, //
};

/// Lets one request at a time through, while all other tasks that are ready run. Clones share it.
#[derive(Debug, Clone)]
pub(crate) struct Turnstile(Arc<Semaphore>);

impl Default for Turnstile {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(1)))
    }
}

impl Turnstile {
    /// Waits for the turn of this request, in the order in which requests came.
    pub(crate) async fn pass(&self) {
        // The semaphore is never closed.
        let _turn = self.0.acquire().await;
        // The next request has its turn only after all tasks that are ready now.
        yield_now().await;
    }
}
