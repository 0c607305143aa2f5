//! Calls to other entry VMs.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use basilbridge_common::{
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
    Request,
    transport::{
        Channel,
        Endpoint, //
    },
};

use crate::{
    convert,
    generated::{
        Configuration,
        News,
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

/// One connection to each peer; clones share them.
#[derive(Clone)]
pub struct Pool {
    channels: Arc<Mutex<HashMap<SocketAddr, Channel>>>,
    timer: timer::Service,
}

impl Pool {
    /// Makes a pool without connections.
    pub fn new(timer: timer::Service) -> Self {
        Self {
            channels: Arc::default(),
            timer,
        }
    }

    /// Hands a call to the peer at `address`.
    pub async fn forward(&self, address: SocketAddr, call: &Call) -> Result<Status> {
        let wire = convert::call_to_wire(call)?;
        let mut client = PeerClient::new(self.channel(address)?);
        let exchange = client.forward(Request::new(wire));
        match self.timer.timeout(call.remaining, exchange).await {
            Some(Ok(reply)) => convert::reply_from_wire(reply.into_inner()),
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
            Some(Ok(news)) => Ok(news.into_inner()),
            Some(Err(status)) => Err(self.failed(address, &status)),
            None => Err(Error::new(Kind::Unreachable, "no news in time")),
        }
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

    fn channel(&self, address: SocketAddr) -> Result<Channel> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(&address) {
            return Ok(channel.clone());
        }
        let channel = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|error| Error::new(Kind::Internal, error.to_string()))?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .keep_alive_while_idle(true)
            .tcp_nodelay(true)
            .connect_lazy();
        channels.insert(address, channel.clone());
        Ok(channel)
    }

    /// Tells a call that was never sent from one whose outcome is not known.
    fn failed(&self, address: SocketAddr, status: &tonic::Status) -> Error {
        let refused = std::error::Error::source(status)
            .and_then(|error| error.downcast_ref::<tonic::transport::Error>())
            .is_some_and(|error| format!("{error:?}").contains("ConnectError"));
        let kind = if refused {
            Kind::Unreachable
        } else {
            Kind::OutcomeUnknown
        };
        Error::new(kind, format!("the peer at {address}: {}", status.message()))
    }
}
