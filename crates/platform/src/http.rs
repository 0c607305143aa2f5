//! The HTTP client of the platform's service.

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

/// The maximum length of a response from the platform, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

#[derive(Clone)]
struct ServiceClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    timer: timer::Service,
    timeout: Duration,
}

/// Creates a client of the platform's service at `address`.
///
/// A call fails with [`Kind::StoreUnavailable`] if no connection can be made, and with
/// [`Kind::WriteUnknown`] if the response does not arrive within `timeout` or is malformed.
pub fn platform(address: SocketAddr, timer: timer::Service, timeout: Duration) -> Platform {
    let client = ServiceClient {
        client: Client::builder(TokioExecutor::new()).build_http(),
        address,
        timer,
        timeout,
    };
    Platform {
        tables: table_service(&client),
        objects: object_store(&client),
        vms: {
            let client = client.clone();
            Arc::new(move || {
                let client = client.clone();
                async move { client.send_json(Method::GET, "/v1/vms", &()).await }.boxed()
            })
        },
    }
}

fn table_service(client: &ServiceClient) -> table::Service {
    let writer = client.clone();
    let reader = client.clone();
    table::Service::new(
        Arc::new(move |transaction| {
            let client = writer.clone();
            async move {
                client
                    .send_json(Method::POST, "/v1/transact", &transaction)
                    .await
            }
            .boxed()
        }),
        Arc::new(move |query| {
            let client = reader.clone();
            async move { client.send_json(Method::POST, "/v1/scan", &query).await }.boxed()
        }),
    )
}

fn object_store(client: &ServiceClient) -> object::Store {
    let writer = client.clone();
    let reader = client.clone();
    object::Store::new(
        Arc::new(move |key, body| {
            let client = writer.clone();
            async move {
                let path = format!("/v1/objects/{key}");
                let (status, reply) = client.send(Method::PUT, &path, body).await?;
                expect_success(status, &reply)
            }
            .boxed()
        }),
        Arc::new(move |key| {
            let client = reader.clone();
            async move {
                let path = format!("/v1/objects/{key}");
                let (status, reply) = client.send(Method::GET, &path, Bytes::new()).await?;
                if status == StatusCode::NOT_FOUND {
                    return Ok(None);
                }
                expect_success(status, &reply)?;
                Ok(Some(reply))
            }
            .boxed()
        }),
    )
}

impl ServiceClient {
    async fn send_json<B, A>(&self, method: Method, path: &str, body: &B) -> Result<A>
    where
        B: Serialize + Sync,
        A: DeserializeOwned,
    {
        let body = serde_json::to_vec(body)
            .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
        let (status, reply) = self.send(method, path, body.into()).await?;
        expect_success(status, &reply)?;
        serde_json::from_slice(&reply).map_err(|error| outcome_unknown(error.to_string()))
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
                    outcome_unknown(error.to_string())
                }
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(|error| outcome_unknown(error.to_string()))?;
            Ok((status, body.to_bytes()))
        };
        self.timer
            .timeout(self.timeout, exchange)
            .await
            .unwrap_or_else(|| Err(outcome_unknown("no response within the timeout".to_owned())))
    }
}

fn expect_success(status: StatusCode, reply: &Bytes) -> Result<()> {
    if status.is_success() {
        return Ok(());
    }
    Err(serde_json::from_slice(reply)
        .unwrap_or_else(|_| unavailable(format!("the platform responded with status {status}"))))
}

fn unavailable(message: String) -> Error {
    Error::new(Kind::StoreUnavailable, message)
}

fn outcome_unknown(message: String) -> Error {
    Error::new(Kind::WriteUnknown, message)
}
