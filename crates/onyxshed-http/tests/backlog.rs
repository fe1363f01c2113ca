//! A burst of connections while the process is too busy to accept them.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::block_on;
use onyxshed_http::Server;

/// Less than the second after which the operating system retransmits a dropped SYN.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(900);

/// Number of connections in the burst; the process accepts none of them.
const CONNECTIONS: usize = 1_000;

#[test]
fn burst_of_connections_fits_the_backlog() {
    // A caller connects right after hundreds of others. If the process has not yet accepted those
    // and the queue of new connections is full, the operating system drops the caller's SYN
    // silently; the caller gets no response for a second and fails, although the process works.
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    let listener = block_on(Server::listen(any)).expect("test setup succeeds");
    let address = listener.local_addr().expect("test setup succeeds");
    let streams: Vec<TcpStream> = (0..CONNECTIONS)
        .map_while(|_| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok())
        .collect();
    assert_eq!(streams.len(), CONNECTIONS);
}
