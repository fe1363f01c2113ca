//! Decides when to publish the configuration again, before its records expire.
//!
//! Each process decides for itself. A complete fold is published when the oldest record that a
//! process starting late needs is between four and five eighths of the retention old; each process
//! has its own time within that range. The first snapshot postpones those of all other processes by
//! another half of the retention. Two processes that publish at the same time do no harm, because a
//! snapshot changes nothing for processes that have read the log.

use onyxshed_core::{Millis, UnixMs};
use onyxshed_wire::record::ConfigRecord;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{ConfigFold, parts};

/// Eighths of the retention after which a complete fold is published.
const COMPLETE_DUE_EIGHTHS: u64 = 4;

/// Eighths of the retention after which a partial fold is published: later than any complete fold.
const PARTIAL_DUE_EIGHTHS: u64 = 6;

/// Processes spread their publications over this fraction of the retention.
const SPREAD_DIVISOR: u64 = 8;

/// A snapshot that was not read back is published again after this fraction of the retention.
const RETRY_DIVISOR: u64 = 16;

/// What to do next to keep the configuration in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RepublishStep {
    /// Append these records in order.
    Publish(Vec<ConfigRecord>),
    /// Call again at that time.
    WaitUntil(UnixMs),
    /// There is no configuration to keep.
    Nothing,
}

impl ConfigFold {
    /// Decides whether to publish the configuration again. `seed` must differ from process to
    /// process.
    ///
    /// A partial fold is published only if no complete fold was published for three quarters of the
    /// retention. By then any process that had a complete fold and could reach the log would have
    /// published it, so the configurations in memory are the best that exist. A complete fold that
    /// is published later nevertheless supersedes the tentative fold.
    pub fn republish(&mut self, now: UnixMs, seed: u64) -> RepublishStep {
        let Some(since) = self.needed_since() else {
            return RepublishStep::Nothing;
        };
        let due = self.due_at(since, seed);
        if now < due {
            return RepublishStep::WaitUntil(due);
        }
        self.republished_at = Some(now);
        if !self.is_complete() {
            self.rebuild_from_memory(now);
        }
        RepublishStep::Publish(parts::split(&self.handover()))
    }

    fn needed_since(&self) -> Option<UnixMs> {
        match &self.partial {
            // Publishes even an empty configuration: if every record was lost, no process could
            // decide a change again otherwise.
            Some(partial) => Some(partial.since),
            None => self.oldest_needed_at,
        }
    }

    /// Returns when to publish records that are needed since `since`. The offset within the spread
    /// depends on `seed`.
    fn due_at(&self, since: UnixMs, seed: u64) -> UnixMs {
        let retention = self.options.retention_ms.0;
        let spread = (retention / SPREAD_DIVISOR).max(1);
        let offset = xxh3_64_with_seed(&since.0.to_le_bytes(), seed) % spread;
        let eighths = if self.is_complete() {
            COMPLETE_DUE_EIGHTHS
        } else {
            PARTIAL_DUE_EIGHTHS
        };
        let due = since + Millis(retention / 8 * eighths + offset);
        match self.republished_at {
            Some(last) => due.max(last + Millis(retention / RETRY_DIVISOR)),
            None => due,
        }
    }
}
