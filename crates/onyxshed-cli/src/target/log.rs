//! Reads and appends to the platform's log of the configuration.

use std::time::{Duration, Instant};

use onyxshed_core::{Millis, Offset, Revision, UnixMs};
use onyxshed_platform::{PlatformClient, PlatformOptions};
use onyxshed_state::{ChangeOutcome, ConfigFold, FoldOutcome};
use onyxshed_wire::platform::{CONFIG_STREAM, Page, Record};
use onyxshed_wire::record::{ConfigChange, ConfigRecord};

use crate::args::PlatformArgs;
use crate::clock;
use crate::error::{Error, Result};

/// Timeout of one call to the platform, unless the command's time limit is shorter.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Outcome of a change on the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The change was accepted and made this revision.
    Accepted(Revision),
    /// The change was based on another revision than this one, which was in force.
    Raced(Revision),
    /// The change violated a rule.
    Ignored,
    /// The change is a duplicate of one that had been accepted, with the revision that it made.
    Duplicate(Revision),
    /// The log has lost records that are needed to determine the outcome.
    Undetermined,
}

/// A change read from the `config` stream; it may have had no effect, see its outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoggedChange {
    /// Offset of the record in the `config` stream.
    pub offset: Offset,
    /// When the log appended the record.
    pub at: UnixMs,
    /// The change as sent, with its id and the revision that it is based on.
    pub change: ConfigChange,
    /// Outcome; [`ConfigLog::changes`] resolves one that was undetermined when read, if it can.
    pub outcome: RecordOutcome,
}

/// A client of the `config` stream that reads and appends within a time limit.
#[derive(Debug)]
pub struct ConfigLog {
    client: PlatformClient,
    fold: ConfigFold,
    changes: Vec<LoggedChange>,
    deadline: Instant,
}

impl ConfigLog {
    /// Creates a client that has not read anything yet.
    pub fn new(args: PlatformArgs) -> Self {
        let options = PlatformOptions {
            timeout: CALL_TIMEOUT.min(args.timeout_ms.into()),
            ..PlatformOptions::default()
        };
        ConfigLog {
            client: PlatformClient::new(args.address, options),
            fold: ConfigFold::default(),
            changes: Vec::new(),
            deadline: Instant::now() + Duration::from(args.timeout_ms),
        }
    }

    /// Returns the configuration folded from the records that this client has read.
    pub fn fold(&self) -> &ConfigFold {
        &self.fold
    }

    /// Returns every change that this client has read, in the order of the log, with its outcome.
    pub fn changes(&self) -> Vec<LoggedChange> {
        let mut changes = self.changes.clone();
        for entry in &mut changes {
            if entry.outcome == RecordOutcome::Undetermined {
                entry.outcome = self.outcome_in_retrospect(entry);
            }
        }
        changes
    }

    /// Returns whether the command's time limit has passed.
    pub fn is_late(&self) -> bool {
        Instant::now() >= self.deadline
    }

    /// Reads to the end of the stream, waiting up to `wait` for a new record if there is none. Returns the
    /// offset of the next append as reported by the log.
    pub async fn read_to_end(&mut self, wait: Millis) -> onyxshed_platform::Result<Offset> {
        loop {
            let page = self
                .client
                .read(CONFIG_STREAM, self.fold.next(), wait)
                .await?;
            self.apply_page(&page);
            if page.records.is_empty() || self.fold.next() >= page.next {
                return Ok(page.next);
            }
        }
    }

    /// Reads the whole stream. Fails if the records that the log still contains do not make up the
    /// configuration.
    pub async fn read_all(&mut self) -> Result<()> {
        self.read_to_end(Millis(0)).await?;
        match self.fold.is_complete() {
            true => Ok(()),
            false => Err(Error::ConfigIncomplete),
        }
    }

    /// Appends a record to the `config` stream and returns its offset.
    pub async fn append(&mut self, record: String) -> onyxshed_platform::Result<Offset> {
        self.client.append(CONFIG_STREAM, record.into_bytes()).await
    }

    /// Determines the outcome of a change that had no effect when it was read: it is a duplicate of
    /// an earlier change, or its base revision became known only from a later snapshot.
    fn outcome_in_retrospect(&self, entry: &LoggedChange) -> RecordOutcome {
        let is_copy = self.changes.iter().any(|earlier| {
            earlier.change.change_id == entry.change.change_id && earlier.offset < entry.offset
        });
        match self.fold.find_change(entry.change.change_id) {
            ChangeOutcome::Accepted(revision) if is_copy => RecordOutcome::Duplicate(revision),
            ChangeOutcome::Accepted(revision) => RecordOutcome::Accepted(revision),
            ChangeOutcome::Raced { found, .. } => RecordOutcome::Raced(found),
            ChangeOutcome::Invalid => RecordOutcome::Ignored,
            ChangeOutcome::NotSeen => RecordOutcome::Undetermined,
        }
    }

    fn apply_page(&mut self, page: &Page) {
        self.fold.skip_to(page.oldest, clock::now());
        for record in &page.records {
            let fold_outcome = self.fold.apply_record(record);
            self.record_change(record, fold_outcome);
        }
    }

    fn record_change(&mut self, record: &Record, fold_outcome: FoldOutcome) {
        let Ok(ConfigRecord::ChangeV1(change)) = ConfigRecord::decode(&record.data) else {
            return;
        };
        let outcome = match fold_outcome {
            FoldOutcome::Accepted(revision) => RecordOutcome::Accepted(revision),
            FoldOutcome::Raced { found, .. } => RecordOutcome::Raced(found),
            FoldOutcome::Ignored => RecordOutcome::Ignored,
            FoldOutcome::Nothing => RecordOutcome::Undetermined,
        };
        self.changes.push(LoggedChange {
            offset: record.offset,
            at: record.at_ms,
            change,
            outcome,
        });
    }
}
