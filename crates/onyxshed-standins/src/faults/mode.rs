//! The faults that the proxy can inject into the connections of a route, and the bodies of its commands.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// What the proxy does with the connections of a route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "snake_case")]
pub enum Mode {
    /// Forwards all bytes.
    #[default]
    Pass,
    /// Closes open connections, and new ones immediately.
    Cut,
    /// Holds all bytes back until the mode changes, as in a network partition that heals.
    Hold,
    /// Discards bytes to the target; connections stay open.
    BlackholeUp,
    /// Discards bytes from the target; connections stay open.
    BlackholeDown,
    /// Discards all bytes; connections stay open.
    BlackholeBoth,
    /// Forwards each chunk of bytes after a delay.
    Delay {
        /// The delay of each chunk in either direction, in milliseconds.
        delay_ms: u64,
    },
    /// Forwards bytes to the target at a limited rate, and each chunk of bytes from it after a delay.
    SlowLink {
        /// The rate of each connection towards the target, in bytes per second.
        up_bytes_per_s: u64,
        /// The delay of each chunk from the target, in milliseconds.
        down_delay_ms: u64,
    },
    /// Forwards each chunk of bytes to the target after a delay; the other direction is not delayed.
    DelayUp {
        /// The delay of each chunk, in milliseconds.
        delay_ms: u64,
    },
    /// Forwards each chunk of bytes from the target after a delay; the other direction is not delayed.
    DelayDown {
        /// The delay of each chunk, in milliseconds.
        delay_ms: u64,
    },
    /// Closes a connection at the first byte from the target beyond a limit.
    CloseAfterBytes {
        /// The number of bytes from the target that are forwarded.
        bytes: u64,
    },
    /// Forwards requests; closes the connection at the first byte of a reply.
    DropAnswer,
    /// Stops forwarding on the connections that are open now, which stay open; forwards new ones.
    StallExisting,
    /// Holds back all bytes on the connections that are open now until the mode changes; forwards new ones.
    HoldExisting,
}

/// A direction of bytes through the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the target.
    Up,
    /// From the target to the client.
    Down,
}

impl Mode {
    /// Returns the delay of bytes in this direction; `None` if they are not delayed.
    pub fn delay(self, direction: Direction) -> Option<Duration> {
        let delay_ms = match (self, direction) {
            (Mode::Delay { delay_ms }, _)
            | (Mode::DelayUp { delay_ms }, Direction::Up)
            | (Mode::DelayDown { delay_ms }, Direction::Down) => delay_ms,
            (Mode::SlowLink { down_delay_ms, .. }, Direction::Down) => down_delay_ms,
            _ => return None,
        };
        Some(Duration::from_millis(delay_ms))
    }

    /// Returns whether bytes in this direction are discarded.
    pub fn discards(self, direction: Direction) -> bool {
        matches!(
            (self, direction),
            (Mode::BlackholeBoth, _)
                | (Mode::BlackholeUp, Direction::Up)
                | (Mode::BlackholeDown, Direction::Down)
        )
    }
}

/// Body of `POST /control/mode`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetMode {
    /// Names of routes; a name that ends in `*` matches all routes with that prefix.
    pub routes: Vec<SmolStr>,
    /// The mode to set on these routes.
    #[serde(flatten)]
    pub mode: Mode,
}

/// Body of `POST /control/routes`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewRoute {
    /// The name of the route, by which `POST /control/mode` selects it.
    pub name: SmolStr,
    /// The target of new connections. If a route of that name exists, only its target changes.
    pub to: SocketAddr,
}
