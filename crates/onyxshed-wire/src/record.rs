//! Records that onyxshed appends to the platform's log.
//!
//! Every record is JSON that names its kind and version, such as `change_v1`. A reader skips and counts
//! records that it can't decode, so that all readers of one log skip the same records.

use onyxshed_core::{
    ChangeId, ClassName, ClassTarget, Incarnation, Offset, Revision, SubmissionId,
};
use serde::{Deserialize, Serialize};

use crate::content::ContentHash;
use crate::error::{Error, Result};

/// Effect of one change on the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ChangeBody {
    /// Creates or replaces the target of a class.
    Put(ClassTarget),
    /// Removes the class with this name; invalid if there is no such class.
    Remove(ClassName),
}

/// An operator's change, which applies only to the revision that it names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    /// Id that the operator gave to the change.
    pub change_id: ChangeId,
    /// Revision to which the change applies: the one that the operator saw.
    pub based_on: Revision,
    /// Effect of the change: the creation, replacement or removal of a class.
    pub body: ChangeBody,
}

/// Maximum size of one claim in an encoded record, including the comma after the claim, in bytes.
pub const CLAIM_MAX_BYTES: usize = 82;

/// Size of one release in an encoded record, including the comma after the release, in bytes.
pub const RELEASE_BYTES: usize = 29;

/// Maximum size of an encoded record of claims that contains no claim and no release, in bytes.
pub const CLAIM_RECORD_OVERHEAD_BYTES: usize = 128;

/// The complete configuration, published again before the log drops the changes that led to it.
///
/// A snapshot that is too large for one record is split into parts. The content of a part depends only
/// on the revision, so that parts from different publishers fit together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigSnapshot {
    /// Revision of the configuration that the snapshot contains.
    pub revision: Revision,
    /// Offset up to which the publisher had applied the log: the snapshot is the result of all records
    /// before this offset.
    pub folded_to: Offset,
    /// Index of this part, from 0 to `parts` - 1; 0 if the record does not state it.
    #[serde(default)]
    pub part: u16,
    /// Number of parts of the snapshot; 1 if it was not split.
    #[serde(default = "one")]
    pub parts: u16,
    /// Whether the snapshot is based on a configuration that a process kept in memory after records
    /// had expired before it read them, so that changes may be missing.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_salvage: bool,
    /// Fingerprint of the whole snapshot; parts of different snapshots are not combined.
    pub fingerprint: ContentHash,
    /// Classes in this part, in order of name.
    pub classes: Vec<ClassTarget>,
    /// Ids of the changes accepted recently, from the oldest to the newest. If the reply to the
    /// append of a change was lost, its id in this list shows that the change was accepted, even
    /// after the log has dropped the change.
    pub recent_changes: Vec<ChangeId>,
}

/// A record of the `config` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigRecord {
    /// An operator's change, which applies only to the revision that it names.
    ChangeV1(ConfigChange),
    /// A snapshot of the configuration, or a part of one.
    SnapshotV1(ConfigSnapshot),
}

/// Claim of an entry host to be the only host that runs the job of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Submission whose job the claiming host wants to run; `s` in the JSON object.
    #[serde(rename = "s")]
    pub submission: SubmissionId,
    /// Fingerprint of the submission's content. All hosts reject a submission with the same id and
    /// another fingerprint.
    #[serde(rename = "c")]
    pub content: ContentHash,
    /// Incarnation whose claim this claim replaces, because that incarnation is permanently gone;
    /// present only for classes whose tasks may run twice.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub replaces: Option<Incarnation>,
}

/// A batch of claims by one host. The first claim on a submission in log order is the valid one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimBatch {
    /// Incarnation of the host that claims.
    pub by: Incarnation,
    /// Number of the batch, counted by the claiming host. If the reply to the append was lost, the
    /// host recognizes its batch in the log by this number.
    pub batch: u64,
    /// Claims of the batch; empty if the batch only contains releases.
    pub claims: Vec<Claim>,
    /// Submissions whose claims the claiming host releases: it has started none of their tasks and
    /// will start none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub releases: Vec<SubmissionId>,
}

/// A record of the `claims` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimRecord {
    /// A batch of claims and releases by one host.
    ClaimsV1(ClaimBatch),
}

fn one() -> u16 {
    1
}

impl ConfigRecord {
    /// Decodes a record of the `config` stream.
    pub fn decode(data: &str) -> Result<Self> {
        serde_json::from_str(data).map_err(Error::body)
    }

    /// Encodes the record as JSON, which [`ConfigRecord::decode`] accepts.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a record can always be written as JSON")
    }
}

impl ClaimRecord {
    /// Decodes a record of the `claims` stream.
    pub fn decode(data: &str) -> Result<Self> {
        serde_json::from_str(data).map_err(Error::body)
    }

    /// Encodes the record as JSON, which [`ClaimRecord::decode`] accepts.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a record can always be written as JSON")
    }
}
