//! Opens listeners, with bounds on what the operating system keeps for their connections.

use std::net::SocketAddr;

use async_net::TcpListener;
use rustix::net::sockopt::{set_socket_recv_buffer_size, set_socket_send_buffer_size};
use snafu::ResultExt;

use crate::error::{ListenSnafu, Result};

/// Queue and buffers that the operating system keeps for a listener and its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenOptions {
    /// Connections that are queued until the process accepts them; default 1,024.
    pub backlog: i32,
    /// Size of the receive buffer and of the send buffer of a connection; `None` lets the operating
    /// system choose, up to several megabytes. Default [`BUFFER_BYTES`].
    pub buffer_bytes: Option<usize>,
}

impl Default for ListenOptions {
    fn default() -> Self {
        ListenOptions {
            backlog: LISTEN_BACKLOG,
            buffer_bytes: Some(BUFFER_BYTES),
        }
    }
}

impl ListenOptions {
    /// Returns options for connections of the system's own processes whose messages may be large and do not
    /// come from clients.
    pub fn for_peers() -> Self {
        ListenOptions {
            buffer_bytes: None,
            ..ListenOptions::default()
        }
    }
}

/// Connections that the operating system queues until the process accepts them.
///
/// If a burst fills the queue while the process is busy, the system silently drops the next
/// caller's SYN, and the caller sends it again a second later, when its objective has been missed.
/// With a backlog of 128, the 130th connection of a burst was still not established after 900 ms
/// on loopback. This value suffices for half of a second's burst on a host of ordinary size.
pub const LISTEN_BACKLOG: i32 = 1_024;

/// Default size of a connection's receive buffer and of its send buffer.
///
/// Bytes that a process has not read count as its memory, so a connection may not have as many as
/// the operating system would buffer. A job fits into this size.
pub const BUFFER_BYTES: usize = 16 << 10;

/// Bytes that a connection may hold in its receive buffer: Linux doubles the size that is set.
pub const UNREAD_MAX_BYTES: usize = 2 * BUFFER_BYTES;

/// Listens on an address; port 0 selects a free port.
pub async fn listen(address: SocketAddr, options: ListenOptions) -> Result<TcpListener> {
    let listener = TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })?;
    apply(&listener, options)
        .map_err(std::io::Error::from)
        .context(ListenSnafu { address })?;
    Ok(listener)
}

fn apply(listener: &TcpListener, options: ListenOptions) -> rustix::io::Result<()> {
    // Accepted connections inherit the sizes.
    if let Some(bytes) = options.buffer_bytes {
        set_socket_recv_buffer_size(listener, bytes)?;
        set_socket_send_buffer_size(listener, bytes)?;
    }
    // The standard library sets a backlog of 128; a second call of `listen` only changes that number.
    rustix::net::listen(listener, options.backlog)
}
