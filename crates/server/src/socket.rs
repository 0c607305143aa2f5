//! Binds listeners with small socket buffers.

use std::{
    io,
    net::SocketAddr, //
};

use tokio::net::{
    TcpListener,
    TcpSocket, //
};

/// The length of the queue of connections that are not accepted yet.
const BACKLOG: u32 = 1024;

/// Binds `address`. Connections get buffers of `buffer_bytes` in each direction, or those of the
/// system if it is `None`.
///
/// What a client sends stays in the receive buffer while this process does other work, and the
/// system lets that buffer grow to megabytes.
pub(crate) fn bind(address: SocketAddr, buffer_bytes: Option<u32>) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    if let Some(bytes) = buffer_bytes {
        // A system that does not know these options has buffers of its own.
        let _ = socket.set_recv_buffer_size(bytes);
        let _ = socket.set_send_buffer_size(bytes);
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
