//! Target that operators configure for a class of jobs.

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::id::{ClassName, UpstreamName};
use crate::units::Millis;

/// Maximum of [`ClassTarget::finish_within_ms`].
pub const FINISH_WITHIN_MAX: Millis = Millis(600_000);

/// Configured requirements of a class: the completion time and whether tasks may run twice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassTarget {
    /// Class whose jobs the target applies to.
    pub class: ClassName,
    /// Upstream whose executors run the tasks of the class.
    pub upstream: UpstreamName,
    /// Time from a job's arrival within which it should be finished, in milliseconds, 1 to 600,000.
    /// A job of which a task has started is aborted after twice this time at the latest.
    pub finish_within_ms: Millis,
    /// Whether tasks of the class may run more than once; defaults to `false` if absent.
    #[serde(default)]
    pub may_run_twice: bool,
}

impl ClassTarget {
    /// Checks that `finish_within_ms` is between 1 ms and [`FINISH_WITHIN_MAX`].
    ///
    /// # Errors
    ///
    /// Returns [`Error::Range`] if it is not.
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
