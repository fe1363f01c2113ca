//! The line that a stand-in prints once it accepts connections, which the process that started it waits
//! for.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::ResultExt;

use crate::error::{ReadySnafu, Result};

/// A JSON line that names a process that is ready and its addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadyLine {
    /// The name of the binary.
    pub ready: SmolStr,
    /// The addresses that the process listens on, by purpose, such as `http` or `store`.
    pub addresses: BTreeMap<SmolStr, SocketAddr>,
}

impl ReadyLine {
    /// Creates the line of a process with one address.
    pub fn single(ready: &str, purpose: &str, address: SocketAddr) -> Self {
        ReadyLine {
            ready: ready.into(),
            addresses: BTreeMap::from([(purpose.into(), address)]),
        }
    }

    /// Prints the line on standard output and flushes it.
    pub fn print(&self) -> Result<()> {
        let line = serde_json::to_string(self).expect("a ready line serializes to JSON");
        let mut out = io::stdout().lock();
        writeln!(out, "{line}")
            .and_then(|()| out.flush())
            .context(ReadySnafu)
    }
}
