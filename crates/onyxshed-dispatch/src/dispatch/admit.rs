//! Whether a submission that was looked up is taken in, and what a refusal may say.

use std::rc::Rc;

use onyxshed_core::{Incarnation, Micros, Mono, Now, ResultCode, SubmissionId};
use onyxshed_policy::Admission;
use onyxshed_wire::ContentHash;
use onyxshed_wire::caller::{Answer, CopyMark, Submission};

use super::Dispatch;
use crate::job::{Claiming, Job, JobHead};
use crate::output::RequestId;

/// How many times its target a job that has begun may last before it is given up.
///
/// A target is when a job should be finished. Giving up a job that has begun wastes what ran, so it
/// gets as long again; a deadline that the caller named is kept to.
const TARGET_STRETCH: u64 = 2;

/// What to do with a submission, once looked up.
pub(super) enum Entry {
    /// Join the job that is here.
    Join,
    /// Take it in under a claim that is ours already.
    Start,
    /// Take it in and claim it.
    Claim,
    /// Take it in though the log can't be read, as it may run twice.
    StartUnclaimed,
    /// Take it in and claim it in place of a holder that is gone, as it may run twice.
    TakeOver(Incarnation),
    /// Pass it on to its holder.
    Forward(Incarnation),
    /// Refuse it.
    Refuse(ResultCode),
}

impl Dispatch {
    /// Takes the job in or refuses it.
    pub(super) fn admit(
        &mut self,
        now: Now,
        request: RequestId,
        submission: Submission,
        content: ContentHash,
        entry: &Entry,
    ) {
        let id = submission.submission;
        let told = |code| match entry {
            Entry::Start => code,
            entry => unproved(code, submission.copy, matches!(entry, Entry::Claim)),
        };
        if let Some(code) = self.closed_for(&submission) {
            return self.refuse_of(request, &submission, told(code));
        }
        let Some(head) = self.head_of(now, &submission, content) else {
            return self.refuse_of(request, &submission, told(ResultCode::UnknownClass));
        };

        let count = submission.tasks.len();
        match self.policy.admit(now, &head.class, count, head.deadline) {
            Admission::Refuse {
                code,
                retry_after_ms,
            } => {
                let code = told(code);
                self.note_refused(id, Some(&submission.class), code);
                let answer = Answer::ended(Some(id), code, "").retry_after(retry_after_ms);
                self.answer(request, answer);
            }
            Admission::Accept => self.take_job(now, request, head, submission, entry),
        }
    }

    /// Tells why nothing new is taken in, if so.
    pub(super) fn closed_for(&self, submission: &Submission) -> Option<ResultCode> {
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

    pub(super) fn head_of(
        &self,
        now: Now,
        submission: &Submission,
        content: ContentHash,
    ) -> Option<JobHead> {
        let target = self.config.as_ref()?.classes.get(&submission.class)?;
        let target_us = Micros::from(target.finish_within_ms);
        let asked_us = submission.deadline_ms.map(Micros::from);
        let within_us = asked_us.map_or(target_us, |asked| asked.min(target_us));
        let last_us = Micros(target_us.0.saturating_mul(TARGET_STRETCH));
        let end_us = asked_us.map_or(last_us, |asked| asked.min(last_us));
        Some(JobHead {
            id: submission.submission,
            content,
            class: submission.class.clone(),
            may_run_twice: target.may_run_twice,
            copy: submission.copy,
            deadline: now.mono + within_us,
            end_by: now.mono + end_us,
        })
    }

    pub(super) fn take_job(
        &mut self,
        now: Now,
        request: RequestId,
        head: JobHead,
        submission: Submission,
        entry: &Entry,
    ) {
        let (id, content, deadline) = (head.id, head.content, head.deadline);
        let payloads = submission.tasks.into_iter().map(Rc::new).collect();
        let job = Claiming {
            head,
            payloads,
            waiters: vec![request],
            cancels: Vec::new(),
        };
        self.hold_bytes(&job.payloads);
        self.put_claiming(id, job, deadline);
        match entry {
            Entry::Claim => {
                self.book.request_start(now, id, content);
            }
            Entry::StartUnclaimed => {
                self.start_unclaimed(now, id, "the log can't be reached");
            }
            Entry::TakeOver(gone) => self.take_over(now, id, content, *gone),
            _ => {
                self.book.request_start(now, id, content);
                self.grant(now, id, true);
            }
        }
    }

    pub(super) fn put_claiming(&mut self, id: SubmissionId, job: Claiming, due: Mono) {
        self.jobs.put_live(id, Job::Claiming(job), due);
    }
}

/// Gets the truth for a submission that is refused before the log has given it to this host.
///
/// Failure guarded against: an earlier copy runs on another host, unseen from here, and the caller is
/// told "not run". Symptom: it submits the work under another id and it is done twice. So "not run"
/// needs the caller's word that there is no earlier copy, or a readable log without a claim.
pub(super) fn unproved(code: ResultCode, copy: CopyMark, is_log_readable: bool) -> ResultCode {
    match copy {
        CopyMark::First => code,
        CopyMark::Unmarked if is_log_readable => code,
        CopyMark::Unmarked | CopyMark::Again => ResultCode::EarlierCopyOpen,
    }
}
