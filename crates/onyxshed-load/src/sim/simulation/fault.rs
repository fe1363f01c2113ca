//! The faults of each scenario: their start, their end and their detection.

use onyxshed_core::ResultCode;
use onyxshed_policy::AttemptOutcome;

use super::parts::Event;
use super::{RACK, Simulation};
use crate::sim::executor::Health;
use crate::sim::scenario::Scenario;

/// Index of the executor that becomes faulty in scenarios with one faulty executor. It is of the
/// fastest kind, which receives the most work.
const FAULTY_EXECUTOR: usize = 2;
/// Index of the entry host that fails.
const FAILED_HOST: usize = 0;
/// Index of the class whose service times change. It has the least work, so that the load stays
/// within capacity.
const CHANGED_CLASS: usize = 0;
/// Index of the class whose tasks always fail.
const UNRUNNABLE_CLASS: usize = 2;
const HOST_LIST_LAG_US: u64 = 5_000_000;
const PEER_LAG_US: u64 = 2_000_000;
const CANCEL_INTERVAL_US: u64 = 2_000_000;
const REPEAT_DELAY_US: u64 = 50_000;

impl Simulation {
    pub(super) fn schedule_faults(&mut self) {
        let (on_us, off_us) = (self.span_us / 3, 2 * self.span_us / 3);
        self.schedule_at(on_us, Event::FaultStart);
        self.schedule_at(off_us, Event::FaultEnd);
        match self.scenario {
            Scenario::RackFails => {
                self.schedule_at(on_us + HOST_LIST_LAG_US, Event::FaultDetection)
            }
            Scenario::EntryHostFails => {
                self.schedule_at(on_us + PEER_LAG_US, Event::FaultDetection)
            }
            Scenario::CancelWave => self.schedule_at(on_us, Event::CancelWave),
            _ => {}
        }
    }

    pub(super) fn start_fault(&mut self) {
        self.is_fault_active = true;
        match self.scenario {
            Scenario::SlowExecutor => self.executors[FAULTY_EXECUTOR].health = Health::Slow,
            Scenario::FailingExecutor => self.executors[FAULTY_EXECUTOR].health = Health::Failing,
            Scenario::UnresponsiveExecutor => self.make_unresponsive(FAULTY_EXECUTOR),
            Scenario::RackFails | Scenario::PlatformDown => self.fail_rack(),
            Scenario::EntryHostFails => self.fail_host(),
            Scenario::HostsPartitioned => self.set_zone_hosts(1),
            _ => {}
        }
    }

    /// Ends the faults that are temporary. Executors and hosts that are down stay down.
    pub(super) fn end_fault(&mut self) {
        self.is_fault_active = false;
        match self.scenario {
            Scenario::SlowExecutor | Scenario::FailingExecutor | Scenario::UnresponsiveExecutor => {
                self.executors[FAULTY_EXECUTOR].health = Health::Healthy;
            }
            Scenario::HostsPartitioned => {
                let count = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
                self.set_zone_hosts(count);
            }
            _ => {}
        }
    }

    /// Applies the detection of a fault: by the host list for executors, by the peers for an entry
    /// host.
    pub(super) fn detect_fault(&mut self) {
        let now = self.now();
        match self.scenario {
            Scenario::RackFails => {
                let live = self.executor_infos[RACK..].to_vec();
                for host in &mut self.hosts {
                    host.policy.set_executors(now, &live);
                }
                (0..self.hosts.len()).for_each(|host| self.dispatch(host));
            }
            _ => {
                let live = self.hosts.iter().filter(|host| host.is_up).count();
                self.set_zone_hosts(u32::try_from(live).unwrap_or(u32::MAX));
            }
        }
    }

    fn set_zone_hosts(&mut self, zone_hosts: u32) {
        let now = self.now();
        for host in &mut self.hosts {
            host.policy.set_zone_hosts(now, zone_hosts);
        }
    }

    /// Makes an executor unresponsive: its running and queued attempts are never answered.
    fn make_unresponsive(&mut self, index: usize) {
        let executor = &mut self.executors[index];
        executor.health = Health::Unresponsive;
        executor.running.clear();
        executor.queue.clear();
    }

    /// Fails the executors of one rack. Their connections are reset, so their attempts are lost
    /// immediately.
    fn fail_rack(&mut self) {
        for index in 0..RACK.min(self.executors.len()) {
            let executor = &mut self.executors[index];
            executor.health = Health::Down;
            let mut lost = std::mem::take(&mut executor.running);
            lost.extend(executor.queue.drain(..));
            for attempt in lost {
                self.send_answer(attempt, AttemptOutcome::Lost);
            }
        }
    }

    /// Fails one entry host. The connections of its callers break: jobs whose tasks may run twice
    /// are sent again to another host, and the outcome of the others is unknown.
    fn fail_host(&mut self) {
        self.hosts[FAILED_HOST].is_up = false;
        for job in 0..self.jobs.len() {
            let state = &self.jobs[job];
            if !state.is_running || state.has_ended || state.host != FAILED_HOST {
                continue;
            }
            if self.mix.classes()[state.planned.class].may_run_twice {
                self.resubmit_job(job);
            } else {
                self.record_job_end(job, Some(ResultCode::HolderGone));
            }
        }
    }

    fn resubmit_job(&mut self, job: usize) {
        let state = &mut self.jobs[job];
        state.is_running = false;
        state.repeats += 1;
        state.remaining = state.done_tasks.len();
        state.done_tasks.fill(false);
        state.attempts.clear();
        self.wasted().repeats += 1;
        self.schedule_after(REPEAT_DELAY_US, Event::JobArrival { job });
    }

    /// Cancels every second job that is in flight, as its caller would.
    pub(super) fn cancel_jobs(&mut self) {
        for job in (0..self.jobs.len()).step_by(2) {
            let state = &mut self.jobs[job];
            if state.is_running && !state.has_ended {
                state.has_ended = true;
                self.withdraw_job(job);
            }
        }
        (0..self.hosts.len()).for_each(|host| self.dispatch(host));
        if self.is_fault_active {
            self.schedule_after(CANCEL_INTERVAL_US, Event::CancelWave);
        }
    }

    /// Returns the factor for the service times of a class: 10 for [`CHANGED_CLASS`] while the
    /// fault of [`Scenario::ServiceTimesShift`] is active, otherwise 1.
    pub(super) fn service_factor(&self, class: usize) -> f64 {
        const FACTOR: f64 = 10.0;
        let is_shifted = self.is_fault_active && self.scenario == Scenario::ServiceTimesShift;
        match is_shifted && class == CHANGED_CLASS {
            true => FACTOR,
            false => 1.0,
        }
    }

    /// Returns whether the tasks of a class currently fail on every executor.
    pub(super) fn is_unrunnable(&self, class: usize) -> bool {
        self.is_fault_active
            && self.scenario == Scenario::ClassUnrunnable
            && class == UNRUNNABLE_CLASS
    }
}
