//! One class of work: its target and what was learned of it.

use onyxshed_core::{ClassTarget, Micros, Mono};

use crate::demand::Demand;
use crate::estimate::ClassEstimate;
use crate::faults::ClassFaults;
use crate::span::to_micros;

/// Share of tasks that are longer than the shortest time held to be possible.
const FLOOR_Q: f64 = 0.02;

/// The same while more work arrives than can be done.
const CROWDED_FLOOR_Q: f64 = 0.5;

/// Share of tasks that stay within the usual time.
const USUAL_Q: f64 = 0.99;

/// State of one class.
#[derive(Debug)]
pub struct Class {
    /// Its target.
    pub target: ClassTarget,
    /// Whether it is still configured; its last tasks go on if it is not.
    pub is_configured: bool,
    /// Its service times.
    pub estimate: ClassEstimate,
    /// Work that arrives.
    pub demand: Demand,
    /// Its failures.
    pub faults: ClassFaults,
    /// Attempts that have not ended.
    pub in_flight: u32,
}

impl Class {
    /// Makes the state of a class that has just become known.
    pub fn new(target: ClassTarget) -> Self {
        Class {
            target,
            is_configured: true,
            estimate: ClassEstimate::default(),
            demand: Demand::default(),
            faults: ClassFaults::default(),
            in_flight: 0,
        }
    }

    /// Replaces the target; another upstream means that nothing learned holds any more.
    pub fn update(&mut self, target: &ClassTarget) {
        if self.target.upstream != target.upstream {
            self.estimate = ClassEstimate::default();
            self.faults = ClassFaults::default();
        }
        self.target = target.clone();
        self.is_configured = true;
    }

    /// Tells whether the class had better try a task than go by a stale estimate.
    pub fn needs_try(&self, now: Mono) -> bool {
        self.in_flight == 0 && self.estimate.is_stale(now)
    }

    /// Tells whether the class has work under way on the same upstream as `other`.
    pub fn shares(&self, other: &Class) -> bool {
        self.in_flight > 0 && self.target.upstream == other.target.upstream
    }

    /// Gets the shortest time worth starting with, on an executor `slowdown` times as slow as the
    /// ordinary one; zero until learned.
    ///
    /// A task with less time left is given up at once. While more work arrives than can be done,
    /// that is the middling time, since the place serves a task that makes it instead; otherwise
    /// the time that hardly any task stays under. A stale estimate gives nothing up.
    pub fn floor(&self, now: Mono, slowdown: f64, is_crowded: bool) -> Micros {
        if self.estimate.is_stale(now) {
            return Micros(0);
        }
        let q = if is_crowded { CROWDED_FLOOR_Q } else { FLOOR_Q };
        let floor_us = self.estimate.quantile_us(q).unwrap_or(0.0);
        to_micros(floor_us * slowdown)
    }

    /// Gets the time that all but few tasks stay within, likewise; none until learned.
    pub fn usual(&self, slowdown: f64) -> Option<Micros> {
        let usual_us = self.estimate.quantile_us(USUAL_Q)?;
        Some(to_micros(usual_us * slowdown))
    }

    /// Gets the time of a middling task, likewise; zero until learned.
    pub fn median(&self, slowdown: f64) -> Micros {
        let median_us = self.estimate.quantile_us(0.5).unwrap_or(0.0);
        to_micros(median_us * slowdown)
    }
}
