//! Limits the number of lines written to the log per second.
//!
//! If thousands of requests a second fail or are rejected and each writes a line, logging uses CPU
//! time that could serve requests, and the log collector is flooded. Warnings and errors have a
//! budget of their own, so that a flood of debug and info lines leaves room for them. Dropped lines
//! are counted, and their number is logged.

use onyxshed_core::event::Level;

/// Maximum number of lines per second for debug and info events: three times the number that a host
/// writes under its heaviest load.
pub const INFO_LINES_PER_S: u32 = 600;

/// Maximum number of lines per second for warnings and errors, which report failures and suspected
/// or unreachable processes.
pub const WARN_LINES_PER_S: u32 = 300;

/// Counters of the lines written in the current second and of the dropped lines not yet reported.
#[derive(Debug, Default)]
pub struct Budget {
    second: u64,
    info_lines: u32,
    warn_lines: u32,
    dropped: u64,
}

/// Whether a line is written, and whether the number of dropped lines is reported before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineDecision {
    /// Write the line without a report of dropped lines before it.
    Write,
    /// First report this number of lines dropped since the last report, then write the line.
    WriteAfterDropped(u64),
    /// Do not write the line: the budget of its level for this second is used up.
    Drop,
}

impl Budget {
    /// Decides whether a line is written, and counts it. `second` is the time in whole seconds
    /// since an arbitrary start.
    pub fn decide(&mut self, second: u64, level: Level) -> LineDecision {
        let is_new_second = second != self.second;
        if is_new_second {
            self.second = second;
            self.info_lines = 0;
            self.warn_lines = 0;
        }
        let (used, max) = match level {
            Level::Debug | Level::Info => (&mut self.info_lines, INFO_LINES_PER_S),
            Level::Warn | Level::Error => (&mut self.warn_lines, WARN_LINES_PER_S),
        };
        if *used >= max {
            self.dropped += 1;
            return LineDecision::Drop;
        }
        *used += 1;
        match std::mem::take(&mut self.dropped) {
            0 => LineDecision::Write,
            // The number of dropped lines is reported once, with the first line of the next second.
            count if is_new_second => LineDecision::WriteAfterDropped(count),
            count => {
                self.dropped = count;
                LineDecision::Write
            }
        }
    }
}
