//! The memory of bodies whose requests are served, of small bodies, and of replies.

#[path = "support/server.rs"]
mod server;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use onyxshed_core::ResultCode;
use onyxshed_http::server::{Limit, PendingReply, Refusal, RefusalReporter};
use onyxshed_http::{Call, Reply, Server, ServerOptions};
use server::run;

const MIB: usize = 1 << 20;

/// Starts a server that answers `/wait` never, `/large` by a reply of 1 MiB and anything else by its body's
/// length.
async fn start(executor: &Rc<LocalExecutor<'static>>) -> SocketAddr {
    start_reporting(executor, Rc::new(|_| {})).await
}

async fn start_reporting(
    executor: &Rc<LocalExecutor<'static>>,
    reporter: RefusalReporter,
) -> SocketAddr {
    let handler = Rc::new(|call: Call| -> PendingReply {
        Box::pin(async move {
            match call.path() {
                "/wait" => future::pending().await,
                "/large" => Reply::bytes(200, vec![b'x'; MIB]),
                _ => Reply::bytes(200, call.body.len().to_string()),
            }
        })
    });
    let options = ServerOptions {
        body_max_bytes: MIB as u64,
        bodies_max_bytes: MIB as u64,
        small_bodies_max_bytes: 100 << 10,
        replies_max_bytes: MIB as u64,
        ..ServerOptions::default()
    };
    server::start(executor, options, handler, reporter).await
}

/// Sends a body of `len` bytes without its last `missing` ones.
async fn send(address: SocketAddr, path: &str, len: usize, missing: usize) -> TcpStream {
    let head = format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len}\r\n\r\n");
    let body = vec![b'x'; len - missing];
    server::send(address, &[head.as_bytes(), &body].concat()).await
}

async fn status(stream: &mut TcpStream) -> String {
    let mut bytes = [0; 12];
    stream
        .read_exact(&mut bytes)
        .await
        .expect("a reply arrives");
    String::from_utf8_lossy(&bytes[9..]).into_owned()
}

/// Guards against bodies that are not counted any more while their requests are served.
#[test]
fn body_is_counted_until_its_request_is_answered() {
    run(|executor| async move {
        let address = start(&executor).await;
        let served = send(address, "/wait", MIB, 0).await;
        // The refusal shows that the first body has been counted; the server reads it in several steps.
        while status(&mut send(address, "/", MIB, 0).await).await != "503" {}
        assert_eq!(status(&mut send(address, "/", 1_000, 0).await).await, "200");
        assert_eq!(status(&mut send(address, "/", MIB, 0).await).await, "503");
        drop(served);
    });
}

/// Guards against many small bodies that exhaust the memory together.
#[test]
fn small_bodies_share_a_limit() {
    run(|executor| async move {
        let address = start(&executor).await;
        let _stalled = send(address, "/", 64 << 10, 1).await;
        while status(&mut send(address, "/", 64 << 10, 0).await).await != "503" {}
        assert_eq!(status(&mut send(address, "/", 4_000, 0).await).await, "200");
        assert_eq!(status(&mut send(address, "/", MIB, 0).await).await, "200");
    });
}

/// Guards against large replies that peers do not read.
#[test]
fn replies_that_are_not_read_share_a_limit() {
    run(|executor| async move {
        let address = start(&executor).await;
        let mut unread = send(address, "/large", 0, 0).await;
        assert_eq!(status(&mut unread).await, "200");
        assert_eq!(
            status(&mut send(address, "/large", 0, 0).await).await,
            "503"
        );
        assert_eq!(status(&mut send(address, "/", 0, 0).await).await, "200");
        let mut rest = vec![0; MIB];
        unread
            .read_exact(&mut rest)
            .await
            .expect("the reply arrives");
        while status(&mut send(address, "/large", 0, 0).await).await != "200" {}
    });
}

/// Guards against the answer to a request that has run and is replaced by a rejection.
#[test]
fn replies_have_no_limit_unless_one_is_set() {
    assert_eq!(ServerOptions::default().replies_max_bytes, u64::MAX);
}

/// Guards against a body that is given up for its own growth and takes the next one with it.
#[test]
fn body_that_gives_way_takes_no_other_with_it() {
    run(|executor| async move {
        let address = start(&executor).await;
        let mut older = send(address, "/", MIB, MIB - 200_000).await;
        Timer::after(Duration::from_millis(50)).await;
        let mut younger = send(address, "/", MIB, MIB - 400_000).await;
        Timer::after(Duration::from_millis(2_200)).await;
        // Neither has stalled, so that the older one is the slowest.
        younger.write_all(b"x").await.expect("the server reads");
        Timer::after(Duration::from_millis(50)).await;
        // Fails when the server gives the request up.
        let _ = older.write_all(&vec![b'x'; MIB - 200_000]).await;
        assert_eq!(status(&mut older).await, "503");
        let rest = vec![b'x'; MIB - 400_001];
        younger.write_all(&rest).await.expect("the server reads");
        assert_eq!(status(&mut younger).await, "200");
    });
}

/// Guards against operators who can't tell from the metrics that a request was given up for want of memory.
#[test]
fn body_that_is_given_up_names_its_limit() {
    run(|executor| async move {
        let refusals: Rc<RefCell<Vec<Refusal>>> = Rc::default();
        let recorded = refusals.clone();
        let reporter = Rc::new(move |refusal| recorded.borrow_mut().push(refusal));
        let address = start_reporting(&executor, reporter).await;
        let mut stalled = send(address, "/", MIB, 1).await;
        Timer::after(Duration::from_millis(700)).await;
        assert_eq!(status(&mut send(address, "/", MIB, 0).await).await, "200");
        assert_eq!(status(&mut stalled).await, "503");
        let limits: Vec<_> = refusals
            .borrow()
            .iter()
            .map(|refusal| refusal.limit)
            .collect();
        assert_eq!(limits, [Some(Limit::SlowBody)]);
    });
}

/// Guards against chunks of one byte that are read in one go, while signals, timers and other callers wait.
#[test]
fn other_tasks_run_while_a_body_of_tiny_chunks_is_read() {
    const CHUNKS: usize = 100_000;
    run(|executor| async move {
        let handler = Rc::new(|_: Call| -> PendingReply {
            Box::pin(async { Reply::bytes(200, Vec::new()) })
        });
        let reject = Rc::new(|_: ResultCode| Reply::bytes(503, Vec::new()));
        let server = Server::new(ServerOptions::default(), handler, reject);
        let stats = server.stats();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = Server::listen(any).await.expect("test setup succeeds");
        let address = listener.local_addr().expect("test setup succeeds");
        executor
            .spawn(server.run(listener, executor.clone()))
            .detach();
        let most = Rc::new(Cell::new(0));
        let seen = most.clone();
        let watch = async move {
            let mut last = stats.body_bytes.get();
            loop {
                let received = stats.body_bytes.get();
                // The bytes of a body count once it is large.
                if last > 0 {
                    seen.set(seen.get().max(received.saturating_sub(last)));
                }
                last = received;
                future::yield_now().await;
            }
        };
        executor.spawn(watch).detach();
        let head = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
        let request = format!("{head}{}0\r\n\r\n", "1\r\nx\r\n".repeat(CHUNKS));
        let mut stream = server::send(address, request.as_bytes()).await;
        assert_eq!(status(&mut stream).await, "200");
        // 0 if all bytes that were watched arrived in one go.
        assert!((1..=100).contains(&most.get()), "{}", most.get());
    });
}

/// Guards against a refusal that is lost by a client, or a proxy before it, that sends all before it reads.
#[test]
fn connection_of_a_refused_body_ends_after_the_body() {
    run(|executor| async move {
        let address = start(&executor).await;
        let len = 2 * MIB;
        let mut stream = send(address, "/", len, len).await;
        assert_eq!(status(&mut stream).await, "413");
        let mut rest = [0; 256];
        for piece in vec![b'x'; len].chunks(MIB / 4) {
            stream.write_all(piece).await.expect("the server reads");
            Timer::after(Duration::from_millis(50)).await;
            let read = future::poll_once(stream.read(&mut rest)).await;
            assert!(!matches!(read, Some(Ok(0) | Err(_))), "{read:?}");
        }
        while !matches!(stream.read(&mut rest).await, Ok(0)) {}
    });
}
