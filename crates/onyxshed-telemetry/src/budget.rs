//! How many lines a second the log takes.
//!
//! Failure guarded against: thousands of requests a second fail, or are turned away, and each
//! writes a line. Symptom: writing the log takes the processor from the requests that could be
//! served, and whoever collects it is flooded. Lines on failures and changes of belief have a
//! budget of their own, so that a flood of ordinary ones leaves room for them; what is left out is
//! counted and said.

use onyxshed_core::event::Level;

/// Lines a second on ordinary steps: three times what a host writes under its heaviest load.
pub const QUIET_LINES_PER_S: u32 = 600;

/// Lines a second on failures and changes of belief.
pub const LOUD_LINES_PER_S: u32 = 300;

/// Lines allowed within the present second.
#[derive(Debug, Default)]
pub struct Budget {
    second: u64,
    quiet: u32,
    loud: u32,
    left_out: u64,
}

/// What becomes of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is written.
    Write,
    /// It is written, and so many before it were left out that nobody was told of.
    WriteAfter(u64),
    /// It is left out.
    LeaveOut,
}

impl Budget {
    /// Decides about a line at a time given in whole seconds from an arbitrary start.
    pub fn decide(&mut self, second: u64, level: Level) -> Verdict {
        let is_new_second = second != self.second;
        if is_new_second {
            self.second = second;
            self.quiet = 0;
            self.loud = 0;
        }
        let (used, most) = match level {
            Level::Debug | Level::Info => (&mut self.quiet, QUIET_LINES_PER_S),
            Level::Warn | Level::Error => (&mut self.loud, LOUD_LINES_PER_S),
        };
        if *used >= most {
            self.left_out += 1;
            return Verdict::LeaveOut;
        }
        *used += 1;
        match std::mem::take(&mut self.left_out) {
            0 => Verdict::Write,
            // Told at once where the second is new, else with the next second's first line.
            count if is_new_second => Verdict::WriteAfter(count),
            count => {
                self.left_out = count;
                Verdict::Write
            }
        }
    }
}
