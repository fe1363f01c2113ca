//! Splits snapshots that are too large for one record into parts, and joins the parts again.
//!
//! All processes split a revision by the same rule, so parts published by different processes fit
//! together; a fingerprint of the whole snapshot distinguishes parts of different snapshots. If a
//! part is lost, the snapshot stays incomplete until the next snapshot replaces it.

use std::collections::BTreeMap;

use onyxshed_core::{ClassTarget, Revision, UnixMs};
use onyxshed_wire::ContentHash;
use onyxshed_wire::platform::RECORD_MAX_BYTES;
use onyxshed_wire::record::{ConfigRecord, ConfigSnapshot};
use xxhash_rust::xxh3::Xxh3;

use super::Config;
use super::handover::Handover;

/// Bytes of classes and change ids in one part, well below the maximum record size.
const PART_BYTES: usize = RECORD_MAX_BYTES - 4_096;

/// Maximum bytes of an encoded change id with its quotes and comma.
const CHANGE_ID_BYTES: usize = 29;

/// A snapshot of which all parts have been read.
#[derive(Debug)]
pub(super) struct CompleteSnapshot {
    /// The configuration of the snapshot and its position in the log.
    pub(super) handover: Handover,
    /// Append time of the oldest part.
    pub(super) published_at: UnixMs,
}

/// Parts that have been read of the newest snapshot. `key` identifies that snapshot by its
/// revision, its number of parts and its fingerprint.
#[derive(Debug, Clone, Default)]
pub(super) struct SnapshotParts {
    key: (Revision, u16, ContentHash),
    received: BTreeMap<u16, (UnixMs, ConfigSnapshot)>,
}

impl SnapshotParts {
    /// Drops all parts that have been read.
    pub(super) fn clear(&mut self) {
        self.received.clear();
    }

    /// Adds a part and returns the snapshot once all its parts have been read. If the part belongs
    /// to another snapshot, the parts of the previous snapshot are dropped.
    pub(super) fn add(&mut self, at: UnixMs, part: ConfigSnapshot) -> Option<CompleteSnapshot> {
        let key = (part.revision, part.parts, part.fingerprint);
        if key != self.key {
            self.received.clear();
            self.key = key;
        }
        if part.part >= part.parts {
            return None;
        }
        self.received.insert(part.part, (at, part));
        if self.received.len() < usize::from(self.key.1) {
            return None;
        }
        assemble(std::mem::take(&mut self.received))
    }
}

/// Joins the parts of a snapshot; `None` if the fingerprint does not match.
///
/// The fold ends at the latest offset up to which any part's publisher had folded: all of them were
/// at the same revision, so no change was accepted in between.
fn assemble(parts: BTreeMap<u16, (UnixMs, ConfigSnapshot)>) -> Option<CompleteSnapshot> {
    let fingerprint = parts.first_key_value()?.1.1.fingerprint;
    let is_salvage = parts.values().any(|(_, part)| part.is_salvage);
    let published_at = parts.values().map(|(at, _)| *at).min()?;
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
        needed_since: Some(published_at),
        is_complete: !is_salvage,
    };
    (fingerprint_of(&handover) == fingerprint).then_some(CompleteSnapshot {
        handover,
        published_at,
    })
}

/// Splits a configuration into the records of a snapshot.
pub(super) fn split(handover: &Handover) -> Vec<ConfigRecord> {
    let mut chunks: Vec<Vec<ClassTarget>> = vec![Vec::new()];
    let change_bytes = CHANGE_ID_BYTES * handover.recent_changes.len();
    let mut free_bytes = PART_BYTES.saturating_sub(change_bytes);
    for target in handover.config.classes.values() {
        let bytes = encode_target(target).len() + 1;
        if bytes > free_bytes {
            chunks.push(Vec::new());
            free_bytes = PART_BYTES;
        }
        free_bytes -= bytes;
        chunks
            .last_mut()
            .expect("`chunks` starts with one chunk")
            .push(target.clone());
    }
    let parts = u16::try_from(chunks.len()).expect("CLASSES_MAX bounds the number of parts");
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
    (0..parts).zip(chunks).map(to_record).collect()
}

/// Computes a fingerprint of the classes and the recent changes.
pub(super) fn fingerprint_of(handover: &Handover) -> ContentHash {
    let mut hash = Xxh3::new();
    for target in handover.config.classes.values() {
        hash.update(encode_target(target).as_bytes());
    }
    for change in &handover.recent_changes {
        hash.update(&change.0.to_bytes());
    }
    ContentHash(hash.digest())
}

fn encode_target(target: &ClassTarget) -> String {
    serde_json::to_string(target).expect("a class target serializes to JSON")
}
