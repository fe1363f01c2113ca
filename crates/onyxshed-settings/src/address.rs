//! Checks of addresses: each on its own, and all addresses of a file against each other.

use std::net::SocketAddr;

use smol_str::{SmolStr, format_smolstr};

use crate::error::Fault;
use crate::field::Role;
use crate::position::Position;

/// An address in a settings file, with the position and path of its field.
#[derive(Debug, Clone)]
pub(crate) struct ConfiguredAddress {
    pub(crate) position: Position,
    pub(crate) path: SmolStr,
    pub(crate) address: SocketAddr,
    pub(crate) role: Role,
}

/// Parses an address. Returns `None` if it is malformed, has an unspecified IP address in a role
/// other than [`Role::Listen`], or has port 0 in a role that connects to it.
pub(crate) fn parse(text: &str, role: Role) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    let has_port = address.port() != 0;
    let is_host = !address.ip().is_unspecified();
    let is_valid = match role {
        Role::Listen => true,
        Role::Advertise => is_host,
        Role::Dial | Role::Seed => is_host && has_port,
    };
    is_valid.then_some(address)
}

/// Returns one fault for every address that conflicts with an earlier one in the file.
pub(crate) fn duplicates(addresses: &[ConfiguredAddress]) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (index, later) in addresses.iter().enumerate() {
        let earlier = addresses[..index]
            .iter()
            .find(|earlier| conflicts(earlier, later));
        if let Some(earlier) = earlier {
            faults.push(Fault {
                position: later.position,
                path: later.path.clone(),
                found: format_smolstr!("\"{}\"", later.address),
                allowed: format_smolstr!(
                    "an address that no other field has; {} at {} has this one",
                    earlier.path,
                    earlier.position
                ),
            });
        }
    }
    faults
}

/// Returns whether two addresses can't be used at the same time: they have the same port, and the
/// same IP address or one that is unspecified.
fn conflicts(first: &ConfiguredAddress, second: &ConfiguredAddress) -> bool {
    // The same list of seeds may be used on every host, so it may contain the host's own address.
    let is_own_seed = (first.role == Role::Seed) != (second.role == Role::Seed);
    let (a, b) = (first.address, second.address);
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    !is_own_seed && a.port() != 0 && a.port() == b.port() && same_ip
}
