//! Work of the runs that execute and the speed of the executors, for load reports.
//!
//! Both change with time, so they are computed once per tick. Between two ticks, the work is taken to
//! decrease as fast as the busy processors run.

use onyxshed_core::{Micros, Mono};

use super::Pool;
use crate::overload::OverloadMode;
use crate::speed::as_f64;

/// Work and speed as of the last tick.
#[derive(Debug, Default)]
pub(super) struct RunningTotals {
    computed_at: Mono,
    /// Remaining work of all runs, in thousandths of a core times milliseconds.
    work: u64,
    /// Processor that the runs use, in thousandths of a core.
    busy_cpu_millis: u64,
    /// Mean speed of the usable executors, in thousandths; 0 without any.
    speed_millis: u32,
}

impl RunningTotals {
    /// Returns the remaining work of the runs, in thousandths of a core times milliseconds.
    pub fn work(&self, now: Mono) -> u64 {
        let elapsed_ms = now.since(self.computed_at).as_millis().0;
        let done = self.busy_cpu_millis.saturating_mul(elapsed_ms);
        self.work.saturating_sub(done)
    }

    /// Returns the mean speed of the usable executors, in thousandths.
    pub fn speed_millis(&self) -> u32 {
        self.speed_millis
    }
}

impl Pool {
    /// Walks the executors and their runs once, unless overload is off. Called on each tick.
    pub(super) fn update_running_totals(&mut self, now: Mono) {
        if self.options.overload == OverloadMode::Off {
            return;
        }
        let (mut work, mut busy) = (0, 0);
        let (mut capacity, mut speed) = (0.0, 0.0);
        for executor in self.executors.values() {
            for run in executor.runs.values() {
                let cpu = u64::from(run.demand.cpu_millis.max(1));
                let left = Micros(run.expected.0.saturating_sub(now.since(run.ordered_at).0));
                work += cpu * left.as_millis().0;
                busy += cpu;
            }
            if executor.is_usable(now, &self.options) {
                let cpu = as_f64(executor.facts.capacity.cpu_millis.into());
                capacity += cpu;
                speed += cpu / executor.slowdown.factor(now);
            }
        }
        self.running = RunningTotals {
            computed_at: now,
            work,
            busy_cpu_millis: busy,
            speed_millis: mean_millis(speed, capacity),
        };
    }
}

/// Returns `part / whole` in thousandths, at least 1; 0 if `whole` is 0.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn mean_millis(part: f64, whole: f64) -> u32 {
    match whole > 0.0 {
        true => (part / whole * 1_000.0).max(1.0) as u32,
        false => 0,
    }
}
