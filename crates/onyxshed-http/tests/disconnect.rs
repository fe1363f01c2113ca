//! Requests of peers that close their connections before they are handled.

#[path = "support/server.rs"]
mod server;

use std::cell::Cell;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use onyxshed_http::server::PendingReply;
use onyxshed_http::{Call, Reply, ServerOptions};
use rstest::rstest;
use server::{run, send};

const REQUEST: &[u8] = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok";

/// How a peer ends a connection on which it has sent a request.
#[derive(Debug, Clone, Copy)]
enum Ending {
    Closes,
    ClosesSendingSide,
}

/// Starts a server that cancels on disconnect. Its handler counts the requests, and replies when it is first
/// polled. Returns its address and the number of requests handled.
async fn start(executor: &Rc<LocalExecutor<'static>>) -> (SocketAddr, Rc<Cell<usize>>) {
    let handled = Rc::new(Cell::new(0));
    let counter = handled.clone();
    let handler = Rc::new(move |_: Call| -> PendingReply {
        let counter = counter.clone();
        Box::pin(async move {
            counter.set(counter.get() + 1);
            Reply::bytes(200, "handled")
        })
    });
    let options = ServerOptions {
        cancels_on_disconnect: true,
        ..ServerOptions::default()
    };
    let address = server::start(executor, options, handler, Rc::new(|_| {})).await;
    (address, handled)
}

/// Guards against work for a peer that left while its request waited in the socket.
#[rstest]
#[case::closes(Ending::Closes)]
#[case::closes_sending_side(Ending::ClosesSendingSide)]
fn request_of_a_peer_that_has_left_is_not_handled(#[case] ending: Ending) {
    run(|executor| async move {
        let (address, handled) = start(&executor).await;
        // Blocks the only thread, so that the server reads the request after the peer has left.
        let mut stream = std::net::TcpStream::connect(address).expect("the system accepts");
        std::io::Write::write_all(&mut stream, REQUEST).expect("the system buffers the request");
        let _half_open = match ending {
            Ending::Closes => {
                drop(stream);
                None
            }
            Ending::ClosesSendingSide => {
                stream.shutdown(Shutdown::Write).expect("the side closes");
                Some(stream)
            }
        };
        let mut present = TcpStream::connect(address)
            .await
            .expect("the server accepts");
        // Served after the earlier connection.
        Timer::after(Duration::from_millis(50)).await;
        present.write_all(REQUEST).await.expect("the server reads");
        let mut reply = [0; 256];
        let count = present.read(&mut reply).await.expect("a reply arrives");
        assert!(reply[..count].starts_with(b"HTTP/1.1 200"));
        assert_eq!(handled.get(), 1, "only the peer that stays is served");
    });
}

/// Guards against a peer that is taken for one that left because it has sent its next request.
#[test]
fn request_before_a_pipelined_one_is_handled() {
    run(|executor| async move {
        let (address, handled) = start(&executor).await;
        let mut stream = send(address, &[REQUEST, REQUEST].concat()).await;
        let mut reply = [0; 256];
        let count = stream.read(&mut reply).await.expect("a reply arrives");
        assert!(reply[..count].starts_with(b"HTTP/1.1 200"));
        assert_eq!(handled.get(), 1);
    });
}
