//! Snapshots that are too large for one record.
//!
//! The parts of a revision are cut by one rule, so parts that several processes published fit
//! together; a fingerprint of the whole keeps apart those that don't. A part that was lost leaves
//! the snapshot unfinished, and the next snapshot makes up for it.

use std::collections::BTreeMap;

use onyxshed_core::{ClassTarget, Revision, UnixMs};
use onyxshed_wire::ContentHash;
use onyxshed_wire::platform::RECORD_MAX_BYTES;
use onyxshed_wire::record::{ConfigRecord, ConfigSnapshot};
use xxhash_rust::xxh3::Xxh3;

use super::Config;
use super::handover::Handover;

/// Bytes of classes and change ids that one part holds, well below the largest record.
const PART_BYTES: usize = RECORD_MAX_BYTES - 4_096;

/// Most bytes of a change id with its quotes and comma.
const CHANGE_ID_BYTES: usize = 29;

/// A snapshot whose parts have all been read.
#[derive(Debug)]
pub(super) struct Whole {
    /// What it tells.
    pub(super) handover: Handover,
    /// When its oldest part was appended.
    pub(super) at: UnixMs,
}

/// Parts of the snapshot that is being read.
#[derive(Debug, Clone, Default)]
pub(super) struct Parts {
    key: (Revision, u16, ContentHash),
    found: BTreeMap<u16, (UnixMs, ConfigSnapshot)>,
}

impl Parts {
    /// Drops the parts read so far.
    pub(super) fn clear(&mut self) {
        self.found.clear();
    }

    /// Takes in a part; gives the snapshot once it is whole.
    pub(super) fn add(&mut self, at: UnixMs, part: ConfigSnapshot) -> Option<Whole> {
        let key = (part.revision, part.parts, part.fingerprint);
        if key != self.key {
            self.found.clear();
            self.key = key;
        }
        if part.part >= part.parts {
            return None;
        }
        self.found.insert(part.part, (at, part));
        if self.found.len() < usize::from(self.key.1) {
            return None;
        }
        join(std::mem::take(&mut self.found))
    }
}

/// Joins parts. The fold ends at the latest offset that any part's publisher had folded up to: the
/// revision was the same at all of them, so no change was accepted in between.
fn join(parts: BTreeMap<u16, (UnixMs, ConfigSnapshot)>) -> Option<Whole> {
    let fingerprint = parts.first_key_value()?.1.1.fingerprint;
    let is_salvage = parts.values().any(|(_, part)| part.is_salvage);
    let at = parts.values().map(|(at, _)| *at).min()?;
    let folded_to = parts.values().map(|(_, part)| part.folded_to).max()?;
    let revision = parts.values().map(|(_, part)| part.revision).max()?;
    let mut config = Config {
        revision,
        classes: BTreeMap::new(),
    };
    let mut recent_changes = Vec::new();
    for (_, part) in parts.into_values() {
        let classes = part.classes.into_iter();
        config
            .classes
            .extend(classes.map(|target| (target.class.clone(), target)));
        recent_changes.extend(part.recent_changes);
    }
    let handover = Handover {
        config,
        folded_to,
        recent_changes,
        needed_since: Some(at),
        is_complete: !is_salvage,
    };
    (fingerprint_of(&handover) == fingerprint).then_some(Whole { handover, at })
}

/// Cuts a configuration into the records of a snapshot.
pub(super) fn cut(handover: &Handover) -> Vec<ConfigRecord> {
    let mut cuts: Vec<Vec<ClassTarget>> = vec![Vec::new()];
    let change_bytes = CHANGE_ID_BYTES * handover.recent_changes.len();
    let mut room = PART_BYTES.saturating_sub(change_bytes);
    for target in handover.config.classes.values() {
        let bytes = encoded(target).len() + 1;
        if bytes > room {
            cuts.push(Vec::new());
            room = PART_BYTES;
        }
        room -= bytes;
        cuts.last_mut()
            .expect("there is always a cut")
            .push(target.clone());
    }
    let parts = u16::try_from(cuts.len()).expect("the number of classes is bounded");
    let fingerprint = fingerprint_of(handover);
    let mut recent_changes = handover.recent_changes.clone();
    let to_record = |(part, classes)| {
        ConfigRecord::SnapshotV1(ConfigSnapshot {
            revision: handover.config.revision,
            folded_to: handover.folded_to,
            part,
            parts,
            is_salvage: !handover.is_complete,
            fingerprint,
            classes,
            recent_changes: std::mem::take(&mut recent_changes),
        })
    };
    (0..parts).zip(cuts).map(to_record).collect()
}

/// Computes a fingerprint over the classes and the recent changes.
pub(super) fn fingerprint_of(handover: &Handover) -> ContentHash {
    let mut hash = Xxh3::new();
    for target in handover.config.classes.values() {
        hash.update(encoded(target).as_bytes());
    }
    for change in &handover.recent_changes {
        hash.update(&change.0.to_bytes());
    }
    ContentHash(hash.digest())
}

fn encoded(target: &ClassTarget) -> String {
    serde_json::to_string(target).expect("a target holds only what JSON can write")
}
