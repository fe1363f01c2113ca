//! Resources that tasks need and executors have.

use std::fmt;
use std::ops::{AddAssign, SubAssign};

use serde::{Deserialize, Serialize};

/// Processor, memory and accelerators that a task needs or an executor has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Processor, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory, in megabytes.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Returns whether a demand fits into these resources.
    pub fn can_fit(self, demand: Resources) -> bool {
        self.cpu_millis >= demand.cpu_millis
            && self.memory_mb >= demand.memory_mb
            && self.accelerators >= demand.accelerators
    }

    /// Returns how many times a demand fits into these resources.
    pub fn count_of(self, demand: Resources) -> u32 {
        let times = |free: u32, needed: u32| free.checked_div(needed).unwrap_or(u32::MAX);
        times(self.cpu_millis, demand.cpu_millis)
            .min(times(self.memory_mb, demand.memory_mb))
            .min(times(self.accelerators, demand.accelerators))
    }

    /// Returns the resources left after subtracting a demand, each at least zero.
    pub fn saturating_sub(self, demand: Resources) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis.saturating_sub(demand.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(demand.memory_mb),
            accelerators: self.accelerators.saturating_sub(demand.accelerators),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        self.cpu_millis = self.cpu_millis.saturating_add(other.cpu_millis);
        self.memory_mb = self.memory_mb.saturating_add(other.memory_mb);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        *self = self.saturating_sub(other);
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}mcpu {}MB {}acc",
            self.cpu_millis, self.memory_mb, self.accelerators
        )
    }
}
