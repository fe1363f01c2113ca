//! The target that operators give to a class of work.

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::id::{ClassName, UpstreamName};
use crate::units::Millis;

/// Longest span a target may allow, in milliseconds.
pub const FINISH_WITHIN_MAX: Millis = Millis(600_000);

/// What operators ask of one class: how soon, and whether tasks may run twice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassTarget {
    /// The class.
    pub class: ClassName,
    /// The upstream that runs its tasks.
    pub upstream: UpstreamName,
    /// How soon after its arrival a job must be finished, in milliseconds.
    pub finish_within_ms: Millis,
    /// Whether its tasks may run more than once; absent means they may not.
    #[serde(default)]
    pub may_run_twice: bool,
}

impl ClassTarget {
    /// Checks the ranges.
    pub fn check(&self) -> Result<()> {
        let is_in_range = (Millis(1)..=FINISH_WITHIN_MAX).contains(&self.finish_within_ms);
        if is_in_range {
            Ok(())
        } else {
            Err(Error::range(
                "finish_within_ms",
                self.finish_within_ms.0,
                "1 to 600000",
            ))
        }
    }
}
