//! Resource usage of the process, read from `/proc`.

use std::fs;

use rustix::param::{clock_ticks_per_second, page_size};

use crate::metric;

/// Gauge of resident memory, in bytes.
const RESIDENT_BYTES: &str = "process_resident_memory_bytes";

/// Gauge of CPU time; not a counter, because the library's counters hold only whole numbers.
const CPU_SECONDS: &str = "process_cpu_seconds";

/// Gauge of open file descriptors.
const OPEN_FDS: &str = "process_open_fds";

/// Indexes of fields of `/proc/self/stat`, counted after the command name: user time, system time,
/// resident pages.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;
const RESIDENT_PAGES: usize = 21;

/// Updates the resource usage metrics. A metric whose value can't be read keeps its last value.
pub(crate) fn update() {
    if let Some(usage) = read() {
        metric::gauge(RESIDENT_BYTES, "Resident memory of the process.").set(usage.resident_bytes);
        metric::gauge(
            CPU_SECONDS,
            "Processor time of the process, user and system.",
        )
        .set(usage.cpu_seconds);
    }
    if let Ok(entries) = fs::read_dir("/proc/self/fd") {
        // Exact: a process has far fewer than 2^53 descriptors.
        metric::gauge(OPEN_FDS, "Open file descriptors of the process.")
            .set(entries.count() as f64);
    }
}

struct Usage {
    resident_bytes: f64,
    cpu_seconds: f64,
}

fn read() -> Option<Usage> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    // The command name may contain spaces and parentheses; the last closing parenthesis ends it.
    let (_, fields) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = fields.split_ascii_whitespace().collect();
    let number = |index: usize| fields.get(index)?.parse::<f64>().ok();
    Some(Usage {
        resident_bytes: number(RESIDENT_PAGES)? * page_size() as f64,
        cpu_seconds: (number(USER_TICKS)? + number(SYSTEM_TICKS)?)
            / clock_ticks_per_second() as f64,
    })
}
