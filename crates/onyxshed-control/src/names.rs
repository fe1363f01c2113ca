//! Names under which the services of the control process are registered with the kernel.

use onyxshed_kernel::ServiceName;

/// Holds the state that the other services share: [`crate::shared_state`].
pub const SHARED_STATE: ServiceName = ServiceName::new("knowledge");
/// Follows the configuration stream: [`crate::config_follower`].
pub const CONFIG_FOLLOWER: ServiceName = ServiceName::new("config-follower");
/// Polls the platform's list of hosts: [`crate::host_follower`].
pub const HOST_FOLLOWER: ServiceName = ServiceName::new("host-follower");
/// Exchanges gossip with peers: [`crate::peers`].
pub const PEERS: ServiceName = ServiceName::new("peers");
/// Sends snapshots to the entry process: [`crate::entry_link`].
pub const ENTRY_LINK: ServiceName = ServiceName::new("entry-link");
/// Appends the configuration again before its records expire: [`crate::republisher`].
pub const REPUBLISHER: ServiceName = ServiceName::new("republisher");
