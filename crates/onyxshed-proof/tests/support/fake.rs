//! A server that answers with prepared bytes.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// A prepared reply. `{task}` is replaced by the last segment of the requested path.
pub type CannedReply = Vec<u8>;

/// A server that answers each connection with the next of its replies in rotation, until it is
/// redirected to another server.
pub struct FakeServer {
    /// The address where the server listens.
    pub address: SocketAddr,
    connection_count: Arc<AtomicUsize>,
    redirect_address: Arc<Mutex<Option<SocketAddr>>>,
}

impl FakeServer {
    /// Starts the server. It runs until the test process exits.
    pub fn start(replies: Vec<CannedReply>) -> Self {
        let listener =
            TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port can be bound");
        let server = FakeServer {
            address: listener.local_addr().expect("the listener has an address"),
            connection_count: Arc::default(),
            redirect_address: Arc::default(),
        };
        let (connection_count, redirect_address) = (
            server.connection_count.clone(),
            server.redirect_address.clone(),
        );
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let to = *redirect_address
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                let number = connection_count.fetch_add(1, Ordering::SeqCst);
                let reply = replies[number % replies.len()].clone();
                thread::spawn(move || match to {
                    Some(to) => relay(&stream, to),
                    None => answer(stream, reply),
                });
            }
        });
        server
    }

    /// Returns how many connections were accepted.
    pub fn connection_count(&self) -> usize {
        self.connection_count.load(Ordering::SeqCst)
    }

    /// Relays new connections to another server.
    pub fn redirect_to(&self, redirect_address: SocketAddr) {
        *self
            .redirect_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(redirect_address);
    }
}

/// Reads a request's head and writes the reply. If the reply ends with `wait`, keeps the connection
/// open until the other side closes it.
fn answer(mut stream: TcpStream, reply: CannedReply) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && matches!(stream.read(&mut byte), Ok(1)) {
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let path = head.split(' ').nth(1).unwrap_or_default();
    let task = path.rsplit('/').next().unwrap_or_default();
    let _ = stream.write_all(&replace(&reply, task.as_bytes()));
    if reply.ends_with(b"wait") {
        let _ = stream.read_to_end(&mut Vec::new());
    }
}

fn replace(reply: &[u8], task: &[u8]) -> Vec<u8> {
    const PLACEHOLDER: &[u8] = b"{task}";
    match reply
        .windows(PLACEHOLDER.len())
        .position(|found| found == PLACEHOLDER)
    {
        None => reply.to_vec(),
        Some(at) => [&reply[..at], task, &reply[at + PLACEHOLDER.len()..]].concat(),
    }
}

fn relay(stream: &TcpStream, to: SocketAddr) {
    let Ok(target) = TcpStream::connect(to) else {
        return;
    };
    thread::scope(|scope| {
        scope.spawn(|| copy(stream, &target));
        scope.spawn(|| copy(&target, stream));
    });
}

fn copy(mut from: &TcpStream, mut to: &TcpStream) {
    let _ = std::io::copy(&mut from, &mut to);
    let _ = to.shutdown(Shutdown::Write);
}
