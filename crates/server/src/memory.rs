//! The memory that requests hold, with one limit on the sum.
//!
//! Memory is reserved before it is allocated, and released when its [`Reservation`] is dropped,
//! however the request ends. See `docs/design/client-memory.md`.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    task::{
        Context,
        Poll,
        Waker, //
    },
    time::Duration,
};

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    unit::Millis,
};
use slotmap::{
    SlotMap,
    new_key_type, //
};

use crate::{
    eviction,
    turn::Turnstile, //
};

/// When a caller may return whose request was rejected for want of memory.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The length up to which a request counts as small, in bytes.
const SMALL: usize = 16 * 1024;

/// The part of the memory for requests that are handled which only small ones may use.
const SMALL_DIVISOR: usize = 4;

new_key_type! {
    struct Key;
}

/// Why no more memory is reserved for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Evicted;

/// What a request does that holds memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// It is being received, and may be evicted.
    Receiving,
    /// As before, and it waits for memory that evicted requests have not released yet.
    Waiting,
    /// It is evicted, and ends when its task runs next.
    Evicted,
    /// It is complete, and its outcome must not be cut off.
    Handling,
}

#[derive(Debug)]
struct Request {
    stage: Stage,
    bytes: usize,
    /// When it was last granted memory, which is when bytes of it have arrived.
    progressed_at: Millis,
    waker: Option<Waker>,
}

#[derive(Debug)]
struct State {
    requests: SlotMap<Key, Request>,
    /// The limit for the requests that are being received, and as much for those that are handled.
    limit: usize,
    received: usize,
    handled_small: usize,
    handled_large: usize,
}

/// The memory for the requests of all listeners of a process. Clones share it.
#[derive(Debug, Clone)]
pub struct Budget {
    state: Arc<Mutex<State>>,
    turnstile: Turnstile,
}

/// The memory of one request, which is released when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    key: Key,
}

impl Budget {
    /// Creates a budget of `bytes`, half of it for requests that are being received.
    pub fn new(bytes: usize) -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                requests: SlotMap::with_key(),
                limit: bytes / 2,
                received: 0,
                handled_small: 0,
                handled_large: 0,
            })),
            turnstile: Turnstile::default(),
        }
    }

    /// Returns what lets requests through that take much processor time.
    pub(crate) fn turnstile(&self) -> &Turnstile {
        &self.turnstile
    }

    /// Begins to receive a request, for which no memory is reserved yet.
    pub(crate) fn receive(&self, now: Millis) -> Reservation {
        self.insert(Stage::Receiving, 0, now)
    }

    /// Reserves memory for a request that is handled, and of which `own` bytes are counted already.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Overloaded`] if there is not enough left. A request that is alone is never
    /// refused, whatever its size.
    pub fn hold(&self, bytes: usize, own: usize) -> Result<Reservation> {
        self.lock().admit(bytes, own)?;
        Ok(self.insert(Stage::Handling, bytes, Millis(0)))
    }

    fn insert(&self, stage: Stage, bytes: usize, now: Millis) -> Reservation {
        let key = self.lock().requests.insert(Request {
            stage,
            bytes,
            progressed_at: now,
            waker: None,
        });
        Reservation {
            budget: self.clone(),
            key,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Counts `bytes` as handled, if there is enough left beside others than the request itself.
    fn admit(&mut self, bytes: usize, own: usize) -> Result<()> {
        let for_small = self.limit / SMALL_DIVISOR;
        let limit = match bytes {
            ..=SMALL => for_small,
            _ => self.limit - for_small,
        };
        let handled = self.handled_mut(bytes);
        let sum = handled.saturating_add(bytes);
        if *handled > own && sum > limit {
            return Err(exhausted());
        }
        *handled = sum;
        Ok(())
    }

    /// Returns the sum of the requests that are handled and as small, or as large, as one of `bytes`.
    fn handled_mut(&mut self, bytes: usize) -> &mut usize {
        match bytes {
            ..=SMALL => &mut self.handled_small,
            _ => &mut self.handled_large,
        }
    }

    /// Evicts requests until `bytes` more fit once they have ended. Returns whether they will.
    fn evict(&mut self, bytes: usize) -> bool {
        loop {
            let leaving = self.requests.values();
            let leaving = leaving.filter(|request| request.stage == Stage::Evicted);
            let leaving: usize = leaving.map(|request| request.bytes).sum();
            if self.received + bytes <= self.limit + leaving {
                return true;
            }
            let receiving = self
                .requests
                .iter()
                .filter(|(_, request)| matches!(request.stage, Stage::Receiving | Stage::Waiting));
            let receiving = receiving.map(|(key, request)| {
                let upload = eviction::Upload {
                    bytes: request.bytes,
                    progressed_at: request.progressed_at,
                };
                (key, upload)
            });
            let Some(key) = eviction::choose_upload(receiving) else {
                return false;
            };
            if let Some(request) = self.requests.get_mut(key) {
                request.stage = Stage::Evicted;
                request.wake();
            }
        }
    }

    fn wake_waiting(&mut self) {
        for request in self.requests.values_mut() {
            if request.stage == Stage::Waiting {
                request.wake();
            }
        }
    }
}

impl Request {
    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

impl Reservation {
    /// Reserves `bytes` more for a request that is being received. Waits until those have ended that
    /// are evicted for it.
    pub(crate) fn poll_grow(
        &mut self,
        cx: &mut Context<'_>,
        bytes: usize,
        now: Millis,
    ) -> Poll<std::result::Result<(), Evicted>> {
        let mut state = self.budget.lock();
        let state = &mut *state;
        let own = state
            .requests
            .get(self.key)
            .map_or(0, |request| request.bytes);
        // A request that is alone is not refused, whatever its size.
        let fits = state.received + bytes <= state.limit || state.received == own;
        let will_fit = fits || state.evict(bytes);
        let Some(request) = state.requests.get_mut(self.key) else {
            return Poll::Ready(Err(Evicted));
        };
        if request.stage == Stage::Evicted || !will_fit {
            return Poll::Ready(Err(Evicted));
        }
        if !fits {
            request.stage = Stage::Waiting;
            request.waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        request.stage = Stage::Receiving;
        request.bytes += bytes;
        request.progressed_at = now;
        state.received += bytes;
        Poll::Ready(Ok(()))
    }

    /// Returns whether the request has been evicted; otherwise wakes the task when it is.
    pub(crate) fn poll_evicted(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.budget.lock();
        match state.requests.get_mut(self.key) {
            Some(request) if request.stage != Stage::Evicted => {
                request.waker = Some(cx.waker().clone());
                Poll::Pending
            }
            _ => Poll::Ready(()),
        }
    }

    /// Moves a request that has been received to those that are handled.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Overloaded`] if these have no memory left, or the request is evicted.
    pub(crate) fn begin_handling(&mut self) -> Result<()> {
        let mut state = self.budget.lock();
        let state = &mut *state;
        let Some(request) = state.requests.get(self.key) else {
            return Err(exhausted());
        };
        let bytes = request.bytes;
        if request.stage == Stage::Evicted {
            return Err(exhausted());
        }
        state.admit(bytes, 0)?;
        state.received -= bytes;
        if let Some(request) = state.requests.get_mut(self.key) {
            request.stage = Stage::Handling;
        }
        state.wake_waiting();
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        let Some(request) = state.requests.remove(self.key) else {
            return;
        };
        match request.stage {
            Stage::Handling => *state.handled_mut(request.bytes) -= request.bytes,
            _ => state.received -= request.bytes,
        }
        state.wake_waiting();
    }
}

/// Returns the error of a request that was not handled, so that it may be sent again.
pub(crate) fn exhausted() -> Error {
    let message = "this VM holds as many requests as its memory allows";
    Error::new(Kind::Overloaded, message).with_retry_after(RETRY_AFTER)
}
