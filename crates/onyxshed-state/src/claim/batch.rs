//! Makes batches that fit a record, and follows the one under way.

use std::collections::VecDeque;

use onyxshed_core::{Incarnation, Mono, SubmissionId};
use onyxshed_wire::platform::RECORD_MAX_BYTES;
use onyxshed_wire::record::{CLAIM_MAX_BYTES, CLAIM_RECORD_BYTES, ClaimBatch, RELEASE_BYTES};

use super::queue::ClaimQueue;
use super::table::{ClaimTable, Standing};

/// Releases and the batch under way.
#[derive(Debug)]
pub(crate) struct Outbox {
    me: Incarnation,
    last_batch: u64,
    sent: Option<ClaimBatch>,
    releases: VecDeque<(Mono, SubmissionId)>,
    not_before: Mono,
}

impl Outbox {
    /// Makes an empty outbox.
    pub(crate) fn new(me: Incarnation) -> Self {
        Outbox {
            me,
            last_batch: 0,
            sent: None,
            releases: VecDeque::new(),
            not_before: Mono::default(),
        }
    }

    /// Adds a release that goes out by itself at `due` if no claims go before.
    pub(crate) fn queue_release(&mut self, id: SubmissionId, due: Mono) {
        self.releases.push_back((due, id));
    }

    /// Sends nothing before `at`.
    pub(crate) fn hold_until(&mut self, at: Mono) {
        self.not_before = at;
    }

    /// Gets when the next batch is due, none if there is nothing to send or one is under way.
    pub(crate) fn due_at(&mut self, queue: &mut ClaimQueue, table: &ClaimTable) -> Option<Mono> {
        if self.sent.is_some() {
            return None;
        }
        self.drop_settled(queue, table);
        let due = if queue.has_unsent() {
            Some(self.not_before)
        } else {
            self.releases.front().map(|(due, _)| *due)
        };
        due.map(|due| due.max(self.not_before))
    }

    /// Makes the next batch of at most `batch_max` claims, with the releases that fit beside them.
    pub(crate) fn make_batch(
        &mut self,
        queue: &mut ClaimQueue,
        table: &mut ClaimTable,
        batch_max: usize,
    ) -> ClaimBatch {
        let mut room = RECORD_MAX_BYTES - CLAIM_RECORD_BYTES;
        let mut claims = Vec::new();
        while claims.len() < batch_max && room >= CLAIM_MAX_BYTES {
            let Some(claim) = queue.pop_unsent() else {
                break;
            };
            claims.push(claim);
            room -= CLAIM_MAX_BYTES;
        }
        self.last_batch += 1;
        let releases = self.take_releases(queue, table, room);
        let batch = ClaimBatch {
            by: self.me,
            batch: self.last_batch,
            claims,
            releases,
        };
        self.sent = Some(batch.clone());
        batch
    }

    /// Takes out the batch under way, if it has that number.
    pub(crate) fn take_sent(&mut self, batch: u64) -> Option<ClaimBatch> {
        self.sent.take_if(|sent| sent.batch == batch)
    }

    fn take_releases(
        &mut self,
        queue: &ClaimQueue,
        table: &mut ClaimTable,
        mut room: usize,
    ) -> Vec<SubmissionId> {
        let mut releases = Vec::new();
        while room >= RELEASE_BYTES {
            self.drop_settled(queue, table);
            let Some((_, id)) = self.releases.pop_front() else {
                break;
            };
            table.set_releasing(id.ulid, self.last_batch);
            releases.push(id);
            room -= RELEASE_BYTES;
        }
        releases
    }

    /// Drops releases of submissions that were started after all, or that a job claims again.
    fn drop_settled(&mut self, queue: &ClaimQueue, table: &ClaimTable) {
        while let Some((_, id)) = self.releases.front() {
            let is_queued = table
                .get(id.ulid)
                .is_some_and(|held| held.standing == Standing::ReleaseQueued);
            if is_queued && queue.get(id.ulid).is_none() {
                return;
            }
            self.releases.pop_front();
        }
    }
}
