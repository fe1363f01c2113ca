//! What callers ask: submit, fetch, cancel, and the same passed on by peers.

use std::rc::Rc;

use onyxshed_core::{
    ClassName, Event, EventKind, Incarnation, Micros, Mono, Now, ResultCode, SubmissionId,
};
use onyxshed_policy::Admission;
use onyxshed_state::ClaimStep;
use onyxshed_wire::ContentHash;
use onyxshed_wire::caller::{Answer, CopyMark, Submission};

use super::Dispatch;
use crate::job::{Claiming, GiveUp, Job, JobHead};
use crate::output::{ForwardedCall, RequestId};

/// How many times its target a job that has begun may last before it is given up.
///
/// A target is when a job should be finished. Giving up a job that has begun wastes what ran, so it
/// gets as long again; a deadline that the caller named is kept to.
const TARGET_STRETCH: u64 = 2;

/// What to do with a submission, once looked up.
enum Entry {
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
    pub(super) fn submit(
        &mut self,
        now: Now,
        request: RequestId,
        submission: Submission,
        is_forwarded: bool,
    ) {
        let id = submission.submission;
        let content = submission.content();
        self.note(
            Event::new(EventKind::JobReceived)
                .submission(id)
                .class(&submission.class),
        );
        match self.look_up(now, &submission, content) {
            Entry::Join => self.join(request, id, content, submission.copy),
            Entry::Forward(holder) if !is_forwarded => {
                self.forward(
                    request,
                    id,
                    holder,
                    ForwardedCall::Submit(Box::new(submission)),
                );
            }
            Entry::Forward(_) => {
                self.refuse_of(request, &submission, ResultCode::HolderUnreachable);
            }
            Entry::Refuse(code) => self.refuse_of(request, &submission, code),
            entry => self.admit(now, request, submission, content, &entry),
        }
    }

    fn look_up(&self, now: Now, submission: &Submission, content: ContentHash) -> Entry {
        if self.jobs.get(submission.submission).is_some() {
            return Entry::Join;
        }
        match self.book.peek(now, submission.submission, Some(content)) {
            ClaimStep::Start => Entry::Start,
            ClaimStep::Wait => Entry::Claim,
            ClaimStep::HeldBy(holder) if self.may_take_over(submission, holder) => {
                Entry::TakeOver(holder)
            }
            ClaimStep::HeldBy(holder) => Entry::Forward(holder),
            ClaimStep::OtherContent => Entry::Refuse(ResultCode::OtherContent),
            ClaimStep::AlreadyStarted => Entry::Refuse(ResultCode::AnswerDropped),
            ClaimStep::TooOld => Entry::Refuse(ResultCode::IdTooOld),
            ClaimStep::FromFuture => Entry::Refuse(ResultCode::IdFromFuture),
            ClaimStep::Unavailable if self.may_run_twice(submission) => Entry::StartUnclaimed,
            ClaimStep::Unavailable => Entry::Refuse(unproved(
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
            .and_then(|held| held.classes.get(&submission.class));
        target.is_some_and(|target| target.may_run_twice)
    }

    /// Adds a request to the job that is here, or answers it from the job that ended.
    fn join(&mut self, request: RequestId, id: SubmissionId, content: ContentHash, copy: CopyMark) {
        let waiters_max = self.options.waiters_max;
        let is_same = self
            .jobs
            .get(id)
            .is_some_and(|job| job.content() == content);
        if !is_same {
            return self.refuse(request, id, ResultCode::OtherContent);
        }
        self.note(Event::new(EventKind::JobJoined).submission(id));
        let waiters = match self.jobs.get_mut(id) {
            Some(Job::Claiming(job)) => {
                // The first copy's word no longer holds once another has come: that one may have
                // been to other hosts on its way here.
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
            let wait = self.options.retry_after_ms;
            self.answer(request, Answer::running(id).retry_after(wait));
        }
    }

    /// Takes the job in or refuses it.
    fn admit(
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
    fn closed_for(&self, submission: &Submission) -> Option<ResultCode> {
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

    fn head_of(&self, now: Now, submission: &Submission, content: ContentHash) -> Option<JobHead> {
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

    fn take_job(
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
                self.book.consult(now, id, content);
            }
            Entry::StartUnclaimed => {
                self.start_unclaimed(now, id, "the log can't be reached");
            }
            Entry::TakeOver(gone) => self.take_over(now, id, content, *gone),
            _ => {
                self.book.consult(now, id, content);
                self.grant(now, id, true);
            }
        }
    }

    fn put_claiming(&mut self, id: SubmissionId, job: Claiming, due: Mono) {
        self.jobs.put_live(id, Job::Claiming(job), due);
    }

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
                self.ask_holder(now, request, id, is_forwarded, ForwardedCall::Fetch(id));
            }
        }
    }

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
                self.note(Event::new(EventKind::JobCancelled).submission(id));
                self.give_up(now, id, GiveUp::CANCELLED, "");
            }
            None => {
                self.ask_holder(now, request, id, is_forwarded, ForwardedCall::Cancel(id));
            }
        }
    }

    /// Gives up a job whose claim is under way.
    ///
    /// Whoever sent the only copy is answered at once. Everyone else asks about every copy, and one
    /// may run on another host: that answer waits until the log tells who holds the submission.
    fn cancel_claiming(&mut self, request: RequestId, id: SubmissionId) {
        self.note(Event::new(EventKind::JobCancelled).submission(id));
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

    /// Passes a question about a job that is not here on to its holder, if there is one.
    fn ask_holder(
        &mut self,
        now: Now,
        request: RequestId,
        id: SubmissionId,
        is_forwarded: bool,
        call: ForwardedCall,
    ) {
        match self.book.peek(now, id, None) {
            ClaimStep::HeldBy(holder) if !is_forwarded => self.forward(request, id, holder, call),
            ClaimStep::TooOld => self.refuse(request, id, ResultCode::IdTooOld),
            ClaimStep::Unavailable => self.refuse(request, id, ResultCode::EarlierCopyOpen),
            _ => self.refuse(request, id, ResultCode::NotKnownHere),
        }
    }

    fn forward(
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
                self.note(event.party(party));
                self.pass_on(request, id, holder, call);
            }
        }
    }

    pub(super) fn refuse(&mut self, request: RequestId, id: SubmissionId, code: ResultCode) {
        self.note_refused(id, None, code);
        let answer = self.refusal(Some(id), code, "");
        self.answer(request, answer);
    }

    /// Refuses a submission, whose class is known.
    fn refuse_of(&mut self, request: RequestId, submission: &Submission, code: ResultCode) {
        let id = submission.submission;
        self.note_refused(id, Some(&submission.class), code);
        let answer = self.refusal(Some(id), code, "");
        self.answer(request, answer);
    }

    fn note_refused(&mut self, id: SubmissionId, class: Option<&ClassName>, code: ResultCode) {
        let mut event = Event::new(EventKind::JobRefused).submission(id);
        event.class = class.cloned();
        self.note(event.detail(smol_str::format_smolstr!("{code}")));
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
