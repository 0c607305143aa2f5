//! The object store.

use std::sync::Arc;

use basilbridge_common::error::Result;
use bytes::Bytes;
use futures_util::future::BoxFuture;

type Put = Arc<dyn Fn(String, Bytes) -> BoxFuture<'static, Result<()>> + Send + Sync>;
type Get = Arc<dyn Fn(String) -> BoxFuture<'static, Result<Option<Bytes>>> + Send + Sync>;

/// The object store, as a closure for each of its two calls.
#[derive(Clone)]
pub struct Store {
    put: Put,
    get: Get,
}

impl Store {
    /// Creates a store from its two calls.
    pub fn new(put: Put, get: Get) -> Self {
        Self { put, get }
    }

    /// Stores `body` under `key`.
    ///
    /// Each key is written with one value only, so that a put can be repeated safely.
    pub async fn put(&self, key: String, body: Bytes) -> Result<()> {
        (self.put)(key, body).await
    }

    /// Returns the object under `key`, or `None` if there is none.
    pub async fn get(&self, key: String) -> Result<Option<Bytes>> {
        (self.get)(key).await
    }
}
