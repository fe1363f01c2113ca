//! The state of overload of the pool, evaluated at each tick.

use onyxshed_core::{Micros, Mono};

use super::Pool;
use super::evacuation::ZoneStatus;
use super::place::Feasibility;
use crate::job::Job;
use crate::message::Decision;
use crate::overload::{OverloadMode, OverloadState};
use crate::overload_detector::{JobWait, LoadSample, TICK_PERIOD};
use crate::speed::as_f64;

impl Pool {
    /// Returns the state of overload by which the pool decides: always [`OverloadState::Normal`] unless
    /// [`crate::PoolOptions::overload`] is [`OverloadMode::On`].
    pub fn overload_state(&self) -> OverloadState {
        self.overload_state
    }

    /// Returns the state of overload that was detected, which has no effect in
    /// [`OverloadMode::Shadow`].
    pub fn detected_overload(&self) -> OverloadState {
        self.overload_detector.state()
    }

    /// Measures the load at a tick that comes `since_last_tick` after the one before, and enters the
    /// state that it shows.
    pub(super) fn observe_load(&mut self, now: Mono, since_last_tick: Micros) {
        if self.options.overload == OverloadMode::Off {
            return;
        }
        let sample = self.load_sample(now, since_last_tick);
        let Some(change) = self.overload_detector.observe(now, &sample) else {
            return;
        };
        self.log(Decision::OverloadChanged {
            from: change.from,
            to: change.to,
            sample: change.sample,
        });
        if self.options.overload == OverloadMode::On {
            self.enter_state(now, change.to);
        }
    }

    fn enter_state(&mut self, _now: Mono, state: OverloadState) {
        self.overload_state = state;
    }

    fn load_sample(&self, now: Mono, since_last_tick: Micros) -> LoadSample {
        let (room_cpu_millis, free_cpu_millis) = self.usable_room(now);
        let mut sample = LoadSample {
            offered_cpu_millis: self.offered_load.cpu_millis(now),
            room_cpu_millis,
            free_cpu_millis,
            tick_lateness: Micros(
                since_last_tick
                    .0
                    .saturating_sub(Micros::from(TICK_PERIOD).0),
            ),
            ..LoadSample::default()
        };
        for job in self.jobs.values() {
            let slack = self.slack_of(job);
            sample.least_slack = Some(sample.least_slack.map_or(slack, |least| least.min(slack)));
            if !job.has_started && self.feasibility(now, job) == Feasibility::OnTarget {
                let wait = JobWait {
                    waited: now.since(job.arrived_at),
                    slack,
                };
                sample.longest_wait = Some(match sample.longest_wait {
                    Some(other) if other.used_millis() >= wait.used_millis() => other,
                    _ => wait,
                });
            }
        }
        sample
    }

    /// Returns the time that a job can wait from its arrival without missing its target.
    fn slack_of(&self, job: &Job) -> Micros {
        let run_time_us = job.estimate().0 + Micros::from(self.options.transit_ms).0;
        Micros(job.target().0.saturating_sub(run_time_us))
    }

    /// Returns the capacity of the usable executors at the speeds seen, and the part of it on which no
    /// run was ordered, in thousandths of a core.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn usable_room(&self, now: Mono) -> (u64, u64) {
        if self.zone_status != ZoneStatus::InService {
            return (0, 0);
        }
        let (mut room, mut free) = (0.0, 0.0);
        for executor in self.executors.values() {
            let factor = executor.slowdown.factor(now);
            if executor.is_usable(now, &self.options) {
                room += as_f64(executor.facts.capacity.cpu_millis.into()) / factor;
            }
            if executor.can_accept_tasks(now, &self.options) {
                free += as_f64(executor.free.cpu_millis.into()) / factor;
            }
        }
        (room as u64, free as u64)
    }
}
