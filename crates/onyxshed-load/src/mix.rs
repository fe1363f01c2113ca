//! The work mixes of the two deployments, from which the load tool draws jobs.

use std::fmt;
use std::str::FromStr;

use rand::{Rng, RngExt};

use crate::error::Error;

/// Range of service times on an executor of the fastest kind, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceTimeRange {
    /// Shortest service time; draws are uniform on a logarithmic scale up to `max_ms`.
    pub min_ms: u32,
    /// Longest service time.
    pub max_ms: u32,
}

/// The jobs of one class in a mix.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClassLoad {
    /// Name of the class in published targets and in submissions.
    pub class: &'static str,
    /// Fraction of all jobs that belong to the class, 0 to 1.
    pub share: f64,
    /// Maximum number of tasks in a job. Small jobs are more common than large ones.
    pub tasks_max: u16,
    /// Service times of the tasks that are not slow; `slow_share` is the fraction that is slow.
    pub service: ServiceTimeRange,
    /// Fraction of tasks that take several seconds, 0 to 1.
    pub slow_share: f64,
    /// The class's target for the response time, in milliseconds.
    pub finish_within_ms: u32,
    /// Whether the class's tasks may run twice.
    pub may_run_twice: bool,
}

/// Service times of the few tasks that take several seconds.
const SLOW_SERVICE: ServiceTimeRange = ServiceTimeRange {
    min_ms: 2_000,
    max_ms: 4_000,
};

/// One of the two deployments whose work the load tool generates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mix {
    /// Fleet commands for counter tablets.
    Inzira,
    /// The contest entry desk.
    Valbrenta,
}

const INZIRA: [ClassLoad; 3] = [
    ClassLoad {
        class: "lock-order",
        share: 0.3,
        tasks_max: 1,
        service: ServiceTimeRange {
            min_ms: 50,
            max_ms: 200,
        },
        slow_share: 0.0,
        finish_within_ms: 2_000,
        may_run_twice: false,
    },
    ClassLoad {
        class: "price-push",
        share: 0.5,
        tasks_max: 40,
        service: ServiceTimeRange {
            min_ms: 50,
            max_ms: 600,
        },
        slow_share: 0.0,
        finish_within_ms: 6_000,
        may_run_twice: true,
    },
    ClassLoad {
        class: "stock-sync",
        share: 0.2,
        tasks_max: 8,
        service: ServiceTimeRange {
            min_ms: 200,
            max_ms: 1_000,
        },
        slow_share: 0.02,
        finish_within_ms: 20_000,
        may_run_twice: false,
    },
];

const VALBRENTA: [ClassLoad; 3] = [
    ClassLoad {
        class: "registration",
        share: 0.3,
        tasks_max: 3,
        service: ServiceTimeRange {
            min_ms: 100,
            max_ms: 600,
        },
        slow_share: 0.0,
        finish_within_ms: 5_000,
        may_run_twice: false,
    },
    ClassLoad {
        class: "eligibility",
        share: 0.55,
        tasks_max: 30,
        service: ServiceTimeRange {
            min_ms: 50,
            max_ms: 300,
        },
        slow_share: 0.0,
        finish_within_ms: 4_000,
        may_run_twice: true,
    },
    ClassLoad {
        class: "fee-charge",
        share: 0.15,
        tasks_max: 1,
        service: ServiceTimeRange {
            min_ms: 200,
            max_ms: 1_000,
        },
        slow_share: 0.02,
        finish_within_ms: 12_000,
        may_run_twice: false,
    },
];

impl Mix {
    /// All mixes.
    pub const ALL: [Mix; 2] = [Mix::Inzira, Mix::Valbrenta];

    /// Returns the classes of the mix.
    pub fn classes(self) -> &'static [ClassLoad] {
        match self {
            Mix::Inzira => &INZIRA,
            Mix::Valbrenta => &VALBRENTA,
        }
    }

    /// Returns the name of the upstream that runs the mix.
    pub fn upstream(self) -> &'static str {
        match self {
            Mix::Inzira => "tablet-fleet",
            Mix::Valbrenta => "contest-desk",
        }
    }

    /// Returns the mean work of a job, which is the sum of its tasks' service times, in
    /// milliseconds.
    pub fn mean_job_ms(self) -> f64 {
        let work = |load: &ClassLoad| load.share * load.mean_tasks() * load.mean_service_ms();
        self.classes().iter().map(work).sum()
    }

    /// Draws a class by its share and returns its index in [`Mix::classes`].
    pub fn draw_class(self, rng: &mut impl Rng) -> usize {
        let mut remaining: f64 = rng.random();
        let classes = self.classes();
        for (index, load) in classes.iter().enumerate() {
            remaining -= load.share;
            if remaining < 0.0 {
                return index;
            }
        }
        classes.len() - 1
    }
}

impl fmt::Display for Mix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Mix::Inzira => "inzira",
            Mix::Valbrenta => "valbrenta",
        })
    }
}

impl FromStr for Mix {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let found = Mix::ALL.into_iter().find(|mix| mix.to_string() == text);
        found.ok_or_else(|| Error::option("--mix", text, "inzira or valbrenta"))
    }
}

impl ClassLoad {
    /// Draws the number of tasks of one job. The number is proportional to the square of a uniform
    /// random number, so most jobs are small.
    pub fn draw_tasks(&self, rng: &mut impl Rng) -> u16 {
        let uniform: f64 = rng.random();
        let above_one = uniform * uniform * f64::from(self.tasks_max);
        (1..self.tasks_max)
            .take_while(|tasks| f64::from(*tasks) <= above_one)
            .last()
            .map_or(1, |tasks| tasks + 1)
    }

    /// Draws the service time of one task, in milliseconds, uniformly on a logarithmic scale.
    pub fn draw_service_ms(&self, rng: &mut impl Rng) -> u32 {
        let is_slow = rng.random_bool(self.slow_share);
        let range = if is_slow { SLOW_SERVICE } else { self.service };
        range.interpolate(rng.random())
    }

    fn mean_tasks(&self) -> f64 {
        let max = f64::from(self.tasks_max);
        let below = (1..self.tasks_max).map(|tasks| 1.0 - (f64::from(tasks) / max).sqrt());
        1.0 + below.sum::<f64>()
    }

    fn mean_service_ms(&self) -> f64 {
        (1.0 - self.slow_share) * self.service.mean_ms() + self.slow_share * SLOW_SERVICE.mean_ms()
    }
}

impl ServiceTimeRange {
    /// Returns the service time at `fraction` (0 to 1) of the range on a logarithmic scale.
    fn interpolate(self, fraction: f64) -> u32 {
        let (min, max) = (f64::from(self.min_ms), f64::from(self.max_ms));
        whole_ms(min * (max / min).powf(fraction))
    }

    fn mean_ms(self) -> f64 {
        let (min, max) = (f64::from(self.min_ms), f64::from(self.max_ms));
        (max - min) / (max / min).ln()
    }
}

/// Rounds a service time, which must be small and not negative, to whole milliseconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "service times are at most a few thousand"
)]
fn whole_ms(service_ms: f64) -> u32 {
    service_ms.round() as u32
}
