//! A caller that keeps its connections open, and what it was answered.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use basilbridge_common::timer;
use bytes::Bytes;
use http::{
    Method,
    Request,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper_util::{
    client::legacy::{
        Client,
        connect::HttpConnector, //
    },
    rt::TokioExecutor,
};

pub(crate) const HOST: &str = "soak.example";
pub(crate) const PREFIX: &str = "/soak/";
pub(crate) const KEY: &str = "soak-key";

/// How long a caller waits for an answer, as on the users' platform.
pub(crate) const DEADLINE: Duration = Duration::from_secs(3);

/// The connections of all callers.
#[derive(Clone)]
pub(crate) struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    timer: timer::Service,
}

impl Caller {
    pub(crate) fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            timer: timer::Service::start(),
        }
    }

    /// Sends a request; no answer within the deadline, or a broken one, is nothing.
    pub(crate) async fn call(
        &self,
        vm: SocketAddr,
        method: Method,
        id: &str,
        key: &str,
        body: String,
    ) -> Option<(StatusCode, String)> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{vm}{PREFIX}{id}"))
            .header("host", HOST)
            .header("authorization", format!("Bearer {key}"))
            .header("deadline-ms", DEADLINE.as_millis().to_string())
            .body(Full::new(Bytes::from(body)))
            .expect("the request is well formed");
        let exchange = async {
            let response = self.client.request(request).await.ok()?;
            let status = response.status();
            let body = response.into_body().collect().await.ok()?;
            let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
            Some((status, text))
        };
        self.timer.timeout(DEADLINE, exchange).await.flatten()
    }
}
