//! The configuration as the command line reads it from the log.

use std::time::{Duration, Instant};

use onyxshed_core::{Millis, Offset, Revision, UnixMs};
use onyxshed_platform::{PlatformClient, PlatformOptions};
use onyxshed_state::{ChangeOutcome, ConfigFold, FoldOutcome};
use onyxshed_wire::platform::{CONFIG_STREAM, Page, Record};
use onyxshed_wire::record::{ConfigChange, ConfigRecord};

use crate::args::PlatformArgs;
use crate::clock;
use crate::error::{Error, Result};

/// Longest time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// What became of a change on the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It made this revision.
    Accepted(Revision),
    /// It was based on another revision than the one it found.
    Raced(Revision),
    /// It broke a rule.
    Ignored,
    /// It is a copy of one that was accepted before.
    Copy(Revision),
    /// The log has lost what it takes to judge it.
    Unjudged,
}

/// A change as it stands on the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Logged {
    /// Where it stands.
    pub offset: Offset,
    /// When the log took it.
    pub at: UnixMs,
    /// The change.
    pub change: ConfigChange,
    /// What became of it.
    pub fate: Fate,
}

/// The `config` stream, read and appended to within a time limit.
#[derive(Debug)]
pub struct ConfigLog {
    client: PlatformClient,
    fold: ConfigFold,
    changes: Vec<Logged>,
    give_up: Instant,
}

impl ConfigLog {
    /// Makes a reader that has read nothing yet.
    pub fn new(args: PlatformArgs) -> Self {
        let options = PlatformOptions {
            timeout: CALL_TIMEOUT.min(args.timeout_ms.into()),
            ..PlatformOptions::default()
        };
        ConfigLog {
            client: PlatformClient::new(args.address, options),
            fold: ConfigFold::default(),
            changes: Vec::new(),
            give_up: Instant::now() + Duration::from(args.timeout_ms),
        }
    }

    /// Gets the fold of what was read.
    pub fn fold(&self) -> &ConfigFold {
        &self.fold
    }

    /// Gets every change read, in order, and what became of it.
    pub fn changes(&self) -> Vec<Logged> {
        let mut changes = self.changes.clone();
        for logged in &mut changes {
            if logged.fate == Fate::Unjudged {
                logged.fate = self.fate_in_hindsight(logged);
            }
        }
        changes
    }

    /// Tells whether the time is up.
    pub fn is_late(&self) -> bool {
        Instant::now() >= self.give_up
    }

    /// Reads to the end of the stream, waiting up to `wait` if there is nothing new; gets the
    /// offset of the next append as the log told it.
    pub async fn read_to_end(&mut self, wait: Millis) -> onyxshed_platform::Result<Offset> {
        loop {
            let page = self
                .client
                .read(CONFIG_STREAM, self.fold.next(), wait)
                .await?;
            self.take_in(&page);
            if page.records.is_empty() || self.fold.next() >= page.next {
                return Ok(page.next);
            }
        }
    }

    /// Reads everything; an error if what the log still holds does not make up the configuration.
    pub async fn read_all(&mut self) -> Result<()> {
        self.read_to_end(Millis(0)).await?;
        match self.fold.is_complete() {
            true => Ok(()),
            false => Err(Error::ConfigIncomplete),
        }
    }

    /// Appends a record.
    pub async fn append(&mut self, record: String) -> onyxshed_platform::Result<Offset> {
        self.client.append(CONFIG_STREAM, record.into_bytes()).await
    }

    /// Judges a change that told nothing new when it was read: a copy of an earlier one, or one
    /// that a later snapshot gave the ground for.
    fn fate_in_hindsight(&self, logged: &Logged) -> Fate {
        let is_copy = self.changes.iter().any(|earlier| {
            earlier.change.change_id == logged.change.change_id && earlier.offset < logged.offset
        });
        match self.fold.find_change(logged.change.change_id) {
            ChangeOutcome::Accepted(revision) if is_copy => Fate::Copy(revision),
            ChangeOutcome::Accepted(revision) => Fate::Accepted(revision),
            ChangeOutcome::Raced { found, .. } => Fate::Raced(found),
            ChangeOutcome::Invalid => Fate::Ignored,
            ChangeOutcome::NotSeen => Fate::Unjudged,
        }
    }

    fn take_in(&mut self, page: &Page) {
        self.fold.skip_to(page.oldest, clock::now());
        for record in &page.records {
            let step = self.fold.apply_record(record);
            self.note(record, step);
        }
    }

    fn note(&mut self, record: &Record, step: FoldOutcome) {
        let Ok(ConfigRecord::ChangeV1(change)) = ConfigRecord::decode(&record.data) else {
            return;
        };
        let fate = match step {
            FoldOutcome::Accepted(revision) => Fate::Accepted(revision),
            FoldOutcome::Raced { found, .. } => Fate::Raced(found),
            FoldOutcome::Ignored => Fate::Ignored,
            FoldOutcome::Nothing => Fate::Unjudged,
        };
        self.changes.push(Logged {
            offset: record.offset,
            at: record.at_ms,
            change,
            fate,
        });
    }
}
