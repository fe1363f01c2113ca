//! Limits on the memory of request bodies while they are read.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use onyxshed_core::ResultCode;
use onyxshed_http::server::ServerStats;
use onyxshed_http::{Reply, Server, ServerOptions};

const MIB: usize = 1 << 20;

/// Sends the head of a body of `len` bytes and `sent` bytes of the body.
async fn begin_request(address: SocketAddr, len: usize, sent: usize) -> TcpStream {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("test setup succeeds");
    let head = format!("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {len}\r\n\r\n");
    stream
        .write_all(head.as_bytes())
        .await
        .expect("test setup succeeds");
    // The server may reject the request before all of it is sent.
    let _ = stream.write_all(&vec![b'x'; sent]).await;
    stream
}

/// Returns the first line of the reply.
async fn status_line(stream: &mut TcpStream) -> String {
    let mut bytes = vec![0; 64];
    stream
        .read_exact(&mut bytes)
        .await
        .expect("test setup succeeds");
    let text = String::from_utf8(bytes).expect("test setup succeeds");
    text.lines().next().unwrap_or_default().to_owned()
}

async fn wait_for_body_bytes(stats: &ServerStats, bytes: usize) {
    while stats.body_bytes.get() != bytes as u64 {
        Timer::after(Duration::from_millis(1)).await;
    }
}

#[test]
fn large_bodies_share_a_memory_limit_and_small_ones_are_always_served() {
    // Three peers send most of a large body and stall, so that the memory for bodies is nearly used
    // up. A fourth large body is rejected immediately, a small body is served, and so are the three
    // stalled bodies once their peers continue.
    let options = ServerOptions {
        body_max_bytes: MIB as u64,
        bodies_max_bytes: 3 * MIB as u64,
        ..ServerOptions::default()
    };
    let handler = Rc::new(
        |call: onyxshed_http::Call| -> onyxshed_http::server::PendingReply {
            Box::pin(async move { Reply::bytes(200, call.body.len().to_string()) })
        },
    );
    let reject =
        Rc::new(|code: ResultCode| Reply::bytes(code.http_status(), "rejected by the server"));
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.clone().run(async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = Server::listen(any).await.expect("test setup succeeds");
        let address = listener.local_addr().expect("test setup succeeds");
        let server = Server::new(options, handler, reject);
        let stats = server.stats();
        executor
            .spawn(server.run(listener, executor.clone()))
            .detach();
        let partial = MIB - 1_000;
        let mut stalled = Vec::new();
        for number in 1..=3 {
            stalled.push(begin_request(address, MIB, partial).await);
            wait_for_body_bytes(&stats, number * partial).await;
        }
        let mut fourth = begin_request(address, MIB, MIB).await;
        assert_eq!(
            status_line(&mut fourth).await,
            "HTTP/1.1 503 Service Unavailable"
        );
        let mut small = begin_request(address, 60_000, 60_000).await;
        assert_eq!(status_line(&mut small).await, "HTTP/1.1 200 OK");
        for stream in &mut stalled {
            stream
                .write_all(&[b'x'; 1_000])
                .await
                .expect("test setup succeeds");
            assert_eq!(status_line(stream).await, "HTTP/1.1 200 OK");
        }
        wait_for_body_bytes(&stats, 0).await;
    }));
}
