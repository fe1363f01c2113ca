//! Selects the executor of a task, or decides that the task waits for a faster one.

use std::collections::BTreeMap;

use onyxshed_core::{ClassName, Micros, Mono, UpstreamName};

use super::Policy;
use crate::class::Class;
use crate::executor::Executor;
use crate::executor::breaker::{BreakerReason, Gate};
use crate::executor::sharing::StartConditions;
use crate::fleet::ExecutorKey;
use crate::placement::{Candidate, Choice};
use crate::queue::Ticket;
use crate::span::{as_us, to_micros};
use crate::upstream::{ScanScope, Upstream};

/// Number of candidates after which the search for an executor ends; the baseline placements search
/// all executors.
const CANDIDATES_MAX: usize = 48;

/// Result of the search for executors that can take a task.
enum CandidateSearch {
    Some(Vec<Candidate>),
    OnlyAvoided,
    None,
}

/// Whether one executor can take a task, and if so as which candidate.
enum Fit {
    Yes(Candidate),
    Avoided,
    No,
}

impl Policy {
    /// Selects an executor for a queued task, or returns why the task does not start now.
    pub(super) fn choose(&mut self, now: Mono, name: &UpstreamName, ticket: &Ticket) -> Choice {
        let candidates = match self.find_candidates(now, name, ticket) {
            CandidateSearch::None => return Choice::Full,
            CandidateSearch::OnlyAvoided => return Choice::Avoided,
            CandidateSearch::Some(candidates) => candidates,
        };
        match self.placement.choose(&candidates, &mut self.rng) {
            None => Choice::Full,
            Some(candidate) if self.should_wait_for_faster(now, name, ticket, &candidate) => {
                Choice::WaitForFaster
            }
            Some(candidate) => Choice::Take(candidate),
        }
    }

    /// Selects an executor for a hedge of a task that runs on `at`: another executor, and not one
    /// that would be probed. Returns `None` if no such executor has a free slot.
    pub(super) fn find_for_hedge(
        &mut self,
        now: Mono,
        running: &Ticket,
        at: ExecutorKey,
    ) -> Option<Candidate> {
        let class = self.classes.get(&running.work.class)?;
        let name = class.target.upstream.clone();
        let mut ticket = running.clone();
        ticket.failed_on.push(self.fleet.get(at)?.id);
        let scan = std::mem::replace(&mut self.upstreams.get_mut(&name)?.scan, ScanScope::All);
        let found = self.find_candidates(now, &name, &ticket);
        self.upstreams.get_mut(&name)?.scan = scan;
        let CandidateSearch::Some(mut candidates) = found else {
            return None;
        };
        candidates.retain(|candidate| !candidate.is_probe);
        self.placement.choose(&candidates, &mut self.rng)
    }

    fn find_candidates(
        &mut self,
        now: Mono,
        name: &UpstreamName,
        ticket: &Ticket,
    ) -> CandidateSearch {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return CandidateSearch::None;
        };
        let is_guarded = self.placement.kind().is_guarded();
        let keys = keys_to_scan(upstream, is_guarded);
        let conditions = self.start_conditions(now, name, ticket);
        let mut found: Vec<Candidate> = Vec::new();
        let mut has_avoided = false;
        for key in keys {
            match self.fit(now, name, ticket, key, conditions) {
                Fit::Yes(candidate) => found.push(candidate),
                Fit::Avoided => has_avoided = true,
                Fit::No => {}
            }
            if is_guarded && found.len() >= CANDIDATES_MAX {
                break;
            }
        }
        match (found.is_empty(), has_avoided) {
            (false, _) => CandidateSearch::Some(found),
            (true, true) => CandidateSearch::OnlyAvoided,
            (true, false) => CandidateSearch::None,
        }
    }

    /// Returns the conditions for a start that do not depend on the executor.
    pub(super) fn start_conditions(
        &self,
        now: Mono,
        name: &UpstreamName,
        ticket: &Ticket,
    ) -> StartConditions {
        let upstream = self.upstreams.get(name);
        let slowdown = upstream.map_or(1.0, |upstream| upstream.capacity.mean_slowdown());
        let class = self.classes.get(&ticket.work.class);
        let service_time_p99 = class.and_then(|class| class.service_time_p99(slowdown));
        let service_time_p99 = service_time_p99.unwrap_or(Micros(0));
        StartConditions {
            zone_hosts: self.zone_hosts,
            report_decay: upstream.map_or(Micros(0), Upstream::report_decay),
            has_time: now + Micros(service_time_p99.0.saturating_mul(2)) < ticket.work.deadline,
        }
    }

    /// Returns the executor as a candidate for the task, or whether the task must avoid it or it
    /// has no slot for the task now.
    fn fit(
        &self,
        now: Mono,
        name: &UpstreamName,
        ticket: &Ticket,
        key: ExecutorKey,
        conditions: StartConditions,
    ) -> Fit {
        let Some(executor) = self.fleet.get(key) else {
            return Fit::No;
        };
        let is_guarded = self.placement.kind().is_guarded();
        let gate = match is_guarded {
            true => guarded_gate(now, executor, conditions),
            false => baseline_gate(now, executor),
        };
        let is_probe = gate == Gate::Probe;
        if gate == Gate::Blocked || (is_probe && !self.can_probe(now, name, ticket, executor)) {
            return Fit::No;
        }
        // If at most one executor is usable, avoiding this one would prevent the task from being
        // the probe that determines whether the executor has recovered.
        let has_others = self
            .upstreams
            .get(name)
            .is_some_and(|u| u.capacity.usable > 1);
        let has_failed_here = ticket.last_failed_start == Some(key) && has_others;
        if has_failed_here || ticket.failed_on.contains(&executor.id) {
            return Fit::Avoided;
        }
        Fit::Yes(Candidate {
            key,
            in_flight: executor.in_flight,
            slots: executor.info.slots,
            slowdown: executor.slowdown(now),
            is_probe,
        })
    }

    /// Returns whether a task may probe the executor.
    ///
    /// A failed probe loses a task that may not run twice. Such a task is therefore used as a probe
    /// only while no class that may run twice has attempts in flight on the upstream. A slow
    /// executor is probed only with a task that can still meet its deadline there.
    fn can_probe(
        &self,
        now: Mono,
        name: &UpstreamName,
        ticket: &Ticket,
        executor: &Executor,
    ) -> bool {
        if !ticket.work.may_run_twice && has_repeatable_running(&self.classes, name) {
            return false;
        }
        let class = self.classes.get(&ticket.work.class);
        let (Some(class), Some(BreakerReason::Slow)) = (class, executor.breaker.reason()) else {
            return true;
        };
        let expected = class.median(executor.speed.recent_slowdown());
        now + expected <= ticket.work.deadline
    }

    /// Returns whether the task should wait for a faster executor.
    ///
    /// A slow executor costs the task the difference in service time. Waiting costs the task, and
    /// the tasks queued after it, the time that the faster executors need for the queue. The higher
    /// the utilization of the faster executors, the more later tasks are delayed by a wait; beyond
    /// their capacity, the slow executors are needed. The wait never exceeds the difference in
    /// service time. If only one of the two choices meets the deadline, that choice is made.
    fn should_wait_for_faster(
        &self,
        now: Mono,
        name: &UpstreamName,
        ticket: &Ticket,
        candidate: &Candidate,
    ) -> bool {
        if candidate.is_probe || !self.placement.kind().is_guarded() {
            return false;
        }
        let class = self.classes.get(&ticket.work.class);
        let median_us = class.and_then(|class| class.estimate.quantile_us(0.5));
        let upstream = self.upstreams.get(name);
        let (Some(median_us), Some(upstream)) = (median_us, upstream) else {
            return false;
        };
        let Some(faster) = upstream.capacity.faster_than(candidate.slowdown) else {
            return false;
        };
        let slot_free_us = upstream.mean_us() / faster.effective_slots;
        let fast_us = median_us * faster.slowdown;
        let slow_us = median_us * candidate.slowdown;
        let left_us = as_us(ticket.work.deadline.since(now));
        match (slow_us <= left_us, slot_free_us + fast_us <= left_us) {
            (true, false) => return false,
            (false, true) => return true,
            (true, true) | (false, false) => {}
        }
        let gain_us = slow_us - fast_us;
        let idle_share = 1.0 - upstream.offered_load.slots(now) / faster.effective_slots;
        let wait_us = (upstream.queue.len() + 1) as f64 * slot_free_us;
        let has_time = ticket.queued_at + to_micros(gain_us) > now;
        has_time && idle_share > 0.0 && wait_us / idle_share < gain_us
    }
}

/// Returns the executors to check, as selected by `upstream.scan`. If there are more than
/// `CANDIDATES_MAX`, the guarded placement starts at an offset that changes with every scan.
fn keys_to_scan(upstream: &mut Upstream, is_guarded: bool) -> Vec<ExecutorKey> {
    let mut keys = match &upstream.scan {
        ScanScope::All => upstream.members.clone(),
        ScanScope::Only(keys) => keys.clone(),
    };
    if is_guarded && keys.len() > CANDIDATES_MAX {
        upstream.scan_offset = (upstream.scan_offset + CANDIDATES_MAX) % keys.len();
        keys.rotate_left(upstream.scan_offset);
    } else {
        keys.sort_unstable();
    }
    keys
}

/// Returns the gate of an executor by its breaker, its limit and its share of slots.
fn guarded_gate(now: Mono, executor: &Executor, conditions: StartConditions) -> Gate {
    let gate = executor.gate(now);
    let has_free_slot = match gate {
        Gate::Work => executor.has_free_slot(now, conditions),
        // Tasks that were sent before the breaker opened may still be running there.
        Gate::Probe => executor.in_flight < executor.info.slots,
        Gate::Blocked => false,
    };
    if has_free_slot { gate } else { Gate::Blocked }
}

/// Returns the gate of an executor for the baseline placements, which consider only whether the
/// executor is schedulable and has a slot without an attempt of this host.
fn baseline_gate(now: Mono, executor: &Executor) -> Gate {
    let has_free_slot = executor.is_schedulable(now) && executor.in_flight < executor.info.slots;
    if has_free_slot {
        Gate::Work
    } else {
        Gate::Blocked
    }
}

/// Returns whether any class on the upstream has tasks running that may run twice.
fn has_repeatable_running(classes: &BTreeMap<ClassName, Class>, upstream: &UpstreamName) -> bool {
    classes.values().any(|class| {
        class.target.may_run_twice && class.in_flight > 0 && class.target.upstream == *upstream
    })
}
