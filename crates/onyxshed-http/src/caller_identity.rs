//! What identifies a caller, for the shares of callers under overload.

use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;

use onyxshed_core::CallerId;
use onyxshed_core::error::{Error, Result};
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use crate::message::Call;

/// Text form of [`CallerIdentity::Address`].
const ADDRESS: &str = "address";

/// Prefix of the text form of [`CallerIdentity::Header`].
const HEADER_PREFIX: &str = "header:";

/// Maximum length of a text that an error repeats, in characters.
const EXCERPT_CHARS: usize = 80;

/// What identifies a caller; `address` or `header:NAME` as text.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum CallerIdentity {
    /// The IP address of the connection's peer.
    #[default]
    Address,
    /// The value of a header of the request. A request without it has an unknown caller.
    Header(SmolStr),
}

impl CallerIdentity {
    /// Returns the caller of a request.
    pub fn caller_of(&self, call: &Call) -> CallerId {
        match self {
            CallerIdentity::Address => match call.peer_address.map(|address| address.ip()) {
                Some(IpAddr::V4(ip)) => hashed(&ip.octets()),
                Some(IpAddr::V6(ip)) => hashed(&ip.octets()),
                None => CallerId::UNKNOWN,
            },
            CallerIdentity::Header(name) => match call.header(name) {
                Some(value) => hashed(value.as_bytes()),
                None => CallerId::UNKNOWN,
            },
        }
    }
}

impl fmt::Display for CallerIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallerIdentity::Address => f.write_str(ADDRESS),
            CallerIdentity::Header(name) => write!(f, "{HEADER_PREFIX}{name}"),
        }
    }
}

impl FromStr for CallerIdentity {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        if text == ADDRESS {
            return Ok(CallerIdentity::Address);
        }
        let name = text.strip_prefix(HEADER_PREFIX);
        let is_header_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
        name.filter(|name| !name.is_empty() && name.bytes().all(is_header_byte))
            .map(|name| CallerIdentity::Header(name.into()))
            .ok_or_else(|| Error::Id {
                kind: "caller identity",
                found: text.chars().take(EXCERPT_CHARS).collect(),
                allowed: "address or header:NAME",
            })
    }
}

/// Returns the hash of what identifies a caller; never [`CallerId::UNKNOWN`].
fn hashed(identity: &[u8]) -> CallerId {
    CallerId(xxh3_64(identity).max(1))
}
