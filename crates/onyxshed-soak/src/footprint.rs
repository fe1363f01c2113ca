//! The memory and the descriptors of processes, as the operating system shows them.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;

use crate::fleet::{Fleet, MachineLimits};

/// Descriptors that are reserved for files; sockets and pipes share the others.
const FILE_DESCRIPTORS: u64 = 200;

/// Interval between two readings of the footprints.
pub const SAMPLE_PERIOD: Duration = Duration::from_millis(10);

/// The highest footprints of several processes.
#[derive(Debug, Default)]
pub struct Watch {
    processes: Vec<WatchedProcess>,
}

#[derive(Debug)]
struct WatchedProcess {
    process_id: u32,
    /// Addresses on which the process listens for clients.
    addresses: Vec<SocketAddr>,
    highest: Footprint,
}

impl Watch {
    /// Begins to watch the hosts of a fleet.
    pub fn of_fleet(fleet: &Fleet) -> Self {
        let mut watch = Watch::default();
        let names = fleet.host_names();
        for (name, callers) in names.iter().zip(fleet.direct_caller_addresses()) {
            if let Some(process_id) = fleet.process_id(name) {
                watch.add(process_id, vec![SocketAddr::new(callers.ip(), ANY_PORT)]);
            }
        }
        watch
    }

    /// Begins to watch a process that listens on these addresses; [`ANY_PORT`] stands for all ports.
    pub fn add(&mut self, process_id: u32, addresses: Vec<SocketAddr>) {
        self.processes.push(WatchedProcess {
            process_id,
            addresses,
            highest: Footprint::default(),
        });
    }

    /// Reads the footprints periodically until the future is dropped.
    pub async fn sample<T>(&mut self) -> Option<T> {
        loop {
            for process in &mut self.processes {
                let footprint = Footprint::read(process.process_id, &process.addresses);
                process.highest = process.highest.max(footprint);
            }
            Timer::after(SAMPLE_PERIOD).await;
        }
    }

    /// Describes the processes that have exceeded a limit of their machine, with their highest footprints.
    pub fn find_violations(&self, limits: MachineLimits) -> Vec<String> {
        let exceeding = self.processes.iter().filter_map(|process| {
            let peak_bytes = peak_resident_bytes(process.process_id);
            let Footprint { channels, .. } = process.highest;
            let memory_bytes = process.highest.memory_bytes().max(peak_bytes);
            let is_within = memory_bytes <= limits.memory_mb * BYTES_PER_MB
                && channels <= limits.max_fds - FILE_DESCRIPTORS;
            let found = format!("{:?}, peak {peak_bytes} bytes", process.highest);
            (!is_within).then(|| format!("limits {limits:?} exceeded: {found}"))
        });
        exceeding.collect()
    }
}

/// Bytes in a megabyte of the settings.
const BYTES_PER_MB: u64 = 1_000_000;

/// Stands for all ports of an address.
pub const ANY_PORT: u16 = 0;

/// Memory and descriptors of a process at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Footprint {
    /// Resident memory, in bytes.
    resident_bytes: u64,
    /// Bytes that clients have sent and the process has not read.
    unread_bytes: u64,
    /// Open sockets and pipes.
    channels: u64,
}

impl Footprint {
    /// Reads the footprint of a process that listens on `addresses`.
    fn read(process_id: u32, addresses: &[SocketAddr]) -> Footprint {
        Footprint {
            resident_bytes: status_bytes(process_id, "VmRSS:"),
            unread_bytes: unread_bytes(addresses),
            channels: channel_count(process_id),
        }
    }

    /// Returns the memory that counts towards the limit of the machine.
    fn memory_bytes(&self) -> u64 {
        self.resident_bytes + self.unread_bytes
    }

    /// Returns the larger value of each figure, with the memory of one moment.
    fn max(self, other: Footprint) -> Footprint {
        let larger = match self.memory_bytes() >= other.memory_bytes() {
            true => self,
            false => other,
        };
        Footprint {
            channels: self.channels.max(other.channels),
            ..larger
        }
    }
}

/// Returns the largest resident memory that a process has had, in bytes.
pub fn peak_resident_bytes(process_id: u32) -> u64 {
    status_bytes(process_id, "VmHWM:")
}

fn status_bytes(process_id: u32, field: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kibibytes = line.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    kibibytes.unwrap_or_default() * 1_024
}

fn channel_count(process_id: u32) -> u64 {
    let Ok(entries) = fs::read_dir(format!("/proc/{process_id}/fd")) else {
        return 0;
    };
    let targets = entries.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    let channels = targets.filter(|target| {
        let target = target.to_string_lossy();
        target.starts_with("socket:") || target.starts_with("pipe:")
    });
    channels.count() as u64
}

/// Returns the bytes in the receive queues of all connections to these addresses, also of those that the
/// process has not accepted.
fn unread_bytes(addresses: &[SocketAddr]) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let rows = table.lines().skip(1);
    rows.filter_map(|row| queued_bytes(row, addresses)).sum()
}

/// Parses a row of the kernel's table of sockets. Returns `None` for a listener, whose queue counts
/// connections, and for another address.
fn queued_bytes(row: &str, addresses: &[SocketAddr]) -> Option<u64> {
    const STATE_LISTEN: &str = "0A";
    let mut fields = row.split_whitespace().skip(1);
    let local = fields.next()?;
    let state = fields.nth(1)?;
    let (_, received) = fields.next()?.split_once(':')?;
    let local = parse_address(local)?;
    let any_port = SocketAddr::new(local.ip(), ANY_PORT);
    let is_watched = addresses.contains(&local) || addresses.contains(&any_port);
    (state != STATE_LISTEN && is_watched).then(|| u64::from_str_radix(received, 16).ok())?
}

/// Parses an address of the table, whose bytes are in the order of a little-endian machine.
fn parse_address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?.to_le_bytes();
    Some(SocketAddr::from((ip, u16::from_str_radix(port, 16).ok()?)))
}
