//! What the process takes of the machine, as the system tells it.

use std::fs;

use rustix::param::{clock_ticks_per_second, page_size};

use crate::metric;

/// Gauge of resident memory.
const RESIDENT_BYTES: &str = "process_resident_memory_bytes";

/// Gauge of processor time; a gauge, because the library's counters hold whole numbers only.
const CPU_SECONDS: &str = "process_cpu_seconds";

/// Gauge of open file descriptors.
const OPEN_FDS: &str = "process_open_fds";

/// Fields of `/proc/self/stat` behind the command's name: user time, system time, resident pages.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;
const RESIDENT_PAGES: usize = 21;

/// Brings the metrics of the process itself up to date; what the system does not tell stays as it
/// was.
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
    // The command's name may hold spaces and brackets; the last bracket ends it.
    let (_, fields) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = fields.split_ascii_whitespace().collect();
    let number = |index: usize| fields.get(index)?.parse::<f64>().ok();
    Some(Usage {
        resident_bytes: number(RESIDENT_PAGES)? * page_size() as f64,
        cpu_seconds: (number(USER_TICKS)? + number(SYSTEM_TICKS)?)
            / clock_ticks_per_second() as f64,
    })
}
