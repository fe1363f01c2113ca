//! The wall clock, read here and nowhere else.

use std::time::{SystemTime, UNIX_EPOCH};

use onyxshed_core::UnixMs;

/// Reads the wall clock; a clock before 1970 counts as 1970.
pub fn now() -> UnixMs {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    UnixMs(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
