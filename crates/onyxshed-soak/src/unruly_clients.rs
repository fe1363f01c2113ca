//! Clients that send what no caller may send, to hosts that are killed, stopped and started meanwhile.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::misbehavior::Misbehavior;

/// How long a client goes on writing to a host that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a client keeps a connection open that the host does not close, in milliseconds.
const HOLD_MS: std::ops::Range<u64> = 100..6_000;

/// Pause after a connection, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 1..200;

/// Connects to hosts in turn until a time is over, sends one request of a kind that is drawn from the seed on each
/// connection, and keeps it open until the host closes it or ends.
pub async fn run_unruly_client(hosts: Vec<SocketAddr>, seed: u64, until: Instant) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while Instant::now() < until {
        let host = hosts[rng.random_range(0..hosts.len())];
        let kinds = Misbehavior::WITHOUT_JOB;
        let misbehavior = kinds[rng.random_range(0..kinds.len())];
        let hold = Duration::from_millis(rng.random_range(HOLD_MS));
        let hold_until = until.min(Instant::now() + hold);
        send_and_hold(host, misbehavior, hold_until).await;
        Timer::after(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
    }
}

async fn send_and_hold(host: SocketAddr, misbehavior: Misbehavior, hold_until: Instant) {
    let connect = async { TcpStream::connect(host).await.ok() };
    let Some(mut stream) = connect.or(expire_at(hold_until)).await else {
        return;
    };
    let bytes = misbehavior.bytes(0);
    for piece in bytes.chunks(misbehavior.piece_bytes().min(bytes.len()).max(1)) {
        let write = async { stream.write_all(piece).await.ok() };
        if write
            .or(expire_at(Instant::now() + WRITE_TIMEOUT))
            .await
            .is_none()
        {
            break;
        }
    }
    let mut rest = Vec::new();
    // Ends when the host closes the connection or is gone.
    let closed = async { stream.read_to_end(&mut rest).await.ok().map(drop) };
    closed.or(expire_at(hold_until)).await;
}

async fn expire_at<T>(at: Instant) -> Option<T> {
    Timer::at(at).await;
    None
}
