//! Requests of callers: submit, fetch and cancel, received directly or forwarded by peers.

use onyxshed_core::{
    CallerId, ClassName, Event, EventKind, Incarnation, Now, ResultCode, SubmissionId,
};
use onyxshed_state::ClaimStep;
use onyxshed_wire::ContentHash;
use onyxshed_wire::caller::{Answer, CopyMark, Submission};

use super::Dispatch;
use super::admit::{SubmitStep, unclaimed_refusal_code};
use crate::job::{AbortCodes, Job};
use crate::output::{ForwardedCall, RequestId};

impl Dispatch {
    /// Handles a submission: adds the request to the job with the same id, forwards it to the
    /// holder, refuses it, or admits a new job.
    pub(super) fn submit(
        &mut self,
        now: Now,
        request: RequestId,
        submission: Submission,
        caller: CallerId,
        is_forwarded: bool,
    ) {
        let id = submission.submission;
        let content = submission.content();
        self.emit(
            Event::new(EventKind::JobReceived)
                .submission(id)
                .class(&submission.class),
        );
        match self.submit_step(now, &submission, content) {
            SubmitStep::Join => self.join(request, id, content, submission.copy),
            SubmitStep::Forward(holder) if !is_forwarded => {
                self.forward_if_reachable(
                    request,
                    id,
                    holder,
                    ForwardedCall::Submit(Box::new(submission)),
                );
            }
            SubmitStep::Forward(_) => {
                self.refuse_submission(request, &submission, ResultCode::HolderUnreachable);
            }
            SubmitStep::Refuse(code) => self.refuse_submission(request, &submission, code),
            step => self.admit(now, (request, caller), submission, content, &step),
        }
    }

    /// Returns the next step for a submission, according to the job table and the claim book.
    fn submit_step(&self, now: Now, submission: &Submission, content: ContentHash) -> SubmitStep {
        if self.jobs.get(submission.submission).is_some() {
            return SubmitStep::Join;
        }
        match self.book.peek(now, submission.submission, Some(content)) {
            ClaimStep::Start => SubmitStep::Start,
            ClaimStep::Wait => SubmitStep::Claim,
            ClaimStep::HeldBy(holder) if self.may_take_over(submission, holder) => {
                SubmitStep::TakeOver(holder)
            }
            ClaimStep::HeldBy(holder) => SubmitStep::Forward(holder),
            ClaimStep::OtherContent => SubmitStep::Refuse(ResultCode::OtherContent),
            ClaimStep::AlreadyStarted => SubmitStep::Refuse(ResultCode::AnswerDropped),
            ClaimStep::TooOld => SubmitStep::Refuse(ResultCode::IdTooOld),
            ClaimStep::FromFuture => SubmitStep::Refuse(ResultCode::IdFromFuture),
            ClaimStep::Unavailable if self.may_run_twice(submission) => SubmitStep::StartUnclaimed,
            ClaimStep::Unavailable => SubmitStep::Refuse(unclaimed_refusal_code(
                ResultCode::PlatformUnavailable,
                submission.copy,
                false,
            )),
        }
    }

    fn may_take_over(&self, submission: &Submission, holder: Incarnation) -> bool {
        self.gone.contains(&holder) && self.may_run_twice(submission)
    }

    fn may_run_twice(&self, submission: &Submission) -> bool {
        let target = self
            .config
            .as_ref()
            .and_then(|config| config.classes.get(&submission.class));
        target.is_some_and(|target| target.may_run_twice)
    }

    /// Adds a request to the waiters of the job with the same id, or answers it if the job has
    /// ended, has too many waiters, or has other content.
    fn join(&mut self, request: RequestId, id: SubmissionId, content: ContentHash, copy: CopyMark) {
        let waiters_max = self.options.waiters_max;
        let is_same = self
            .jobs
            .get(id)
            .is_some_and(|job| job.content() == content);
        if !is_same {
            return self.refuse(request, id, ResultCode::OtherContent);
        }
        self.emit(Event::new(EventKind::JobJoined).submission(id));
        let waiters = match self.jobs.get_mut(id) {
            Some(Job::Claiming(job)) => {
                // A mark `CopyMark::First` no longer applies once another copy has arrived, because
                // that copy may have been submitted to other hosts before.
                job.head.copy = job.head.copy.max(copy);
                &mut job.waiters
            }

            Some(Job::Running(job)) => &mut job.waiters,
            Some(Job::Ended(job)) => {
                let answer = job.answer(id);
                return self.answer(request, answer);
            }
            None => return,
        };
        if waiters.len() < waiters_max {
            waiters.push(request);
        } else {
            let delay = self.options.retry_after_ms;
            self.answer(request, Answer::running(id).retry_after(delay));
        }
    }

    /// Answers a fetch with the final answer of a job, or that the job is running. If the job is
    /// not in the table, the request is forwarded to the holder or refused.
    pub(super) fn fetch(
        &mut self,
        now: Now,
        request: RequestId,
        id: SubmissionId,
        is_forwarded: bool,
    ) {
        match self.jobs.get(id) {
            Some(Job::Ended(job)) => {
                let answer = job.answer(id);
                self.answer(request, answer);
            }
            Some(_) => self.answer(request, Answer::running(id)),
            None => {
                self.forward_to_holder(now, request, id, is_forwarded, ForwardedCall::Fetch(id));
            }
        }
    }

    /// Cancels a job that is running or being claimed. If the job has ended, the request gets its
    /// final answer; if the job is not in the table, the request is forwarded to the holder or
    /// refused.
    pub(super) fn cancel(
        &mut self,
        now: Now,
        request: RequestId,
        id: SubmissionId,
        is_forwarded: bool,
    ) {
        match self.jobs.get_mut(id) {
            Some(Job::Ended(job)) => {
                let answer = job.answer(id);
                self.answer(request, answer);
            }
            Some(Job::Claiming(_)) => self.cancel_claiming(request, id),
            Some(Job::Running(job)) => {
                job.waiters.push(request);
                self.emit(Event::new(EventKind::JobCancelled).submission(id));
                self.abort(now, id, AbortCodes::CANCELLED, "");
            }
            None => {
                self.forward_to_holder(now, request, id, is_forwarded, ForwardedCall::Cancel(id));
            }
        }
    }

    /// Cancels a job whose claim is under way.
    ///
    /// If only one copy was ever sent, its waiters are answered immediately. The answer to the
    /// cancel request, and to the waiters of several copies, concerns every copy, and a copy may be
    /// running on another host: these requests wait until the log decides which host holds the
    /// submission.
    fn cancel_claiming(&mut self, request: RequestId, id: SubmissionId) {
        self.emit(Event::new(EventKind::JobCancelled).submission(id));
        let Some(job) = self.claiming_mut(id) else {
            return;
        };
        job.cancels.push(request);
        let waiters = std::mem::take(&mut job.waiters);
        if job.head.copy != CopyMark::First {
            job.cancels.extend(waiters);
            return;
        }
        let answer = self.refusal(Some(id), ResultCode::CancelledUnstarted, "");
        for waiter in waiters {
            self.answer(waiter, answer.clone());
        }
    }

    /// Forwards a fetch or cancel of a job that is not in the table to the holder of its
    /// submission. Refuses it if no other holder is known, or if a peer forwarded it.
    fn forward_to_holder(
        &mut self,
        now: Now,
        request: RequestId,
        id: SubmissionId,
        is_forwarded: bool,
        call: ForwardedCall,
    ) {
        match self.book.peek(now, id, None) {
            ClaimStep::HeldBy(holder) if !is_forwarded => {
                self.forward_if_reachable(request, id, holder, call)
            }
            ClaimStep::TooOld => self.refuse(request, id, ResultCode::IdTooOld),
            ClaimStep::Unavailable => self.refuse(request, id, ResultCode::EarlierCopyOpen),
            _ => self.refuse(request, id, ResultCode::NotKnownHere),
        }
    }

    /// Forwards a request to the holder of its submission, or refuses it if the holder is gone or
    /// unknown.
    fn forward_if_reachable(
        &mut self,
        request: RequestId,
        id: SubmissionId,
        holder: Incarnation,
        call: ForwardedCall,
    ) {
        let is_gone = self.gone.contains(&holder);
        match self.members.contains_key(&holder) {
            _ if is_gone => self.refuse(request, id, ResultCode::HolderGone),
            false => self.refuse(request, id, ResultCode::HolderUnreachable),
            true => {
                let party = smol_str::format_smolstr!("{holder}");
                let mut event = Event::new(EventKind::JobForwarded).submission(id);
                event.class = call.class().cloned();
                self.emit(event.party(party));
                self.forward_request(request, id, holder, call);
            }
        }
    }

    pub(super) fn refuse(&mut self, request: RequestId, id: SubmissionId, code: ResultCode) {
        self.emit_refusal(id, None, code);
        let answer = self.refusal(Some(id), code, "");
        self.answer(request, answer);
    }

    /// Refuses a submission; unlike `refuse`, it includes the class in the event.
    pub(super) fn refuse_submission(
        &mut self,
        request: RequestId,
        submission: &Submission,
        code: ResultCode,
    ) {
        let id = submission.submission;
        self.emit_refusal(id, Some(&submission.class), code);
        let answer = self.refusal(Some(id), code, "");
        self.answer(request, answer);
    }

    /// Emits the event for a refused request; its detail is the result code.
    pub(super) fn emit_refusal(
        &mut self,
        id: SubmissionId,
        class: Option<&ClassName>,
        code: ResultCode,
    ) {
        let mut event = Event::new(EventKind::JobRefused).submission(id);
        event.class = class.cloned();
        self.emit(event.detail(smol_str::format_smolstr!("{code}")));
    }
}
