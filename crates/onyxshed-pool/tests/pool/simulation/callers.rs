//! Entry hosts and their callers.

use onyxshed_core::{Millis, Mono};
use onyxshed_pool::{
    EntryDecision, Evacuations, JobEnd, JobId, JobRequest, LevelTable, NotRunReason, PoolId,
    SubmissionNumber, TaskId, UnknownReason,
};
use rand::RngExt;

use crate::fixture::heartbeat_of;

use super::{
    Event, HEARTBEAT, LINK_TIMEOUT, OwnerIndex, RESUBMIT_AFTER, SUBMISSIONS_MAX, Simulation,
};

fn pool_id() -> PoolId {
    PoolId {
        zone: "a".into(),
        index: 0,
    }
}

impl Simulation {
    pub(super) fn heartbeat(&mut self, index: usize) {
        let until = self.entries[index].paused_until;
        if self.now < until {
            return self.schedule_at(until, Event::Heartbeat(index));
        }
        for owner in 0..self.owners.len() {
            self.exchange_heartbeat(index, owner);
        }
        self.schedule_after(HEARTBEAT, Event::Heartbeat(index));
    }

    /// Exchanges a heartbeat between an entry host and an owner, if it is the current owner or one that still
    /// completes jobs while another takes over.
    pub(super) fn exchange_heartbeat(&mut self, index: usize, owner: OwnerIndex) {
        let is_current = owner == self.current_owner();
        let owner_state = &self.owners[owner];
        if !is_current && !owner_state.pool.is_releasing() {
            return;
        }
        let incarnation = self.entries[index].incarnation;
        let is_unreachable = owner_state.is_stopped || self.now < owner_state.paused_until;
        let last_contact = self.entries[index].last_contact.get(&owner);
        let last = last_contact.copied().unwrap_or(Mono(1_000_000));
        if !is_unreachable {
            let heartbeat = heartbeat_of(incarnation, 1, self.now);
            let pool = &mut self.owners[owner].pool;
            let (actions, session) = pool.record_peer_contact(self.now, &heartbeat);
            self.apply_actions(owner, actions);
            self.entries[index].last_contact.insert(owner, self.now);
            if is_current {
                self.entries[index].session = session;
                self.update_levels(index, owner);
            }
        } else if self.now.since(last) > LINK_TIMEOUT.into() {
            self.drop_link(index, owner);
        }
    }

    /// Drops the link of an entry host to an owner: the open jobs end with an unknown outcome.
    pub(super) fn drop_link(&mut self, entry: usize, owner: OwnerIndex) {
        let lost = JobEnd::Unknown(UnknownReason::OwnerChanged);
        let open: Vec<(JobId, SubmissionNumber)> = self
            .calls
            .iter()
            .filter(|(_, call)| call.is_open && call.entry == entry && call.owner == owner)
            .map(|(job, call)| (*job, call.submission))
            .collect();
        for (job, submission) in open {
            self.apply_end(entry, submission, job, lost);
        }
    }

    pub(super) fn submit_call(&mut self, job: JobId) {
        let owner = self.current_owner();
        let entry = self.rng.random_range(0..self.entries.len());
        self.last_submission += 1;
        let submission = SubmissionNumber(self.last_submission);
        let (incarnation, session) = (self.entries[entry].incarnation, self.entries[entry].session);
        let call = self.calls.get_mut(&job).expect("a known job");
        if call.ended.is_some() {
            return;
        }
        call.submissions += 1;
        call.entry = entry;
        call.owner = owner;
        call.submission = submission;
        call.is_open = true;
        if self.applies_levels && !self.is_let_through(entry, job) {
            let end = JobEnd::NotRun(NotRunReason::ClassShare, Millis(100));
            return self.apply_end(entry, submission, job, end);
        }
        let call = self.calls.get_mut(&job).expect("a known job");
        let request = JobRequest {
            peer: incarnation,
            submission,
            ..call.request.clone()
        };
        let time_left = request.time_left;
        let is_owner_stopped = self.owners[owner].is_stopped;
        if self.now < self.entries[entry].paused_until || is_owner_stopped {
            let end = JobEnd::Unknown(UnknownReason::TimeOut);
            return self.schedule_at(
                self.now + time_left,
                Event::Ended(entry, submission, job, end),
            );
        }
        // A paused owner does not process the submission.
        if self.now >= self.owners[owner].paused_until {
            self.owner_calls += 1;
            let actions = self.owners[owner].pool.submit(self.now, session, request);
            self.apply_actions(owner, actions);
        }
        let over = JobEnd::Unknown(UnknownReason::TimeOut);
        let late = Millis(time_left.0 + 20);
        self.schedule_after(late, Event::Ended(entry, submission, job, over));
    }

    /// Passes the load report of an answer of the current owner to an entry host.
    fn update_levels(&mut self, entry: usize, owner: OwnerIndex) {
        if !self.applies_levels || owner != self.current_owner() {
            return;
        }
        let load = self.owners[owner].pool.load(self.now);
        let pool = pool_id();
        self.entries[entry].levels.update(self.now, &pool, &load);
    }

    /// Passes to an owner the shares that entry hosts let through, as its host knows them.
    pub(super) fn share_let_through(&mut self, owner: OwnerIndex) {
        if self.applies_levels {
            let load = self.owners[owner].pool.load(self.now);
            let mut levels = LevelTable::default();
            levels.update(self.now, &pool_id(), &load);
            let none = Evacuations::default();
            let pool = &mut self.owners[owner].pool;
            pool.set_let_through(|class| levels.let_through(self.now, class, &none));
        }
    }

    fn is_let_through(&mut self, entry: usize, job: JobId) -> bool {
        let draw = self.rng.random();
        let class = &self.calls[&job].request.class;
        let levels = &self.entries[entry].levels;
        let decision = levels.decide(self.now, class, &Evacuations::default(), draw);
        decision == EntryDecision::Submit
    }

    pub(super) fn apply_end(
        &mut self,
        entry: usize,
        submission: SubmissionNumber,
        job: JobId,
        end: JobEnd,
    ) {
        let now = self.now;
        let until = self.entries[entry].paused_until;
        let call = self.calls.get_mut(&job).expect("a known job");
        if !call.is_open || call.submission != submission {
            return;
        }
        if now < until {
            return self.schedule_at(until, Event::Ended(entry, submission, job, end));
        }
        call.is_open = false;
        let owner = call.owner;
        if !matches!(end, JobEnd::Unknown(_)) {
            self.update_levels(entry, owner);
        }
        let call = self.calls.get_mut(&job).expect("a known job");
        let tasks = call.request.tasks;
        for index in 0..tasks {
            let task = TaskId { job, index };
            self.trace
                .push((now, task, format!("its caller gets {end:?}")));
        }
        let call = self.calls.get_mut(&job).expect("a known job");
        let is_returned = matches!(end, JobEnd::NotRun(NotRunReason::NotOwner, _));
        if is_returned && call.owner + 1 < self.owners.len() {
            // The entry host submits the job to the next owner.
            call.submissions -= 1;
            return self.schedule_after(Millis(1), Event::Submitted(job));
        }
        if matches!(end, JobEnd::Unknown(_)) {
            call.all_not_run = false;
            if call.submissions < SUBMISSIONS_MAX {
                return self.schedule_after(RESUBMIT_AFTER, Event::Submitted(job));
            }
        }
        call.ended = Some((now, end));
    }
}
