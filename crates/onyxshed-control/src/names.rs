//! Names by which the control process's services find each other.

use onyxshed_kernel::ServiceName;

/// What the process knows.
pub const KNOWLEDGE: ServiceName = ServiceName::new("knowledge");
/// The configuration stream.
pub const CONFIG_FOLLOWER: ServiceName = ServiceName::new("config-follower");
/// The platform's list of hosts.
pub const HOST_FOLLOWER: ServiceName = ServiceName::new("host-follower");
/// Digests exchanged with peers.
pub const PEERS: ServiceName = ServiceName::new("peers");
/// Snapshots handed to the entry process.
pub const ENTRY_LINK: ServiceName = ServiceName::new("entry-link");
/// The configuration published again in time.
pub const REPUBLISHER: ServiceName = ServiceName::new("republisher");
