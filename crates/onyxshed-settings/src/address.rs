//! Checks on addresses: each by itself, and all of a file against each other.

use std::net::SocketAddr;

use smol_str::{SmolStr, format_smolstr};

use crate::error::Fault;
use crate::field::Role;
use crate::place::Place;

/// An address as a file gives it.
#[derive(Debug, Clone)]
pub(crate) struct Given {
    pub(crate) place: Place,
    pub(crate) path: SmolStr,
    pub(crate) address: SocketAddr,
    pub(crate) role: Role,
}

/// Reads an address that suits the role, none if it doesn't.
pub(crate) fn parse(text: &str, role: Role) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    let has_port = address.port() != 0;
    let is_host = !address.ip().is_unspecified();
    let suits = match role {
        Role::Listen => true,
        Role::Advertise => is_host,
        Role::Dial | Role::Seed => is_host && has_port,
    };
    suits.then_some(address)
}

/// Finds every address that an earlier field took already.
pub(crate) fn duplicates(given: &[Given]) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (index, later) in given.iter().enumerate() {
        let earlier = given[..index].iter().find(|other| clash(other, later));
        if let Some(earlier) = earlier {
            faults.push(Fault {
                place: later.place,
                path: later.path.clone(),
                found: format_smolstr!("\"{}\"", later.address),
                allowed: format_smolstr!(
                    "an address of its own; {} at {} has this one",
                    earlier.path,
                    earlier.place
                ),
            });
        }
    }
    faults
}

/// Tells whether two fields can't both have their address.
fn clash(one: &Given, other: &Given) -> bool {
    // A list of seeds may be the same on every host and so hold the host's own address.
    let is_own_seed = (one.role == Role::Seed) != (other.role == Role::Seed);
    let (a, b) = (one.address, other.address);
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    !is_own_seed && a.port() != 0 && a.port() == b.port() && same_ip
}
