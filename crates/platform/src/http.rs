//! The platform's service over HTTP.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    timer,
};
use bytes::Bytes;
use futures_util::FutureExt;
use http::{
    Method,
    Request,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper_util::{
    client::legacy::{
        Client,
        connect::HttpConnector, //
    },
    rt::TokioExecutor,
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::{
    Platform,
    object,
    table, //
};

/// The longest answer that is read from the platform, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

#[derive(Clone)]
struct Connection {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    timer: timer::Service,
    timeout: Duration,
}

/// Makes a client of the platform's service at `address`.
pub fn platform(address: SocketAddr, timer: timer::Service, timeout: Duration) -> Platform {
    let connection = Connection {
        client: Client::builder(TokioExecutor::new()).build_http(),
        address,
        timer,
        timeout,
    };
    Platform {
        tables: tables(&connection),
        objects: objects(&connection),
        vms: {
            let connection = connection.clone();
            Arc::new(move || {
                let connection = connection.clone();
                async move { connection.json(Method::GET, "/v1/vms", &()).await }.boxed()
            })
        },
    }
}

fn tables(connection: &Connection) -> table::Service {
    let writer = connection.clone();
    let reader = connection.clone();
    table::Service::new(
        Arc::new(move |transaction| {
            let connection = writer.clone();
            async move {
                connection
                    .json(Method::POST, "/v1/transact", &transaction)
                    .await
            }
            .boxed()
        }),
        Arc::new(move |query| {
            let connection = reader.clone();
            async move { connection.json(Method::POST, "/v1/scan", &query).await }.boxed()
        }),
    )
}

fn objects(connection: &Connection) -> object::Store {
    let writer = connection.clone();
    let reader = connection.clone();
    object::Store::new(
        Arc::new(move |key, body| {
            let connection = writer.clone();
            async move {
                let path = format!("/v1/objects/{key}");
                let (status, answer) = connection.send(Method::PUT, &path, body).await?;
                expect_success(status, &answer)
            }
            .boxed()
        }),
        Arc::new(move |key| {
            let connection = reader.clone();
            async move {
                let path = format!("/v1/objects/{key}");
                let (status, answer) = connection.send(Method::GET, &path, Bytes::new()).await?;
                if status == StatusCode::NOT_FOUND {
                    return Ok(None);
                }
                expect_success(status, &answer)?;
                Ok(Some(answer))
            }
            .boxed()
        }),
    )
}

impl Connection {
    async fn json<B, A>(&self, method: Method, path: &str, body: &B) -> Result<A>
    where
        B: Serialize + Sync,
        A: DeserializeOwned,
    {
        let body = serde_json::to_vec(body)
            .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
        let (status, answer) = self.send(method, path, body.into()).await?;
        expect_success(status, &answer)?;
        serde_json::from_slice(&answer).map_err(|error| lost(error.to_string()))
    }

    async fn send(&self, method: Method, path: &str, body: Bytes) -> Result<(StatusCode, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    unavailable(error.to_string())
                } else {
                    lost(error.to_string())
                }
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
                .collect()
                .await
                .map_err(|error| lost(error.to_string()))?;
            Ok((status, body.to_bytes()))
        };
        self.timer
            .timeout(self.timeout, exchange)
            .await
            .unwrap_or_else(|| Err(lost("no answer in time".to_owned())))
    }
}

fn expect_success(status: StatusCode, answer: &Bytes) -> Result<()> {
    if status.is_success() {
        return Ok(());
    }
    Err(serde_json::from_slice(answer)
        .unwrap_or_else(|_| unavailable(format!("the platform answered {status}"))))
}

fn unavailable(message: String) -> Error {
    Error::new(Kind::StoreUnavailable, message)
}

fn lost(message: String) -> Error {
    Error::new(Kind::WriteUnknown, message)
}
