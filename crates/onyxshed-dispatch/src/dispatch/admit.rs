//! Admission of submissions, and the result code of a refusal.

use std::rc::Rc;

use onyxshed_core::{CallerId, Incarnation, Micros, Mono, Now, ResultCode, SubmissionId};
use onyxshed_policy::Admission;
use onyxshed_wire::ContentHash;
use onyxshed_wire::caller::{Answer, CopyMark, Submission};

use super::Dispatch;
use crate::job::{ClaimingJob, Job, JobHead};
use crate::output::RequestId;

/// Multiple of the class's target time after which a job is aborted even if its tasks have started.
///
/// The target is the time by which a job should be finished. Aborting a job that has begun wastes
/// the work already done, so it may take twice the target. A deadline set by the caller is not
/// extended.
const FINAL_DEADLINE_FACTOR: u64 = 2;

/// Next step for a submission, which depends on the job table and on the claim.
pub(super) enum SubmitStep {
    /// Join the job with the same id in the table.
    Join,
    /// Accept the job and start its tasks: this host has the claim, or the id is bound to this
    /// incarnation.
    Start,
    /// Accept the job and claim the submission.
    Claim,
    /// Accept the job without a claim: the log can't be read, and the class's tasks may run twice.
    StartUnclaimed,
    /// Accept the job and take over the claim of this incarnation, which is gone; only for a class
    /// whose tasks may run twice.
    TakeOver(Incarnation),
    /// Forward the submission to the incarnation that holds it.
    Forward(Incarnation),
    /// Refuse the submission with this code.
    Refuse(ResultCode),
}

impl Dispatch {
    /// Accepts or refuses a submission that has no job in the table, depending on the state of this
    /// host and on the policy.
    pub(super) fn admit(
        &mut self,
        now: Now,
        (request, caller): (RequestId, CallerId),
        submission: Submission,
        content: ContentHash,
        step: &SubmitStep,
    ) {
        let id = submission.submission;
        let refusal_code = |code| match step {
            SubmitStep::Start => code,
            step => {
                unclaimed_refusal_code(code, submission.copy, matches!(step, SubmitStep::Claim))
            }
        };
        if let Some(code) = self.admission_block(&submission) {
            return self.refuse_submission(request, &submission, refusal_code(code));
        }
        let Some(head) = self.job_head(now, &submission, content) else {
            return self.refuse_submission(
                request,
                &submission,
                refusal_code(ResultCode::UnknownClass),
            );
        };

        let count = submission.tasks.len();
        let admission = self
            .policy
            .admit_from(now, caller, &head.class, count, head.deadline);
        match admission {
            Admission::Refuse {
                code,
                retry_after_ms,
            } => {
                let code = refusal_code(code);
                self.emit_refusal(id, Some(&submission.class), code);
                let answer = Answer::ended(Some(id), code, "").retry_after(retry_after_ms);
                self.answer(request, answer);
            }
            Admission::Accept => self.accept_job(now, request, head, submission, step),
        }
    }

    /// Returns the result code with which to refuse a submission because this host is draining, is
    /// not ready or has no room for it; `None` if the host can accept it.
    pub(super) fn admission_block(&self, submission: &Submission) -> Option<ResultCode> {
        let bytes: u64 = submission
            .tasks
            .iter()
            .map(|payload| payload.len() as u64)
            .sum();
        let has_no_room = self.jobs.len() >= self.options.jobs_max
            || self.running_bytes + bytes > self.options.running_max_bytes.0;
        let is_not_ready = self.config.is_none() || !self.has_executors;
        match (self.is_draining(), is_not_ready, has_no_room) {
            (true, _, _) => Some(ResultCode::Draining),
            (_, true, _) => Some(ResultCode::NotReady),
            (_, _, true) => Some(ResultCode::EntryFull),
            _ => None,
        }
    }

    /// Creates the [`JobHead`] of a submission, with its deadlines counted from `now`; returns
    /// `None` if its class is not configured.
    pub(super) fn job_head(
        &self,
        now: Now,
        submission: &Submission,
        content: ContentHash,
    ) -> Option<JobHead> {
        let target = self.config.as_ref()?.classes.get(&submission.class)?;
        let target_us = Micros::from(target.finish_within_ms);
        let requested_us = submission.deadline_ms.map(Micros::from);
        let within_us = requested_us.map_or(target_us, |requested| requested.min(target_us));
        let max_us = Micros(target_us.0.saturating_mul(FINAL_DEADLINE_FACTOR));
        let final_us = requested_us.map_or(max_us, |requested| requested.min(max_us));
        Some(JobHead {
            id: submission.submission,
            content,
            class: submission.class.clone(),
            may_run_twice: target.may_run_twice,
            copy: submission.copy,
            deadline: now.mono + within_us,
            final_deadline: now.mono + final_us,
        })
    }

    /// Inserts an accepted job into the table, then claims it or starts its tasks, as `step`
    /// requires.
    pub(super) fn accept_job(
        &mut self,
        now: Now,
        request: RequestId,
        head: JobHead,
        submission: Submission,
        step: &SubmitStep,
    ) {
        let (id, content, deadline) = (head.id, head.content, head.deadline);
        let payloads = submission.tasks.into_iter().map(Rc::new).collect();
        let job = ClaimingJob {
            head,
            payloads,
            waiters: vec![request],
            cancels: Vec::new(),
        };
        self.reserve_bytes(&job.payloads);
        self.insert_claiming(id, job, deadline);
        match step {
            SubmitStep::Claim => {
                self.book.request_start(now, id, content);
            }
            SubmitStep::StartUnclaimed => {
                self.start_unclaimed(now, id, "the log can't be reached");
            }
            SubmitStep::TakeOver(holder) => self.take_over(now, id, content, *holder),
            _ => {
                self.book.request_start(now, id, content);
                self.start_job(now, id, true);
            }
        }
    }

    pub(super) fn insert_claiming(&mut self, id: SubmissionId, job: ClaimingJob, due_at: Mono) {
        self.jobs.insert_live(id, Job::Claiming(job), due_at);
    }
}

/// Returns the code with which to refuse a submission for which this host has not won the claim:
/// `code`, or [`ResultCode::EarlierCopyOpen`] if an earlier copy may have run.
///
/// An earlier copy may be running on another host without this host knowing. If the caller then got
/// "not run", it would submit the work under another id, and the work would be done twice. "Not
/// run" therefore requires the caller's statement that there is no earlier copy, or, if the caller
/// states nothing, a readable log that contains no claim.
pub(super) fn unclaimed_refusal_code(
    code: ResultCode,
    copy: CopyMark,
    is_log_readable: bool,
) -> ResultCode {
    match copy {
        CopyMark::First => code,
        CopyMark::Unmarked if is_log_readable => code,
        CopyMark::Unmarked | CopyMark::Again => ResultCode::EarlierCopyOpen,
    }
}
