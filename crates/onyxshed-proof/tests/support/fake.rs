//! A server that answers with bytes as they are.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// One reply; `{task}` stands for the task that was asked about.
pub type Canned = Vec<u8>;

/// A server that answers each connection with the next of its replies, until it is led elsewhere.
pub struct Fake {
    /// Where it listens.
    pub address: SocketAddr,
    asked: Arc<AtomicUsize>,
    real: Arc<Mutex<Option<SocketAddr>>>,
}

impl Fake {
    /// Starts it; it lives as long as the test's process.
    pub fn start(replies: Vec<Canned>) -> Self {
        let listener =
            TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("the test's own steps work");
        let fake = Fake {
            address: listener.local_addr().expect("the test's own steps work"),
            asked: Arc::default(),
            real: Arc::default(),
        };
        let (asked, real) = (fake.asked.clone(), fake.real.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let to = *real.lock().unwrap_or_else(PoisonError::into_inner);
                let number = asked.fetch_add(1, Ordering::SeqCst);
                let reply = replies[number % replies.len()].clone();
                thread::spawn(move || match to {
                    Some(to) => pump(&stream, to),
                    None => answer(stream, reply),
                });
            }
        });
        fake
    }

    /// Gets how many connections it took.
    pub fn asked(&self) -> usize {
        self.asked.load(Ordering::SeqCst)
    }

    /// Leads new connections to the real one.
    pub fn lead_to(&self, real: SocketAddr) {
        *self.real.lock().unwrap_or_else(PoisonError::into_inner) = Some(real);
    }
}

/// Reads a request's head, writes the reply, and stays until the other end has had enough.
fn answer(mut stream: TcpStream, reply: Canned) {
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
    const PLACE: &[u8] = b"{task}";
    match reply.windows(PLACE.len()).position(|found| found == PLACE) {
        None => reply.to_vec(),
        Some(at) => [&reply[..at], task, &reply[at + PLACE.len()..]].concat(),
    }
}

fn pump(stream: &TcpStream, to: SocketAddr) {
    let Ok(real) = TcpStream::connect(to) else {
        return;
    };
    thread::scope(|scope| {
        scope.spawn(|| copy(stream, &real));
        scope.spawn(|| copy(&real, stream));
    });
}

fn copy(mut from: &TcpStream, mut to: &TcpStream) {
    let _ = std::io::copy(&mut from, &mut to);
    let _ = to.shutdown(Shutdown::Write);
}
