//! Callers that connect while the process is busy.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::block_on;
use onyxshed_http::Server;

/// Less than the second after which the system sends a dropped opening packet again.
const PATIENCE: Duration = Duration::from_millis(900);

/// Callers of a burst; the process accepts none of them meanwhile.
const CALLERS: usize = 1_000;

#[test]
fn a_burst_of_callers_is_not_kept_waiting_at_the_door() {
    // A caller that connects right behind hundreds of others hears nothing for a second and gives
    // up, though the process is sound. The process has not yet accepted those before it, the queue
    // of new connections is full, and the system drops the caller's opening packet without a word.
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    let listener = block_on(Server::listen(any)).expect("the test's own steps work");
    let address = listener.local_addr().expect("the test's own steps work");
    let held: Vec<TcpStream> = (0..CALLERS)
        .map_while(|_| TcpStream::connect_timeout(&address, PATIENCE).ok())
        .collect();
    assert_eq!(held.len(), CALLERS);
}
