//! A crowd of clients that send at the same time and keep their connections open.

use std::net::SocketAddr;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use onyxshed_soak::misbehavior::Misbehavior;

/// How long a client waits for the host to read a piece. Only a host that has stopped reading
/// reaches it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// The connections that a crowd keeps open.
#[derive(Debug)]
pub struct Crowd {
    streams: Vec<TcpStream>,
}

impl Crowd {
    /// Reads what the host has sent to each client; empty for a client that has no reply.
    pub async fn replies(&mut self) -> Vec<String> {
        let mut replies = Vec::new();
        for stream in &mut self.streams {
            let mut bytes = vec![0; 4 << 10];
            let read = async { stream.read(&mut bytes).await.ok() };
            let none = async {
                future::yield_now().await;
                None
            };
            let count = read.or(none).await.unwrap_or_default();
            replies.push(String::from_utf8_lossy(&bytes[..count]).to_lowercase());
        }
        replies
    }
}

/// Sends the requests of a crowd, and returns when every client has sent all or has been stopped by
/// the host.
pub async fn send(address: SocketAddr, misbehavior: Misbehavior, clients: usize) -> Crowd {
    let requests = (0..clients).map(|client| misbehavior.bytes(client));
    send_requests(address, requests, misbehavior.piece_bytes()).await
}

/// Like [`send`], with requests of any kind, each of which a client sends in pieces.
pub async fn send_requests(
    address: SocketAddr,
    requests: impl Iterator<Item = Vec<u8>>,
    piece_bytes: usize,
) -> Crowd {
    let executor = LocalExecutor::new();
    let send_all = async {
        let tasks: Vec<_> = requests
            .map(|request| executor.spawn(send_one(address, request, piece_bytes)))
            .collect();
        let mut streams = Vec::new();
        for task in tasks {
            streams.extend(task.await);
        }
        streams
    };
    Crowd {
        streams: executor.run(send_all).await,
    }
}

/// Sends one client's requests. Returns `None` if the host refuses the connection.
async fn send_one(address: SocketAddr, bytes: Vec<u8>, piece_bytes: usize) -> Option<TcpStream> {
    let connect = async { TcpStream::connect(address).await.ok() };
    let mut stream = connect.or(expire()).await?;
    for piece in bytes.chunks(piece_bytes.min(bytes.len()).max(1)) {
        let write = async { stream.write_all(piece).await.ok() };
        // A client that is refused does not close its side.
        if write.or(expire()).await.is_none() {
            break;
        }
    }
    Some(stream)
}

async fn expire<T>() -> Option<T> {
    Timer::after(WRITE_TIMEOUT).await;
    None
}
