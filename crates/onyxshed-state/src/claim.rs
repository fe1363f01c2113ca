//! Decides which host may start a submission: the host whose claim is first in log order.
//!
//! The dispatcher queries a [`ClaimBook`] before it starts a submission and passes it every record of
//! the `claims` stream. A submission is bound if its id names an incarnation; only that incarnation
//! may start it, so it needs no claim. A host that wants to start an unbound submission queues a
//! claim. Claims are appended in batches, one append per batch, at a rate that keeps all hosts
//! together below the log's limit. A claim counts only once it has been read back: every earlier
//! record has been read by then, so the first claim is known.
//!
//! The book also remembers which submissions this host was allowed to start, so that a resubmission
//! that arrives after the job's answer was dropped is not started again. The claim of a job that
//! was abandoned before any task started is released in a later batch; other hosts may claim the
//! submission after that.

mod batch;
mod fold;
mod options;
mod pace;
mod queue;
mod request;
mod step;
mod table;

use onyxshed_core::{Incarnation, Millis, Now, Offset, SubmissionId, UnixMs};
use onyxshed_wire::ContentHash;
use onyxshed_wire::record::{Claim, ClaimRecord};

use self::batch::Outbox;
pub use self::options::ClaimOptions;
use self::pace::TokenBucket;
use self::queue::ClaimQueue;
pub use self::step::{BatchStep, ClaimCounts, ClaimOutcome, ClaimResult, ClaimStep};
use self::table::{ClaimState, ClaimTable};
pub use crate::append::AppendFailure;

/// One host's view of all claims, and the queue of its own claims and releases.
#[derive(Debug)]
pub struct ClaimBook {
    incarnation: Incarnation,
    options: ClaimOptions,
    table: ClaimTable,
    queue: ClaimQueue,
    outbox: Outbox,
    bucket: TokenBucket,
    next: Offset,
    is_caught_up: bool,
    latest_wall: UnixMs,
    unreadable: u64,
    stale_batches: u64,
    gaps: u64,
}

impl ClaimBook {
    /// Creates an empty book for this host's current incarnation.
    pub fn new(incarnation: Incarnation, options: ClaimOptions) -> Self {
        ClaimBook {
            incarnation,
            table: ClaimTable::new(options.claims_max),
            queue: ClaimQueue::default(),
            outbox: Outbox::new(incarnation),
            bucket: TokenBucket::new(&options),
            next: Offset::default(),
            is_caught_up: false,
            latest_wall: UnixMs::default(),
            unreadable: 0,
            stale_batches: 0,
            gaps: 0,
            options,
        }
    }

    /// Returns the offset of the next record to read.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns whether the log has been read to its end and has not become unreachable since.
    pub fn is_caught_up(&self) -> bool {
        self.is_caught_up
    }

    /// Returns the holder of a submission: the incarnation named in a bound id, otherwise the
    /// holder of the claim, as far as the log has been read. `None` if no claim on an unbound id is
    /// known.
    pub fn holder(&self, id: SubmissionId) -> Option<Incarnation> {
        match id.bound_to {
            Some(holder) => Some(holder),
            None => self.table.get(id.ulid).map(|held| held.holder),
        }
    }

    /// Returns counters and sizes for metrics.
    pub fn counts(&self) -> ClaimCounts {
        ClaimCounts {
            held: self.table.len(),
            pending: self.queue.len(),
            claimants: self.table.claimant_count(),
            unreadable: self.unreadable,
            stale_batches: self.stale_batches,
            evicted: self.table.evicted_count(),
            gaps: self.gaps,
        }
    }

    /// Sets this host's share of the append budget from the number of hosts that may append, itself
    /// included. Suspected hosts count too: a host whose heartbeats do not arrive may still append.
    pub fn set_live_hosts(&mut self, live_hosts: usize) {
        self.bucket.set_share(&self.options, live_hosts);
    }

    /// Decides whether this host may start a submission for which it has no job, and queues a claim
    /// if one is needed.
    pub fn request_start(&mut self, now: Now, id: SubmissionId, content: ContentHash) -> ClaimStep {
        self.request_claim(
            now,
            Claim {
                submission: id,
                content,
                replaces: None,
            },
        )
    }

    /// Decides like [`Self::request_start`], but if `gone` holds the submission, queues a claim
    /// that replaces the claim of `gone`.
    ///
    /// Only for classes whose tasks may run twice, and only when `gone` is considered permanently
    /// gone. If several hosts replace `gone`, only the first of their claims in the log has an
    /// effect.
    pub fn take_over(
        &mut self,
        now: Now,
        id: SubmissionId,
        content: ContentHash,
        gone: Incarnation,
    ) -> ClaimStep {
        self.request_claim(
            now,
            Claim {
                submission: id,
                content,
                replaces: Some(gone),
            },
        )
    }

    /// Releases a submission of which no task was started, whether its claim is pending or won.
    ///
    /// No [`ClaimResult`] follows. A claim that was won, or that is read back later, is released
    /// with the next batch; until that batch is made, a resubmission to this host may start the
    /// submission.
    pub fn release(&mut self, now: Now, id: SubmissionId) {
        match id.bound_to {
            Some(holder) if holder == self.incarnation => self.table.remove_bound(id.ulid),
            Some(_) => {}
            None => {
                self.queue.remove(id.ulid);
                if self.claim_state(id) == Some(ClaimState::Started) {
                    self.queue_release(now, id);
                }
            }
        }
    }

    /// Returns whether a task of a submission that this book allowed to start may still be started.
    ///
    /// False once the id is older than the horizon: if this host was frozen, other hosts may have
    /// forgotten the claim, which they do two skews after the horizon, and eventually the log
    /// discards it too. Also false once the submission was released or another host took it over.
    pub fn may_start(&self, now: Now, id: SubmissionId) -> bool {
        let is_ours = match id.bound_to {
            Some(holder) => {
                holder == self.incarnation && self.table.bound_content(id.ulid).is_some()
            }
            None => self.claim_state(id) == Some(ClaimState::Started),
        };
        is_ours && self.latest_time(now).since(id.time()) <= self.options.horizon_ms
    }

    /// Returns the next batch if it is to be appended now, otherwise when to call again.
    pub fn next_batch(&mut self, now: Now) -> BatchStep {
        let deadline = self.queue.next_deadline();
        let wait = |at: Option<_>| at.map_or(BatchStep::Idle, BatchStep::WaitUntil);
        let Some(due) = self.outbox.next_due_at(&mut self.queue, &self.table) else {
            return wait(deadline);
        };
        let earliest = due.max(self.bucket.next_append_at(now.mono));
        if earliest > now.mono || !self.is_caught_up {
            let at = if self.is_caught_up {
                Some(earliest)
            } else {
                None
            };
            return wait(at.into_iter().chain(deadline).min());
        }
        self.bucket.take_token();
        let batch_max = self.options.batch_max;
        BatchStep::Append(
            self.outbox
                .make_batch(&mut self.queue, &mut self.table, batch_max),
        )
    }

    /// Applies the result of appending batch number `batch`, and returns the pending claims that
    /// have timed out.
    ///
    /// The claims of a batch that was not appended are sent again while their jobs wait. If the
    /// answer was lost, the claims stay pending: the batch may be read back at any time.
    pub fn apply_append_result(
        &mut self,
        now: Now,
        batch: u64,
        result: Result<Offset, AppendFailure>,
    ) -> Vec<ClaimResult> {
        let Some(sent) = self.outbox.take_sent(batch) else {
            return Vec::new();
        };
        if result == Err(AppendFailure::NotAppended) {
            self.queue.requeue(&sent.claims);
            self.outbox.delay_until(now.mono + self.options.retry_ms);
            for id in &sent.releases {
                if self.claim_state(*id) == Some(ClaimState::ReleaseSent) {
                    self.queue_release(now, *id);
                }
            }
        }
        self.tick(now)
    }

    /// Fails every claim that was not read back in time, and drops entries older than the horizon.
    pub fn tick(&mut self, now: Now) -> Vec<ClaimResult> {
        self.expire(now);
        let overdue = self.queue.take_overdue(now.mono);
        overdue.into_iter().map(failed_claim).collect()
    }

    /// Applies a record of the `claims` stream and returns the pending claims that it decides. A
    /// record before [`Self::next`] was read already and is ignored.
    pub fn apply_record(&mut self, now: Now, offset: Offset, data: &str) -> Vec<ClaimResult> {
        if offset < self.next {
            return Vec::new();
        }
        self.observe_clock(now);
        self.skip_to(now, offset);
        self.next = offset.next();
        let Ok(ClaimRecord::ClaimsV1(batch)) = ClaimRecord::decode(data) else {
            self.unreadable += 1;
            return Vec::new();
        };
        if !self
            .table
            .admit_batch(batch.by, batch.batch, self.latest_wall)
        {
            self.stale_batches += 1;
            return Vec::new();
        }
        self.fold_batch(now, &batch)
    }

    /// Records that the log now starts at `oldest`: records before it are lost.
    ///
    /// The lost records were older than the retention, which exceeds twice the horizon, so the ids
    /// claimed in them are rejected by age. Ids old enough to have been claimed in the lost records
    /// are also rejected explicitly, in case the horizon was configured too long for the log's
    /// retention.
    pub fn skip_to(&mut self, now: Now, oldest: Offset) {
        if oldest <= self.next {
            return;
        }
        self.observe_clock(now);
        self.gaps += 1;
        self.next = oldest;
        let lost_age_ms = Millis(
            self.options
                .retention_ms
                .0
                .saturating_sub(2 * self.options.skew_ms.0),
        );
        self.table.forget_before(self.latest_wall - lost_age_ms);
    }

    /// Records that `next` is the offset of the next append; the book is caught up if it has read
    /// up to there.
    ///
    /// No claim is sent before that: it could be read back only after the whole backlog, and its
    /// caller would wait until the claim times out.
    pub fn mark_caught_up(&mut self, next: Offset) {
        if self.next >= next {
            self.is_caught_up = true;
        }
    }

    /// Records that the log can't be reached, and immediately fails every pending claim. No claim
    /// is queued until [`Self::mark_caught_up`] finds that the log has been read to its end.
    pub fn mark_log_unreachable(&mut self) -> Vec<ClaimResult> {
        self.is_caught_up = false;
        self.queue
            .take_all()
            .into_iter()
            .map(failed_claim)
            .collect()
    }

    /// Returns how far the wall clock is behind the latest wall time seen.
    ///
    /// Once the difference exceeds the skew, ids that are young by the wall clock are rejected as
    /// too old. A restart ends this state: the new incarnation reads the claims from the log again
    /// and starts without the latest wall time.
    pub fn clock_behind_ms(&self, now: Now) -> Millis {
        self.latest_wall.since(now.wall)
    }

    /// Drops claims whose ids are past the horizon on every host's clock, and claimants from which
    /// no batch was read for twice that time. The cost of dropping claims is proportional to the
    /// number dropped.
    pub fn expire(&mut self, now: Now) {
        self.observe_clock(now);
        let claim_max_age_ms = self.options.claim_max_age_ms();
        self.table.expire(
            self.latest_wall - claim_max_age_ms,
            self.latest_wall - Millis(2 * claim_max_age_ms.0),
        );
    }

    fn queue_release(&mut self, now: Now, id: SubmissionId) {
        self.table.set_state(id.ulid, ClaimState::ReleaseQueued);
        self.outbox
            .queue_release(id, now.mono + self.options.release_delay_ms);
    }

    fn claim_state(&self, id: SubmissionId) -> Option<ClaimState> {
        match id.bound_to {
            Some(_) => None,
            None => self.table.get(id.ulid).map(|held| held.state),
        }
    }

    /// Returns the later of `now` and the latest wall time seen. If the wall clock is stepped back,
    /// ids whose claims were forgotten must not become acceptable again.
    fn latest_time(&self, now: Now) -> UnixMs {
        self.latest_wall.max(now.wall)
    }

    fn observe_clock(&mut self, now: Now) {
        self.latest_wall = self.latest_time(now);
    }
}

fn failed_claim(submission: SubmissionId) -> ClaimResult {
    ClaimResult {
        submission,
        outcome: ClaimOutcome::Failed,
    }
}
