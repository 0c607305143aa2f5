//! Calls to other entry VMs.

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
};
use tonic::{
    ConnectError, Request,
    transport::{
        Channel,
        Endpoint, //
    },
};

use crate::{
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

/// How often a connection is asked whether it still lives.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// How long a connection may leave that question open.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a peer may take to catch up with the configuration.
const CONFIGURE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a peer may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long to wait before a peer that refused a connection is dialled again.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);

/// The longest such wait.
const LONGEST_BACKOFF: Duration = Duration::from_secs(1);

struct Peer {
    channel: Channel,
    backoff: Backoff,
}

/// One connection to each peer; clones share them.
#[derive(Clone)]
pub struct Pool {
    peers: Arc<Mutex<HashMap<SocketAddr, Peer>>>,
    timer: timer::Service,
}

impl Pool {
    /// Makes a pool without connections.
    pub fn new(timer: timer::Service) -> Self {
        Self {
            peers: Arc::default(),
            timer,
        }
    }

    /// Hands a call to the peer at `address`.
    pub async fn forward(&self, address: SocketAddr, call: &Call) -> Result<Status> {
        let wire = convert::call_to_wire(call)?;
        let mut client = PeerClient::new(self.channel(address)?);
        let exchange = client.forward(Request::new(wire));
        match self.timer.timeout(call.remaining, exchange).await {
            Some(Ok(reply)) => {
                self.note_answer(address);
                convert::reply_from_wire(reply.into_inner())
            }
            Some(Err(status)) => Err(self.failed(address, &status)),
            None => Err(Error::new(
                Kind::OutcomeUnknown,
                format!("the peer at {address} did not answer in time"),
            )),
        }
    }

    /// Swaps news with the peer at `address`.
    pub async fn exchange(&self, address: SocketAddr, news: News) -> Result<News> {
        let mut client = PeerClient::new(self.channel(address)?);
        let exchange = client.exchange(Request::new(news));
        match self.timer.timeout(PING_TIMEOUT, exchange).await {
            Some(Ok(news)) => {
                self.note_answer(address);
                Ok(news.into_inner())
            }
            Some(Err(status)) => Err(self.failed(address, &status)),
            None => Err(Error::new(Kind::Unreachable, "no news in time")),
        }
    }

    /// Drops the connections to all peers but these.
    pub fn retain(&self, addresses: &[SocketAddr]) {
        self.lock().retain(|address, _| addresses.contains(address));
    }

    /// Returns how many peers have a connection.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Says whether no peer has a connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Swaps what both know of the configuration with the peer at `address`.
    pub async fn configure(
        &self,
        address: SocketAddr,
        configuration: Configuration,
    ) -> Result<Configuration> {
        let mut client = PeerClient::new(self.channel(address)?);
        let exchange = client.configure(Request::new(configuration));
        match self.timer.timeout(CONFIGURE_TIMEOUT, exchange).await {
            Some(Ok(configuration)) => Ok(configuration.into_inner()),
            Some(Err(status)) => Err(self.failed(address, &status)),
            None => Err(Error::new(Kind::Unreachable, "no word in time")),
        }
    }

    /// Lets the peer at `address` ask the advice service.
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
                self.note_answer(address);
                Ok(advice.into_inner())
            }
            Some(Err(status)) => Err(self.failed(address, &status)),
            None => Err(Error::new(Kind::Unreachable, "no advice in time")),
        }
    }

    /// Asks which process answers at `address`, where `nonce` is expected to.
    ///
    /// Returns nothing where no process listens.
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
                self.note_answer(address);
                Ok(Some(process.into_inner().nonce))
            }
            Some(Err(status)) if is_refused_connection(&status) => {
                self.note_refusal(address);
                Ok(None)
            }
            Some(Err(status)) => Err(self.failed(address, &status)),
            None => Err(Error::new(Kind::Unreachable, "no word in time")),
        }
    }

    /// Asks the peer at `address` to take over from the owner with this number; says whether it will.
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
            Some(Err(status)) => Err(self.failed(address, &status)),
            None => Err(Error::new(Kind::Unreachable, "no word in time")),
        }
    }

    /// Announces to the peer at `address` what was stored of a job.
    pub async fn announce(
        &self,
        address: SocketAddr,
        stored: Stored,
        limit: Duration,
    ) -> Result<()> {
        let mut client = CellClient::new(self.channel(address)?);
        let exchange = client.announce(Request::new(stored));
        match self.timer.timeout(limit, exchange).await {
            Some(Ok(_)) => Ok(()),
            Some(Err(status)) => Err(self.failed(address, &status)),
            None => Err(Error::new(Kind::Unreachable, "no word in time")),
        }
    }

    /// Hands a call on to the peer at `address`.
    pub async fn forward_request(
        &self,
        address: SocketAddr,
        request: ClientRequest,
        limit: Duration,
    ) -> Result<serde_json::Value> {
        let mut client = CellClient::new(self.channel(address)?);
        let exchange = client.forward_request(Request::new(request));
        match self.timer.timeout(limit, exchange).await {
            Some(Ok(reply)) => {
                self.note_answer(address);
                convert::client_reply_from_wire(reply.into_inner())
            }
            Some(Err(status)) => Err(self.failed(address, &status)),
            None => Err(Error::new(
                Kind::OutcomeUnknown,
                format!("the peer at {address} did not answer in time"),
            )),
        }
    }

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
            backoff: Backoff::new(FIRST_BACKOFF, LONGEST_BACKOFF),
        };
        peers.insert(address, peer);
        Ok(channel)
    }

    fn note_refusal(&self, address: SocketAddr) {
        if let Some(peer) = self.lock().get_mut(&address) {
            peer.backoff
                .record_failure(self.timer.now(), rand::random());
        }
    }

    fn note_answer(&self, address: SocketAddr) {
        if let Some(peer) = self.lock().get_mut(&address) {
            peer.backoff.record_success();
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells a call that was never sent from one whose outcome is not known.
    fn failed(&self, address: SocketAddr, status: &tonic::Status) -> Error {
        let kind = if is_unsent(status) {
            self.note_refusal(address);
            Kind::Unreachable
        } else {
            Kind::OutcomeUnknown
        };
        // The message of the status is often only that of its outermost cause.
        let cause = causes(status).last().map(ToString::to_string);
        let cause = cause.unwrap_or_else(|| status.message().to_owned());
        Error::new(kind, format!("the peer at {address}: {cause}"))
    }
}

/// Says whether a call was provably not carried out: no connection could be made for it, the
/// connection ended while it waited for its turn, or the peer refused it unread.
fn is_unsent(status: &tonic::Status) -> bool {
    causes(status).any(|error| {
        let canceled = error
            .downcast_ref::<hyper::Error>()
            .is_some_and(hyper::Error::is_canceled);
        let refused = error.downcast_ref::<h2::Error>().is_some_and(is_refused);
        canceled || refused || error.is::<ConnectError>()
    })
}

/// Says whether a call failed because nothing listens at the address.
fn is_refused_connection(status: &tonic::Status) -> bool {
    causes(status).any(|error| {
        error
            .downcast_ref::<std::io::Error>()
            .is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
    })
}

/// Says whether a peer that is stopping has refused a call unread.
///
/// HTTP/2 fails with a graceful GOAWAY only the calls above the last one that the peer has read.
fn is_refused(error: &h2::Error) -> bool {
    let stopping = error.is_go_away() && error.reason() == Some(h2::Reason::NO_ERROR);
    let stream = error.is_reset() && error.reason() == Some(h2::Reason::REFUSED_STREAM);
    error.is_remote() && (stopping || stream)
}

fn causes(status: &tonic::Status) -> impl Iterator<Item = &(dyn std::error::Error + 'static)> {
    let first = std::error::Error::source(status);
    std::iter::successors(first, |error| error.source())
}
