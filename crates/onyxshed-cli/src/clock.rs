//! The wall clock. No other module reads it.

use std::time::{SystemTime, UNIX_EPOCH};

use onyxshed_core::UnixMs;

/// Returns the wall-clock time; times before 1970 become 0.
pub fn now() -> UnixMs {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    UnixMs(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
