//! Limit on the concurrent tasks of one executor, learned below its number of slots. The policy
//! starts no task on an executor that has reached its limit.

/// Factor applied to the limit after a refusal that the reported load does not explain.
const REFUSED_FACTOR: f64 = 0.7;

/// Factor applied to the limit per round of finished tasks while the ratio of the recent to the
/// long-run slowdown is above `WORSENED_RATIO_MIN`.
const WORSENED_FACTOR: f64 = 0.9;

/// Ratio of the recent to the long-run slowdown above which the limit shrinks.
const WORSENED_RATIO_MIN: f64 = 2.0;

/// Limit that grows by one task per round and shrinks by a factor. A round is as many finished
/// tasks as run concurrently. After [`Limit::restart_ramp`] the limit grows by one task per
/// finished task until it reaches the number of slots.
#[derive(Debug, Clone)]
pub struct Limit {
    value: f64,
    is_ramping: bool,
}

impl Limit {
    /// Creates a limit equal to the number of slots.
    pub fn new(slots: u32) -> Self {
        Limit {
            value: f64::from(slots),
            is_ramping: false,
        }
    }

    /// Returns the limit in tasks, between 1 and `slots`.
    pub fn get(&self, slots: u32) -> f64 {
        self.value.clamp(1.0, f64::from(slots.max(1))).floor()
    }

    /// Records a finished task that ran beside `in_flight` other tasks of this host. `slowdown_increase`
    /// is the ratio of the recent to the long-run slowdown of the executor.
    pub fn record_finished(&mut self, slots: u32, in_flight: u32, slowdown_increase: f64) {
        if slowdown_increase > WORSENED_RATIO_MIN {
            // The limit shrinks by one factor per round, so each task of the round applies its part
            // of the factor.
            let part = WORSENED_FACTOR.powf(1.0 / f64::from(in_flight + 1));
            self.value = (self.value * part).max(1.0);
            return;
        }
        if self.is_ramping {
            self.value += 1.0;
        } else if f64::from(in_flight) + 1.0 >= self.value.floor() {
            self.value += 1.0 / self.value;
        }
        if self.value >= f64::from(slots) {
            self.value = f64::from(slots);
            self.is_ramping = false;
        }
    }

    /// Records a refusal by an executor that was believed to have free slots.
    pub fn record_refusal(&mut self) {
        self.value = (self.value * REFUSED_FACTOR).max(1.0);
        self.is_ramping = false;
    }

    /// Restarts from a limit of one task, which each finished task raises by one.
    pub fn restart_ramp(&mut self) {
        self.value = 1.0;
        self.is_ramping = true;
    }
}
