//! Admission, cancellation and load shedding of jobs.
//!
//! Under overload, a job that can't end while its answer is still useful to its caller is rejected as
//! soon as this is known, on arrival or while it is queued. Keeping it would only delay its caller's
//! retry elsewhere.

use onyxshed_core::{Bytes, Micros, Millis, Mono};

use super::Pool;
use super::evacuation::ZoneStatus;
use super::place::{Feasibility, LATE_WEIGHT};
use crate::id::{JobId, PeerIncarnation, Session, SubmissionNumber};
use crate::job::{Job, JobEnd, JobRequest, NotRunReason, UnknownReason};
use crate::job_table::JobTable;
use crate::message::Action;
use crate::resources::Resources;

/// Minimum retry delay suggested to a rejected caller: the duration of a typical task.
const RETRY_AFTER_MIN: Millis = Millis(100);

/// Maximum retry delay suggested to a rejected caller; a burst of jobs is over by then.
pub(super) const RETRY_AFTER_MAX: Millis = Millis(5_000);

/// Backlog, as the time that the pool takes to process it, up to which no late job is shed. With a
/// smaller value, small pools would reject jobs that they could run a moment later.
const SHED_BACKLOG_MIN: Millis = Millis(60);

/// Queued jobs that can still meet their targets, and the capacity that processes them.
struct Backlog {
    /// Waiting work of each queued job that can't meet its target, in ascending order, and the sum
    /// up to it, in thousandths of a core times milliseconds.
    off_target: Vec<(u64, u64)>,
    /// Processor capacity of the pool, in thousandths of a core.
    capacity: u64,
    /// Part of `capacity` that the offered load leaves free.
    spare: u64,
}

impl Backlog {
    /// Returns the total work of the jobs that go before a job with the waiting work `work`: those
    /// with at most as much.
    fn work_ahead_of(&self, jobs: &JobTable, work: u64) -> u64 {
        let off_target = self.off_target.partition_point(|(other, _)| *other <= work);
        let off_target = match off_target {
            0 => 0,
            count => self.off_target[count - 1].1,
        };
        jobs.waiting_work_up_to(work) - off_target
    }
}

impl Pool {
    /// Admits a job to the queue or rejects it.
    ///
    /// A resubmission of a job that is still queued or running joins that job; the earlier submission ends
    /// as superseded. Tasks of which a run of an ended submission is still being stopped wait for its end.
    pub fn submit(&mut self, now: Mono, session: Session, request: JobRequest) -> Vec<Action> {
        self.apply_elapsed_time(now);
        let id = request.job;
        let mut new_job = Job::new(now, session, request);
        let rejection = self.rejection(now, session, &new_job);
        let rejection = self.apply_caller_share(now, &new_job.request, rejection);
        self.record_arrival(now, &new_job.request, rejection.as_ref());
        if let Some(rejection) = rejection {
            self.actions.push(Action::End {
                peer: new_job.request.peer,
                submission: new_job.request.submission,
                job: id,
                end: rejection,
            });
            return self.take_actions();
        }
        // The caller lost its answer and resubmitted the job while it runs. The runs continue, and
        // the latest submission gets the answer.
        if let Some(mut job) = self.jobs.get_mut(&id) {
            let (peer, submission) = (job.request.peer, job.request.submission);
            job.request.peer = new_job.request.peer;
            job.request.submission = new_job.request.submission;
            job.session = session;
            self.actions.push(Action::End {
                peer,
                submission,
                job: id,
                end: JobEnd::Unknown(UnknownReason::Superseded),
            });
        } else {
            self.offered_load.record(now, new_job.request.work());
            for (executor, task) in self.executors.runs_of(id) {
                let executor = self.executors.get(executor);
                if let Some(run) = executor.and_then(|executor| executor.runs.get(&task)) {
                    new_job.block_task(task.index, run.number);
                }
            }
            match self.is_overloaded() {
                true => self.submit_overloaded(now, new_job),
                false => {
                    self.record_class_work(now, &new_job.request);
                    self.jobs.insert(id, new_job);
                    self.place_job(now, id);
                }
            }
        }
        self.take_actions()
    }

    /// Cancels a job on behalf of its entry host: it ends as not run if it has not started, otherwise as
    /// unknown. Does nothing if the submission has been superseded or the job has ended.
    pub fn cancel(
        &mut self,
        now: Mono,
        peer: PeerIncarnation,
        submission: SubmissionNumber,
        job: JobId,
        reason: UnknownReason,
    ) -> Vec<Action> {
        self.apply_elapsed_time(now);
        let is_current_submission = self.jobs.get(&job).is_some_and(|active| {
            active.request.peer == peer && active.request.submission == submission
        });
        if is_current_submission {
            let not_run = (NotRunReason::NoTime, self.retry_after(now));
            let end = self.end_of_dropped_job(job, not_run, reason);
            self.end_job(job, end);
        }
        self.take_actions()
    }

    /// Returns the memory of the jobs, and of the runs of ended jobs that are still to be stopped.
    fn memory(&self) -> Bytes {
        let dropped = self.executors.dropped_run_count() as u64;
        Bytes(self.jobs.memory().0 + dropped * JobRequest::TASK_BYTES)
    }

    fn rejection(&self, now: Mono, session: Session, job: &Job) -> Option<JobEnd> {
        let request = &job.request;
        let id = request.job;
        let is_known = self.jobs.contains_key(&id);
        let reject = |reason, unknown| {
            let not_run = (reason, self.retry_after(now));
            Some(self.end_of_dropped_job(id, not_run, unknown))
        };
        if !is_known && (self.has_stepped_down || self.is_closed()) {
            return reject(NotRunReason::NotOwner, UnknownReason::OwnerChanged);
        }
        match (self.is_in_session(now, session, request.peer), is_known) {
            (true, true) => return None,
            // The entry host may have given this submission up, so it must not replace the earlier one.
            (false, true) => return Some(JobEnd::Unknown(UnknownReason::PeerSilent)),
            (false, false) => return reject(NotRunReason::OldSession, UnknownReason::PeerSilent),
            (true, false) => {}
        }
        if self.zone_status != ZoneStatus::InService {
            return reject(NotRunReason::ZoneEvacuated, UnknownReason::ZoneEvacuated);
        }
        if self.has_runs_of(id) {
            return None;
        }
        let not_run = |reason| Some(JobEnd::NotRun(reason, self.retry_after(now)));
        if self.memory().0 + request.memory().0 > self.options.jobs_memory.0 {
            return not_run(NotRunReason::MemoryFull);
        }
        if !self.is_placeable(now, request) {
            return not_run(NotRunReason::NoExecutor);
        }
        // An overloaded pool refuses a job only after it has tried to begin it.
        if !self.is_overloaded() && !self.is_feasible(now, job) {
            return not_run(NotRunReason::NoTime);
        }
        None
    }

    /// Returns whether an entry host may submit jobs in a session: its current one, or any if it is this
    /// process.
    fn is_in_session(&self, now: Mono, session: Session, peer: PeerIncarnation) -> bool {
        let timeout = self.options.peer_timeout_ms;
        peer == self.own_incarnation || self.peers.is_current(now, peer, session, timeout)
    }

    /// Returns the end of a job that this pool rejects or gives up: not run for the reason and with the retry
    /// delay in `not_run` if [`Pool::is_unstarted`], otherwise unknown.
    pub(super) fn end_of_dropped_job(
        &self,
        job: JobId,
        not_run: (NotRunReason, Millis),
        unknown: UnknownReason,
    ) -> JobEnd {
        let (reason, retry_after) = not_run;
        match self.is_unstarted(job) {
            true => JobEnd::NotRun(reason, retry_after),
            false => JobEnd::Unknown(unknown),
        }
    }

    /// Returns whether a job has neither started nor runs of an earlier copy that are still being
    /// stopped.
    ///
    /// After "not run", another pool could start the same tasks while such runs still execute.
    fn is_unstarted(&self, job: JobId) -> bool {
        let has_started = self.jobs.get(&job).is_some_and(|job| job.has_started);
        !has_started && !self.has_runs_of(job)
    }

    /// Returns whether a job that arrives now can end while its answer is useful, given the jobs
    /// that go before it.
    ///
    /// The expected wait includes jobs that will be shed before their turn and may thus be too
    /// long. It suffices to reject jobs that would expire, but not jobs that would only miss their
    /// targets.
    fn is_feasible(&self, now: Mono, job: &Job) -> bool {
        let starts_at = now + self.expected_wait(now, &job.request);
        self.feasibility(starts_at, job) != Feasibility::Expired
    }

    /// Returns the backlog of jobs that can meet their targets; late jobs queue behind it. All jobs
    /// that can't meet their targets are among `maybe_late`.
    fn on_target_backlog(&self, now: Mono, maybe_late: &[(JobId, &Job)]) -> Backlog {
        let waiting = maybe_late.iter().filter(|(_, job)| job.waiting > 0);
        let is_off_target = |job: &Job| self.feasibility(now, job) != Feasibility::OnTarget;
        let off_target = waiting.filter(|(_, job)| is_off_target(job));
        let mut amounts: Vec<u64> = off_target.map(|(_, job)| job.waiting_work()).collect();
        amounts.sort_unstable();
        let mut sum = 0;
        let summed = amounts.into_iter().map(|amount| {
            sum += amount;
            (amount, sum)
        });
        let capacity = u64::from(self.usable_capacity(now).cpu_millis);
        Backlog {
            off_target: summed.collect(),
            capacity,
            spare: capacity.saturating_sub(self.offered_load.cpu_millis(now)),
        }
    }

    /// Returns whether a late job is shed because it can't start while its answer is useful.
    ///
    /// The backlog ahead of the job is processed by the part of the capacity that the offered load
    /// leaves free. An overloaded pool never starts its late jobs; a pool that was blocked only
    /// briefly does.
    fn is_shed(&self, now: Mono, job: &Job, backlog: &Backlog) -> bool {
        let useful_until = job.useful_until(self.options.late_factor);
        let start_by = Mono(useful_until.0.saturating_sub(job.estimate().0));
        let drained = backlog.spare * start_by.since(now).as_millis().0;
        let ahead =
            backlog.work_ahead_of(&self.jobs, job.waiting_work().saturating_mul(LATE_WEIGHT));
        ahead > drained.max(SHED_BACKLOG_MIN.0 * backlog.capacity)
    }

    pub(super) fn has_runs_of(&self, job: JobId) -> bool {
        self.executors.runs_of(job).next().is_some()
    }

    /// Returns how long a job would wait behind the jobs that go before it.
    ///
    /// The queue is ordered by work, so only jobs that have started and jobs with at most as much
    /// waiting work count. They are assumed to be processed by the whole pool.
    fn expected_wait(&self, now: Mono, request: &JobRequest) -> Micros {
        let ahead = self.jobs.work_ahead_of(request.work());
        let capacity = self.usable_capacity(now).cpu_millis;
        Micros(ahead * 1_000 / u64::from(capacity.max(1)))
    }

    pub(super) fn usable_capacity(&self, now: Mono) -> Resources {
        self.executors.usable_capacity(now, &self.options)
    }

    /// Returns the retry delay for a rejected caller: the time that the pool takes to process its
    /// queue, limited to [`RETRY_AFTER_MIN`] to [`RETRY_AFTER_MAX`].
    pub(super) fn retry_after(&self, now: Mono) -> Millis {
        let capacity = u64::from(self.usable_capacity(now).cpu_millis.max(1));
        Millis((self.jobs.waiting_work() / capacity).clamp(RETRY_AFTER_MIN.0, RETRY_AFTER_MAX.0))
    }

    /// Returns whether a usable executor can run the tasks of a job, now or once it has free resources.
    fn is_placeable(&self, now: Mono, request: &JobRequest) -> bool {
        let label = request.label.as_ref();
        self.executors
            .can_run(now, &self.options, &request.upstream, label, request.demand)
    }

    /// Sheds queued jobs that can't end while their answers are useful, and ends jobs whose callers no
    /// longer wait.
    ///
    /// If such jobs were kept until they expire, their callers would wait for three targets to get the same
    /// answer.
    pub(super) fn shed_late_jobs(&mut self, now: Mono) {
        if self.is_overloaded() {
            return self.shed_overloaded(now);
        }
        let mut maybe_late: Vec<(JobId, &Job)> = self.jobs.maybe_late(now).collect();
        if maybe_late.is_empty() {
            return;
        }
        maybe_late.sort_unstable_by_key(|(id, _)| *id);
        let backlog = self.on_target_backlog(now, &maybe_late);
        let retry_after = self.retry_after(now);
        let mut ends = Vec::new();
        for (id, job) in maybe_late {
            if now >= job.caller_deadline {
                ends.push((id, JobEnd::Unknown(UnknownReason::TimeOut)));
                continue;
            }
            let is_feasible = match self.feasibility(now, job) {
                Feasibility::OnTarget => true,
                Feasibility::Late => !self.is_shed(now, job, &backlog),
                Feasibility::Expired => false,
            };
            if !job.has_started && !is_feasible {
                let not_run = (NotRunReason::NoTime, retry_after);
                let end = self.end_of_dropped_job(id, not_run, UnknownReason::TimeOut);
                ends.push((id, end));
            }
        }
        for (id, end) in ends {
            let end = self.with_planned_return(now, id, end);
            self.end_job(id, end);
        }
    }
}
