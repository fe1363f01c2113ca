//! What goes wrong, when, and when it is known.

use onyxshed_core::ResultCode;
use onyxshed_policy::AttemptOutcome;

use super::parts::Event;
use super::{RACK, World};
use crate::sim::executor::Health;
use crate::sim::scenario::Scenario;

/// The executor that goes wrong alone: one of the fastest kind, which draws most work.
const VICTIM: usize = 2;
/// The entry host that dies.
const DEAD_HOST: usize = 0;
/// The class whose service times change: the one with the least work, so that capacity holds.
const CHANGED_CLASS: usize = 0;
/// The class whose tasks never run.
const POISONED_CLASS: usize = 2;
const HOST_LIST_LAG_US: u64 = 5_000_000;
const PEER_LAG_US: u64 = 2_000_000;
const CANCEL_EVERY_US: u64 = 2_000_000;
const REPEAT_US: u64 = 50_000;

impl World {
    pub(super) fn schedule_faults(&mut self) {
        let (on_us, off_us) = (self.span_us / 3, 2 * self.span_us / 3);
        self.at(on_us, Event::FaultOn);
        self.at(off_us, Event::FaultOff);
        match self.scenario {
            Scenario::RackDies => self.at(on_us + HOST_LIST_LAG_US, Event::FaultKnown),
            Scenario::EntryDies => self.at(on_us + PEER_LAG_US, Event::FaultKnown),
            Scenario::CancelWave => self.at(on_us, Event::CancelWave),
            _ => {}
        }
    }

    pub(super) fn fault_on(&mut self) {
        self.fault_is_on = true;
        match self.scenario {
            Scenario::SlowExecutor => self.executors[VICTIM].health = Health::Slow,
            Scenario::FailingExecutor => self.executors[VICTIM].health = Health::Failing,
            Scenario::SilentExecutor => self.silence(VICTIM),
            Scenario::RackDies | Scenario::PlatformDown => self.kill_rack(),
            Scenario::EntryDies => self.kill_host(),
            Scenario::HostsCutOff => self.tell_sharers(1),
            _ => {}
        }
    }

    /// Undoes what heals by itself. Dead executors and hosts stay dead.
    pub(super) fn fault_off(&mut self) {
        self.fault_is_on = false;
        match self.scenario {
            Scenario::SlowExecutor | Scenario::FailingExecutor | Scenario::SilentExecutor => {
                self.executors[VICTIM].health = Health::Fine;
            }
            Scenario::HostsCutOff => {
                let count = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
                self.tell_sharers(count);
            }
            _ => {}
        }
    }

    /// The host list or the peers tell what happened.
    pub(super) fn fault_known(&mut self) {
        let now = self.now();
        match self.scenario {
            Scenario::RackDies => {
                let live = self.infos[RACK..].to_vec();
                for host in &mut self.hosts {
                    host.chooser.set_executors(now, &live);
                }
                (0..self.hosts.len()).for_each(|host| self.pump(host));
            }
            _ => {
                let live = self.hosts.iter().filter(|host| host.is_alive).count();
                self.tell_sharers(u32::try_from(live).unwrap_or(u32::MAX));
            }
        }
    }

    fn tell_sharers(&mut self, sharers: u32) {
        let now = self.now();
        for host in &mut self.hosts {
            host.chooser.set_sharers(now, sharers);
        }
    }

    /// What runs or waits on the executor is never answered.
    fn silence(&mut self, place: usize) {
        let executor = &mut self.executors[place];
        executor.health = Health::Silent;
        executor.running.clear();
        executor.queue.clear();
    }

    /// Connections to dead executors are reset, so what ran there is lost at once.
    fn kill_rack(&mut self) {
        for place in 0..RACK.min(self.executors.len()) {
            let executor = &mut self.executors[place];
            executor.health = Health::Dead;
            let mut lost = std::mem::take(&mut executor.running);
            lost.extend(executor.queue.drain(..));
            for attempt in lost {
                self.reply(attempt, AttemptOutcome::Lost);
            }
        }
    }

    /// Callers of the dead host see their connections break. What may run twice is sent again to
    /// another host; of the rest the outcome is unknown.
    fn kill_host(&mut self) {
        self.hosts[DEAD_HOST].is_alive = false;
        for job in 0..self.jobs.len() {
            let held = &self.jobs[job];
            if !held.is_running || held.is_over || held.host != DEAD_HOST {
                continue;
            }
            if self.mix.classes()[held.planned.class].may_run_twice {
                self.send_again(job);
            } else {
                self.record(job, Some(ResultCode::HolderGone));
            }
        }
    }

    fn send_again(&mut self, job: usize) {
        let again = &mut self.jobs[job];
        again.is_running = false;
        again.tries += 1;
        again.left = again.done.len();
        again.done.fill(false);
        again.attempts.clear();
        self.wasted().repeats += 1;
        self.after(REPEAT_US, Event::Arrive { job });
    }

    /// Every second job in flight is cancelled by its caller.
    pub(super) fn cancel_wave(&mut self) {
        for job in (0..self.jobs.len()).step_by(2) {
            let held = &mut self.jobs[job];
            if held.is_running && !held.is_over {
                held.is_over = true;
                self.abandon(job);
            }
        }
        (0..self.hosts.len()).for_each(|host| self.pump(host));
        if self.fault_is_on {
            self.after(CANCEL_EVERY_US, Event::CancelWave);
        }
    }

    /// Gets by what a class's service times are multiplied just now.
    pub(super) fn service_factor(&self, class: usize) -> f64 {
        const WRONG_BY: f64 = 10.0;
        let is_wrong = self.fault_is_on && self.scenario == Scenario::TimesWrong;
        match is_wrong && class == CHANGED_CLASS {
            true => WRONG_BY,
            false => 1.0,
        }
    }

    /// Tells whether a class's tasks fail wherever they run.
    pub(super) fn is_poisoned(&self, class: usize) -> bool {
        self.fault_is_on && self.scenario == Scenario::NeverRuns && class == POISONED_CLASS
    }
}
