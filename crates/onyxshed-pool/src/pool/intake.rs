//! Jobs that come and jobs that are given up.
//!
//! Answers overload: a job that can't end before it is of no use to its caller is refused when that
//! is known, at its arrival or while it waits; holding it would only keep its caller from trying
//! elsewhere.

use onyxshed_core::{Millis, Mono};

use super::Pool;
use super::queue::Outlook;
use crate::executor::Executor;
use crate::id::{JobId, PeerLife, Session, SubmissionNumber};
use crate::job::{Job, JobEnd, JobRequest, NotRunReason, UnknownReason};
use crate::message::Action;
use crate::room::Room;

/// Shortest time after which a refused caller is asked back; a task of ordinary length.
const RETRY_LEAST: Millis = Millis(100);

/// Longest time after which a refused caller is asked back: a burst is over by then.
const RETRY_MOST: Millis = Millis(5_000);

impl Pool {
    /// Takes in a job, or refuses it.
    pub fn submit(&mut self, now: Mono, session: Session, request: JobRequest) -> Vec<Action> {
        self.notice_pause(now);
        if let Some(refusal) = self.refusal(now, session, &request) {
            self.actions.push(Action::End {
                peer: request.peer,
                submission: request.submission,
                job: request.job,
                end: refusal,
            });
            return self.take_actions();
        }
        match self.jobs.get_mut(&request.job) {
            // The caller lost its answer and sent the job again while it runs: the runs go on, and
            // whoever asked last gets the answer.
            Some(job) => {
                let (peer, submission) = (job.request.peer, job.request.submission);
                job.request.peer = request.peer;
                job.request.submission = request.submission;
                self.actions.push(Action::End {
                    peer,
                    submission,
                    job: request.job,
                    end: JobEnd::Unknown(UnknownReason::Superseded),
                });
            }
            None => {
                let id = request.job;
                self.jobs.insert(id, Job::new(now, request));
                self.plan(now);
                if self.is_hopeless(now, id) {
                    let retry = self.retry_after(now);
                    self.end_job(id, JobEnd::NotRun(NotRunReason::NoTime, retry));
                }
            }
        }
        self.take_actions()
    }

    /// Gives up a job for its entry host.
    pub fn cancel(
        &mut self,
        now: Mono,
        peer: PeerLife,
        submission: SubmissionNumber,
        job: JobId,
        reason: UnknownReason,
    ) -> Vec<Action> {
        self.notice_pause(now);
        let is_theirs = self
            .jobs
            .get(&job)
            .is_some_and(|held| held.request.peer == peer && held.request.submission == submission);
        if is_theirs {
            self.end_job(job, JobEnd::Unknown(reason));
            self.place(now);
        }
        self.take_actions()
    }

    fn refusal(&self, now: Mono, session: Session, request: &JobRequest) -> Option<JobEnd> {
        let not_run = |reason| Some(JobEnd::NotRun(reason, self.retry_after(now)));
        if self.is_over || self.is_closing() {
            return not_run(NotRunReason::NotOwner);
        }
        let silence = self.options.peer_silence_ms;
        if request.peer != self.own && !self.peers.is_current(now, request.peer, session, silence) {
            return not_run(NotRunReason::OldSession);
        }
        if self.jobs.contains_key(&request.job) || self.runs_of(request.job) {
            return None;
        }
        let mut executors = self.executors.values();
        if !executors.any(|executor| self.could_run(now, executor, request)) {
            return not_run(NotRunReason::NoExecutor);
        }
        None
    }

    /// Tells whether the plan shows that a job of which nothing has started is best refused.
    ///
    /// Failure guarded against: more comes than the pool can do. Symptom: callers wait for an answer that
    /// is late in the end, and the pool works on jobs that gain nobody anything while others miss their
    /// target for it. What would be of no use is refused; what would only be late is refused while
    /// another job waits that can be in time, else it stays, since there is room to spare.
    fn is_hopeless(&self, now: Mono, id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        if job.has_started {
            return false;
        }
        if self.outlook(now, job) == Outlook::InVain {
            return true;
        }
        // None while no executor is ready, as after a start: the next plan says more.
        let Some(forecast) = job.forecast else {
            return false;
        };
        let is_late = forecast > job.target_at();
        let is_in_vain = forecast > job.useful_until(self.options.late_factor);
        let refuses = self.options.policy.refuses_by_plan;
        refuses && (is_in_vain || (is_late && self.is_pressed()))
    }

    /// Tells whether a job of which some has run has tasks left that can't end while its answer is of use.
    ///
    /// Failure guarded against: an executor turns slow or fails under one task of a job. Symptom: the
    /// caller of a job whose rest waits behind all others hears nothing until its own deadline, though
    /// it was known long before that no answer would be of use, and the tasks that still run keep
    /// others out.
    fn is_out_of_time(&self, now: Mono, job: &Job) -> bool {
        let gives_up = self.options.policy.ends_in_vain;
        gives_up && job.has_started && job.waiting > 0 && self.outlook(now, job) == Outlook::InVain
    }

    /// Tells whether a job waits that can be in time.
    fn is_pressed(&self) -> bool {
        let is_in_time = |job: &Job| job.forecast.is_some_and(|at| at <= job.target_at());
        let mut waiting = self.jobs.values().filter(|job| job.waiting > 0);
        waiting.any(is_in_time)
    }

    fn runs_of(&self, job: JobId) -> bool {
        self.executors
            .values()
            .any(|executor| executor.tasks_of(job) > 0)
    }

    fn could_run(&self, now: Mono, executor: &Executor, request: &JobRequest) -> bool {
        executor.counts(now, &self.options)
            && executor.facts.upstream == request.upstream
            && executor.facts.capacity.holds(request.demand)
            && executor.has_label(request.label.as_ref())
    }

    fn working_room(&self, now: Mono) -> Room {
        let mut room = Room::default();
        for executor in self.executors.values() {
            if executor.counts(now, &self.options) {
                room += executor.facts.capacity;
            }
        }
        room
    }

    /// Gets when a refused caller may find room: when what waits now is worked off.
    pub(super) fn retry_after(&self, now: Mono) -> Millis {
        let waiting: u64 = self.jobs.values().map(Job::waiting_work).sum();
        let capacity = u64::from(self.working_room(now).cpu_millis.max(1));
        Millis((waiting / capacity).clamp(RETRY_LEAST.0, RETRY_MOST.0))
    }

    /// Refuses the jobs that wait in vain, and gives up those whose callers have left.
    pub(super) fn give_up_late(&mut self, now: Mono) {
        let ended = |(id, job): (&JobId, &Job)| Some((*id, self.end_due(now, *id, job)?));
        let ends: Vec<(JobId, JobEnd)> = self.jobs.iter().filter_map(ended).collect();
        for (id, end) in ends {
            self.end_job(id, end);
        }
    }

    /// Gets how a job ends now, whatever its runs do; none if it goes on.
    fn end_due(&self, now: Mono, id: JobId, job: &Job) -> Option<JobEnd> {
        if now >= job.gives_up_at {
            return Some(JobEnd::Unknown(UnknownReason::TimeOut));
        }
        if self.is_out_of_time(now, job) {
            return Some(JobEnd::Unknown(UnknownReason::OutOfTime));
        }
        let retry_after = || self.retry_after(now);
        self.is_hopeless(now, id)
            .then(|| JobEnd::NotRun(NotRunReason::NoTime, retry_after()))
    }
}
