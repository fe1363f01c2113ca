//! Names under which the services of the entry process are registered with the kernel.

use onyxshed_kernel::ServiceName;

/// Owns the dispatch state machine: [`crate::engine`].
pub const ENGINE: ServiceName = ServiceName::new("engine");
/// Starts and stops tasks on executors: [`crate::upstreams`].
pub const UPSTREAMS: ServiceName = ServiceName::new("upstreams");
/// Appends and follows claims on the platform's log: [`crate::claim_log`].
pub const CLAIM_LOG: ServiceName = ServiceName::new("claim-log");
/// Forwards requests to peers: [`crate::peers`].
pub const PEERS: ServiceName = ServiceName::new("peers");
/// Receives snapshots from the control process: [`crate::control_port`].
pub const CONTROL_PORT: ServiceName = ServiceName::new("control-port");
/// Serves requests of callers and of peers: [`crate::callers`].
pub const CALLERS: ServiceName = ServiceName::new("callers");
