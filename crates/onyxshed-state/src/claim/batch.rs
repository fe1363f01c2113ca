//! Builds batches of claims and releases that fit a log record, and tracks the batch being
//! appended.

use std::collections::VecDeque;

use onyxshed_core::{Incarnation, Mono, SubmissionId};
use onyxshed_wire::platform::RECORD_MAX_BYTES;
use onyxshed_wire::record::{
    CLAIM_MAX_BYTES, CLAIM_RECORD_OVERHEAD_BYTES, ClaimBatch, RELEASE_BYTES,
};

use super::queue::ClaimQueue;
use super::table::{ClaimState, ClaimTable};

/// Queue of the releases to send, and the batch whose append has not finished. At most one batch is
/// appended at a time.
#[derive(Debug)]
pub(crate) struct Outbox {
    incarnation: Incarnation,
    last_batch: u64,
    sent: Option<ClaimBatch>,
    releases: VecDeque<(Mono, SubmissionId)>,
    not_before: Mono,
}

impl Outbox {
    /// Creates an outbox without releases, whose first batch gets the number 1.
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Outbox {
            incarnation,
            last_batch: 0,
            sent: None,
            releases: VecDeque::new(),
            not_before: Mono::default(),
        }
    }

    /// Queues a release. It is sent with the next batch of claims, or in a batch of its own at
    /// `due`.
    pub(crate) fn queue_release(&mut self, id: SubmissionId, due: Mono) {
        self.releases.push_back((due, id));
    }

    /// Delays the next batch until `at`.
    pub(crate) fn delay_until(&mut self, at: Mono) {
        self.not_before = at;
    }

    /// Returns when the next batch is due; `None` if there is nothing to send or an append is in
    /// progress.
    pub(crate) fn next_due_at(
        &mut self,
        queue: &mut ClaimQueue,
        table: &ClaimTable,
    ) -> Option<Mono> {
        if self.sent.is_some() {
            return None;
        }
        self.drop_obsolete_releases(queue, table);
        let due = if queue.has_unsent() {
            Some(self.not_before)
        } else {
            self.releases.front().map(|(due, _)| *due)
        };
        due.map(|due| due.max(self.not_before))
    }

    /// Builds the next batch of at most `batch_max` claims, with the releases that fit into the
    /// rest of the record.
    pub(crate) fn make_batch(
        &mut self,
        queue: &mut ClaimQueue,
        table: &mut ClaimTable,
        batch_max: usize,
    ) -> ClaimBatch {
        let mut free_bytes = RECORD_MAX_BYTES - CLAIM_RECORD_OVERHEAD_BYTES;
        let mut claims = Vec::new();
        while claims.len() < batch_max && free_bytes >= CLAIM_MAX_BYTES {
            let Some(claim) = queue.pop_unsent() else {
                break;
            };
            claims.push(claim);
            free_bytes -= CLAIM_MAX_BYTES;
        }
        self.last_batch += 1;
        let releases = self.take_releases(queue, table, free_bytes);
        let batch = ClaimBatch {
            by: self.incarnation,
            batch: self.last_batch,
            claims,
            releases,
        };
        self.sent = Some(batch.clone());
        batch
    }

    /// Removes and returns the batch being appended if its number is `batch`.
    pub(crate) fn take_sent(&mut self, batch: u64) -> Option<ClaimBatch> {
        self.sent.take_if(|sent| sent.batch == batch)
    }

    fn take_releases(
        &mut self,
        queue: &ClaimQueue,
        table: &mut ClaimTable,
        mut free_bytes: usize,
    ) -> Vec<SubmissionId> {
        let mut releases = Vec::new();
        while free_bytes >= RELEASE_BYTES {
            self.drop_obsolete_releases(queue, table);
            let Some((_, id)) = self.releases.pop_front() else {
                break;
            };
            table.set_release_sent(id.ulid, self.last_batch);
            releases.push(id);
            free_bytes -= RELEASE_BYTES;
        }
        releases
    }

    /// Drops releases at the front of the queue that are obsolete: the submission was started, or a
    /// job has queued a new claim on it.
    fn drop_obsolete_releases(&mut self, queue: &ClaimQueue, table: &ClaimTable) {
        while let Some((_, id)) = self.releases.front() {
            let is_queued = table
                .get(id.ulid)
                .is_some_and(|held| held.state == ClaimState::ReleaseQueued);
            if is_queued && queue.get(id.ulid).is_none() {
                return;
            }
            self.releases.pop_front();
        }
    }
}
