//! The configuration as a fold of the log.
//!
//! Every process folds the records of the `config` stream in order, so all that have read the same
//! records hold the same configuration. A process moves only to a higher revision, whether a
//! record, a snapshot or a peer told it.
//!
//! A fold is *complete* while it stands for every record before the offset it reads next. It is
//! *partial* after records were lost before they were read: at a late start, or when an outage
//! outlasts the log's retention. A partial fold keeps what it holds in force, judges no change,
//! and becomes complete again from a snapshot or a peer whose fold ends within what it has read.
//!
//! If every process lost records, they go on from what the best of them remembers: such a fold is
//! *tentative*, and gives way to one that is not.
//!
//! What a peer tells may be ahead of the log as read here. It takes force beside the fold, which
//! goes on by itself and takes over again once it has reached that revision.

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
use self::outcome::{Fates, RecentChanges};
use self::parts::Parts;
pub use self::proposal::{AppendStep, Proposal, ProposalStatus};
pub use self::republish::RepublishStep;
pub use self::rules::CLASSES_MAX;

/// Most records that a partial fold keeps for later; the oldest go first.
const BACKLOG_MAX: usize = 4_096;

/// The configuration that is in force after some revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// How many changes were accepted to make it.
    pub revision: Revision,
    /// Every class's target.
    pub classes: BTreeMap<ClassName, ClassTarget>,
}

/// What one record did to the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FoldOutcome {
    /// It was accepted and this revision is in force.
    Accepted(Revision),
    /// It was based on another revision and lost.
    Raced {
        /// The revision it was based on.
        based_on: Revision,
        /// The revision in force when it came.
        found: Revision,
    },
    /// It broke the rules and was ignored.
    Ignored,
    /// It told nothing new, or can't be judged yet.
    Nothing,
}

/// Options of the fold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigOptions {
    /// How long the log keeps a record. Default 30 min.
    pub retention_ms: Millis,
}

impl Default for ConfigOptions {
    fn default() -> Self {
        ConfigOptions {
            retention_ms: Millis(1_800_000),
        }
    }
}

/// Counts of the fold, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigCounts {
    /// Records that could not be read.
    pub unreadable: u64,
    /// Changes that broke a rule.
    pub invalid: u64,
    /// Changes that lost a race.
    pub raced: u64,
    /// Snapshots that contradict what this fold has read completely.
    pub contradictions: u64,
    /// Times that records were lost before they were read.
    pub gaps: u64,
}

#[derive(Debug, Clone)]
struct Late {
    offset: Offset,
    at: UnixMs,
    change: ConfigChange,
}

/// What a partial fold has read since the records it lost.
#[derive(Debug, Clone)]
struct Partial {
    from: Offset,
    since: UnixMs,
    backlog: VecDeque<Late>,
}

/// Folds records of the `config` stream, in order, into the configuration.
#[derive(Debug, Clone, Default)]
pub struct ConfigFold {
    options: ConfigOptions,
    config: Config,
    /// What a peer told, while it is ahead of `config`.
    adopted: Option<Handover>,
    recent: RecentChanges,
    fates: Fates,
    parts: Parts,
    partial: Option<Partial>,
    /// Whether the fold goes back to what some process remembered after it had lost records.
    is_tentative: bool,
    next: Offset,
    /// The offset after the last change read, whatever became of it.
    changed_to: Offset,
    /// When the oldest record was appended that a late reader needs.
    anchor: Option<UnixMs>,
    counts: ConfigCounts,
    republished_at: Option<UnixMs>,
}

impl ConfigFold {
    /// Makes an empty fold.
    pub fn new(options: ConfigOptions) -> Self {
        ConfigFold {
            options,
            ..ConfigFold::default()
        }
    }

    /// Gets the configuration in force.
    pub fn config(&self) -> &Config {
        self.adopted
            .as_ref()
            .map_or(&self.config, |told| &told.config)
    }

    /// Gets the configuration as folded from the log alone.
    pub fn folded_config(&self) -> &Config {
        &self.config
    }

    /// Gets the offset to read from next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Tells whether [`Self::folded`] is the fold of every record before [`Self::next`], or of what a
    /// process remembered and every record since.
    pub fn is_complete(&self) -> bool {
        self.partial.is_none()
    }

    /// Gets the counts for metrics.
    pub fn counts(&self) -> ConfigCounts {
        self.counts
    }

    /// Looks up what became of a change, as far as the log was read.
    pub fn find_change(&self, change_id: ChangeId) -> ChangeOutcome {
        match self.recent.revision_of(change_id, self.config.revision) {
            Some(revision) => ChangeOutcome::Accepted(revision),
            None => self.fates.get(change_id),
        }
    }

    /// Tells whether the id of any change accepted on top of `based_on` is still remembered. If not,
    /// a change that is not found may have been accepted long ago.
    pub fn remembers(&self, based_on: Revision) -> bool {
        let forgotten = self.config.revision.0.saturating_sub(self.recent.len());
        based_on.0 >= forgotten
    }

    /// Takes in the record at `offset`, appended at an unknown time. Prefer [`Self::apply_record`],
    /// which knows when the record expires.
    pub fn apply(&mut self, offset: Offset, data: &str) -> FoldOutcome {
        self.apply_at(offset, UnixMs::default(), data)
    }

    /// Takes in a record as it was read.
    pub fn apply_record(&mut self, record: &Record) -> FoldOutcome {
        self.apply_at(record.offset, record.at_ms, &record.data)
    }

    /// Notes that the log's oldest record is at `oldest`, read at `at`: records before it are lost.
    pub fn skip_to(&mut self, oldest: Offset, at: UnixMs) {
        if oldest <= self.next {
            return;
        }
        self.next = oldest;
        self.counts.gaps += 1;
        self.parts.clear();
        self.partial = Some(Partial::new(oldest, at));
    }

    fn apply_at(&mut self, offset: Offset, at: UnixMs, data: &str) -> FoldOutcome {
        if offset < self.next {
            return FoldOutcome::Nothing;
        }
        self.skip_to(offset, at);
        self.next = offset.next();
        match ConfigRecord::decode(data) {
            Ok(ConfigRecord::ChangeV1(change)) => {
                self.changed_to = self.next;
                self.take_change(offset, at, change)
            }
            Ok(ConfigRecord::SnapshotV1(part)) => match self.parts.add(at, part) {
                Some(whole) => self.take_snapshot(offset, &whole),
                None => FoldOutcome::Nothing,
            },
            Err(_) => {
                self.counts.unreadable += 1;
                FoldOutcome::Ignored
            }
        }
    }

    fn take_change(&mut self, offset: Offset, at: UnixMs, change: ConfigChange) -> FoldOutcome {
        let Some(partial) = &mut self.partial else {
            return self.fold_change(at, change);
        };
        partial.backlog.push_back(Late { offset, at, change });
        if partial.backlog.len() > BACKLOG_MAX
            && let Some(dropped) = partial.backlog.pop_front()
        {
            partial.from = dropped.offset.next();
        }
        FoldOutcome::Nothing
    }

    fn fold_change(&mut self, at: UnixMs, change: ConfigChange) -> FoldOutcome {
        let found = self.config.revision;
        let id = change.change_id;
        if self.recent.contains(id) {
            return FoldOutcome::Nothing;
        }
        if change.based_on != found {
            self.counts.raced += 1;
            let based_on = change.based_on;
            if self.remembers(based_on) {
                self.fates.put(id, ChangeOutcome::Raced { based_on, found });
            }
            return FoldOutcome::Raced { based_on, found };
        }
        if rules::check(&self.config, &change.body).is_err() {
            self.counts.invalid += 1;
            self.fates.put(id, ChangeOutcome::Invalid);
            return FoldOutcome::Ignored;
        }
        rules::apply(&mut self.config.classes, change.body);
        self.config.revision = found.next();
        self.recent.push(id);
        self.anchor.get_or_insert(at);
        self.drop_adopted();
        FoldOutcome::Accepted(self.config.revision)
    }
}

impl Partial {
    fn new(from: Offset, since: UnixMs) -> Self {
        Partial {
            from,
            since,
            backlog: VecDeque::new(),
        }
    }
}
