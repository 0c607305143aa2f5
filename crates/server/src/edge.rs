//! What is done for every request before and after its route.

use std::{
    panic::RefUnwindSafe,
    pin::Pin,
    sync::{
        Arc,
        Weak, //
    },
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use basilbridge_common::{
    error::{
        Error,
        Kind, //
    },
    timer,
};
use bytes::Bytes;
use futures_util::FutureExt;
use gotham::{
    handler::{
        Handler,
        HandlerFuture,
        NewHandler, //
    },
    helpers::http::Body,
    http_body::{
        self,
        Frame,
        SizeHint, //
    },
    router::Router,
    state::{
        FromState,
        State,
        StateData,
        client_addr,
        request_id, //
    },
};
use http::{
    HeaderMap,
    HeaderValue,
    Response,
    StatusCode,
    Uri,
    Version,
    header, //
};
use http_body_util::BodyExt;

use crate::{
    body,
    connection::{
        Connection,
        Table, //
    },
    drain::RequestGuard,
    listener::Settings,
};

/// The header that names a request in the logs of all who handle it.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// How long the body of a request may take to come in.
#[derive(Clone, StateData)]
pub(crate) struct BodyTime {
    pub(crate) timer: timer::Service,
    pub(crate) limit: Duration,
}

impl RefUnwindSafe for BodyTime {}

/// Handles each request of a listener.
#[derive(Clone)]
pub(crate) struct Edge {
    pub(crate) router: Router,
    pub(crate) settings: Settings,
    pub(crate) table: Arc<Table>,
}

impl RefUnwindSafe for Edge {}

impl NewHandler for Edge {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for Edge {
    fn handle(self, state: State) -> Pin<Box<HandlerFuture>> {
        let connection = client_addr(&state).and_then(|address| self.table.get(address));
        let flight = Flight::new(&self.settings, connection);
        async move { self.answer(state, flight).await }.boxed()
    }
}

impl Edge {
    async fn answer(
        self,
        mut state: State,
        flight: Flight,
    ) -> Result<(State, Response<Body>), (State, gotham::handler::HandlerError)> {
        let version = Version::try_borrow_from(&state)
            .copied()
            .unwrap_or(Version::HTTP_11);
        state.put(BodyTime {
            timer: self.settings.timer.clone(),
            limit: self.settings.body_timeout,
        });
        let (state, response) = match self.check_head(&state) {
            Ok(()) => self.router.handle(state).await?,
            Err(error) => body::respond::<()>(state, StatusCode::OK, Err(error))?,
        };
        let (state, mut response) = explain(state, response)?;
        if let Ok(value) = HeaderValue::from_str(request_id(&state)) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        // Newer versions of the protocol have no such header.
        if version <= Version::HTTP_11 && self.settings.drain_state.is_draining() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        let response = response.map(|body| Counted { body, flight }.boxed_unsync());
        Ok((state, response))
    }

    fn check_head(&self, state: &State) -> Result<(), Error> {
        let too_large = |what: &str, limit: usize| {
            let message = format!("the {what} is longer than {limit} bytes");
            Err(Error::new(Kind::TooLarge, message))
        };
        let uri = Uri::borrow_from(state);
        let uri_bytes = uri.path_and_query().map_or(0, |path| path.as_str().len());
        if uri_bytes > self.settings.max_uri_bytes {
            return too_large("path", self.settings.max_uri_bytes);
        }
        let headers = HeaderMap::borrow_from(state);
        let header_bytes: usize = headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        if header_bytes > self.settings.max_header_bytes {
            return too_large("head", self.settings.max_header_bytes);
        }
        Ok(())
    }
}

/// Gives the answers that the router makes by itself the form of all others.
fn explain(
    state: State,
    response: Response<Body>,
) -> Result<(State, Response<Body>), (State, gotham::handler::HandlerError)> {
    if response.headers().contains_key(header::CONTENT_TYPE) {
        return Ok((state, response));
    }
    let error = match response.status() {
        StatusCode::NOT_FOUND => Error::new(Kind::NotFound, "there is no such path"),
        StatusCode::METHOD_NOT_ALLOWED => {
            Error::new(Kind::MethodNotAllowed, "the path has no such method")
        }
        StatusCode::BAD_REQUEST => Error::new(Kind::Malformed, "the path can't be read"),
        StatusCode::INTERNAL_SERVER_ERROR => Error::new(Kind::Internal, "the request failed"),
        _ => return Ok((state, response)),
    };
    let allow = response.headers().get(header::ALLOW).cloned();
    let (state, mut explained) = body::respond::<()>(state, StatusCode::OK, Err(error))?;
    if let Some(allow) = allow {
        explained.headers_mut().insert(header::ALLOW, allow);
    }
    Ok((state, explained))
}

/// A request from its head to the last byte of its answer.
struct Flight {
    pass: Option<RequestGuard>,
    /// The connection may end before the request, and then counts nothing any more.
    connection: Option<Weak<Connection>>,
    timer: timer::Service,
}

impl Flight {
    fn new(settings: &Settings, connection: Option<Arc<Connection>>) -> Self {
        if let Some(connection) = &connection {
            connection.enter();
        }
        Self {
            pass: Some(settings.drain_state.enter()),
            connection: connection.as_ref().map(Arc::downgrade),
            timer: settings.timer.clone(),
        }
    }

    fn connection(&self) -> Option<Arc<Connection>> {
        self.connection.as_ref().and_then(Weak::upgrade)
    }

    /// Leaves it to the connection to count the request until its answer is flushed.
    fn written(&mut self) {
        if let (Some(connection), Some(pass)) = (self.connection(), self.pass.take()) {
            connection.answered(pass);
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if let (Some(connection), Some(_)) = (self.connection(), self.pass.take()) {
            connection.abandoned(self.timer.now());
        }
    }
}

/// The body of an answer, which tells when its last byte is written.
struct Counted {
    body: Body,
    flight: Flight,
}

impl http_body::Body for Counted {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.flight.written();
    }
}
