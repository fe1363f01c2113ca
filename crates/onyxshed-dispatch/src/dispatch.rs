//! The machine as a whole: takes an input, lets the parts decide, gives the outputs.

mod ask;
mod attempt;
mod caller;
mod claim;
mod forward;
mod pump;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use onyxshed_core::{
    ClassName, Event, EventKind, ExecutorName, Incarnation, Micros, Mono, Now, ResultCode,
    SubmissionId, TaskId,
};
use onyxshed_policy::Policy;
use onyxshed_policy::note::{Note as PolicyNote, Waste};
use onyxshed_state::{ClaimBook, Config, Member};
use onyxshed_wire::caller::Answer;
use smol_str::SmolStr;

use crate::input::Input;
use crate::job::{Claiming, Ended, GiveUp, Job, Running};
use crate::options::DispatchOptions;
use crate::output::{AttemptId, Output, RequestId};
use crate::table::JobTable;

/// One start that has not ended.
#[derive(Debug, Clone)]
struct Attempt {
    task: TaskId,
    class: ClassName,
    executor: ExecutorName,
    /// Its connection was lost and a stop was sent to learn what became of it.
    is_resolving: bool,
    /// When to ask about it, and how long to wait after that.
    ask_at: Mono,
    ask_again_us: Micros,
}

/// One entry host's state machine.
#[derive(Debug)]
pub struct Dispatch {
    me: Incarnation,
    options: DispatchOptions,
    config: Option<Config>,
    has_executors: bool,
    book: ClaimBook,
    policy: Policy,
    jobs: JobTable,
    attempts: HashMap<AttemptId, Attempt>,
    asks: BTreeSet<(Mono, AttemptId)>,
    last_attempt: u64,
    members: BTreeMap<Incarnation, Member>,
    gone: BTreeSet<Incarnation>,
    passed_on: BTreeMap<RequestId, forward::PassedOn>,
    running_bytes: u64,
    is_draining: bool,
    wake_at: Option<Mono>,
    outputs: Vec<Output>,
}

impl Dispatch {
    /// Makes the machine for one incarnation; `seed` feeds every draw it makes.
    pub fn new(me: Incarnation, options: DispatchOptions, seed: u64) -> Self {
        Dispatch {
            me,
            config: None,
            has_executors: false,
            book: ClaimBook::new(me, options.claims.clone()),
            policy: Policy::new(options.policy.clone(), seed),
            jobs: JobTable::default(),
            attempts: HashMap::new(),
            asks: BTreeSet::new(),
            last_attempt: 0,
            members: BTreeMap::new(),
            gone: BTreeSet::new(),
            passed_on: BTreeMap::new(),
            running_bytes: 0,
            is_draining: false,
            wake_at: None,
            outputs: Vec::new(),
            options,
        }
    }

    /// Takes in one event and gives what to do about it, in order.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        // What time has made due comes first: a process that was frozen must find out that a job is
        // over before it starts another task of it.
        self.settle_due(now);
        self.take_in(now, input);
        self.pump(now);
        self.note_policy();
        std::mem::take(&mut self.outputs)
    }

    /// Gets when the machine wants a [`Input::Tick`] at the latest.
    pub fn wake_at(&self) -> Option<Mono> {
        self.wake_at
    }

    /// Gets the configuration in force.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// Gets how many peers are held to be live.
    pub fn live_peers(&self) -> usize {
        let is_live = |member: &&Member| member.state == onyxshed_state::MemberState::Live;
        self.members.values().filter(is_live).count()
    }

    /// Tells whether the claims stream has been read to its end.
    pub fn is_log_read(&self) -> bool {
        self.book.is_caught_up()
    }

    /// Gets the offset of the claims stream to read from next.
    pub fn log_next(&self) -> onyxshed_core::Offset {
        self.book.next()
    }

    /// Gets how many jobs have not ended.
    pub fn live_jobs(&self) -> usize {
        self.jobs.live_count()
    }

    /// Gets how many submissions are remembered.
    pub fn remembered_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Gets how many attempts have not ended.
    pub fn live_attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Gets how many tasks wait for an executor.
    pub fn queued_tasks(&self) -> usize {
        self.policy.waiting()
    }

    /// Gets the messages that served no answer, by kind.
    pub fn waste(&self) -> Waste {
        self.policy.waste()
    }

    /// Tells whether the claims stream was read to its end and has not been lost since.
    pub fn is_log_readable(&self) -> bool {
        self.book.is_caught_up()
    }

    /// Gets how many records of the claims stream could not be read and were ignored.
    pub fn unreadable_records(&self) -> u64 {
        self.book.counts().unreadable
    }

    /// Gets the member of an incarnation.
    pub fn member(&self, incarnation: Incarnation) -> Option<&Member> {
        self.members.get(&incarnation)
    }

    fn take_in(&mut self, now: Now, input: Input) {
        match input {
            Input::Submit {
                request,
                submission,
                is_forwarded,
            } => {
                self.submit(now, request, submission, is_forwarded);
            }
            Input::Fetch {
                request,
                id,
                is_forwarded,
            } => {
                self.fetch(now, request, id, is_forwarded);
            }
            Input::Cancel {
                request,
                id,
                is_forwarded,
            } => {
                self.cancel(now, request, id, is_forwarded);
            }
            Input::Forwarded {
                request,
                id,
                answer,
            } => self.forwarded(request, id, answer),
            Input::Configured(config) => self.configure(now, config),
            Input::Executors(executors) => {
                self.has_executors = true;
                self.policy.set_executors(now, &executors);
            }
            Input::Members {
                members,
                gone,
                sharers,
                live,
            } => {
                self.gone = gone.into_iter().collect();
                self.set_members(now, members, sharers, live);
            }
            Input::LogRead {
                oldest,
                next,
                records,
            } => {
                self.log_read(now, oldest, next, &records);
            }
            Input::LogLost => self.log_lost(now),
            Input::Appended { batch, result } => self.appended(now, batch, result),
            Input::AttemptEnded { attempt, report } => self.attempt_ended(now, attempt, report),
            Input::StopEnded { attempt, report } => self.stop_ended(now, attempt, report),
            Input::Sighted { attempt, sighting } => self.sighted(now, attempt, sighting),
            Input::Drain => self.is_draining = true,
            Input::Tick => {}
        }
    }

    /// Tells what the policy decided about executors and classes.
    fn note_policy(&mut self) {
        for note in self.policy.drain_notes() {
            let event = match note {
                PolicyNote::BreakerOpened { executor, reason } => {
                    Event::new(EventKind::BreakerOpened)
                        .party(executor.as_str())
                        .detail(smol_str::format_smolstr!("{reason}"))
                }
                PolicyNote::BreakerClosed { executor } => {
                    Event::new(EventKind::BreakerClosed).party(executor.as_str())
                }
                PolicyNote::JobBlamed { submission, class } => Event::new(EventKind::JobBlamed)
                    .submission(submission)
                    .class(&class),
                PolicyNote::ClassBlamed { class } => Event::new(EventKind::JobBlamed)
                    .class(&class)
                    .detail("every job of the class"),
                PolicyNote::ClassCleared { class } => Event::new(EventKind::JobBlamed)
                    .class(&class)
                    .detail("no longer"),
            };
            self.note(event);
        }
    }

    fn configure(&mut self, now: Now, config: Config) {
        let is_newer = self
            .config
            .as_ref()
            .is_none_or(|held| config.revision > held.revision);
        if !is_newer {
            return;
        }
        self.policy.set_classes(now, &config.classes);
        let detail = smol_str::format_smolstr!("revision {}", config.revision);
        self.note(Event::new(EventKind::ConfigInForce).detail(detail));
        self.config = Some(config);
    }

    fn set_members(&mut self, now: Now, members: Vec<Member>, sharers: u32, live: u32) {
        self.book.set_live_hosts(live as usize);
        self.members = members
            .into_iter()
            .map(|member| (member.incarnation, member))
            .collect();
        self.policy.set_sharers(now, sharers.max(1));
        self.give_up_on_silent_holders();
    }

    /// Ends what time has made due.
    fn settle_due(&mut self, now: Now) {
        self.settle_overdue_claims(now);
        self.settle_expired_tasks(now);
        while let Some(id) = self.jobs.due(now.mono) {
            self.settle_due_job(now, id);
        }
    }

    fn settle_due_job(&mut self, now: Now, id: SubmissionId) {
        match self.jobs.get(id) {
            Some(Job::Claiming(_)) => self.end_unclaimed(now, id, ResultCode::ExpiredInQueue),
            Some(Job::Running(job)) if job.is_unstarted() || job.head.end_by <= now.mono => {
                self.give_up(now, id, GiveUp::OUT_OF_TIME, "");
            }
            Some(Job::Running(job)) => {
                let end_by = job.head.end_by;
                self.jobs.set_due(id, Some(end_by));
            }
            Some(Job::Ended(_)) | None => self.jobs.set_due(id, None),
        }
    }

    /// Ends a running job for a reason, with the code that tells the truth.
    fn give_up(&mut self, now: Now, id: SubmissionId, reason: GiveUp, detail: &str) {
        let Some(Job::Running(job)) = self.jobs.get(id) else {
            return;
        };
        let code = job.truthful(reason);
        self.end(now, id, code, detail.into());
    }

    /// Ends a running job: waiting tasks are withdrawn, running ones stopped, the caller answered.
    fn end(&mut self, now: Now, id: SubmissionId, code: ResultCode, detail: SmolStr) {
        let Some(Job::Running(job)) = self.jobs.take(id) else {
            return;
        };
        self.withdraw_rest(&job);
        self.stop_rest(&job);
        self.release_bytes(&job.payloads);
        let is_unstarted = job.is_unstarted();
        let class = job.head.class.clone();
        let (ended, waiters) = job.end(code, detail);
        self.answer_all(&waiters, id, &ended);
        self.note(
            Event::new(EventKind::JobAnswered)
                .submission(id)
                .class(&class)
                .detail(smol_str::format_smolstr!("{code}")),
        );
        // A job of which nothing has started is forgotten and its claim released, so that a copy that
        // comes again may start it, here or on another host.
        if is_unstarted {
            self.book.release(now, id);
        } else {
            self.jobs
                .put_ended(id, ended, self.options.answers_max_bytes);
        }
    }

    /// Ends a job whose claim was not decided in time: the log may hold another host's.
    fn end_unclaimed(&mut self, now: Now, id: SubmissionId, code: ResultCode) {
        let Some(Job::Claiming(job)) = self.jobs.take(id) else {
            return;
        };
        self.book.release(now, id);
        self.release_bytes(&job.payloads);
        let code = match code {
            // The content that was claimed is another: this one has not run anywhere.
            ResultCode::OtherContent => code,
            code => caller::unproved(code, job.head.copy, false),
        };
        let answer = self.refusal(Some(id), code, "");
        self.note(
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

    fn withdraw_rest(&mut self, job: &Running) {
        for task in job.tasks().filter(|task| !job.has_result(task.index)) {
            self.policy.withdraw(task);
        }
    }

    fn stop_rest(&mut self, job: &Running) {
        for attempt in &job.attempts {
            self.stop(*attempt);
        }
    }

    fn stop(&mut self, attempt: AttemptId) {
        let Some(found) = self.attempts.get(&attempt) else {
            return;
        };
        if found.is_resolving {
            return;
        }
        let (task, executor) = (found.task, found.executor.clone());
        let event = attempt::task_event(EventKind::TaskStopped, found);
        self.note(event);
        self.outputs.push(Output::Stop {
            attempt,
            task,
            executor,
        });
    }

    fn answer_all(&mut self, waiters: &[RequestId], id: SubmissionId, ended: &Ended) {
        let is_refusal = ended.code.outcome() == Some(onyxshed_core::Outcome::NotRun);
        let answer = match is_refusal {
            true => self.refusal(Some(id), ended.code, &ended.detail),
            false => ended.answer(id),
        };
        for request in waiters {
            self.answer(*request, answer.clone());
        }
    }

    /// Makes an answer that invites a repeat where that can help.
    fn refusal(&self, id: Option<SubmissionId>, code: ResultCode, detail: &str) -> Answer {
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

    fn answer(&mut self, request: RequestId, mut answer: Answer) {
        answer.bind_to = answer.bind_to.or(Some(self.me));
        self.outputs.push(Output::Answer { request, answer });
    }

    /// Puts an event out, with its job's class where the job is here and the event names none.
    fn note(&mut self, mut event: Event) {
        let job = event.submission.and_then(|id| self.jobs.get(id));
        event.class = event.class.or_else(|| Some(job?.class().clone()));
        self.outputs.push(Output::Note(event));
    }

    fn claiming_mut(&mut self, id: SubmissionId) -> Option<&mut Claiming> {
        match self.jobs.get_mut(id) {
            Some(Job::Claiming(job)) => Some(job),
            _ => None,
        }
    }

    fn running_mut(&mut self, id: SubmissionId) -> Option<&mut Running> {
        match self.jobs.get_mut(id) {
            Some(Job::Running(job)) => Some(job),
            _ => None,
        }
    }

    fn hold_bytes(&mut self, payloads: &[std::rc::Rc<Vec<u8>>]) {
        self.running_bytes += total_bytes(payloads);
    }

    fn release_bytes(&mut self, payloads: &[std::rc::Rc<Vec<u8>>]) {
        self.running_bytes -= total_bytes(payloads);
    }
}

fn total_bytes(payloads: &[std::rc::Rc<Vec<u8>>]) -> u64 {
    payloads.iter().map(|payload| payload.len() as u64).sum()
}
