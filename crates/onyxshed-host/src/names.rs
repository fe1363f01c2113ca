//! Names of the services of the host process.

use onyxshed_kernel::ServiceName;

/// Service that follows the operators' manifest and evacuations.
pub const MANIFEST: ServiceName = ServiceName::new("manifest");

/// Service that drives the pool that this host owns, if any.
pub const ENGINE: ServiceName = ServiceName::new("engine");

/// Name for the list of executors; no service registers it.
pub const EXECUTORS: ServiceName = ServiceName::new("executors");

/// Service that follows the shard layouts, which determine the number of pools of each zone.
pub const SHARD_LAYOUTS: ServiceName = ServiceName::new("divisions");

/// Service that accepts the connections of peers and registers the links to the owners of pools.
pub const LINKS: ServiceName = ServiceName::new("links");

/// Service that acquires and keeps the ownership of a pool.
pub const OWNERSHIP: ServiceName = ServiceName::new("ownership");

/// Service that fetches the state of the deployment from peers at startup.
pub const PEER_STATE: ServiceName = ServiceName::new("peer_state");

/// Service that follows the topics of the store through the owner of the home pool.
pub const TOPIC_RELAY: ServiceName = ServiceName::new("topic_relay");

/// Service that accepts requests of callers.
pub const CALLERS: ServiceName = ServiceName::new("callers");

/// Service that answers the balancer's readiness checks.
pub const READY: ServiceName = ServiceName::new("ready");

/// Service that reloads the settings file while the process runs.
pub const RELOAD: ServiceName = ServiceName::new("reload");
