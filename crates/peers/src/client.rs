//! A client for the services of other entry VMs.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use basilbridge_common::{
    backoff::Backoff,
    call::Call,
    error::{
        Error,
        Kind,
        Result, //
    },
    job::Status,
    timer,
    unit::Millis, //
};
use tonic::{
    ConnectError, Request,
    transport::{
        Channel,
        Endpoint, //
    },
};

use crate::{
    cell::Forwarded,
    convert,
    generated::{
        Advice,
        ClientRequest,
        Configuration,
        News,
        Process,
        Question,
        Stored,
        cell_client::CellClient,
        peer_client::PeerClient, //
    },
};

/// The interval between keep-alive pings on a connection.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// The timeout of a keep-alive ping, after which the connection is closed, and of a gossip
/// exchange.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// The timeout of an exchange of configurations, in which the peer may have to catch up.
const CONFIGURE_TIMEOUT: Duration = Duration::from_secs(2);

/// The timeout for establishing a connection. It is shorter than that of any forwarded request, so
/// that a request to a lost VM is known to be unsent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The minimum delay before another call to a peer that did not accept one.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// The maximum delay before another call to a peer that did not accept one.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// How long a peer counts as failing after a call to it failed, unless another succeeds.
const FAILING_PERIOD: Duration = Duration::from_secs(10);

/// A connection to a peer and the delay after failed attempts to reach it.
struct Peer {
    channel: Channel,
    backoff: Backoff,
    /// When the last call failed; `None` if it succeeded.
    failed_at: Option<Millis>,
}

/// A pool with one connection to each peer. Clones share the connections.
#[derive(Clone)]
pub struct Pool {
    peers: Arc<Mutex<HashMap<SocketAddr, Peer>>>,
    timer: timer::Service,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(timer: timer::Service) -> Self {
        Self {
            peers: Arc::default(),
            timer,
        }
    }

    /// Forwards a call to the peer at `address`, which owns the shard of the call.
    ///
    /// Fails with [`Kind::Unreachable`] if the peer is known not to have handled the call, and with
    /// [`Kind::OutcomeUnknown`] if it may have.
    pub async fn forward(&self, address: SocketAddr, call: &Call) -> Result<Status> {
        let wire = convert::call_to_wire(call)?;
        let mut client = PeerClient::new(self.channel(address)?);
        let exchange = client.forward(Request::new(wire));
        match self.timer.timeout(call.remaining, exchange).await {
            Some(Ok(reply)) => {
                self.record_success(address);
                convert::reply_from_wire(reply.into_inner())
            }
            Some(Err(status)) => Err(self.error_from_status(address, &status)),
            None => Err(Error::new(
                Kind::OutcomeUnknown,
                format!("the peer at {address} did not answer in time"),
            )),
        }
    }

    /// Exchanges gossip messages with the peer at `address`.
    pub async fn exchange(&self, address: SocketAddr, message: News) -> Result<News> {
        let mut client = PeerClient::new(self.channel(address)?);
        let exchange = client.exchange(Request::new(message));
        match self.timer.timeout(PING_TIMEOUT, exchange).await {
            Some(Ok(answer)) => {
                self.record_success(address);
                Ok(answer.into_inner())
            }
            Some(Err(status)) => Err(self.error_from_status(address, &status)),
            None => Err(Error::new(Kind::Unreachable, "no news in time")),
        }
    }

    /// Drops the connections to peers whose addresses are not listed.
    pub fn retain(&self, addresses: &[SocketAddr]) {
        self.lock().retain(|address, _| addresses.contains(address));
    }

    /// Returns the number of peers in the pool.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns whether the pool has no peers.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Exchanges the state of the configuration with the peer at `address`.
    pub async fn configure(
        &self,
        address: SocketAddr,
        configuration: Configuration,
    ) -> Result<Configuration> {
        let mut client = PeerClient::new(self.channel(address)?);
        let exchange = client.configure(Request::new(configuration));
        match self.timer.timeout(CONFIGURE_TIMEOUT, exchange).await {
            Some(Ok(configuration)) => Ok(configuration.into_inner()),
            Some(Err(status)) => Err(self.error_from_status(address, &status)),
            None => Err(Error::new(Kind::Unreachable, "no word in time")),
        }
    }

    /// Sends a query to the advice service through the peer at `address`.
    pub async fn advise(
        &self,
        address: SocketAddr,
        question: Question,
        limit: Duration,
    ) -> Result<Advice> {
        let mut client = CellClient::new(self.channel(address)?);
        let exchange = client.advise(Request::new(question));
        match self.timer.timeout(limit, exchange).await {
            Some(Ok(advice)) => {
                self.record_success(address);
                Ok(advice.into_inner())
            }
            Some(Err(status)) => Err(self.error_from_status(address, &status)),
            None => Err(Error::new(Kind::Unreachable, "no advice in time")),
        }
    }

    /// Returns the nonce of the process that listens at `address`, or `None` if the connection is
    /// refused.
    ///
    /// A process whose nonce is `nonce` holds its answer back, so that its end is noticed at once.
    pub async fn watch_process(
        &self,
        address: SocketAddr,
        nonce: u64,
        limit: Duration,
    ) -> Result<Option<u64>> {
        let mut client = CellClient::new(self.channel(address)?);
        let exchange = client.watch_process(Request::new(Process { nonce }));
        match self.timer.timeout(limit, exchange).await {
            Some(Ok(process)) => {
                self.record_success(address);
                Ok(Some(process.into_inner().nonce))
            }
            Some(Err(status)) if is_refused_connection(&status) => {
                self.record_failure(address);
                Ok(None)
            }
            Some(Err(status)) => Err(self.error_from_status(address, &status)),
            None => Err(Error::new(Kind::Unreachable, "no word in time")),
        }
    }

    /// Asks the peer at `address` to take over from the owner whose process has this nonce, and
    /// returns whether it will.
    pub async fn hand_over(
        &self,
        address: SocketAddr,
        nonce: u64,
        limit: Duration,
    ) -> Result<bool> {
        let mut client = CellClient::new(self.channel(address)?);
        let exchange = client.hand_over(Request::new(Process { nonce }));
        match self.timer.timeout(limit, exchange).await {
            Some(Ok(answer)) => Ok(answer.into_inner().nonce == nonce),
            Some(Err(status)) => Err(self.error_from_status(address, &status)),
            None => Err(Error::new(Kind::Unreachable, "no word in time")),
        }
    }

    /// Notifies the peer at `address` that a job or its cancellation was stored. Returns the peer's
    /// outlook as a JSON document; empty if it has none.
    pub async fn announce(
        &self,
        address: SocketAddr,
        stored: Stored,
        limit: Duration,
    ) -> Result<Vec<u8>> {
        let mut client = CellClient::new(self.channel(address)?);
        let exchange = client.announce(Request::new(stored));
        match self.timer.timeout(limit, exchange).await {
            Some(Ok(answer)) => Ok(answer.into_inner().outlook),
            Some(Err(status)) => Err(self.error_from_status(address, &status)),
            None => Err(Error::new(Kind::Unreachable, "no word in time")),
        }
    }

    /// Forwards a caller's request to the peer at `address`, which reaches the store.
    ///
    /// Fails with [`Kind::Unreachable`] if the peer is known not to have handled the request, and
    /// with [`Kind::OutcomeUnknown`] if it may have.
    pub async fn forward_request(
        &self,
        address: SocketAddr,
        request: ClientRequest,
        limit: Duration,
    ) -> Result<Forwarded> {
        let mut client = CellClient::new(self.channel(address)?);
        let exchange = client.forward_request(Request::new(request));
        match self.timer.timeout(limit, exchange).await {
            Some(Ok(reply)) => {
                self.record_success(address);
                Ok(convert::client_reply_from_wire(reply.into_inner()))
            }
            Some(Err(status)) => Err(self.error_from_status(address, &status)),
            None => {
                self.record_timeout(address);
                Err(Error::new(
                    Kind::OutcomeUnknown,
                    format!("the peer at {address} did not answer in time"),
                ))
            }
        }
    }

    /// Returns whether the last call to the peer at `address` failed a short time ago.
    pub fn is_failing(&self, address: SocketAddr) -> bool {
        let failed_at = self.lock().get(&address).and_then(|peer| peer.failed_at);
        failed_at.is_some_and(|at| self.timer.now().since(at) < FAILING_PERIOD)
    }

    /// Returns the connection to `address`, which is established on first use.
    ///
    /// Fails with [`Kind::Unreachable`] and the remaining delay while the peer is backed off.
    fn channel(&self, address: SocketAddr) -> Result<Channel> {
        let mut peers = self.lock();
        if let Some(peer) = peers.get(&address) {
            if let Some(wait) = peer.backoff.remaining(self.timer.now()) {
                let message = format!("the peer at {address} takes no connections");
                return Err(Error::new(Kind::Unreachable, message).with_retry_after(wait));
            }
            return Ok(peer.channel.clone());
        }
        let channel = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|error| Error::new(Kind::Internal, error.to_string()))?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .keep_alive_while_idle(true)
            .tcp_nodelay(true)
            .connect_lazy();
        let peer = Peer {
            channel: channel.clone(),
            backoff: Backoff::new(MIN_BACKOFF, MAX_BACKOFF),
            failed_at: None,
        };
        peers.insert(address, peer);
        Ok(channel)
    }

    fn record_failure(&self, address: SocketAddr) {
        if let Some(peer) = self.lock().get_mut(&address) {
            let now = self.timer.now();
            peer.failed_at = Some(now);
            peer.backoff.record_failure(now, rand::random());
        }
    }

    /// Records that a peer has not answered in time. It may only be slow, so it is not backed off.
    fn record_timeout(&self, address: SocketAddr) {
        if let Some(peer) = self.lock().get_mut(&address) {
            peer.failed_at = Some(self.timer.now());
        }
    }

    fn record_success(&self, address: SocketAddr) {
        if let Some(peer) = self.lock().get_mut(&address) {
            peer.failed_at = None;
            peer.backoff.record_success();
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Converts a failed call to an error: [`Kind::Unreachable`] if the call is known not to have
    /// been carried out, else [`Kind::OutcomeUnknown`].
    fn error_from_status(&self, address: SocketAddr, status: &tonic::Status) -> Error {
        let kind = if is_unsent(status) {
            self.record_failure(address);
            Kind::Unreachable
        } else {
            Kind::OutcomeUnknown
        };
        // The message of the status often describes only its outermost cause.
        let cause = causes(status).last().map(ToString::to_string);
        let cause = cause.unwrap_or_else(|| status.message().to_owned());
        Error::new(kind, format!("the peer at {address}: {cause}"))
    }
}

/// Returns whether a call is known not to have been carried out: the connection could not be
/// established, it was closed before the call was sent, or the peer rejected the call unread.
fn is_unsent(status: &tonic::Status) -> bool {
    causes(status).any(|error| {
        let cancelled_before_sending = error
            .downcast_ref::<hyper::Error>()
            .is_some_and(hyper::Error::is_canceled);
        let rejected = error
            .downcast_ref::<h2::Error>()
            .is_some_and(is_rejected_unread);
        cancelled_before_sending || rejected || error.is::<ConnectError>()
    })
}

/// Returns whether a call failed because nothing listens at the address.
fn is_refused_connection(status: &tonic::Status) -> bool {
    causes(status).any(|error| {
        error
            .downcast_ref::<std::io::Error>()
            .is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
    })
}

/// Returns whether the peer rejected a call unread.
///
/// A peer that shuts down sends a graceful GOAWAY, with which HTTP/2 fails only the calls after the
/// last one that the peer has read.
fn is_rejected_unread(error: &h2::Error) -> bool {
    let graceful_go_away = error.is_go_away() && error.reason() == Some(h2::Reason::NO_ERROR);
    let rejected_stream = error.is_reset() && error.reason() == Some(h2::Reason::REFUSED_STREAM);
    error.is_remote() && (graceful_go_away || rejected_stream)
}

/// Returns the sources of an error from the outermost to the innermost.
fn causes(status: &tonic::Status) -> impl Iterator<Item = &(dyn std::error::Error + 'static)> {
    let first = std::error::Error::source(status);
    std::iter::successors(first, |error| error.source())
}
