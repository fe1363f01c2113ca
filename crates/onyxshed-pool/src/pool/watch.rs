//! What the passing of time brings.

use onyxshed_core::{Micros, Millis, Mono};

use super::Pool;
use crate::executor::{Executor, Run, RunState};
use crate::id::{ExecutorId, JobId, TaskId};
use crate::job::{JobEnd, UnknownReason};
use crate::message::{Action, Decision};

/// Silence after which an executor that is no longer listed is forgotten.
const FORGET_AFTER: Millis = Millis(10_000);

/// Most times that the limit for a stuck run doubles; by then it is past any caller's deadline.
const STUCK_DOUBLINGS_MAX: u32 = 6;

impl Pool {
    /// Looks at everything that is due; called every few hundredths of a second.
    pub fn tick(&mut self, now: Mono) -> Vec<Action> {
        self.notice_pause(now);
        self.ticked_at = now;
        self.update_sound_room(now);
        self.drop_silent_peers(now);
        self.expire_evacuation_grace(now);
        self.end_stalled_jobs(now);
        self.shed_late_jobs(now);
        self.give_up_silent_runs(now);
        self.stop_stuck(now);
        self.forget_gone(now);
        self.place(now);
        self.take_actions()
    }

    /// Finds out, before anything else is done, whether this process stood still.
    pub(super) fn notice_pause(&mut self, now: Mono) {
        let stood_still = now.since(self.ticked_at);
        if stood_still >= self.options.pause_ms.into() {
            self.ticked_at = now;
            self.give_up_after_pause(stood_still);
        }
    }

    /// Gives up every job of another host after a standstill of this process.
    ///
    /// Their entry hosts may have answered meanwhile, and copies may be at work elsewhere; starting the rest
    /// of their tasks would run them twice. Jobs of this host's own callers end at their deadlines, which
    /// count the standstill.
    fn give_up_after_pause(&mut self, stood_still: Micros) {
        let jobs: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.request.peer != self.own)
            .map(|(id, _)| *id)
            .collect();
        self.log(Decision::Paused(stood_still, jobs.len()));
        for job in jobs {
            self.end_job(job, JobEnd::Unknown(UnknownReason::OwnerPaused));
        }
        self.peers.end_all();
    }

    fn drop_silent_peers(&mut self, now: Mono) {
        for peer in self.peers.fall_silent(now, self.options.peer_silence_ms) {
            // A host that is gone would be kept among the possible successors for as long as the pool is owned.
            self.successor_choice.heard(now, peer, None);
            let jobs: Vec<JobId> = self
                .jobs
                .iter()
                .filter(|(_, job)| job.request.peer == peer)
                .map(|(id, _)| *id)
                .collect();
            // One that has handed nothing over and is heard seldom is no news.
            if !jobs.is_empty() {
                self.log(Decision::PeerUnresponsive(peer, jobs.len()));
            }
            for job in jobs {
                self.end_job(job, JobEnd::Unknown(UnknownReason::PeerSilent));
            }
        }
    }

    /// Lets tasks of silent executors wait again once their leases have ended.
    fn give_up_silent_runs(&mut self, now: Mono) {
        let mut lapsed = Vec::new();
        for (id, executor) in &mut self.executors {
            if executor.is_silent && now >= executor.lapses_at && !executor.runs.is_empty() {
                let tasks: Vec<TaskId> = executor.runs.keys().copied().collect();
                for task in tasks {
                    if let Some(run) = executor.remove_run(task) {
                        lapsed.push((id.clone(), task, run.number));
                    }
                }
            }
        }
        for (id, task, number) in lapsed {
            self.requeue_run(task, number, &id, "its lease ended in silence");
        }
    }

    /// Stops runs that take far longer than they should, so that they run elsewhere.
    fn stop_stuck(&mut self, now: Mono) {
        let mut stuck = Vec::new();
        for (id, executor) in &self.executors {
            for (task, run) in &executor.runs {
                if self.is_stuck(now, executor, *task, run) {
                    stuck.push((id.clone(), *task));
                }
            }
        }
        for (id, task) in stuck {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.tasks[usize::from(task.index)].stuck += 1;
            }
            self.strike(now, &id);
            self.stop_run(&id, task);
        }
    }

    /// Tells whether a run takes so long that its executor is to blame.
    ///
    /// Callers' estimates are far off, so time alone is no proof: the executor must have ended nothing since
    /// the run began, and the limit doubles each time a run of the task was stopped.
    fn is_stuck(&self, now: Mono, executor: &Executor, task: TaskId, run: &Run) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        if executor.is_silent || !matches!(run.state, RunState::AtWork { .. }) {
            return false;
        }
        let (ratio, siblings) = job.ratio;
        let (most, expected) = match siblings {
            0 => (self.options.stuck_millis, run.expected),
            _ => (
                self.options.stuck_known_millis,
                crate::speed::scaled(run.expected, ratio.exp()),
            ),
        };
        if executor.done_at > run.ordered_at {
            return false;
        }
        let doublings = job.tasks[usize::from(task.index)]
            .stuck
            .min(STUCK_DOUBLINGS_MAX);
        let limit = (expected.0 * most / 1_000) << doublings;
        now.since(run.ordered_at).0 > limit + Micros::from(self.options.stuck_slack_ms).0
    }

    fn forget_gone(&mut self, now: Mono) {
        let gone: Vec<ExecutorId> = self
            .executors
            .iter()
            .filter(|(_, executor)| {
                executor.unlisted_at.is_some()
                    && (executor.is_silent || executor.is_parked)
                    && executor.runs.is_empty()
                    && now.since(executor.heard_at) > FORGET_AFTER.into()
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.executors.remove(&id);
            self.log(Decision::ExecutorForgotten(id));
        }
    }
}
