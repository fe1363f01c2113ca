//! Work that the host triggers periodically by [`Pool::tick`]: time-outs of entry hosts and
//! executors, load shedding, and stopping of stuck runs.

use onyxshed_core::{Micros, Millis, Mono};

use super::Pool;
use crate::executor::{Executor, Run, RunState};
use crate::id::{ExecutorId, JobId, TaskId};
use crate::job::{JobEnd, UnknownReason};
use crate::message::{Action, Decision};
use crate::peers::ExpiredSession;

/// Time without a report after which an executor that is no longer listed is removed.
const FORGET_AFTER: Millis = Millis(10_000);

/// Maximum number of doublings of the limit for a stuck run; by then it exceeds every caller's deadline.
const STUCK_DOUBLINGS_MAX: u32 = 6;

impl Pool {
    /// Applies the time-outs that have passed, sheds late jobs and starts waiting tasks. The host
    /// calls this every few hundredths of a second; a gap of `pause_ms` counts as a pause of the
    /// process.
    pub fn tick(&mut self, now: Mono) -> Vec<Action> {
        self.apply_elapsed_time(now);
        let since_last_tick = now.since(self.last_tick_at);
        self.last_tick_at = now;
        self.update_full_speed_capacity(now);
        self.update_caller_limits(now);
        self.expire_evacuation_grace(now);
        self.end_stalled_jobs(now);
        self.observe_load(now, since_last_tick);
        self.update_forecast(now);
        self.shed_late_jobs(now);
        self.requeue_expired_runs(now);
        self.stop_stuck_runs(now);
        self.forget_unlisted_executors(now);
        self.place(now);
        self.update_running_totals(now);
        self.take_actions()
    }

    /// Applies the passage of time that must not be left to the next tick: a pause of this process, and
    /// sessions that have expired. Called before each event that can renew leases or start runs.
    pub(super) fn apply_elapsed_time(&mut self, now: Mono) {
        self.executors.advance_clock(now);
        self.detect_pause(now);
        self.expire_peers(now);
    }

    fn detect_pause(&mut self, now: Mono) {
        let paused_for = now.since(self.last_tick_at);
        if paused_for >= self.options.pause_ms.into() {
            self.last_tick_at = now;
            self.end_jobs_after_pause(now, paused_for);
        }
    }

    /// Ends every job of other entry hosts after a pause of this process, and the jobs of this host's own
    /// callers whose time is over.
    ///
    /// The entry hosts may have answered their callers during the pause, and resubmitted jobs may run
    /// elsewhere; starting their remaining tasks here would run them twice.
    fn end_jobs_after_pause(&mut self, now: Mono, paused_for: Micros) {
        let own = self.own_incarnation;
        let ended = self.jobs.iter().filter_map(|(id, job)| {
            let reason = match job.request.peer == own {
                false => UnknownReason::OwnerPaused,
                true if now >= job.caller_deadline => UnknownReason::TimeOut,
                true => return None,
            };
            Some((*id, reason))
        });
        let ended: Vec<(JobId, UnknownReason)> = ended.collect();
        self.log(Decision::Paused(paused_for, ended.len()));
        for (job, reason) in ended {
            self.end_job(job, JobEnd::Unknown(reason));
        }
        self.peers.end_all_sessions();
    }

    fn expire_peers(&mut self, now: Mono) {
        for ExpiredSession { peer, session } in self.peers.expire(now, self.options.peer_timeout_ms)
        {
            // Without this, the offer of a host that is gone would be kept for as long as this owner
            // serves the pool.
            if !self.peers.is_responsive(peer) {
                self.successor_selection.record_offer(now, peer, None);
            }
            let jobs: Vec<JobId> = self
                .jobs
                .iter()
                .filter(|(_, job)| job.request.peer == peer && job.session == session)
                .map(|(id, _)| *id)
                .collect();
            // Hosts without jobs here send heartbeats rarely, so their time-out is not logged.
            if !jobs.is_empty() {
                self.log(Decision::PeerUnresponsive(peer, jobs.len()));
            }
            for job in jobs {
                self.end_job(job, JobEnd::Unknown(UnknownReason::PeerSilent));
            }
        }
    }

    /// Requeues the tasks on unresponsive executors on which every lease has expired.
    fn requeue_expired_runs(&mut self, now: Mono) {
        let executors = self.executors.iter();
        let silent = executors
            .filter(|(_, executor)| executor.is_unresponsive && now >= executor.leases_expire_at);
        let silent: Vec<ExecutorId> = silent.map(|(id, _)| id.clone()).collect();
        let mut expired = Vec::new();
        for id in silent {
            let runs = self.executors.take_runs(&id).into_iter();
            expired.extend(runs.map(|(task, run)| (id.clone(), task, run.number)));
        }
        for (id, task, number) in expired {
            self.requeue_run(task, number, &id, "its lease ended in silence");
        }
    }

    /// Stops runs that take far longer than expected, so that their tasks run elsewhere.
    fn stop_stuck_runs(&mut self, now: Mono) {
        let mut stuck = Vec::new();
        for (id, executor) in self.executors.iter() {
            for (task, run) in &executor.runs {
                if self.is_stuck(now, executor, *task, run) {
                    stuck.push((id.clone(), *task));
                }
            }
        }
        for (id, task) in stuck {
            if let Some(mut job) = self.jobs.get_mut(&task.job) {
                job.tasks[usize::from(task.index)].stopped_runs += 1;
            }
            self.record_failure(now, &id);
            self.stop_run(&id, task);
        }
    }

    /// Returns whether a run takes so long that its executor must be the cause.
    ///
    /// Callers' estimates are far off, so the run time alone does not suffice: the executor must have
    /// completed no run since this one was ordered, and the limit doubles with each stopped run of the task.
    fn is_stuck(&self, now: Mono, executor: &Executor, task: TaskId, run: &Run) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        if executor.is_unresponsive || !matches!(run.state, RunState::Running { .. }) {
            return false;
        }
        let (log_ratio, completed) = job.log_ratio;
        let (factor_millis, expected) = match completed {
            0 => (self.options.stuck_millis, run.expected),
            _ => (
                self.options.stuck_known_millis,
                crate::speed::scaled(run.expected, log_ratio.exp()),
            ),
        };
        if executor.last_completed_at > run.ordered_at {
            return false;
        }
        let doublings = job.tasks[usize::from(task.index)]
            .stopped_runs
            .min(STUCK_DOUBLINGS_MAX);
        let limit = (expected.0 * factor_millis / 1_000) << doublings;
        now.since(run.ordered_at).0 > limit + Micros::from(self.options.stuck_slack_ms).0
    }

    fn forget_unlisted_executors(&mut self, now: Mono) {
        let unlisted: Vec<ExecutorId> = self
            .executors
            .iter()
            .filter(|(_, executor)| {
                executor.unlisted_at.is_some()
                    && (executor.is_unresponsive || executor.is_parked)
                    && executor.runs.is_empty()
                    && now.since(executor.last_report_at) > FORGET_AFTER.into()
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in unlisted {
            self.executors.remove(&id);
            self.log(Decision::ExecutorForgotten(id));
        }
    }
}
