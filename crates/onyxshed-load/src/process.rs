//! Memory and processor time of a process, read from `/proc`.

use std::fs;

use snafu::ResultExt;

use crate::error::{ProcessSnafu, Result};

/// Memory and processor time that a process uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Usage {
    /// Resident memory, in KiB.
    pub resident_kib: u64,
    /// Processor time since the process started, in milliseconds.
    pub processor_ms: u64,
}

/// Reads the memory and processor time of a process. Fails if its files in `/proc` can't be read.
pub fn read_usage(pid: u32) -> Result<Usage> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).context(ProcessSnafu { pid })?;
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).context(ProcessSnafu { pid })?;
    Ok(Usage {
        resident_kib: resident_kib(&status),
        processor_ms: processor_ms(&stat, rustix::param::clock_ticks_per_second()),
    })
}

/// Parses the resident memory, in KiB, from the text of `/proc/PID/status`; 0 if it is missing.
pub fn resident_kib(status: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.split_whitespace().next())
        .and_then(|digits| digits.parse().ok())
        .unwrap_or_default()
}

/// Parses the sum of user and system time, in milliseconds, from the text of `/proc/PID/stat`. The
/// process name before them may contain blanks, so fields are counted from the bracket that ends
/// it.
pub fn processor_ms(stat: &str, ticks_per_s: u64) -> u64 {
    const USER_AFTER_NAME: usize = 11;
    let behind_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields = behind_name.split_whitespace().skip(USER_AFTER_NAME).take(2);
    let ticks: u64 = fields.filter_map(|field| field.parse::<u64>().ok()).sum();
    ticks * 1_000 / ticks_per_s.max(1)
}
