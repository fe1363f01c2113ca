//! Memory and processor time of a process, as the system tells them.

use std::fs;

use snafu::ResultExt;

use crate::error::{ProcessSnafu, Result};

/// A process's use of the machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Usage {
    /// Resident memory, in KiB.
    pub resident_kib: u64,
    /// Processor time since its start, in milliseconds.
    pub processor_ms: u64,
}

/// Tries to read a process's use of the machine.
pub fn read_usage(pid: u32) -> Result<Usage> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).context(ProcessSnafu { pid })?;
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).context(ProcessSnafu { pid })?;
    Ok(Usage {
        resident_kib: resident_kib(&status),
        processor_ms: processor_ms(&stat, rustix::param::clock_ticks_per_second()),
    })
}

/// Reads the resident memory out of `/proc/PID/status`, 0 if it is not there.
pub fn resident_kib(status: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.split_whitespace().next())
        .and_then(|digits| digits.parse().ok())
        .unwrap_or_default()
}

/// Reads user and system time out of `/proc/PID/stat`. The name before them may hold blanks, so
/// fields are counted from the bracket behind it.
pub fn processor_ms(stat: &str, ticks_per_s: u64) -> u64 {
    const USER_AFTER_NAME: usize = 11;
    let behind_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields = behind_name.split_whitespace().skip(USER_AFTER_NAME).take(2);
    let ticks: u64 = fields.filter_map(|field| field.parse::<u64>().ok()).sum();
    ticks * 1_000 / ticks_per_s.max(1)
}
