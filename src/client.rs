//! An HTTP client for the interfaces of an entry VM, used by the command line.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    id::{
        Job,
        Version, //
    },
    job::{
        Request,
        Status, //
    },
    worker::Worker,
};
use basilbridge_operators::{
    audit::Page,
    change::{
        Accepted,
        Edit, //
    },
    configuration::Configuration,
    data_centre::DataCentre,
    plan::{
        self,
        Plan, //
    },
};
use bytes::Bytes;
use http::{
    Method,
    header, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper_util::{
    client::legacy::Client as HttpClient,
    rt::TokioExecutor, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

/// A client that sends requests to one address with one key.
#[derive(Debug, Clone)]
pub struct Client {
    address: SocketAddr,
    key: Option<String>,
}

impl Client {
    /// Creates a client for the interface at `address`.
    pub fn new(address: SocketAddr, key: Option<String>) -> Self {
        Self { address, key }
    }

    /// Submits a job; the VM answers within `timeout`.
    pub async fn submit(&self, request: &Request, timeout: Duration) -> Result<Status> {
        self.send(Method::POST, "/v1/jobs", Some(request), Some(timeout))
            .await
    }

    /// Returns the status of a job.
    pub async fn status(&self, job: &Job) -> Result<Status> {
        let path = format!("/v1/jobs/{job}");
        self.send(Method::GET, &path, None::<&()>, None).await
    }

    /// Waits until a job is in a final state, for at most `timeout`, and returns its status.
    pub async fn wait(&self, job: &Job, timeout: Duration) -> Result<Status> {
        let path = format!("/v1/jobs/{job}/wait");
        self.send(Method::GET, &path, None::<&()>, Some(timeout))
            .await
    }

    /// Cancels a job and returns its status.
    pub async fn cancel(&self, job: &Job) -> Result<Status> {
        let path = format!("/v1/jobs/{job}");
        self.send(Method::DELETE, &path, None::<&()>, None).await
    }

    /// Returns the workers in the directory of the VM.
    pub async fn workers(&self) -> Result<Vec<Worker>> {
        self.send(Method::GET, "/v1/workers", None::<&()>, None)
            .await
    }

    /// Returns the data centres that the VM knows of.
    pub async fn data_centres(&self) -> Result<Vec<DataCentre>> {
        self.send(Method::GET, "/v1/data-centres", None::<&()>, None)
            .await
    }

    /// Returns the configuration that is in force on the VM.
    pub async fn configuration(&self) -> Result<Configuration> {
        self.send(Method::GET, "/v1/configuration", None::<&()>, None)
            .await
    }

    /// Replaces the configuration if its version is still that of `next`.
    pub async fn replace(&self, next: &Configuration) -> Result<Configuration> {
        self.send(Method::PUT, "/v1/configuration", Some(next), None)
            .await
    }

    /// Applies an edit and waits until it is in force, for at most `timeout`.
    pub async fn edit(&self, edit: &Edit, timeout: Duration) -> Result<Accepted> {
        self.send(Method::POST, "/v1/edits", Some(edit), Some(timeout))
            .await
    }

    /// Plans an intent without applying it.
    pub async fn plan(&self, request: &plan::Request) -> Result<Plan> {
        self.send(Method::POST, "/v1/plans", Some(request), None)
            .await
    }

    /// Confirms a plan and waits until it is in force, for at most `timeout`.
    pub async fn confirm(&self, plan: &str, timeout: Duration) -> Result<Accepted> {
        let path = format!("/v1/plans/{plan}/confirm");
        self.send(Method::POST, &path, None::<&()>, Some(timeout))
            .await
    }

    /// Returns a page of the audit trail, with the entries after the position `after`.
    pub async fn audit(&self, after: Version) -> Result<Page> {
        let path = format!("/v1/audit/{}", after.0);
        self.send(Method::GET, &path, None::<&()>, None).await
    }

    /// Sends a request and parses the JSON response.
    ///
    /// # Errors
    ///
    /// Returns the error that the VM answers, [`Kind::Unreachable`] if no connection could be made,
    /// [`Kind::OutcomeUnknown`] if the request failed later, and [`Kind::Truncated`] if the
    /// response is incomplete or can't be parsed.
    async fn send<B: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&B>,
        timeout: Option<Duration>,
    ) -> Result<A> {
        let internal = |error: String| Error::new(Kind::Internal, error);
        let mut request = http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        if let Some(key) = &self.key {
            request = request.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        if let Some(timeout) = timeout {
            let name = basilbridge_callers::route::TIMEOUT_HEADER;
            request = request.header(name, timeout.as_millis().to_string());
        }
        let body = match body {
            Some(body) => serde_json::to_vec(body).map_err(|error| internal(error.to_string()))?,
            None => Vec::new(),
        };
        let request = request
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| internal(error.to_string()))?;
        let client: HttpClient<_, Full<Bytes>> =
            HttpClient::builder(TokioExecutor::new()).build_http();
        let response = client.request(request).await.map_err(|error| {
            let kind = if error.is_connect() {
                Kind::Unreachable
            } else {
                Kind::OutcomeUnknown
            };
            Error::new(kind, format!("{}: {error}", self.address))
        })?;
        let status = response.status();
        let content = response
            .into_body()
            .collect()
            .await
            .map_err(|error| Error::new(Kind::Truncated, error.to_string()))?
            .to_bytes();
        if status.is_success() {
            return serde_json::from_slice(&content)
                .map_err(|error| Error::new(Kind::Truncated, error.to_string()));
        }
        Err(serde_json::from_slice(&content).unwrap_or_else(|_| {
            Error::new(
                Kind::Internal,
                format!("unexpected response with status {status}"),
            )
        }))
    }
}
