//! Applies the outcomes of claims. If the claim is won, its job starts; if another host won it, the
//! job's requests are forwarded to that host; if it failed, the job is refused or starts without a
//! claim.

use onyxshed_core::{Event, EventKind, Incarnation, Now, Offset, ResultCode, SubmissionId};
use onyxshed_policy::QueuedTask;
use onyxshed_state::claim::AppendFailure;
use onyxshed_state::{ClaimOutcome, ClaimResult, ClaimStep};
use onyxshed_wire::ContentHash;
use onyxshed_wire::caller::{Answer, CopyMark, Submission};
use onyxshed_wire::platform::Record;

use super::Dispatch;

use crate::job::{ClaimingJob, Job};
use crate::output::ForwardedCall;

impl Dispatch {
    pub(super) fn apply_log_records(
        &mut self,
        now: Now,
        oldest: Offset,
        next: Offset,
        records: &[Record],
    ) {
        self.book.skip_to(now, oldest);
        for record in records {
            let results = self.book.apply_record(now, record.offset, &record.data);
            self.apply_claim_results(now, results);
        }
        self.book.mark_caught_up(next);
    }

    pub(super) fn apply_log_loss(&mut self, now: Now) {
        let failed = self.book.mark_log_unreachable();
        self.apply_claim_results(now, failed);
    }

    /// Fails the claims that were not read back in time.
    pub(super) fn fail_overdue_claims(&mut self, now: Now) {
        let overdue = self.book.tick(now);
        self.apply_claim_results(now, overdue);
    }

    fn apply_claim_results(&mut self, now: Now, results: Vec<ClaimResult>) {
        for result in results {
            self.apply_claim_result(now, result);
        }
    }

    pub(super) fn apply_append_result(
        &mut self,
        now: Now,
        batch: u64,
        result: Result<Offset, AppendFailure>,
    ) {
        if let Err(failure) = result {
            let detail = smol_str::format_smolstr!("batch {batch}: {failure:?}");
            self.emit(
                Event::new(EventKind::ClaimFailed)
                    .party("platform")
                    .detail(detail),
            );
        }
        let results = self.book.apply_append_result(now, batch, result);
        self.apply_claim_results(now, results);
    }

    /// Starts, forwards or refuses a job according to the outcome of its claim.
    fn apply_claim_result(&mut self, now: Now, result: ClaimResult) {
        let id = result.submission;
        match result.outcome {
            ClaimOutcome::Won => {
                self.emit(Event::new(EventKind::ClaimWon).submission(id));
                self.start_job(now, id, true);
            }
            ClaimOutcome::HeldBy(holder) => {
                let party = smol_str::format_smolstr!("{holder}");
                self.emit(Event::new(EventKind::ClaimLost).submission(id).party(party));
                self.forward_to_winner(id, holder);
            }
            ClaimOutcome::OtherContent => self.refuse_unclaimed(now, id, ResultCode::OtherContent),
            ClaimOutcome::Failed => self.apply_claim_failure(now, id),
        }
    }

    /// Queues the tasks of a job that this host may run, unless the job was cancelled meanwhile.
    pub(super) fn start_job(&mut self, now: Now, id: SubmissionId, is_claimed: bool) {
        let Some(job) = self.take_claiming(id) else {
            // The job ended while its claim was under way: the claim is released so that another
            // host can get it. If the job runs without a claim, a claim that is won later is kept.
            if self.jobs.get(id).is_none() {
                self.book.release(now, id);
            }
            return;
        };
        if self.answer_cancel_requests(now, id, &job) {
            return;
        }
        let job = job.into_running(is_claimed);
        for task in job.tasks() {
            let queued_task = QueuedTask {
                task,
                class: job.head.class.clone(),
                deadline: job.head.deadline,
                may_run_twice: job.head.may_run_twice,
            };
            self.policy.enqueue(now, queued_task);
        }
        let due_at = job.head.deadline;
        self.jobs.insert_live(id, Job::Running(job), due_at);
    }

    /// Starts a job without a claim; its tasks may run twice.
    pub(super) fn start_unclaimed(&mut self, now: Now, id: SubmissionId, reason: &'static str) {
        self.emit(
            Event::new(EventKind::ClaimSkipped)
                .submission(id)
                .detail(reason),
        );
        self.start_job(now, id, false);
    }

    /// Takes over a job that may run twice from a holder that is gone.
    ///
    /// Unless a claim that replaces the holder's can be queued, the job starts without a claim,
    /// which its class permits.
    pub(super) fn take_over(
        &mut self,
        now: Now,
        id: SubmissionId,
        content: ContentHash,
        gone_holder: Incarnation,
    ) {
        let party = smol_str::format_smolstr!("{gone_holder}");
        self.emit(
            Event::new(EventKind::ClaimTakenOver)
                .submission(id)
                .party(party),
        );
        if self.book.take_over(now, id, content, gone_holder) != ClaimStep::Wait {
            self.start_unclaimed(now, id, "its holder is gone");
        }
    }

    /// Answers the cancel requests of a job that this host may start, and returns whether the job
    /// is cancelled.
    ///
    /// The job is cancelled unless another request for its answer has arrived since the cancel
    /// request.
    fn answer_cancel_requests(&mut self, now: Now, id: SubmissionId, job: &ClaimingJob) -> bool {
        let is_cancelled = !job.cancels.is_empty() && job.waiters.is_empty();
        if is_cancelled {
            self.release_bytes(&job.payloads);
            self.book.release(now, id);
        }
        for request in &job.cancels {
            match is_cancelled {
                true => self.refuse(*request, id, ResultCode::CancelledUnstarted),
                false => self.answer(*request, Answer::running(id)),
            }
        }
        is_cancelled
    }

    /// Handles a failed claim: a job that may run twice starts without a claim, any other job is
    /// refused.
    fn apply_claim_failure(&mut self, now: Now, id: SubmissionId) {
        let Some(job) = self.claiming_mut(id) else {
            return;
        };
        match job.head.may_run_twice {
            true => self.start_unclaimed(now, id, "the log can't be reached"),
            false => self.refuse_unclaimed(now, id, ResultCode::PlatformUnavailable),
        }
    }

    /// Removes a job, and forwards each of its requests to the host that won the claim.
    fn forward_to_winner(&mut self, id: SubmissionId, holder: Incarnation) {
        let Some(job) = self.take_claiming(id) else {
            return;
        };
        self.release_bytes(&job.payloads);
        let submission = Submission {
            submission: id,
            class: job.head.class,
            deadline_ms: None,
            copy: CopyMark::Again,
            tasks: job
                .payloads
                .iter()
                .map(|payload| payload.as_ref().clone())
                .collect(),
        };
        for request in job.waiters {
            let call = ForwardedCall::Submit(Box::new(submission.clone()));
            self.forward_request(request, id, holder, call);
        }
        for request in job.cancels {
            let call = ForwardedCall::Cancel(id);
            self.forward_request(request, id, holder, call);
        }
    }

    fn take_claiming(&mut self, id: SubmissionId) -> Option<ClaimingJob> {
        self.claiming_mut(id)?;
        match self.jobs.remove(id) {
            Some(Job::Claiming(job)) => Some(job),
            _ => None,
        }
    }
}
