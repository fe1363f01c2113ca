//! Requests that meet the shutdown of a server.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use onyxshed_core::ResultCode;
use onyxshed_http::client::with_timeout;
use onyxshed_http::server::PendingReply;
use onyxshed_http::{Call, Reply, Server, ServerOptions};
use rstest::rstest;

const REQUEST: &[u8] = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok";

/// The first bytes of a request, without the end of its head or body.
const HALF_REQUESTS: [&[u8]; 2] = [
    b"POST / HTTP/1.1\r\nHo",
    b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\no",
];

/// How long the handler takes for a request.
const HANDLING_TIME: Duration = Duration::from_millis(100);

/// Time limit of a test, which only a hang reaches.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A deadline that no test reaches.
fn never() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

/// A server whose handler counts its requests.
struct Fixture {
    address: SocketAddr,
    server: Server,
    handled: Rc<Cell<usize>>,
}

impl Fixture {
    async fn start(executor: &Rc<LocalExecutor<'static>>) -> Self {
        let handled = Rc::new(Cell::new(0));
        let counter = handled.clone();
        let handler = Rc::new(move |_: Call| -> PendingReply {
            counter.set(counter.get() + 1);
            Box::pin(async {
                Timer::after(HANDLING_TIME).await;
                Reply::bytes(200, "handled")
            })
        });
        let reject = Rc::new(|code: ResultCode| Reply::bytes(code.http_status(), "rejected"));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = Server::listen(any).await.expect("test setup succeeds");
        let address = listener.local_addr().expect("test setup succeeds");
        let server = Server::new(ServerOptions::default(), handler, reject)
            .refuse_idle_with(Reply::bytes(503, "stopping"));
        executor
            .spawn(server.clone().run(listener, executor.clone()))
            .detach();
        Fixture {
            address,
            server,
            handled,
        }
    }

    async fn connect(&self) -> TcpStream {
        let connections = self.server.stats().connections.get();
        let stream = TcpStream::connect(self.address)
            .await
            .expect("test setup succeeds");
        while self.server.stats().connections.get() == connections {
            future::yield_now().await;
        }
        stream
    }

    /// Returns a connection whose request is being handled.
    async fn connection_in_progress(&self) -> TcpStream {
        let mut stream = self.connect().await;
        send(&mut stream, REQUEST).await;
        while self.handled.get() == 0 {
            future::yield_now().await;
        }
        stream
    }

    /// Returns a connection on which a request has been answered.
    async fn used_connection(&self) -> TcpStream {
        let mut stream = self.connect().await;
        send(&mut stream, REQUEST).await;
        let mut reply = [0; 256];
        let count = stream.read(&mut reply).await.expect("a reply arrives");
        assert!(reply[..count].starts_with(b"HTTP/1.1 200"));
        stream
    }
}

async fn send(stream: &mut TcpStream, bytes: &[u8]) {
    stream.write_all(bytes).await.expect("the peer reads");
}

/// Requires one reply with this status, which closes its connection.
fn assert_last_reply(received: &str, status: &str) {
    let replies = received.matches("HTTP/1.1 ").count();
    assert_eq!(replies, 1, "{received}");
    assert!(
        received.starts_with(&format!("HTTP/1.1 {status}")),
        "{received}"
    );
    assert!(received.contains("connection: close"), "{received}");
}

/// Reads until the server closes the connection.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    stream
        .read_to_string(&mut text)
        .await
        .expect("the connection is closed, not reset");
    text
}

fn run<Test: Future<Output = ()>>(test: impl FnOnce(Rc<LocalExecutor<'static>>) -> Test) {
    let executor = Rc::new(LocalExecutor::new());
    let test = with_timeout(TIMEOUT, test(executor.clone()));
    let finished = async_io::block_on(executor.run(test));
    assert!(finished.is_some(), "the test hangs");
}

/// Guards against requests that are cut off because no request was in flight when the stop looked.
#[test]
fn request_that_crosses_the_close_of_its_idle_connection_is_refused() {
    run(|executor| async move {
        let fixture = Fixture::start(&executor).await;
        let mut stream = fixture.used_connection().await;
        let shut_down = fixture.server.shut_down(never());
        let caller = async {
            while !has_unread(&stream).await {
                future::yield_now().await;
            }
            send(&mut stream, REQUEST).await;
            read_all(&mut stream).await
        };
        let (reply, ()) = future::zip(caller, shut_down).await;
        assert_last_reply(&reply, "503");
        assert_eq!(fixture.handled.get(), 1);
    });
}

async fn has_unread(stream: &TcpStream) -> bool {
    future::poll_once(stream.peek(&mut [0])).await.is_some()
}

/// Guards against resets of connections that were established but not accepted yet.
#[test]
fn connections_in_the_accept_queue_are_answered() {
    run(|executor| async move {
        let fixture = Fixture::start(&executor).await;
        future::yield_now().await;
        let mut streams = Vec::new();
        for _ in 0..100 {
            let stream = std::net::TcpStream::connect(fixture.address);
            streams.push(stream.expect("the queue has room"));
        }
        for stream in &mut streams {
            std::io::Write::write_all(stream, REQUEST).expect("the bytes are queued");
        }
        fixture.server.shut_down(never()).await;
        for mut stream in streams {
            let mut reply = String::new();
            let read = std::io::Read::read_to_string(&mut stream, &mut reply);
            read.expect("the connection is closed, not reset");
            assert!(reply.starts_with("HTTP/1.1 "), "no answer");
        }
    });
}

/// Guards against a refusal of a request that is being handled.
#[rstest]
#[case::before_the_deadline(never())]
#[case::at_the_deadline(Instant::now())]
fn request_in_progress_is_answered_and_its_connection_closed(#[case] deadline: Instant) {
    run(|executor| async move {
        let fixture = Fixture::start(&executor).await;
        let mut stream = fixture.connection_in_progress().await;
        let shut_down = fixture.server.shut_down(deadline);
        let (reply, ()) = future::zip(read_all(&mut stream), shut_down).await;
        assert_last_reply(&reply, "200");
    });
}

/// Guards against stops that wait for callers that keep their side of a closed connection open.
#[test]
fn peers_that_do_not_close_delay_a_shutdown_by_less_than_a_second() {
    run(|executor| async move {
        let fixture = Fixture::start(&executor).await;
        let _idle = fixture.used_connection().await;
        let mut half_received = fixture.connect().await;
        send(&mut half_received, HALF_REQUESTS[0]).await;
        Timer::after(Duration::from_millis(20)).await;
        let began_at = Instant::now();
        fixture.server.shut_down(began_at).await;
        let elapsed = began_at.elapsed();
        assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
    });
}

#[test]
fn request_that_is_half_received_is_answered_when_the_rest_arrives() {
    run(|executor| async move {
        for half in HALF_REQUESTS {
            let fixture = Fixture::start(&executor).await;
            let mut stream = fixture.connect().await;
            send(&mut stream, half).await;
            Timer::after(Duration::from_millis(20)).await;
            let caller = async {
                Timer::after(Duration::from_millis(50)).await;
                send(&mut stream, &REQUEST[half.len()..]).await;
                read_all(&mut stream).await
            };
            let (reply, ()) = future::zip(caller, fixture.server.shut_down(never())).await;
            assert_last_reply(&reply, "200");
        }
    });
}

/// Guards against a stop that waits for a request that never arrives whole.
#[test]
fn request_that_is_half_received_at_the_deadline_is_rejected() {
    run(|executor| async move {
        for half in HALF_REQUESTS {
            let fixture = Fixture::start(&executor).await;
            let mut stream = fixture.connect().await;
            send(&mut stream, half).await;
            Timer::after(Duration::from_millis(20)).await;
            let deadline = Instant::now() + Duration::from_millis(50);
            let shut_down = fixture.server.shut_down(deadline);
            let (reply, ()) = future::zip(read_all(&mut stream), shut_down).await;
            assert_last_reply(&reply, "503");
            assert_eq!(fixture.handled.get(), 0);
        }
    });
}

#[test]
fn connections_are_refused_after_the_shutdown() {
    run(|executor| async move {
        let fixture = Fixture::start(&executor).await;
        drop(fixture.used_connection().await);
        fixture.server.shut_down(never()).await;
        let refused = TcpStream::connect(fixture.address).await;
        let kind = refused.expect_err("nobody listens").kind();
        assert_eq!(kind, std::io::ErrorKind::ConnectionRefused);
    });
}

/// Guards against replies that are lost because their connection is reset.
#[test]
fn closing_reply_reaches_a_caller_that_has_sent_more_bytes() {
    run(|executor| async move {
        let fixture = Fixture::start(&executor).await;
        let mut stream = fixture.connection_in_progress().await;
        let caller = async {
            send(&mut stream, REQUEST).await;
            read_all(&mut stream).await
        };
        let (reply, ()) = future::zip(caller, fixture.server.shut_down(never())).await;
        assert_last_reply(&reply, "200");
        assert_eq!(fixture.handled.get(), 1);
    });
}
