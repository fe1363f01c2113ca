//! Divides the memory and the descriptors of a machine among everything that clients can make a
//! process hold.
//!
//! Limits that do not know the machine add up to more than it has, and a crowd of clients that each
//! keep within them ends the process. Every limit on clients is therefore derived here, from one
//! total: [`CapacityPlan::committed_bytes`] never exceeds [`MachineLimits::memory`], and
//! [`CapacityPlan::committed_sockets`] never exceeds the sockets that a process may open.
//! docs/LIMITS.md has the sum.

use std::fmt;

use onyxshed_core::Bytes;

use crate::listen::{LISTEN_BACKLOG, ListenOptions, UNREAD_MAX_BYTES};
use crate::server::ServerOptions;

/// The limits of a machine for one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory of the process, including bytes that it has not read.
    pub memory: Bytes,
    /// Descriptors of the process.
    pub descriptors_max: u64,
}

/// Limits of one listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenerLimits {
    /// Largest number of connections that are served.
    pub connections_max: usize,
    /// Largest number of further connections that get a rejection.
    pub rejected_max: usize,
    /// Connections that the operating system queues until the process accepts them.
    pub backlog: i32,
}

impl ListenerLimits {
    /// Returns the options of a listener with these limits.
    pub fn listen_options(&self) -> ListenOptions {
        ListenOptions {
            backlog: self.backlog,
            ..ListenOptions::default()
        }
    }

    /// Returns `options` with these limits.
    pub fn apply(&self, options: ServerOptions) -> ServerOptions {
        ServerOptions {
            connections_max: self.connections_max,
            rejected_max: self.rejected_max,
            ..options
        }
    }

    fn sockets(&self) -> u64 {
        (self.connections_max + self.rejected_max) as u64
    }

    fn committed_bytes(&self) -> u64 {
        // The queue holds one connection more than the backlog.
        let queued = self.backlog.unsigned_abs() as u64 + 1;
        self.sockets() * CONNECTION_BYTES + queued * UNREAD_MAX_BYTES as u64
    }
}

impl fmt::Display for ListenerLimits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            connections_max,
            rejected_max,
            backlog,
        } = self;
        write!(f, "{connections_max}+{rejected_max} (backlog {backlog})")
    }
}

/// Memory that one connection may use: its unread bytes, and the parsed head, the buffers and the
/// decoded request behind them.
pub const CONNECTION_BYTES: u64 = UNREAD_MAX_BYTES as u64 + (96 << 10);

/// Descriptors of a process that are reserved for files.
const FILE_DESCRIPTORS: u64 = 200;

/// Memory that the link of another process of the system may use: its unread bytes, and the message that
/// is being read.
const PEER_BYTES: u64 = UNREAD_MAX_BYTES as u64 + (16 << 10);

/// Memory that a call to an executor may use: its task, its connection and the parser's buffers.
const CALL_BYTES: u64 = 32 << 10;

/// Memory of a process without clients, besides the sixteenth of its machine's memory in
/// [`CapacityPlan::process`].
const PROCESS_MIN_BYTES: u64 = 24_000_000;

/// Largest number of connections that a listener serves, however large the machine is.
const CONNECTIONS_MAX: u64 = 4_096;

/// Largest number of connections of the system's other processes, however large the machine is.
pub const PEERS_MAX: usize = 640;

/// Largest number of calls to executors in progress.
const CALLS_MAX: usize = 256;

/// Number of listeners besides the one for callers: readiness and admin.
const MINOR_LISTENERS: u64 = 2;

/// The parts of a machine that a process's listeners and requests may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CapacityPlan {
    /// Memory for the process itself: code, state, events that wait to be written, and one body that is
    /// copied as it grows.
    pub process: Bytes,
    /// Limits of the listener for callers.
    pub callers: ListenerLimits,
    /// Limits of each other listener.
    pub minor: ListenerLimits,
    /// Memory for bodies above [`SMALL_BODY_BYTES`](crate::server::SMALL_BODY_BYTES).
    pub large_bodies: Bytes,
    /// Memory for all other bodies.
    pub small_bodies: Bytes,
    /// Memory for replies that are being sent.
    pub replies: Bytes,
    /// Memory for the jobs of an owned pool.
    pub jobs: Bytes,
    /// Largest number of connections of the system's other processes.
    pub peers_max: usize,
    /// Largest number of calls to executors in progress.
    pub calls_max: usize,
    /// Largest number of idle connections to executors.
    pub idle_calls_max: usize,
}

impl CapacityPlan {
    /// Divides the limits of a machine.
    pub fn new(limits: MachineLimits) -> Self {
        let memory = limits.memory.0;
        let sockets = sockets_max(limits);
        let process = PROCESS_MIN_BYTES + memory / 16;
        let peers_max = (sockets / 4).min(memory / 6 / PEER_BYTES);
        let peers_max = count(peers_max).min(PEERS_MAX);
        let calls_max = (sockets / 8).min(memory / 16 / CALL_BYTES);
        let calls_max = count(calls_max).min(CALLS_MAX);
        let trusted = peers_max as u64 * PEER_BYTES + calls_max as u64 * CALL_BYTES;
        // The backlogs may fill while the process is paused.
        let backlog = memory / 8 / UNREAD_MAX_BYTES as u64;
        let queued = memory / 8 + MINOR_LISTENERS * (memory / 8 / MINOR_PART);
        let rest = memory.saturating_sub(process + trusted + queued);
        CapacityPlan {
            process: Bytes(process),
            callers: listener(rest * 3 / 8, sockets * 5 / 16, backlog),
            minor: listener(rest / 32, sockets / 32, backlog / MINOR_PART),
            large_bodies: Bytes(rest / 4),
            small_bodies: Bytes(rest / 16),
            replies: Bytes(rest / 16),
            jobs: Bytes(rest * 3 / 16),
            peers_max,
            calls_max,
            idle_calls_max: count(sockets / 8),
        }
    }

    /// Returns the most memory that a process with these limits uses.
    pub fn committed_bytes(&self) -> Bytes {
        let listeners =
            self.callers.committed_bytes() + MINOR_LISTENERS * self.minor.committed_bytes();
        let requests = self.large_bodies.0 + self.small_bodies.0 + self.replies.0 + self.jobs.0;
        let trusted = self.peers_max as u64 * PEER_BYTES + self.calls_max as u64 * CALL_BYTES;
        Bytes(self.process.0 + trusted + listeners + requests)
    }

    /// Returns whether the limits keep within those of the machine. They do not on a machine that is too
    /// small for one connection at each listener.
    pub fn fits(&self, limits: MachineLimits) -> bool {
        self.committed_bytes() <= limits.memory && self.committed_sockets() <= sockets_max(limits)
    }

    /// Returns the most sockets that clients, peers and connections to executors for starts and stops use.
    /// The connections on which executors are held, and those to owners and to the platform's store, use
    /// others; clients do not change their number.
    pub fn committed_sockets(&self) -> u64 {
        let listeners = self.callers.sockets() + MINOR_LISTENERS * self.minor.sockets();
        listeners + (self.peers_max + self.calls_max + self.idle_calls_max) as u64
    }
}

impl fmt::Display for CapacityPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            callers,
            minor,
            large_bodies,
            small_bodies,
            replies,
            jobs,
            peers_max,
            calls_max,
            ..
        } = self;
        write!(
            f,
            "{} and {} sockets: callers {callers}, others {minor}, large bodies {large_bodies}, \
             small bodies {small_bodies}, replies {replies}, jobs {jobs}, peers {peers_max}, \
             orders {calls_max}",
            self.committed_bytes(),
            self.committed_sockets()
        )
    }
}

/// The part of the callers' backlog that another listener has.
const MINOR_PART: u64 = 16;

/// Returns the number of sockets that a process may open.
pub fn sockets_max(limits: MachineLimits) -> u64 {
    limits.descriptors_max.saturating_sub(FILE_DESCRIPTORS)
}

/// Returns the limits of a listener whose connections use at most these bytes and sockets. One
/// connection in eight is for rejections.
fn listener(bytes: u64, sockets: u64, backlog: u64) -> ListenerLimits {
    let connections = (bytes / CONNECTION_BYTES).min(sockets).min(CONNECTIONS_MAX);
    let rejected = connections.div_ceil(8);
    // The queue holds one connection more than the backlog.
    let backlog = i32::try_from(backlog.saturating_sub(1)).unwrap_or(LISTEN_BACKLOG);
    ListenerLimits {
        connections_max: count((connections - rejected).max(1)),
        rejected_max: count(rejected),
        backlog: backlog.clamp(1, LISTEN_BACKLOG),
    }
}

fn count(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}
