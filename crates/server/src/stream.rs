//! The TCP stream of each connection.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{
        Context,
        Poll,
        ready, //
    },
};

use basilbridge_common::timer;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
};

use crate::connection::{
    Connection,
    ConnectionTable, //
    Permission,
};

/// A TCP stream that updates the state of its connection and ends when the state requires it.
pub(crate) struct Stream {
    pub(crate) tcp: TcpStream,
    pub(crate) address: SocketAddr,
    pub(crate) connection: Arc<Connection>,
    pub(crate) table: Arc<ConnectionTable>,
    pub(crate) timer: timer::Service,
    pub(crate) max_head_bytes: usize,
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.connection.reader.register(cx.waker());
        let permission = self.connection.permission(self.max_head_bytes);
        if permission == Permission::Abort {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.tcp).poll_read(cx, buffer);
        if polled.is_pending() && permission == Permission::Close {
            // The server takes this for the end of the input and closes the connection.
            return Poll::Ready(Ok(()));
        }
        ready!(polled)?;
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            self.connection.received(self.timer.now(), bytes);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.tcp).poll_flush(cx))?;
        self.connection.flushed(self.timer.now());
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.table.remove(self.address);
    }
}
