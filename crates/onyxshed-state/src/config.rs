//! The configuration as a fold of the platform's log.
//!
//! Every process applies the records of the `config` stream in order, so all processes that have
//! read the same records have the same configuration. A process only ever moves to a higher
//! revision, from a record, a snapshot or a peer.
//!
//! A fold is *complete* if it accounts for every record before the offset that it reads next. It is
//! *partial* if records were lost before they were read, because the process started late or
//! because an outage outlasted the log's retention. A partial fold keeps its configuration in force
//! and decides no change. A snapshot, or a peer's complete fold, makes it complete again if it ends
//! within the records that this fold has read.
//!
//! If every process lost records, they continue from the best configuration that any of them has in
//! memory. Such a fold is *tentative* and is superseded by a fold that is not tentative.
//!
//! A configuration from a peer may be ahead of the records read here. It is in force beside the
//! fold, which continues by itself and is in force again once it has reached that revision.

pub mod handover;
pub mod proposal;
pub mod republish;

mod outcome;
mod parts;
mod rules;
mod snapshot;

use std::collections::{BTreeMap, VecDeque};

use onyxshed_core::{ChangeId, ClassName, ClassTarget, Millis, Offset, Revision, UnixMs};
use onyxshed_wire::platform::Record;
use onyxshed_wire::record::{ConfigChange, ConfigRecord};
use serde::{Deserialize, Serialize};

pub use self::handover::Handover;
pub use self::outcome::{ChangeOutcome, RECENT_CHANGES};
use self::outcome::{RecentChanges, RejectedChanges};
use self::parts::SnapshotParts;
pub use self::proposal::{AppendStep, Proposal, ProposalStatus};
pub use self::republish::RepublishStep;
pub use self::rules::CLASSES_MAX;

/// Maximum number of changes that a partial fold keeps for later; beyond it the oldest are dropped.
const BACKLOG_MAX: usize = 4_096;

/// The configuration in force at some revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Number of accepted changes that led to this configuration.
    pub revision: Revision,
    /// Target of each configured class.
    pub classes: BTreeMap<ClassName, ClassTarget>,
}

/// Effect of a record, or of a peer's configuration, on the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FoldOutcome {
    /// The configuration moved to this revision.
    Accepted(Revision),
    /// The change was rejected, because it was based on another revision than the one in force.
    Raced {
        /// The revision that the change was based on.
        based_on: Revision,
        /// The revision in force when the change was read.
        found: Revision,
    },
    /// The record was ignored: it can't be decoded, violates a rule, or contradicts the fold.
    Ignored,
    /// The record changed nothing, or can't be decided yet.
    Nothing,
}

/// Property of the log from which a [`ConfigFold`] derives when to publish the configuration again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigOptions {
    /// How long the log retains a record. Default 30 min.
    pub retention_ms: Millis,
}

impl Default for ConfigOptions {
    fn default() -> Self {
        ConfigOptions {
            retention_ms: Millis(1_800_000),
        }
    }
}

/// Counters of the fold, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigCounts {
    /// Records that could not be decoded.
    pub unreadable: u64,
    /// Changes that violated a rule.
    pub invalid: u64,
    /// Changes that were based on another revision than the one in force.
    pub raced: u64,
    /// Snapshots and peers' handovers that were ignored because they contradict this fold.
    pub contradictions: u64,
    /// Number of times that records were lost before they were read.
    pub gaps: u64,
}

/// A change that is decided once the fold is complete.
#[derive(Debug, Clone)]
struct DeferredChange {
    offset: Offset,
    appended_at: UnixMs,
    change: ConfigChange,
}

/// Changes that a partial fold has read since records were lost. `from` is the offset from which on
/// every change is in the backlog, and `since` the time from which the delay until the fold is
/// published is counted.
#[derive(Debug, Clone)]
struct PartialFold {
    from: Offset,
    since: UnixMs,
    backlog: VecDeque<DeferredChange>,
}

/// The configuration folded from the `config` stream, with the state that is needed to apply
/// further records.
#[derive(Debug, Clone, Default)]
pub struct ConfigFold {
    options: ConfigOptions,
    config: Config,
    /// A configuration from a peer or a snapshot, while its revision is higher than that of
    /// `config`.
    adopted: Option<Handover>,
    recent: RecentChanges,
    rejected: RejectedChanges,
    parts: SnapshotParts,
    partial: Option<PartialFold>,
    /// Whether the fold is based on a configuration that a process kept in memory after losing
    /// records.
    is_tentative: bool,
    next: Offset,
    /// The offset after the last change read, whether or not the change was accepted.
    last_change_end: Offset,
    /// Append time of the oldest record that a process starting late needs.
    oldest_needed_at: Option<UnixMs>,
    counts: ConfigCounts,
    republished_at: Option<UnixMs>,
}

impl ConfigFold {
    /// Creates a fold that has read no record: its configuration has revision 0 and no classes.
    pub fn new(options: ConfigOptions) -> Self {
        ConfigFold {
            options,
            ..ConfigFold::default()
        }
    }

    /// Returns the configuration in force: the adopted one while its revision is higher than that
    /// of the folded one, otherwise the folded one.
    pub fn config(&self) -> &Config {
        self.adopted
            .as_ref()
            .map_or(&self.config, |adopted| &adopted.config)
    }

    /// Returns the configuration as folded from the log alone.
    pub fn folded_config(&self) -> &Config {
        &self.config
    }

    /// Returns the offset of the next record to read.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns whether [`Self::folded_config`] accounts for every record before [`Self::next`], or
    /// for a configuration that a process kept in memory and every record since.
    pub fn is_complete(&self) -> bool {
        self.partial.is_none()
    }

    /// Returns the counters for metrics.
    pub fn counts(&self) -> ConfigCounts {
        self.counts
    }

    /// Returns the outcome of a change, as far as the log has been read.
    pub fn find_change(&self, change_id: ChangeId) -> ChangeOutcome {
        match self.recent.revision_of(change_id, self.config.revision) {
            Some(revision) => ChangeOutcome::Accepted(revision),
            None => self.rejected.outcome_of(change_id),
        }
    }

    /// Returns whether the ids of all changes accepted on top of `based_on` are still remembered.
    /// If not, a change that is not found may have been accepted long ago.
    pub fn has_change_ids_since(&self, based_on: Revision) -> bool {
        let forgotten = self.config.revision.0.saturating_sub(self.recent.len());
        based_on.0 >= forgotten
    }

    /// Applies the record at `offset` whose append time is unknown. Prefer [`Self::apply_record`],
    /// which knows when the record expires.
    pub fn apply(&mut self, offset: Offset, data: &str) -> FoldOutcome {
        self.apply_at(offset, UnixMs::default(), data)
    }

    /// Applies a record with its append time.
    pub fn apply_record(&mut self, record: &Record) -> FoldOutcome {
        self.apply_at(record.offset, record.at_ms, &record.data)
    }

    /// Records that the log starts at `oldest`, as observed at `at`: the records before it that
    /// this fold has not read are lost.
    pub fn skip_to(&mut self, oldest: Offset, at: UnixMs) {
        if oldest <= self.next {
            return;
        }
        self.next = oldest;
        self.counts.gaps += 1;
        self.parts.clear();
        self.partial = Some(PartialFold::new(oldest, at));
    }

    fn apply_at(&mut self, offset: Offset, at: UnixMs, data: &str) -> FoldOutcome {
        if offset < self.next {
            return FoldOutcome::Nothing;
        }
        self.skip_to(offset, at);
        self.next = offset.next();
        match ConfigRecord::decode(data) {
            Ok(ConfigRecord::ChangeV1(change)) => {
                self.last_change_end = self.next;
                self.apply_change(offset, at, change)
            }
            Ok(ConfigRecord::SnapshotV1(part)) => match self.parts.add(at, part) {
                Some(snapshot) => self.apply_snapshot(offset, &snapshot),
                None => FoldOutcome::Nothing,
            },
            Err(_) => {
                self.counts.unreadable += 1;
                FoldOutcome::Ignored
            }
        }
    }

    /// Applies a change, or keeps it in the backlog while the fold is partial.
    fn apply_change(&mut self, offset: Offset, at: UnixMs, change: ConfigChange) -> FoldOutcome {
        let Some(partial) = &mut self.partial else {
            return self.fold_change(at, change);
        };
        partial.backlog.push_back(DeferredChange {
            offset,
            appended_at: at,
            change,
        });
        if partial.backlog.len() > BACKLOG_MAX
            && let Some(dropped) = partial.backlog.pop_front()
        {
            partial.from = dropped.offset.next();
        }
        FoldOutcome::Nothing
    }

    /// Accepts a change that is based on the current revision and satisfies the rules, and records
    /// the outcome of any other change.
    fn fold_change(&mut self, at: UnixMs, change: ConfigChange) -> FoldOutcome {
        let found = self.config.revision;
        let id = change.change_id;
        if self.recent.contains(id) {
            return FoldOutcome::Nothing;
        }
        if change.based_on != found {
            self.counts.raced += 1;
            let based_on = change.based_on;
            if self.has_change_ids_since(based_on) {
                self.rejected
                    .record(id, ChangeOutcome::Raced { based_on, found });
            }
            return FoldOutcome::Raced { based_on, found };
        }
        if rules::check(&self.config, &change.body).is_err() {
            self.counts.invalid += 1;
            self.rejected.record(id, ChangeOutcome::Invalid);
            return FoldOutcome::Ignored;
        }
        rules::apply(&mut self.config.classes, change.body);
        self.config.revision = found.next();
        self.recent.push(id);
        self.oldest_needed_at.get_or_insert(at);
        self.drop_adopted();
        FoldOutcome::Accepted(self.config.revision)
    }
}

impl PartialFold {
    fn new(from: Offset, since: UnixMs) -> Self {
        PartialFold {
            from,
            since,
            backlog: VecDeque::new(),
        }
    }
}
