//! What an overloaded pool admits, refuses and gives up.
//!
//! A job begins on arrival if its turn has come and it has a place. Otherwise it waits if its class
//! leaves it enough of its slack, and is refused at once if not. A job that waits is refused when its
//! latest start passes. Jobs that can only be late are kept while nothing that can be on target
//! waits.

use onyxshed_core::{Micros, Millis, Mono};

use super::Pool;
use crate::id::JobId;
use crate::job::{Job, JobEnd, JobRequest, NotRunReason, UnknownReason};
use crate::message::Decision;
use crate::overload::OverloadMode;

/// Part of a job's slack, in thousandths, that it may have to wait behind its class. Estimates of run times
/// are off, so jobs that need the whole slack would often miss their targets.
const WAIT_MAX_MILLIS: u64 = 625;

/// What becomes of a job that has arrived and not begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Admission {
    Wait,
    WaitLate,
    Refuse(Refusal),
}

/// Why a job is refused, with what it needed and what there was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Refusal {
    reason: NotRunReason,
    wait: Millis,
    slack: Millis,
}

impl Pool {
    /// Admits a job that is not known yet, and refuses it if it does not begin and can't be on target
    /// behind what waits of its class.
    pub(super) fn submit_overloaded(&mut self, now: Mono, job: Job) {
        let id = job.request.job;
        let request = &job.request;
        let is_size_admitted =
            self.class_shares
                .record_offered(now, &request.class, request.priority, request.work());
        self.jobs.insert(id, job);
        self.queue_job(now, id);
        self.place_overloaded(now);
        self.begin_on_arrival(now, id);
        let admission = self.admission(now, id, is_size_admitted);
        if let Some(request) = self.jobs.get(&id).map(|job| job.request.clone()) {
            let is_admitted = !matches!(admission, Admission::Refuse(_));
            self.record_caller_arrival(now, &request, is_admitted);
        }
        match admission {
            Admission::Wait => {}
            Admission::WaitLate => self.keep_late(now, id),
            Admission::Refuse(refusal) => {
                if is_size_admitted {
                    self.record_excess(id);
                }
                self.refuse(now, id, refusal);
            }
        }
    }

    /// Records the work of a job that arrives before the pool is overloaded, so that the classes' parts of
    /// the room are known when it is.
    pub(super) fn record_class_work(&mut self, now: Mono, request: &JobRequest) {
        if self.options.overload == OverloadMode::On {
            let work = request.work();
            self.class_shares
                .record_offered(now, &request.class, request.priority, work);
        }
    }

    fn record_excess(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get(&id) {
            self.class_shares.record_excess(&job.request.class);
        }
    }

    fn admission(&self, now: Mono, id: JobId, is_size_admitted: bool) -> Admission {
        let Some(plan) = &self.plan else {
            return Admission::Wait;
        };
        let Some(queued) = plan.queues.get(id) else {
            return Admission::Wait;
        };
        if queued.latest_start < now {
            let is_alone = !plan.has_others_on_target(now);
            let slack = Millis(0);
            return match is_alone {
                true => Admission::WaitLate,
                false => Admission::Refuse(Refusal {
                    reason: NotRunReason::NoTime,
                    wait: slack,
                    slack,
                }),
            };
        }
        let slack = queued.latest_start.since(now).as_millis();
        let ahead = plan.queues.work(&queued.class).saturating_sub(queued.work);
        let wait = self.class_shares.expected_wait(now, &queued.class, ahead);
        let longest_wait = Millis(slack.0 * WAIT_MAX_MILLIS / 1_000);
        if is_size_admitted && wait <= longest_wait
            || self.has_runs_of(id)
            || self.has_free_places(now, id)
        {
            return Admission::Wait;
        }
        let least_wait = Millis(ahead / plan.room.max(1));
        Admission::Refuse(Refusal {
            reason: match least_wait > longest_wait {
                true => NotRunReason::NoTime,
                false => NotRunReason::ClassShare,
            },
            wait,
            slack,
        })
    }

    /// Refuses jobs whose latest start has passed, and ends jobs that can't be useful any more.
    pub(super) fn shed_overloaded(&mut self, now: Mono) {
        self.refuse_expired(now);
        self.refuse_late(now);
        while let Some(id) = self
            .plan
            .as_ref()
            .and_then(|plan| plan.commitments.next_given_up(now))
        {
            self.log_given_up(now, id);
            self.end_job(id, JobEnd::Unknown(UnknownReason::TimeOut));
            // Keeps the loop finite if the job was not known.
            self.forget_job(id);
        }
    }

    fn refuse_expired(&mut self, now: Mono) {
        while let Some(plan) = &self.plan
            && let Some(id) = plan.queues.next_expired(now)
        {
            match plan.has_others_on_target(now) {
                true => self.refuse_waiting(now, id),
                false => self.keep_late(now, id),
            }
        }
    }

    fn refuse_late(&mut self, now: Mono) {
        let Some(plan) = &self.plan else {
            return;
        };
        let has_on_target = plan.has_on_target();
        let late = plan.late.iter();
        let refused: Vec<JobId> = late
            .filter(|(_, latest_start)| has_on_target || **latest_start < now)
            .map(|(id, _)| *id)
            .collect();
        for id in refused {
            self.refuse_waiting(now, id);
        }
    }

    /// Keeps a job that can only be late while nothing that can be on target waits.
    fn keep_late(&mut self, now: Mono, id: JobId) {
        let (Some(plan), Some(job)) = (&self.plan, self.jobs.get(&id)) else {
            return;
        };
        let until = self
            .times_of(now, job)
            .latest_useful_start(plan.fast_factor);
        if let Some(plan) = &mut self.plan {
            plan.queues.remove(id);
            plan.late.insert(id, until);
        }
    }

    fn refuse_waiting(&mut self, now: Mono, id: JobId) {
        self.record_excess(id);
        let wait = self.jobs.get(&id).map(|job| now.since(job.arrived_at));
        let refusal = Refusal {
            reason: NotRunReason::NoTime,
            wait: wait.unwrap_or(Micros(0)).as_millis(),
            slack: Millis(0),
        };
        self.refuse(now, id, refusal);
        self.forget_job(id);
    }

    fn refuse(&mut self, now: Mono, id: JobId, refusal: Refusal) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let decision = Decision::JobRefused {
            job: id,
            class: job.request.class.clone(),
            reason: refusal.reason,
            wait: refusal.wait,
            slack: refusal.slack,
        };
        self.log(decision);
        let not_run = (refusal.reason, self.retry_after(now));
        let end = self.end_of_dropped_job(id, not_run, UnknownReason::TimeOut);
        let end = self.with_planned_return(now, id, end);
        self.end_job(id, end);
    }

    fn log_given_up(&mut self, now: Mono, id: JobId) {
        if let Some(job) = self.jobs.get(&id) {
            let decision = Decision::JobGivenUp {
                job: id,
                class: job.request.class.clone(),
                waiting_tasks: job.waiting,
                elapsed: now.since(job.arrived_at),
            };
            self.log(decision);
        }
    }
}
