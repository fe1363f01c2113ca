//! Names by which the entry's services find each other.

use onyxshed_kernel::ServiceName;

/// The dispatch machine.
pub const ENGINE: ServiceName = ServiceName::new("engine");
/// Starts and stops of tasks.
pub const UPSTREAMS: ServiceName = ServiceName::new("upstreams");
/// Claims in the platform's log.
pub const CLAIM_LOG: ServiceName = ServiceName::new("claim-log");
/// Requests passed on to peers.
pub const PEERS: ServiceName = ServiceName::new("peers");
/// Snapshots from the control process.
pub const CONTROL_PORT: ServiceName = ServiceName::new("control-port");
/// Requests of callers and of peers.
pub const CALLERS: ServiceName = ServiceName::new("callers");
