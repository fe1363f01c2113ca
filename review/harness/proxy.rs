//! A TCP proxy to the store whose open connections can go silent for good, without a reset, while new
//! ones work.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// Part of a request by which a connection is recognized as one that follows the operators' topic.
const OPERATORS_TOPIC: &str = "topic=keyed.op&";

#[derive(Default)]
struct Connections {
    last: u64,
    /// Open connections that have carried a request for the operators' topic.
    following: BTreeSet<u64>,
    silent: BTreeSet<u64>,
}

/// A running proxy.
pub struct Proxy {
    pub address: SocketAddr,
    connections: Mutex<Connections>,
}

impl Proxy {
    /// Starts a proxy to `target` on a free port of 127.0.0.1.
    pub fn start(target: SocketAddr) -> Arc<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let proxy = Arc::new(Proxy {
            address: listener.local_addr().expect("a bound address"),
            connections: Mutex::default(),
        });
        let accepting = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let number = accepting.with(|connections| {
                    connections.last += 1;
                    connections.last
                });
                accepting.pump(number, &client, &server);
                accepting.pump(number, &server, &client);
            }
        });
        proxy
    }

    /// Makes the open connections silent on which the host follows the operators' topic, and returns
    /// their number.
    pub fn silence_operators_topic(&self) -> usize {
        self.with(|connections| {
            connections.silent = connections.following.clone();
            connections.silent.len()
        })
    }

    fn with<T>(&self, action: impl FnOnce(&mut Connections) -> T) -> T {
        action(
            &mut self
                .connections
                .lock()
                .expect("no thread panics with the lock"),
        )
    }

    fn is_silent(&self, number: u64) -> bool {
        self.with(|connections| connections.silent.contains(&number))
    }

    fn pump(self: &Arc<Self>, number: u64, from: &TcpStream, to: &TcpStream) {
        let proxy = self.clone();
        let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        thread::spawn(move || {
            let mut chunk = [0_u8; 16 * 1024];
            while let Ok(count @ 1..) = from.read(&mut chunk) {
                if String::from_utf8_lossy(&chunk[..count]).contains(OPERATORS_TOPIC) {
                    proxy.with(|connections| connections.following.insert(number));
                }
                if !proxy.is_silent(number) && to.write_all(&chunk[..count]).is_err() {
                    break;
                }
            }
            // The end of a silent connection is not seen by the other side either.
            if !proxy.is_silent(number) {
                proxy.with(|connections| connections.following.remove(&number));
                let _ = to.shutdown(Shutdown::Both);
            }
        });
    }
}
