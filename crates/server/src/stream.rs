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

use crate::{
    connection::{
        Connection,
        Permission, //
    },
    memory::{
        Budget,
        Reservation, //
    },
    table::ConnectionTable,
};

/// The most bytes per read. The buffer of `hyper`, which begins with one more byte, grows only if a
/// read fills it.
const READ_BYTES: usize = 8191;

/// The memory that a byte of an incomplete head takes in the buffer of `hyper`, which doubles.
const MEMORY_PER_HEAD_BYTE: usize = 2;

/// The memory that an incomplete head holds, beyond what each connection may.
pub(crate) struct HeadMemory {
    reservation: Reservation,
    bytes: usize,
}

/// A TCP stream that updates the state of its connection and ends when the state requires it.
pub(crate) struct Stream {
    pub(crate) tcp: TcpStream,
    pub(crate) address: SocketAddr,
    pub(crate) connection: Arc<Connection>,
    pub(crate) table: Arc<ConnectionTable>,
    pub(crate) timer: timer::Service,
    pub(crate) max_head_bytes: usize,
    pub(crate) budget: Budget,
    pub(crate) head_memory: Option<HeadMemory>,
}

impl Stream {
    /// Reserves memory for the next read, if a head is being received that is longer than one read.
    /// It is released once the head is complete.
    fn poll_head_memory(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let head_bytes = self.connection.head_bytes();
        if head_bytes < READ_BYTES {
            self.head_memory = None;
            return Poll::Ready(Ok(()));
        }
        let now = self.timer.now();
        let budget = &self.budget;
        let head = self.head_memory.get_or_insert_with(|| HeadMemory {
            reservation: budget.receive(now),
            bytes: 0,
        });
        let needed = MEMORY_PER_HEAD_BYTE * (head_bytes + READ_BYTES);
        if needed > head.bytes {
            let grown = head.reservation.poll_grow(cx, needed - head.bytes, now);
            ready!(grown).map_err(|_| io::ErrorKind::OutOfMemory)?;
            head.bytes = needed;
        }
        match head.reservation.poll_evicted(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::OutOfMemory.into())),
            Poll::Pending => Poll::Ready(Ok(())),
        }
    }

    /// Records whether the client takes what is written.
    fn record_write<T>(&self, polled: &Poll<io::Result<T>>) {
        self.connection
            .set_blocked(self.timer.now(), polled.is_pending());
    }

    fn check_aborted(&self) -> io::Result<()> {
        match self.connection.is_aborted() {
            true => Err(io::ErrorKind::TimedOut.into()),
            false => Ok(()),
        }
    }
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
        ready!(self.poll_head_memory(cx))?;
        let length = buffer.remaining().min(READ_BYTES);
        let mut limited = ReadBuf::new(buffer.initialize_unfilled_to(length));
        let polled = Pin::new(&mut self.tcp).poll_read(cx, &mut limited);
        if polled.is_pending() && permission == Permission::Close {
            // The server takes this for the end of the input and closes the connection.
            return Poll::Ready(Ok(()));
        }
        ready!(polled)?;
        let received = limited.filled();
        let bytes = received.len();
        if bytes > 0 {
            self.connection.received(self.timer.now(), received);
        }
        buffer.advance(bytes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_aborted()?;
        let polled = Pin::new(&mut self.tcp).poll_write(cx, bytes);
        self.record_write(&polled);
        polled
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
        self.check_aborted()?;
        let polled = Pin::new(&mut self.tcp).poll_write_vectored(cx, parts);
        self.record_write(&polled);
        polled
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
