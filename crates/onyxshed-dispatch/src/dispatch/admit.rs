//! Admission of submissions, and the result code of a refusal.

use std::rc::Rc;

use onyxshed_core::{Incarnation, Micros, Mono, Now, ResultCode, SubmissionId};
use onyxshed_policy::Admission;
use onyxshed_wire::ContentHash;
use onyxshed_wire::caller::{Answer, CopyMark, Submission};

use super::Dispatch;
use crate::job::{Claiming, Job, JobHead};
use crate::output::RequestId;

/// Factor on the class's target after which a job that has begun is aborted.
///
/// The target is the time by which a job should be finished. Aborting a job that has begun wastes
/// the work already done, so it may take twice the target. A deadline set by the caller is not
/// extended.
const FINAL_DEADLINE_FACTOR: u64 = 2;

/// Next step for a submission, depending on its claim and on the job table.
pub(super) enum SubmitStep {
    /// Join the job with the same id in the table.
    Join,
    /// Accept the job under a claim that this host already holds.
    Start,
    /// Accept the job and claim the submission.
    Claim,
    /// Accept the job without a claim: the log can't be read, and the class's tasks may run twice.
    StartUnclaimed,
    /// Accept the job and take over the claim of a holder that is gone: its tasks may run twice.
    TakeOver(Incarnation),
    /// Forward the submission to its holder.
    Forward(Incarnation),
    /// Refuse the submission.
    Refuse(ResultCode),
}

impl Dispatch {
    /// Accepts or refuses a job that was looked up.
    pub(super) fn admit(
        &mut self,
        now: Now,
        request: RequestId,
        submission: Submission,
        content: ContentHash,
        entry: &SubmitStep,
    ) {
        let id = submission.submission;
        let told = |code| match entry {
            SubmitStep::Start => code,
            entry => {
                unclaimed_refusal_code(code, submission.copy, matches!(entry, SubmitStep::Claim))
            }
        };
        if let Some(code) = self.admission_block(&submission) {
            return self.refuse_submission(request, &submission, told(code));
        }
        let Some(head) = self.job_head(now, &submission, content) else {
            return self.refuse_submission(request, &submission, told(ResultCode::UnknownClass));
        };

        let count = submission.tasks.len();
        match self.policy.admit(now, &head.class, count, head.deadline) {
            Admission::Refuse {
                code,
                retry_after_ms,
            } => {
                let code = told(code);
                self.emit_refusal(id, Some(&submission.class), code);
                let answer = Answer::ended(Some(id), code, "").retry_after(retry_after_ms);
                self.answer(request, answer);
            }
            Admission::Accept => self.accept_job(now, request, head, submission, entry),
        }
    }

    /// Returns the reason for which this host accepts no new jobs or has no room for this one.
    ///
    /// Returns `None` if the host can accept the submission.
    pub(super) fn admission_block(&self, submission: &Submission) -> Option<ResultCode> {
        let bytes: u64 = submission
            .tasks
            .iter()
            .map(|payload| payload.len() as u64)
            .sum();
        let is_full = self.jobs.len() >= self.options.jobs_max
            || self.running_bytes + bytes > self.options.running_max_bytes.0;
        let is_unready = self.config.is_none() || !self.has_executors;
        match (self.is_draining, is_unready, is_full) {
            (true, _, _) => Some(ResultCode::Draining),
            (_, true, _) => Some(ResultCode::NotReady),
            (_, _, true) => Some(ResultCode::EntryFull),
            _ => None,
        }
    }

    pub(super) fn job_head(
        &self,
        now: Now,
        submission: &Submission,
        content: ContentHash,
    ) -> Option<JobHead> {
        let target = self.config.as_ref()?.classes.get(&submission.class)?;
        let target_us = Micros::from(target.finish_within_ms);
        let asked_us = submission.deadline_ms.map(Micros::from);
        let within_us = asked_us.map_or(target_us, |asked| asked.min(target_us));
        let last_us = Micros(target_us.0.saturating_mul(FINAL_DEADLINE_FACTOR));
        let end_us = asked_us.map_or(last_us, |asked| asked.min(last_us));
        Some(JobHead {
            id: submission.submission,
            content,
            class: submission.class.clone(),
            may_run_twice: target.may_run_twice,
            copy: submission.copy,
            deadline: now.mono + within_us,
            final_deadline: now.mono + end_us,
        })
    }

    pub(super) fn accept_job(
        &mut self,
        now: Now,
        request: RequestId,
        head: JobHead,
        submission: Submission,
        entry: &SubmitStep,
    ) {
        let (id, content, deadline) = (head.id, head.content, head.deadline);
        let payloads = submission.tasks.into_iter().map(Rc::new).collect();
        let job = Claiming {
            head,
            payloads,
            waiters: vec![request],
            cancels: Vec::new(),
        };
        self.reserve_bytes(&job.payloads);
        self.insert_claiming(id, job, deadline);
        match entry {
            SubmitStep::Claim => {
                self.book.request_start(now, id, content);
            }
            SubmitStep::StartUnclaimed => {
                self.start_unclaimed(now, id, "the log can't be reached");
            }
            SubmitStep::TakeOver(gone) => self.take_over(now, id, content, *gone),
            _ => {
                self.book.request_start(now, id, content);
                self.start_job(now, id, true);
            }
        }
    }

    pub(super) fn insert_claiming(&mut self, id: SubmissionId, job: Claiming, due: Mono) {
        self.jobs.insert_live(id, Job::Claiming(job), due);
    }
}

/// Returns the code with which to refuse a submission for which this host has not won the claim.
///
/// An earlier copy may be running on another host without this host knowing. If the caller then got
/// "not run", it would submit the work under another id, and the work would be done twice. "Not
/// run" therefore requires either the caller's statement that there is no earlier copy, or a
/// readable log that contains no claim.
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
