//! How far callers' estimates of run times are off, by class.

use std::collections::BTreeMap;

use onyxshed_core::{Micros, Mono};

use crate::id::ClassId;
use crate::speed::as_f64;

/// Weight of the newest sample once there are enough.
const ALPHA: f64 = 0.05;

/// Bound on the logarithm of the ratio: a factor of three.
const LOG_RATIO_MAX: f64 = 1.1;

/// Half-life of a ratio without samples, in seconds.
const HALF_LIFE_S: f64 = 30.0;

#[derive(Debug, Clone, Copy, Default)]
struct ClassEstimate {
    log_ratio: f64,
    samples: u32,
    updated_at: Mono,
}

impl ClassEstimate {
    fn log_ratio(&self, now: Mono) -> f64 {
        let age_s = as_f64(now.since(self.updated_at).0) / 1e6;
        self.log_ratio * (-age_s / HALF_LIFE_S).exp2()
    }
}

/// Learned ratio of actual to expected run time by class.
#[derive(Debug, Default)]
pub struct ClassEstimates {
    classes: BTreeMap<ClassId, ClassEstimate>,
}

impl ClassEstimates {
    /// Records that a task of a class took `took` where `expected` was estimated.
    pub fn observe(&mut self, now: Mono, class: &ClassId, took: Micros, expected: Micros) {
        let ratio = as_f64(took.0.max(1)) / as_f64(expected.0.max(1));
        let sample = ratio.ln().clamp(-LOG_RATIO_MAX, LOG_RATIO_MAX);
        if !self.classes.contains_key(class) {
            self.classes.insert(class.clone(), ClassEstimate::default());
        }
        let Some(estimate) = self.classes.get_mut(class) else {
            return;
        };
        let current = estimate.log_ratio(now);
        estimate.samples = estimate.samples.saturating_add(1);
        let alpha = ALPHA.max(1.0 / f64::from(estimate.samples + 4));
        estimate.log_ratio = current + alpha * (sample - current);
        estimate.updated_at = now;
    }

    /// Returns the factor on estimates of a class: 1 if nothing is known.
    pub fn factor(&self, now: Mono, class: &ClassId) -> f64 {
        let estimate = self.classes.get(class);
        estimate.map_or(1.0, |estimate| estimate.log_ratio(now).exp())
    }
}
