//! Names of the services of the host process.

use onyxshed_kernel::ServiceName;

/// The operators' manifest.
pub const MANIFEST: ServiceName = ServiceName::new("manifest");

/// The engine, which drives the pool that this host owns, if any.
pub const ENGINE: ServiceName = ServiceName::new("engine");

/// The executors that the platform lists.
pub const EXECUTORS: ServiceName = ServiceName::new("executors");

/// The shard layouts: the number of pools of each zone.
pub const SHARD_LAYOUTS: ServiceName = ServiceName::new("divisions");

/// Links to the owners of pools.
pub const LINKS: ServiceName = ServiceName::new("links");

/// Ownership of pools.
pub const OWNERSHIP: ServiceName = ServiceName::new("ownership");

/// State that a starting host fetches from peers.
pub const PEER_STATE: ServiceName = ServiceName::new("peer_state");

/// Requests of callers.
pub const CALLERS: ServiceName = ServiceName::new("callers");

/// The readiness endpoint for the balancer.
pub const READY: ServiceName = ServiceName::new("ready");

/// Reloading of the settings file while the process runs.
pub const RELOAD: ServiceName = ServiceName::new("reload");
