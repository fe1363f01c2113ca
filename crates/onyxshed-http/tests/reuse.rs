//! Reuse of connections after a reply.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::block_on;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use http_types::Method;
use onyxshed_http::ClientOptions;
use onyxshed_http::connections::{ConnectionPool, IdleLimit, ReusePolicy};
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Answers every request with the header line, and leaves the connection open. Returns the number
/// of connections once `calls` requests were answered.
async fn serve(listener: TcpListener, header: &str, calls: usize) -> usize {
    let mut connections: Vec<TcpStream> = Vec::new();
    for _ in 0..calls {
        let accepted = async {
            let (stream, _) = listener.accept().await.expect("the caller connects");
            Some(stream)
        };
        let reused = async {
            let is_reused = match connections.last_mut() {
                Some(stream) => read_head(stream).await,
                None => false,
            };
            match is_reused {
                true => None,
                false => std::future::pending().await,
            }
        };
        if let Some(mut stream) = reused.or(accepted).await {
            assert!(read_head(&mut stream).await, "the request is cut off");
            connections.push(stream);
        }
        let reply = format!("HTTP/1.1 200 OK\r\n{header}content-length: 2\r\n\r\nok");
        let stream = connections.last_mut().expect("a connection is open");
        stream
            .write_all(reply.as_bytes())
            .await
            .expect("the reply is written");
    }
    connections.len()
}

/// Reads the head of a request without a body. Returns `false` if the connection ends before it.
async fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read_exact(&mut byte).await.is_err() {
            return false;
        }
        head.push(byte[0]);
    }
    true
}

/// Makes calls one after another through a pool, and returns what each reply says about its
/// connection.
async fn call_through_pool(address: SocketAddr, calls: usize) -> Vec<bool> {
    let pool = ConnectionPool::new(address, ClientOptions::default(), 4);
    let mut closes = Vec::new();
    for _ in 0..calls {
        let mut connection = pool
            .get(ReusePolicy::AnyOpen)
            .await
            .expect("the connection opens");
        let reply = connection
            .call(Method::Get, "/", &[], Vec::new(), TIMEOUT)
            .await
            .expect("the server replies");
        closes.push(reply.closes_connection);
        pool.put(connection);
    }
    closes
}

// A request sent on a connection whose peer closes it after its last reply gets no answer.
#[rstest]
#[case::close("connection: close\r\n", true)]
#[case::among_others("Connection: x-hop, Close\r\n", true)]
#[case::keep_alive("connection: keep-alive\r\n", false)]
#[case::silent("", false)]
fn connection_that_closes_after_its_reply_is_not_reused(
    #[case] header: &str,
    #[case] closes: bool,
) {
    let (served, found) = block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("the address opens");
        let address = listener.local_addr().expect("the address is known");
        futures_lite::future::zip(serve(listener, header, 2), call_through_pool(address, 2)).await
    });
    let expected_connections = if closes { 2 } else { 1 };
    assert_eq!((served, found), (expected_connections, vec![closes; 2]));
}

/// Guards against idle connections to many executors that use up the descriptors.
#[test]
fn pools_share_a_limit_on_idle_connections() {
    block_on(async {
        let limit = IdleLimit::new(1);
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("the address opens");
        let address = listener.local_addr().expect("the address is known");
        let pool = || {
            let pool = ConnectionPool::new(address, ClientOptions::default(), 4);
            pool.with_idle_limit(limit.clone())
        };
        let pools = [pool(), pool()];
        for pool in &pools {
            let connection = pool.get(ReusePolicy::AnyOpen).await;
            pool.put(connection.expect("the connection opens"));
        }
        let mut open = 0;
        while let Some(Ok((mut accepted, _))) =
            futures_lite::future::poll_once(listener.accept()).await
        {
            let read = futures_lite::future::poll_once(accepted.read(&mut [0])).await;
            open += usize::from(read.is_none());
        }
        assert_eq!(open, 1, "one of the two connections is kept");
        pools[0].clear();
        let connection = pools[1].get(ReusePolicy::AnyOpen).await;
        pools[1].put(connection.expect("the connection opens"));
        assert_eq!(pools[0].replaced_count(), 1);
    });
}
