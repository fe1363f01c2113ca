//! Measures the CPU time and the size of a log line about an answered job, including the CPU time
//! of the writing thread. The lines go to standard output, the results to standard error.

use std::time::Duration;

use async_io::block_on;
use onyxshed_core::{Event, EventKind};
use onyxshed_settings::{LogFormat, LogLevel, LogSettings};
use onyxshed_telemetry::{line, log::Log};
use rustix::time::{ClockId, clock_gettime};

/// Lines in a batch. Each batch is written in a second of its own and is smaller than the log's
/// budget for a second (600).
const BATCH: u32 = 500;

/// Number of batches; the time printed is the average over the lines of all batches.
const BATCHES: u32 = 8;

fn cpu_time() -> Duration {
    let cpu_spent = clock_gettime(ClockId::ProcessCPUTime);
    let seconds = u64::try_from(cpu_spent.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(cpu_spent.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

fn main() {
    let settings = LogSettings {
        format: LogFormat::Json,
        level: LogLevel::Info,
    };
    let log = Log::open_on_stdout(settings).expect("the log opens");
    let event = Event::new(EventKind::PoolJobAnswered)
        .request("c6dac14d911944c5")
        .job("06a5bd5c32a4c5eb")
        .party("r-azg3tm7")
        .detail(
            "Completed after 174ms, target 288ms, 3 tasks of 142ms and 21600mcpu 64MB 0acc, \
             pool kigali-a/0, manifest 7",
        );
    let bytes = line::format(&event, LogFormat::Json).len() + 1;
    let mut cpu_spent = Duration::ZERO;
    for _ in 0..BATCHES {
        let before = cpu_time();
        for _ in 0..BATCH {
            log.write(&event);
        }
        block_on(log.flush());
        cpu_spent += cpu_time() - before;
        std::thread::sleep(Duration::from_millis(1_050));
    }
    let lines = BATCH * BATCHES;
    let us = cpu_spent.as_secs_f64() * 1e6 / f64::from(lines);
    let dropped = log.dropped();
    eprintln!("{lines} lines, {dropped} not written: {us:.2} us each, {bytes} bytes a line");
}
