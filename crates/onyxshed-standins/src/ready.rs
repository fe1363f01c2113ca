//! The one line that a process prints when it serves.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::ResultExt;

use crate::error::{ReadySnafu, Result};

/// Says that a process serves, and where.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadyLine {
    /// The binary's name.
    pub ready: SmolStr,
    /// Its addresses by purpose.
    pub addresses: BTreeMap<SmolStr, SocketAddr>,
}

impl ReadyLine {
    /// Makes a line for a process with one address.
    pub fn single(ready: &str, purpose: &str, address: SocketAddr) -> Self {
        ReadyLine {
            ready: ready.into(),
            addresses: BTreeMap::from([(purpose.into(), address)]),
        }
    }

    /// Tries to print the line on standard output.
    pub fn print(&self) -> Result<()> {
        let line = serde_json::to_string(self).expect("a ready line is plain JSON");
        let mut out = io::stdout().lock();
        writeln!(out, "{line}")
            .and_then(|()| out.flush())
            .context(ReadySnafu)
    }
}
