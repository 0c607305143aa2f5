//! A proxy on loopback that delays, silences, cuts one way or closes connections.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::timer;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener, TcpStream,
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        },
    },
    sync::watch,
};

/// What happens to the bytes of connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    Open,
    Delayed(Duration),
    /// Connections go silent for good, those that are opened meanwhile too.
    Silent,
    /// What the far end sends is lost, and what it is sent is not.
    Deaf,
    /// What the far end is sent is lost, and what it sends is not.
    Mute,
    /// Connections are closed, and new ones too.
    Closed,
}

/// The time between two looks for a far end that has refused a connection.
const REFUSED_INTERVAL: Duration = Duration::from_millis(20);

/// What is set for the connections of a proxy.
#[derive(Debug, Clone, Copy)]
struct Setting {
    mode: Mode,
    /// Holds instead of `mode` while a partition separates the two ends.
    cut: Option<Mode>,
}

impl Setting {
    fn mode(self) -> Mode {
        self.cut.unwrap_or(self.mode)
    }
}

/// A proxy to one address. It refuses connections while the far end does.
#[derive(Clone)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    setting: Arc<watch::Sender<Setting>>,
    /// Counts the ends of the process at the far end.
    resets: Arc<watch::Sender<u64>>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Side {
    Requests,
    Answers,
}

impl Proxy {
    /// Binds `address` and passes connections on to `far`.
    pub(crate) async fn start(address: SocketAddr, far: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let setting = Setting {
            mode: Mode::Open,
            cut: None,
        };
        let proxy = Self {
            address: listener.local_addr()?,
            setting: Arc::new(watch::Sender::new(setting)),
            resets: Arc::default(),
        };
        let listening = proxy.clone();
        tokio::spawn(async move { listening.listen(listener, far).await });
        Ok(proxy)
    }

    async fn listen(self, mut listener: TcpListener, far: SocketAddr) {
        let timer = timer::Service::start();
        while let Ok((near, _)) = listener.accept().await {
            if self.setting.borrow().mode() == Mode::Closed {
                continue;
            }
            if let Ok(far) = TcpStream::connect(far).await {
                let (setting, resets) = (self.setting.subscribe(), self.resets.subscribe());
                tokio::spawn(connect(near, far, setting, resets));
                continue;
            }
            drop((near, listener));
            while TcpStream::connect(far).await.is_err() {
                timer.sleep(REFUSED_INTERVAL).await;
            }
            let again = TcpListener::bind(self.address).await;
            listener = again.expect("nothing else takes the address");
        }
    }

    pub(crate) fn set(&self, mode: Mode) {
        self.setting.send_modify(|setting| setting.mode = mode);
    }

    /// Begins or ends a cut, which holds whatever else is set.
    pub(crate) fn cut(&self, cut: Option<Mode>) {
        self.setting.send_modify(|setting| setting.cut = cut);
    }

    /// Ends all connections as the end of the process does that has accepted them. Those that have
    /// gone silent stay so.
    pub(crate) fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

async fn connect(
    near: TcpStream,
    far: TcpStream,
    setting: watch::Receiver<Setting>,
    mut resets: watch::Receiver<u64>,
) {
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let current = setting.clone();
    let reset = async {
        // The sender lives as long as the proxy.
        let _ = resets.changed().await;
        if current.borrow().mode() == Mode::Silent {
            std::future::pending::<()>().await;
        }
    };
    let mut closed = setting.clone();
    tokio::select! {
        () = pass(near_read, far_write, setting.clone(), Side::Requests) => {}
        () = pass(far_read, near_write, setting, Side::Answers) => {}
        _ = closed.wait_for(|setting| setting.mode() == Mode::Closed) => {}
        () = reset => {}
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    setting: watch::Receiver<Setting>,
    side: Side,
) {
    let timer = timer::Service::start();
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(count) = from.read(&mut buffer).await
        && count > 0
    {
        let now = setting.borrow().mode();
        match now {
            Mode::Delayed(time) => timer.sleep(time).await,
            Mode::Silent => std::future::pending().await,
            Mode::Deaf if side == Side::Answers => std::future::pending().await,
            Mode::Mute if side == Side::Requests => std::future::pending().await,
            Mode::Open | Mode::Deaf | Mode::Mute | Mode::Closed => {}
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
