//! Which peers are live.

use std::net::SocketAddr;

use onyxshed_core::{HostName, Incarnation, ZoneName};

/// How a peer is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// Heard of late.
    Live,
    /// Not heard for a while.
    Suspect,
    /// Held to be gone for good: this incarnation does not come back.
    Gone,
}

/// One incarnation of one entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The host.
    pub host: HostName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its current life.
    pub incarnation: Incarnation,
    /// Where its entry process takes requests passed on by peers.
    pub peer_address: SocketAddr,
    /// How it is judged.
    pub state: MemberState,
}
