//! Records that onyxshed keeps on the platform's log.
//!
//! Every record is JSON with a `kind` and a `version`. A reader ignores and counts what it can't
//! read, so all readers of one log ignore the same records.

use onyxshed_core::{
    ChangeId, ClassName, ClassTarget, Incarnation, Offset, Revision, SubmissionId,
};
use serde::{Deserialize, Serialize};

use crate::content::ContentHash;
use crate::error::{Error, Result};

/// What one change does to the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ChangeBody {
    /// Creates or replaces a class's target.
    Put(ClassTarget),
    /// Removes a class.
    Remove(ClassName),
}

/// An operator's change, valid only on top of the revision it names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    /// The operator's name for the change.
    pub change_id: ChangeId,
    /// The revision that the operator saw.
    pub based_on: Revision,
    /// What to do.
    pub body: ChangeBody,
}

/// Most bytes that one claim takes in a record, with its comma.
pub const CLAIM_MAX_BYTES: usize = 82;

/// Bytes that one release takes in a record, with its comma.
pub const RELEASE_BYTES: usize = 29;

/// Most bytes that a record of claims takes beside its claims and releases.
pub const CLAIM_RECORD_OVERHEAD_BYTES: usize = 128;

/// The whole configuration, published again before the changes that made it expire.
///
/// One that is too large for a record goes out in parts. What a part holds follows from the
/// revision alone, so parts from different publishers fit together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigSnapshot {
    /// The revision it stands for.
    pub revision: Revision,
    /// The offset that its publisher had folded up to: it is the fold of every record before.
    pub folded_to: Offset,
    /// Which part this is, from 0.
    #[serde(default)]
    pub part: u16,
    /// How many parts there are.
    #[serde(default = "one")]
    pub parts: u16,
    /// Whether it goes back to what some process remembered after it had lost records.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_salvage: bool,
    /// Fingerprint of the whole, which keeps parts apart that don't belong together.
    pub fingerprint: ContentHash,
    /// The part's classes, in order of name.
    pub classes: Vec<ClassTarget>,
    /// Ids of the changes accepted of late, oldest first, so that a lost append answer can still
    /// be resolved after the changes themselves have expired.
    pub recent_changes: Vec<ChangeId>,
}

/// A record of the `config` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigRecord {
    /// A change.
    ChangeV1(ConfigChange),
    /// A snapshot.
    SnapshotV1(ConfigSnapshot),
}

/// One host's claim on one submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The submission.
    #[serde(rename = "s")]
    pub submission: SubmissionId,
    /// Its content, so that other content under the same id is refused everywhere.
    #[serde(rename = "c")]
    pub content: ContentHash,
    /// The holder that this claim replaces; only for classes whose tasks may run twice.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub replaces: Option<Incarnation>,
}

/// A batch of claims by one host; the first claim on a submission in log order holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimBatch {
    /// The claimant.
    pub by: Incarnation,
    /// Counts the claimant's batches, so that it knows its own when an append's answer was lost.
    pub batch: u64,
    /// The claims.
    pub claims: Vec<Claim>,
    /// Submissions that the claimant holds, has not started and will not start any more.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub releases: Vec<SubmissionId>,
}

/// A record of the `claims` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimRecord {
    /// A batch of claims.
    ClaimsV1(ClaimBatch),
}

fn one() -> u16 {
    1
}

impl ConfigRecord {
    /// Reads a record of the `config` stream.
    pub fn decode(data: &str) -> Result<Self> {
        serde_json::from_str(data).map_err(Error::body)
    }

    /// Writes the record.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("records hold only what JSON can write")
    }
}

impl ClaimRecord {
    /// Reads a record of the `claims` stream.
    pub fn decode(data: &str) -> Result<Self> {
        serde_json::from_str(data).map_err(Error::body)
    }

    /// Writes the record.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("records hold only what JSON can write")
    }
}
