//! An address on which all connections are taken.

#[path = "support/server.rs"]
mod server;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use onyxshed_http::server::PendingReply;
use onyxshed_http::{Call, Reply, ServerOptions};
use rstest::rstest;
use server::{run, send};

const REQUEST: &[u8] = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok";

/// Longer than a request may take to arrive before it can be given up.
const SLOW: Duration = Duration::from_millis(2_200);

/// Longer than a request may pause before it can be given up.
const STALLED: Duration = Duration::from_millis(600);

/// Starts a server for one connection; see [`start_with`].
async fn start(executor: &Rc<LocalExecutor<'static>>) -> SocketAddr {
    start_with(executor, 1).await
}

/// Starts a server whose handler answers `/wait` never and anything else at once.
async fn start_with(executor: &Rc<LocalExecutor<'static>>, connections_max: usize) -> SocketAddr {
    let handler = Rc::new(|call: Call| -> PendingReply {
        Box::pin(async move {
            match call.path() {
                "/wait" => future::pending().await,
                _ => Reply::bytes(200, "handled"),
            }
        })
    });
    let options = ServerOptions {
        connections_max,
        rejected_max: 1,
        ..ServerOptions::default()
    };
    server::start(executor, options, handler, Rc::new(|_| {})).await
}

async fn reply(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut byte = [0; 256];
    while !bytes.ends_with(b"handled") && !bytes.ends_with(b"3108") {
        let count = stream.read(&mut byte).await.expect("a reply arrives");
        assert_ne!(count, 0, "the connection is closed without a reply");
        bytes.extend_from_slice(&byte[..count]);
    }
    String::from_utf8(bytes).expect("a reply is text")
}

/// Guards against peers that lock others out by requests that never arrive whole.
#[rstest]
#[case::in_the_head(20, SLOW)]
#[case::in_the_body(REQUEST.len() - 1, SLOW)]
#[case::stalled(REQUEST.len() - 1, STALLED)]
fn slow_request_gives_way_to_a_new_connection(#[case] sent_bytes: usize, #[case] pause: Duration) {
    run(|executor| async move {
        let address = start(&executor).await;
        let mut slow = send(address, &REQUEST[..sent_bytes]).await;
        Timer::after(pause).await;
        let mut ordinary = send(address, REQUEST).await;
        assert!(reply(&mut ordinary).await.starts_with("HTTP/1.1 200"));
        assert!(reply(&mut slow).await.starts_with("HTTP/1.1 503"));
    });
}

/// Guards against an ordinary caller whose request is given up while it arrives.
#[test]
fn request_that_has_just_begun_keeps_its_connection() {
    run(|executor| async move {
        let address = start(&executor).await;
        let mut first = send(address, &REQUEST[..REQUEST.len() - 1]).await;
        Timer::after(SLOW / 10).await;
        let mut second = send(address, REQUEST).await;
        assert!(reply(&mut second).await.starts_with("HTTP/1.1 503"));
        first.write_all(b"k").await.expect("the server reads");
        assert!(reply(&mut first).await.starts_with("HTTP/1.1 200"));
    });
}

/// Guards against giving up a request whose job may have begun.
#[test]
fn request_that_is_being_served_is_never_given_up() {
    run(|executor| async move {
        let address = start(&executor).await;
        let _served = send(address, b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n").await;
        Timer::after(SLOW).await;
        let mut ordinary = send(address, REQUEST).await;
        assert!(reply(&mut ordinary).await.starts_with("HTTP/1.1 503"));
    });
}

/// Guards against a request that crosses the end of its idle connection: it must be answered and not run.
#[test]
fn idle_connection_ends_with_a_reply_and_reads_no_further_request() {
    run(|executor| async move {
        let address = start(&executor).await;
        let mut idle = send(address, b"").await;
        Timer::after(SLOW / 40).await;
        let mut ordinary = send(address, REQUEST).await;
        assert!(reply(&mut ordinary).await.starts_with("HTTP/1.1 200"));
        // Crosses the reply, which the caller has not read.
        let _ = idle.write_all(REQUEST).await;
        assert!(reply(&mut idle).await.starts_with("HTTP/1.1 503"));
        let mut rest = Vec::new();
        let _ = idle.read_to_end(&mut rest).await;
        assert_eq!(rest, [0; 0], "the request that crossed has run");
    });
}

/// Guards against callers whose connections are closed without an answer when rejections have no place either.
#[test]
fn connection_without_a_place_is_answered_and_closed() {
    run(|executor| async move {
        let address = start(&executor).await;
        let _served = send(address, b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n").await;
        Timer::after(SLOW / 40).await;
        let mut others = Vec::new();
        for _ in 0..4 {
            others.push(send(address, REQUEST).await);
        }
        for other in &mut others {
            assert!(reply(other).await.starts_with("HTTP/1.1 503"));
        }
    });
}

/// Guards against newcomers that end idle connections although they are rejected themselves.
#[test]
fn rejected_connection_ends_no_other() {
    run(|executor| async move {
        let address = start_with(&executor, 4).await;
        let mut idle = Vec::new();
        for _ in 0..5 {
            idle.push(send(address, b"").await);
            Timer::after(SLOW / 200).await;
        }
        // The first one, which is ended for the fifth, keeps the place for rejections for a while.
        for _ in 0..4 {
            let mut other = send(address, REQUEST).await;
            assert!(reply(&mut other).await.starts_with("HTTP/1.1 503"));
        }
        for stream in &mut idle[1..] {
            stream.write_all(REQUEST).await.expect("the server reads");
            assert!(reply(stream).await.starts_with("HTTP/1.1 200"));
        }
    });
}
