//! One class of work: its target and what was learned of it.

use onyxshed_core::{ClassTarget, Micros};

use crate::blame::ClassFaults;
use crate::estimate::ClassEstimate;
use crate::span::to_micros;

/// Share of tasks that are longer than the shortest time held to be possible.
const FLOOR_Q: f64 = 0.02;

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

    /// Gets the time that hardly any task stays under on an executor `slowdown` times as slow as
    /// the ordinary one; zero until learned.
    pub fn floor(&self, slowdown: f64) -> Micros {
        let floor_us = self.estimate.quantile_us(FLOOR_Q).unwrap_or(0.0);
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
