//! Which host may start a submission: the first claim in log order.
//!
//! A host that wants an unbound submission queues a claim; claims go out in batches, one append a
//! batch, paced so that all hosts together stay under what the log takes. A claim counts only when
//! it has been read back: then every earlier record has been read too, so the first claim is known.
//! A bound submission needs no claim, because only the incarnation it names may start it.
//!
//! The book also remembers what it told this host to start, so a resubmission that arrives after
//! the job's answer was dropped is not started again. A claim whose job gave up is released by a
//! later batch, and others may then claim the submission.

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
use self::pace::Pace;
use self::queue::ClaimQueue;
pub use self::step::{BatchStep, ClaimCounts, ClaimOutcome, ClaimStep, SettledClaim};
use self::table::{ClaimTable, Standing};
pub use crate::append::AppendFailure;

/// One host's view of all claims.
#[derive(Debug)]
pub struct ClaimBook {
    me: Incarnation,
    options: ClaimOptions,
    table: ClaimTable,
    queue: ClaimQueue,
    outbox: Outbox,
    pace: Pace,
    next: Offset,
    is_caught_up: bool,
    latest_wall: UnixMs,
    unreadable: u64,
    stale_batches: u64,
    gaps: u64,
}

impl ClaimBook {
    /// Makes an empty book for this incarnation.
    pub fn new(me: Incarnation, options: ClaimOptions) -> Self {
        ClaimBook {
            me,
            table: ClaimTable::new(options.claims_max),
            queue: ClaimQueue::default(),
            outbox: Outbox::new(me),
            pace: Pace::new(&options),
            next: Offset::default(),
            is_caught_up: false,
            latest_wall: UnixMs::default(),
            unreadable: 0,
            stale_batches: 0,
            gaps: 0,
            options,
        }
    }

    /// Gets the offset to read from next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Tells whether the log was read to its end and has not been lost since.
    pub fn is_caught_up(&self) -> bool {
        self.is_caught_up
    }

    /// Gets the holder of an unbound submission, as far as the log was read.
    pub fn holder(&self, id: SubmissionId) -> Option<Incarnation> {
        match id.bound_to {
            Some(holder) => Some(holder),
            None => self.table.get(id.ulid).map(|held| held.by),
        }
    }

    /// Gets the counts for metrics.
    pub fn counts(&self) -> ClaimCounts {
        ClaimCounts {
            held: self.table.len(),
            pending: self.queue.len(),
            claimants: self.table.claimants(),
            unreadable: self.unreadable,
            stale_batches: self.stale_batches,
            evicted: self.table.evicted(),
            gaps: self.gaps,
        }
    }

    /// Derives this host's share of the append budget from the number of live hosts, itself
    /// included. Count suspects too: a host that is merely unheard still appends.
    pub fn set_live_hosts(&mut self, live_hosts: usize) {
        self.pace.set_share(&self.options, live_hosts);
    }

    /// Decides about a submission that this host has no job for, and queues a claim if it needs one.
    pub fn request_start(&mut self, now: Now, id: SubmissionId, content: ContentHash) -> ClaimStep {
        self.consult_claim(
            now,
            Claim {
                submission: id,
                content,
                replaces: None,
            },
        )
    }

    /// Decides like [`Self::consult`], and claims in place of `gone` if that incarnation holds the
    /// submission. Only for classes whose tasks may run twice, and only when `gone` is held to be
    /// gone; the log lets one host replace it.
    pub fn take_over(
        &mut self,
        now: Now,
        id: SubmissionId,
        content: ContentHash,
        gone: Incarnation,
    ) -> ClaimStep {
        self.consult_claim(
            now,
            Claim {
                submission: id,
                content,
                replaces: Some(gone),
            },
        )
    }

    /// Gives up a submission of which no task was started: a claim under way, or one that holds.
    ///
    /// No [`Settled`] follows. A claim that holds, or turns up later, is released with the next
    /// batch; until then a resubmission here may start it.
    pub fn release(&mut self, now: Now, id: SubmissionId) {
        match id.bound_to {
            Some(holder) if holder == self.me => self.table.release_bound(id.ulid),
            Some(_) => {}
            None => {
                self.queue.remove(id.ulid);
                if self.standing(id) == Some(Standing::Started) {
                    self.queue_release(now, id);
                }
            }
        }
    }

    /// Tells whether a task of a submission that this book said to start may still be started.
    ///
    /// False once the horizon has passed, for a holder that was frozen: others forget the claim two
    /// skews later, and the platform's log forgets it too. False as well once the submission was
    /// released, or another host took it over.
    pub fn may_start(&self, now: Now, id: SubmissionId) -> bool {
        let is_ours = match id.bound_to {
            Some(holder) => holder == self.me && self.table.bound(id.ulid).is_some(),
            None => self.standing(id) == Some(Standing::Started),
        };
        is_ours && self.clock(now).since(id.time()) <= self.options.horizon_ms
    }

    /// Decides whether to append a batch now.
    pub fn next_batch(&mut self, now: Now) -> BatchStep {
        let deadline = self.queue.next_deadline();
        let wait = |at: Option<_>| at.map_or(BatchStep::Idle, BatchStep::WaitUntil);
        let Some(due) = self.outbox.due_at(&mut self.queue, &self.table) else {
            return wait(deadline);
        };
        let ready = due.max(self.pace.ready_at(now.mono));
        if ready > now.mono || !self.is_caught_up {
            let at = if self.is_caught_up { Some(ready) } else { None };
            return wait(at.into_iter().chain(deadline).min());
        }
        self.pace.spend();
        let batch_max = self.options.batch_max;
        BatchStep::Append(
            self.outbox
                .make_batch(&mut self.queue, &mut self.table, batch_max),
        )
    }

    /// Takes in how an append went.
    ///
    /// A batch that was not appended goes out again while its jobs wait. One whose answer was lost
    /// is awaited: it may be read back any time.
    pub fn apply_append_result(
        &mut self,
        now: Now,
        batch: u64,
        result: Result<Offset, AppendFailure>,
    ) -> Vec<SettledClaim> {
        let Some(sent) = self.outbox.take_sent(batch) else {
            return Vec::new();
        };
        if result == Err(AppendFailure::NotAppended) {
            self.queue.unsend(&sent.claims);
            self.outbox.hold_until(now.mono + self.options.retry_ms);
            for id in &sent.releases {
                if self.standing(*id) == Some(Standing::ReleaseSent) {
                    self.queue_release(now, *id);
                }
            }
        }
        self.tick(now)
    }

    /// Settles as failed every claim that was not read back in time, and drops what the horizon
    /// made needless.
    pub fn tick(&mut self, now: Now) -> Vec<SettledClaim> {
        self.expire(now);
        let overdue = self.queue.take_overdue(now.mono);
        overdue.into_iter().map(failed).collect()
    }

    /// Takes in a record of the `claims` stream.
    pub fn apply_record(&mut self, now: Now, offset: Offset, data: &str) -> Vec<SettledClaim> {
        if offset < self.next {
            return Vec::new();
        }
        self.note_clock(now);
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
        self.fold(now, &batch)
    }

    /// Notes that the log's oldest record is at `oldest`: records before it are lost.
    ///
    /// They were older than the retention, which exceeds twice the horizon, so their ids are
    /// refused by age. Ids that could have stood in them are refused all the same, in case the
    /// horizon was set too long for the log.
    pub fn skip_to(&mut self, now: Now, oldest: Offset) {
        if oldest <= self.next {
            return;
        }
        self.note_clock(now);
        self.gaps += 1;
        self.next = oldest;
        let lost_ms = Millis(
            self.options
                .retention_ms
                .0
                .saturating_sub(2 * self.options.skew_ms.0),
        );
        self.table.forget_before(self.latest_wall - lost_ms);
    }

    /// Notes that the stream was read up to `next`, the offset of the next append.
    ///
    /// Before that no claim goes out: it could not be read back before the whole backlog, and its
    /// caller would wait for nothing.
    pub fn mark_caught_up(&mut self, next: Offset) {
        if self.next >= next {
            self.is_caught_up = true;
        }
    }

    /// Notes that the log can't be reached, and fails at once every claim that a job waits for.
    pub fn mark_log_unreachable(&mut self) -> Vec<SettledClaim> {
        self.is_caught_up = false;
        self.queue.take_all().into_iter().map(failed).collect()
    }

    /// Gets how far the wall clock lies behind the latest time seen. Beyond the skew, ids that are
    /// young by the clock are refused as too old; a new incarnation reads its claims from the log
    /// afresh and is free of it.
    pub fn clock_behind_ms(&self, now: Now) -> Millis {
        self.latest_wall.since(now.wall)
    }

    /// Forgets what the horizon has made needless; costs what it forgets.
    pub fn expire(&mut self, now: Now) {
        self.note_clock(now);
        let keep_ms = self.options.keep_ms();
        self.table.expire(
            self.latest_wall - keep_ms,
            self.latest_wall - Millis(2 * keep_ms.0),
        );
    }

    fn queue_release(&mut self, now: Now, id: SubmissionId) {
        self.table.set_standing(id.ulid, Standing::ReleaseQueued);
        self.outbox
            .queue_release(id, now.mono + self.options.release_delay_ms);
    }

    fn standing(&self, id: SubmissionId) -> Option<Standing> {
        match id.bound_to {
            Some(_) => None,
            None => self.table.get(id.ulid).map(|held| held.standing),
        }
    }

    /// Gets the latest wall time seen. A wall clock that steps back must not make ids acceptable
    /// again whose claims were forgotten.
    fn clock(&self, now: Now) -> UnixMs {
        self.latest_wall.max(now.wall)
    }

    fn note_clock(&mut self, now: Now) {
        self.latest_wall = self.clock(now);
    }
}

fn failed(submission: SubmissionId) -> SettledClaim {
    SettledClaim {
        submission,
        outcome: ClaimOutcome::Failed,
    }
}
