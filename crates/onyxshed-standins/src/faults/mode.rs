//! What the proxy does to a route's connections.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// What happens on a route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "snake_case")]
pub enum Mode {
    /// Bytes pass.
    #[default]
    Pass,
    /// Connections are closed, new ones too.
    Cut,
    /// Bytes wait in both directions until the mode changes, as in a partition that heals.
    Hold,
    /// Bytes towards the target vanish; connections stay open.
    BlackholeUp,
    /// Bytes from the target vanish; connections stay open.
    BlackholeDown,
    /// All bytes vanish; connections stay open.
    BlackholeBoth,
    /// Bytes pass, each read later than it came.
    Delay {
        /// By how much, in milliseconds.
        delay_ms: u64,
    },
    /// A connection is closed once it has passed that many bytes from the target.
    CloseAfterBytes {
        /// Bytes that still pass.
        bytes: u64,
    },
    /// Requests pass; the first byte of an answer closes the connection.
    DropAnswer,
    /// Connections open now fall silent for good; new ones pass.
    StallExisting,
}

/// A direction through the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Towards the target.
    Up,
    /// From the target.
    Down,
}

impl Mode {
    /// Tells whether bytes in this direction vanish.
    pub fn swallows(self, direction: Direction) -> bool {
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
    /// Names of routes; one that ends in '*' stands for all that begin so.
    pub routes: Vec<SmolStr>,
    /// The mode from now on.
    #[serde(flatten)]
    pub mode: Mode,
}

/// Body of `POST /control/routes`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewRoute {
    /// The route's name.
    pub name: SmolStr,
    /// Where it leads. A route of that name which exists already leads there from now on.
    pub to: SocketAddr,
}
