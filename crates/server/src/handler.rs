//! Handles each request before and after its route.

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
    body::{
        self,
        Receiver, //
    },
    connection::Connection,
    drain::RequestGuard,
    listener::Settings,
    table::ConnectionTable,
};

/// The header with the id of a request, which all VMs and workers that handle it log.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Checks each request of a listener and passes it to the router.
#[derive(Clone)]
pub(crate) struct RequestHandler {
    pub(crate) router: Router,
    pub(crate) settings: Settings,
    pub(crate) table: Arc<ConnectionTable>,
}

impl RefUnwindSafe for RequestHandler {}

impl NewHandler for RequestHandler {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for RequestHandler {
    fn handle(self, state: State) -> Pin<Box<HandlerFuture>> {
        let connection = client_addr(&state).and_then(|address| self.table.get(address));
        let request = InFlightRequest::new(&self.settings, connection);
        async move { self.handle_request(state, request).await }.boxed()
    }
}

impl RequestHandler {
    async fn handle_request(
        self,
        mut state: State,
        request: InFlightRequest,
    ) -> Result<(State, Response<Body>), (State, gotham::handler::HandlerError)> {
        let version = Version::try_borrow_from(&state)
            .copied()
            .unwrap_or(Version::HTTP_11);
        state.put(Receiver::new(&self.settings, request.connection()));
        let (state, response) = match self.check_head(&state) {
            Ok(()) => self.router.handle(state).await?,
            Err(error) => body::respond::<()>(state, StatusCode::OK, Err(error))?,
        };
        let (state, mut response) = format_router_error(state, response)?;
        if let Ok(value) = HeaderValue::from_str(request_id(&state)) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        // HTTP/2 and later have no such header.
        if version <= Version::HTTP_11 && self.settings.drain_state.is_draining() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        let response = response.map(|body| TrackedBody { body, request }.boxed_unsync());
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

/// Replaces the error responses of the router by ones with an error document.
fn format_router_error(
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
    let (state, mut formatted) = body::respond::<()>(state, StatusCode::OK, Err(error))?;
    if let Some(allow) = allow {
        formatted.headers_mut().insert(header::ALLOW, allow);
    }
    Ok((state, formatted))
}

/// A request from its complete head to the last byte of its response.
struct InFlightRequest {
    guard: Option<RequestGuard>,
    /// A weak reference: the connection may end first and then no longer counts the request.
    connection: Option<Weak<Connection>>,
    timer: timer::Service,
}

impl InFlightRequest {
    fn new(settings: &Settings, connection: Option<Arc<Connection>>) -> Self {
        if let Some(connection) = &connection {
            connection.begin_request();
        }
        Self {
            guard: Some(settings.drain_state.begin_request()),
            connection: connection.as_ref().map(Arc::downgrade),
            timer: settings.timer.clone(),
        }
    }

    fn connection(&self) -> Option<Arc<Connection>> {
        self.connection.as_ref().and_then(Weak::upgrade)
    }

    /// Hands the guard over to the connection, which holds it until the response is flushed.
    fn hand_over_guard(&mut self) {
        if let (Some(connection), Some(guard)) = (self.connection(), self.guard.take()) {
            connection.response_written(guard);
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if let (Some(connection), Some(_)) = (self.connection(), self.guard.take()) {
            connection.request_aborted(self.timer.now());
        }
    }
}

/// The body of a response; it is dropped when its last byte has been written.
struct TrackedBody {
    body: Body,
    request: InFlightRequest,
}

impl http_body::Body for TrackedBody {
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

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.request.hand_over_guard();
    }
}
