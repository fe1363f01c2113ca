//! When to publish the configuration again, before its records expire.
//!
//! Every process decides for itself, at a moment of its own after half of the retention; whoever
//! comes first makes the others wait for the next half. Two that publish at once do no harm: a
//! snapshot tells nothing new to those who have read the log.

use onyxshed_core::{Millis, UnixMs};
use onyxshed_wire::record::ConfigRecord;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{ConfigFold, parts};

/// Eighths of the retention after which a complete fold publishes.
const DUE_EIGHTHS: u64 = 4;

/// Eighths of the retention after which a partial fold publishes: later than any complete one.
const SALVAGE_EIGHTHS: u64 = 6;

/// Fraction of the retention over which processes spread their moments.
const SPREAD_PART: u64 = 8;

/// Fraction of the retention after which a process publishes again what was not read back.
const AGAIN_PART: u64 = 16;

/// What to do about the configuration's records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RepublishStep {
    /// Append these records in order.
    Publish(Vec<ConfigRecord>),
    /// Ask again at that time.
    WaitUntil(UnixMs),
    /// There is no configuration to keep.
    Nothing,
}

impl ConfigFold {
    /// Decides whether to publish the configuration again; `seed` differs from process to process.
    ///
    /// A partial fold publishes what it holds only after nobody has told a complete one for three
    /// quarters of the retention: any process that had one and could reach the log would have
    /// published it by then, so what memory holds is the best there is. Should one turn up later
    /// nevertheless, the tentative fold gives way.
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
            self.go_on_from_memory(now);
        }
        RepublishStep::Publish(parts::cut(&self.handover()))
    }

    fn needed_since(&self) -> Option<UnixMs> {
        match &self.partial {
            // Even with nothing in memory: else, with every record lost, no process could ever
            // judge a change again.
            Some(partial) => Some(partial.since),
            None => self.anchor,
        }
    }

    fn due_at(&self, since: UnixMs, seed: u64) -> UnixMs {
        let retention = self.options.retention_ms.0;
        let spread = (retention / SPREAD_PART).max(1);
        let offset = xxh3_64_with_seed(&since.0.to_le_bytes(), seed) % spread;
        let eighths = if self.is_complete() {
            DUE_EIGHTHS
        } else {
            SALVAGE_EIGHTHS
        };
        let due = since + Millis(retention / 8 * eighths + offset);
        match self.republished_at {
            Some(last) => due.max(last + Millis(retention / AGAIN_PART)),
            None => due,
        }
    }
}
