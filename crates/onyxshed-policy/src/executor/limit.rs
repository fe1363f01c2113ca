//! How many tasks an executor takes at the same time, learned below its number of slots.

/// Factor after a refusal that its load does not explain.
const REFUSED_FACTOR: f64 = 0.7;

/// Factor after service times went up.
const WORSENED_FACTOR: f64 = 0.9;

/// Service time over its long-run mean from which on the limit shrinks.
const WORSENED_FROM: f64 = 2.0;

/// The limit: grows by one a round of finished tasks, shrinks by a factor.
#[derive(Debug, Clone)]
pub struct Limit {
    value: f64,
    is_ramping: bool,
}

impl Limit {
    /// Makes a limit of all slots.
    pub fn new(slots: u32) -> Self {
        Limit {
            value: f64::from(slots),
            is_ramping: false,
        }
    }

    /// Gets the limit, in tasks.
    pub fn get(&self, slots: u32) -> f64 {
        self.value.clamp(1.0, f64::from(slots.max(1))).floor()
    }

    /// Takes in a finished task that ran beside `in_flight` others of ours.
    pub fn finished(&mut self, slots: u32, in_flight: u32, worsening: f64) {
        if worsening > WORSENED_FROM {
            // One step a round: each of the tasks in flight takes its part of the step.
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

    /// Takes in a refusal while slots were believed free.
    pub fn refused(&mut self) {
        self.value = (self.value * REFUSED_FACTOR).max(1.0);
        self.is_ramping = false;
    }

    /// Starts again from one task, one more with each that finishes.
    pub fn ramp(&mut self) {
        self.value = 1.0;
        self.is_ramping = true;
    }
}
