//! Names of the process's services.

use onyxshed_kernel::ServiceName;

/// The operators' manifest.
pub const MANIFEST: ServiceName = ServiceName::new("manifest");

/// The pool that this host owns, if any.
pub const ENGINE: ServiceName = ServiceName::new("engine");

/// Executors as the platform lists them.
pub const EXECUTORS: ServiceName = ServiceName::new("executors");

/// How many pools each zone has.
pub const SHARD_LAYOUTS: ServiceName = ServiceName::new("divisions");

/// Links to the owners of pools.
pub const LINKS: ServiceName = ServiceName::new("links");

/// Who owns which pool.
pub const OWNERSHIP: ServiceName = ServiceName::new("ownership");

/// What other hosts tell one that has just started.
pub const PEER_STATE: ServiceName = ServiceName::new("peer_state");

/// Requests of callers.
pub const CALLERS: ServiceName = ServiceName::new("callers");

/// Readiness for the balancer.
pub const READY: ServiceName = ServiceName::new("ready");

/// Settings that change while the process runs.
pub const RELOAD: ServiceName = ServiceName::new("reload");
