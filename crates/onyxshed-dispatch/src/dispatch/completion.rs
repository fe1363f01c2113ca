//! Ends of jobs: by deadline, cancellation, failure or completion.

use onyxshed_core::{Event, EventKind, Now, Outcome, ResultCode, SubmissionId};
use onyxshed_wire::caller::Answer;
use smol_str::SmolStr;

use super::{Dispatch, admit, attempt};
use crate::job::{AbortCodes, EndedJob, Job, RunningJob};
use crate::output::{AttemptId, Output, RequestId};

impl Dispatch {
    /// Settles overdue claims, expired tasks, and jobs whose deadline has passed.
    pub(super) fn process_due(&mut self, now: Now) {
        self.fail_overdue_claims(now);
        self.handle_expired_tasks(now);
        while let Some(id) = self.jobs.first_due(now.mono) {
            self.process_due_job(now, id);
        }
    }

    pub(super) fn process_due_job(&mut self, now: Now, id: SubmissionId) {
        match self.jobs.get(id) {
            Some(Job::Claiming(_)) => self.refuse_unclaimed(now, id, ResultCode::ExpiredInQueue),
            Some(Job::Running(job))
                if job.is_unstarted() || job.head.final_deadline <= now.mono =>
            {
                self.abort(now, id, AbortCodes::TIMED_OUT, "");
            }
            Some(Job::Running(job)) => {
                let final_deadline = job.head.final_deadline;
                self.jobs.set_due_at(id, Some(final_deadline));
            }
            Some(Job::Ended(_)) | None => self.jobs.set_due_at(id, None),
        }
    }

    /// Ends a running job with the code from `codes` that matches the evidence on whether its tasks
    /// have started.
    pub(super) fn abort(&mut self, now: Now, id: SubmissionId, codes: AbortCodes, detail: &str) {
        let Some(Job::Running(job)) = self.jobs.get(id) else {
            return;
        };
        let code = job.abort_code(codes);
        self.end_job(now, id, code, detail.into());
    }

    /// Ends a running job: withdraws queued tasks, stops running ones and answers the waiters.
    pub(super) fn end_job(
        &mut self,
        now: Now,
        id: SubmissionId,
        code: ResultCode,
        detail: SmolStr,
    ) {
        let Some(Job::Running(job)) = self.jobs.remove(id) else {
            return;
        };
        self.withdraw_remaining_tasks(&job);
        self.stop_remaining_attempts(&job);
        self.release_bytes(&job.payloads);
        let is_unstarted = job.is_unstarted();
        let class = job.head.class.clone();
        let (ended, waiters) = job.into_ended(code, detail);
        self.answer_waiters(&waiters, id, &ended);
        self.emit(
            Event::new(EventKind::JobAnswered)
                .submission(id)
                .class(&class)
                .detail(smol_str::format_smolstr!("{code}")),
        );
        // A job of which no task has started is removed and its claim released, so that another
        // copy of the submission can start it, on this or another host.
        if is_unstarted {
            self.book.release(now, id);
        } else {
            self.jobs
                .insert_ended(id, ended, self.options.answers_max_bytes);
        }
    }

    /// Refuses a job whose claim failed or was not decided in time, and answers its requests.
    /// Unless the claim failed because of other content, the log may contain another host's claim.
    pub(super) fn refuse_unclaimed(&mut self, now: Now, id: SubmissionId, code: ResultCode) {
        let Some(Job::Claiming(job)) = self.jobs.remove(id) else {
            return;
        };
        self.book.release(now, id);
        self.release_bytes(&job.payloads);
        let code = match code {
            // The id was claimed with other content, so this content has not run anywhere.
            ResultCode::OtherContent => code,
            code => admit::unclaimed_refusal_code(code, job.head.copy, false),
        };
        let answer = self.refusal(Some(id), code, "");
        self.emit(
            Event::new(EventKind::JobRefused)
                .submission(id)
                .class(&job.head.class)
                .detail(smol_str::format_smolstr!("{code}")),
        );
        for request in job.waiters {
            self.answer(request, answer.clone());
        }
        for request in job.cancels {
            self.refuse(request, id, ResultCode::EarlierCopyOpen);
        }
    }

    pub(super) fn withdraw_remaining_tasks(&mut self, job: &RunningJob) {
        for task in job.tasks().filter(|task| !job.has_result(task.index)) {
            self.policy.withdraw(task);
        }
    }

    pub(super) fn stop_remaining_attempts(&mut self, job: &RunningJob) {
        for attempt in &job.attempts {
            self.stop_attempt(*attempt);
        }
    }

    pub(super) fn stop_attempt(&mut self, attempt: AttemptId) {
        let Some(running) = self.attempts.get(&attempt) else {
            return;
        };
        if running.is_resolving {
            return;
        }
        let (task, executor) = (running.task, running.executor.clone());
        let event = attempt::attempt_event(EventKind::TaskStopped, running);
        self.emit(event);
        self.outputs.push(Output::Stop {
            attempt,
            task,
            executor,
        });
    }

    pub(super) fn answer_waiters(
        &mut self,
        waiters: &[RequestId],
        id: SubmissionId,
        ended: &EndedJob,
    ) {
        let is_refusal = ended.code.outcome() == Some(Outcome::NotRun);
        let answer = match is_refusal {
            true => self.refusal(Some(id), ended.code, &ended.detail),
            false => ended.answer(id),
        };
        for request in waiters {
            self.answer(*request, answer.clone());
        }
    }

    /// Creates the answer that refuses a request, with a retry delay unless submitting again can't
    /// succeed.
    pub(super) fn refusal(
        &self,
        id: Option<SubmissionId>,
        code: ResultCode,
        detail: &str,
    ) -> Answer {
        let answer = Answer::ended(id, code, detail);
        match code {
            ResultCode::CancelledUnstarted
            | ResultCode::BadRequest
            | ResultCode::UnknownClass
            | ResultCode::TaskCount
            | ResultCode::OtherContent
            | ResultCode::IdTooOld
            | ResultCode::AnswerDropped => answer,
            _ => answer.retry_after(self.options.retry_after_ms),
        }
    }
}
