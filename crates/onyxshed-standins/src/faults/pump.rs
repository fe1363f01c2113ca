//! Forwards the bytes of one direction of a connection according to the mode of its route.

use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

use super::mode::{Direction, Mode};
use super::route::Link;

/// The size of the buffer for one read, in bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// The number of bytes that are forwarded at a time at a limited rate.
const LIMITED_RATE_BYTES: usize = 16;

/// The next action of a pump.
enum Step {
    /// Read from the source until bytes arrive, the mode changes or the connection is closed.
    Read,
    /// Read nothing until the mode changes or the connection is closed.
    Wait,
    /// Close both streams of the connection and end the pump.
    Close,
}

/// The event that ended a pump's wait.
enum PumpEvent {
    /// A read returned the number of bytes read, 0 at the end of the stream, or an error.
    ReadDone(io::Result<usize>),
    /// The mode of the route changed or the connection was closed.
    StateChanged,
}

/// Forwards bytes from one stream to the other until the connection is closed.
pub async fn pump(link: Rc<Link>, direction: Direction, mut from: TcpStream, mut to: TcpStream) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let changed = link.route.changed().subscribe();
        let closed = link.closed.subscribe();
        let state_changed = async {
            changed.wait().or(closed.wait()).await;
            PumpEvent::StateChanged
        };
        let event = match next_step(&link, direction) {
            Step::Close => return close_connection(&link, &from, &to),
            Step::Wait => state_changed.await,
            Step::Read => {
                state_changed
                    .or(async { PumpEvent::ReadDone(from.read(&mut chunk).await) })
                    .await
            }
        };
        let must_close = match event {
            PumpEvent::StateChanged => false,
            PumpEvent::ReadDone(Ok(0)) => handle_end_of_stream(&link, direction, &to),
            PumpEvent::ReadDone(Ok(read_bytes)) => {
                forward_bytes(&link, direction, &mut to, &chunk[..read_bytes]).await
            }
            PumpEvent::ReadDone(Err(_)) => true,
        };
        if must_close {
            return close_connection(&link, &from, &to);
        }
    }
}

fn next_step(link: &Link, direction: Direction) -> Step {
    match link.route.mode() {
        _ if link.is_closed.get() => Step::Close,
        Mode::Cut => Step::Close,
        Mode::Hold => Step::Wait,
        Mode::HoldExisting if link.is_held() => Step::Wait,
        _ if link.is_stalled(direction) => Step::Wait,
        _ => Step::Read,
    }
}

/// Forwards, delays or discards bytes according to the mode; returns whether to close the connection.
async fn forward_bytes(
    link: &Link,
    direction: Direction,
    to: &mut TcpStream,
    bytes: &[u8],
) -> bool {
    let mode = link.route.mode();
    if mode.discards(direction) || link.is_stalled(direction) {
        link.record_lost_bytes(direction);
        return false;
    }
    match (mode, direction) {
        (Mode::DropAnswer, Direction::Down) => true,
        (Mode::CloseAfterBytes { bytes: limit }, Direction::Down) => {
            let remaining = limit.saturating_sub(link.forwarded_down_bytes.get());
            let forwarded = usize::try_from(remaining)
                .unwrap_or(usize::MAX)
                .min(bytes.len());
            link.forwarded_down_bytes
                .set(link.forwarded_down_bytes.get() + forwarded as u64);
            to.write_all(&bytes[..forwarded]).await.is_err() || forwarded < bytes.len()
        }
        (Mode::SlowLink { up_bytes_per_s, .. }, Direction::Up) => {
            forward_at_rate(up_bytes_per_s, to, bytes).await
        }
        _ => {
            if let Some(delay) = mode.delay(direction) {
                Timer::after(delay).await;
            }
            to.write_all(bytes).await.is_err()
        }
    }
}

/// Forwards bytes at a rate; returns whether to close the connection.
async fn forward_at_rate(bytes_per_s: u64, to: &mut TcpStream, bytes: &[u8]) -> bool {
    let started_at = Instant::now();
    let mut forwarded = 0;
    for piece in bytes.chunks(LIMITED_RATE_BYTES) {
        forwarded += piece.len() as u64;
        Timer::at(started_at + Duration::from_millis(forwarded * 1_000 / bytes_per_s)).await;
        if to.write_all(piece).await.is_err() {
            return true;
        }
    }
    false
}

/// Forwards the end of one direction; returns whether to close the whole connection.
fn handle_end_of_stream(link: &Link, direction: Direction, to: &TcpStream) -> bool {
    if link.route.mode().discards(direction) || link.is_stalled(direction) {
        // The end of the stream is discarded like bytes, so the receiver does not detect it.
        link.record_lost_bytes(direction);
        return false;
    }
    let _ = to.shutdown(Shutdown::Write);
    true
}

fn close_connection(link: &Link, from: &TcpStream, to: &TcpStream) {
    link.close();
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
