//! The object store.

use std::sync::Arc;

use basilbridge_common::error::Result;
use bytes::Bytes;
use futures_util::future::BoxFuture;

type Put = Arc<dyn Fn(String, Bytes) -> BoxFuture<'static, Result<()>> + Send + Sync>;
type Get = Arc<dyn Fn(String) -> BoxFuture<'static, Result<Option<Bytes>>> + Send + Sync>;

/// The object store, by the two calls that it takes.
#[derive(Clone)]
pub struct Store {
    put: Put,
    get: Get,
}

impl Store {
    /// Makes a store of its two calls.
    pub fn new(put: Put, get: Get) -> Self {
        Self { put, get }
    }

    /// Keeps `body` under `key`; a key is written once, so a repeated put is harmless.
    pub async fn put(&self, key: String, body: Bytes) -> Result<()> {
        (self.put)(key, body).await
    }

    /// Returns the object under `key`, if there is one.
    pub async fn get(&self, key: String) -> Result<Option<Bytes>> {
        (self.get)(key).await
    }
}
