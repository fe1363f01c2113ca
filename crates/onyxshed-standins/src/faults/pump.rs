//! Moves one direction's bytes of one connection, or fails to.

use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

use super::mode::{Direction, Mode};
use super::route::Link;

/// Bytes moved at a time.
const CHUNK_BYTES: usize = 16 << 10;

/// What to do next.
enum Step {
    Read,
    Park,
    Close,
}

/// What ended a wait.
enum Woken {
    Bytes(io::Result<usize>),
    Changed,
}

/// Moves bytes until the connection ends.
pub async fn pump(link: Rc<Link>, direction: Direction, mut from: TcpStream, mut to: TcpStream) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let changed = link.route.changed().subscribe();
        let closed = link.closed.subscribe();
        let wake = async {
            changed.wait().or(closed.wait()).await;
            Woken::Changed
        };
        let woken = match next(&link, direction) {
            Step::Close => return hang_up(&link, &from, &to),
            Step::Park => wake.await,
            Step::Read => {
                wake.or(async { Woken::Bytes(from.read(&mut chunk).await) })
                    .await
            }
        };
        let is_done = match woken {
            Woken::Changed => false,
            Woken::Bytes(Ok(0)) => end_of_stream(&link, direction, &to),
            Woken::Bytes(Ok(count)) => deliver(&link, direction, &mut to, &chunk[..count]).await,
            Woken::Bytes(Err(_)) => true,
        };
        if is_done {
            return hang_up(&link, &from, &to);
        }
    }
}

fn next(link: &Link, direction: Direction) -> Step {
    match link.route.mode() {
        _ if link.is_closed.get() => Step::Close,
        Mode::Cut => Step::Close,
        Mode::Hold => Step::Park,
        _ if link.is_dead(direction) => Step::Park,
        _ => Step::Read,
    }
}

/// Passes bytes on as the mode has it; tells whether the connection is to be closed.
async fn deliver(link: &Link, direction: Direction, to: &mut TcpStream, bytes: &[u8]) -> bool {
    let mode = link.route.mode();
    if mode.swallows(direction) || link.is_dead(direction) {
        link.lose_bytes(direction);
        return false;
    }
    match (mode, direction) {
        (Mode::DropAnswer, Direction::Down) => true,
        (Mode::CloseAfterBytes { bytes: limit }, Direction::Down) => {
            let left = limit.saturating_sub(link.down_bytes.get());
            let passed = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
            link.down_bytes.set(link.down_bytes.get() + passed as u64);
            to.write_all(&bytes[..passed]).await.is_err() || passed < bytes.len()
        }
        (Mode::Delay { delay_ms }, _) => {
            Timer::after(Duration::from_millis(delay_ms)).await;
            to.write_all(bytes).await.is_err()
        }
        _ => to.write_all(bytes).await.is_err(),
    }
}

/// Passes the end of one direction on; tells whether the whole connection is to be closed.
fn end_of_stream(link: &Link, direction: Direction, to: &TcpStream) -> bool {
    if link.route.mode().swallows(direction) || link.is_dead(direction) {
        // A close is lost like bytes are: the other end never learns of it.
        link.lose_bytes(direction);
        return false;
    }
    let _ = to.shutdown(Shutdown::Write);
    true
}

fn hang_up(link: &Link, from: &TcpStream, to: &TcpStream) {
    link.close();
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
