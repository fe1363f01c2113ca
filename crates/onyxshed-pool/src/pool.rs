//! The state machine of a pool's owner.
//!
//! [`admission`] takes jobs in and refuses those that can't end in time, [`place`] starts runs,
//! [`fit`] says where,
//! [`orders`] takes in what came of orders, [`reports`] what executors say, [`progress`] how far
//! their runs are, [`watch`] what time brings, [`handover`] passes the pool on to its next owner,
//! [`evacuation`] empties it for operators, [`stalled`] ends jobs that lost their executors.

mod admission;
mod evacuation;
mod fit;
mod handover;
mod orders;
mod place;
mod progress;
mod reports;
mod stalled;
mod watch;

use std::collections::BTreeMap;

use onyxshed_core::{Millis, Mono};

use crate::executor::{Executor, ExecutorFacts, Executors, Life, Phase, RunState};
use crate::id::{ExecutorId, FencingToken, JobId, PeerIncarnation, Session, TaskId};
use crate::job::{Job, JobEnd, NotRunReason, UnknownReason};
use crate::message::{Action, Decision, HoldOrder, StopOrder};
use crate::offered_load::OfferedLoad;
use crate::options::PoolOptions;
use crate::peers::PeerSessions;
use crate::pool_selector::PoolLoad;
use crate::resources::Resources;
use crate::successor::{SuccessorChoice, SuccessorOffer};
use evacuation::ZoneStatus;
use handover::{Predecessor, Stage};

/// A pool and its owner's beliefs.
pub struct Pool {
    options: PoolOptions,
    token: FencingToken,
    /// The entry host of this very process, which is always heard.
    own: PeerIncarnation,
    executors: Executors,
    jobs: BTreeMap<JobId, Job>,
    offered: OfferedLoad,
    peers: PeerSessions,
    ticked_at: Mono,
    stage: Stage,
    zone_status: ZoneStatus,
    successor_choice: SuccessorChoice,
    /// Total room of the executors that are not slow, as of the last tick.
    sound_room: Resources,
    /// Whether it is known which executors there are.
    has_executors_read: bool,
    /// No order is sent any more.
    is_over: bool,
    predecessor: Predecessor,
    /// Jobs with tasks that lost their runs since the last look for places.
    requeued: Vec<JobId>,
    /// Since when no executor in use could run a job.
    stalled_since: BTreeMap<JobId, Mono>,
    actions: Vec<Action>,
}

impl Pool {
    /// Begins to own a pool.
    pub fn new(now: Mono, token: FencingToken, own: PeerIncarnation, options: PoolOptions) -> Self {
        Pool {
            options,
            token,
            own,
            executors: BTreeMap::new(),
            jobs: BTreeMap::new(),
            offered: OfferedLoad::default(),
            peers: PeerSessions::default(),
            ticked_at: now,
            stage: Stage::Serving,
            zone_status: ZoneStatus::InService,
            successor_choice: SuccessorChoice::default(),
            sound_room: Resources::default(),
            has_executors_read: false,
            is_over: false,
            predecessor: Predecessor::None,
            requeued: Vec::new(),
            stalled_since: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// Gets the token.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Gets how many jobs are under way.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Gets how many executors are known.
    pub fn executors(&self) -> usize {
        self.executors.len()
    }

    /// Takes no new job from now on.
    pub fn close(&mut self) {
        self.stage = self.stage.max(Stage::Closing);
    }

    /// Tells whether the pool takes no new job.
    pub fn is_closed(&self) -> bool {
        self.stage >= Stage::Closing
    }

    /// Notes that an entry host was heard, with what it offers, and gets its session.
    pub fn record_peer_contact(
        &mut self,
        now: Mono,
        life: PeerIncarnation,
        offer: Option<SuccessorOffer>,
    ) -> Session {
        self.successor_choice.heard(now, life, offer);
        self.peers.heard(now, life)
    }

    /// Notes that the list of executors was read, from the store or from the last owner.
    pub fn mark_executors_read(&mut self) {
        self.has_executors_read = true;
    }

    /// Sums up the pool for entry hosts.
    ///
    /// An owner that was cut off from the store before it read the executors' list asks to be replaced: it
    /// answers, so other hosts would leave it alone, and it can serve nobody.
    pub fn load(&self, now: Mono) -> PoolLoad {
        let is_in_service = self.zone_status == ZoneStatus::InService;
        let usable = self
            .executors
            .values()
            .filter(|executor| is_in_service && executor.takes_work(now, &self.options));
        let (mut capacity, mut free) = (0, 0);
        for executor in usable {
            capacity += u64::from(executor.facts.capacity.cpu_millis);
            free += u64::from(executor.free.cpu_millis);
        }
        PoolLoad {
            capacity_cpu_millis: capacity,
            free_cpu_millis: free,
            waiting_work: self.jobs.values().map(Job::waiting_work).sum(),
            needs_replacement: self.stage >= Stage::Leaving || !self.has_executors_read,
            is_closed: self.is_closed(),
            successor: self.successor_choice.successor_address(),
        }
    }

    /// Takes in an executor as the platform lists it.
    pub fn list_executor(
        &mut self,
        now: Mono,
        id: ExecutorId,
        facts: ExecutorFacts,
    ) -> Vec<Action> {
        match self.executors.get_mut(&id) {
            Some(executor) => {
                let born = facts.started_at;
                let is_moved = born.is_none() && facts.address != executor.facts.address;
                let life = executor.life_of(born);
                if life == Life::Past {
                    return self.take_actions();
                }
                let drains = facts.is_draining && !executor.facts.is_draining;
                executor.list(facts);
                if life == Life::New || is_moved {
                    executor.reborn(born);
                }
                if drains {
                    self.log(Decision::ExecutorDraining(id.clone()));
                }
            }
            // It is the next owner's by now.
            None if self.stage == Stage::Releasing => {}
            None => self.take_in(now, id.clone(), facts),
        }
        self.place_after_report(now, &id);
        self.take_actions()
    }

    fn take_in(&mut self, now: Mono, id: ExecutorId, facts: ExecutorFacts) {
        let mut executor = Executor::new(now, facts);
        if self.predecessor.may_hold(&id) {
            executor.phase = Phase::Withheld;
            self.executors.insert(id, executor);
            return;
        }
        self.executors.insert(id.clone(), executor);
        self.send_hold(now, &id, Millis(0));
    }

    /// Takes in that an executor is no longer listed.
    pub fn unlist_executor(&mut self, now: Mono, id: &ExecutorId) -> Vec<Action> {
        if let Some(executor) = self.executors.get_mut(id) {
            executor.unlisted_at.get_or_insert(now);
        }
        self.take_actions()
    }

    /// Gives up the pool: every job's fate is unknown, and no order is sent any more.
    pub fn step_down(&mut self) -> Vec<Action> {
        self.is_over = true;
        let jobs: Vec<JobId> = self.jobs.keys().copied().collect();
        for job in jobs {
            self.end_job(job, JobEnd::Unknown(UnknownReason::OwnerChanged));
        }
        self.actions
            .retain(|action| matches!(action, Action::End { .. } | Action::Log(_)));
        self.take_actions()
    }

    /// Takes in that another executor is at the address: nothing runs under the id any more.
    fn executor_replaced(&mut self, now: Mono, id: &ExecutorId) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        executor.reborn(None);
        executor.phase = Phase::Taking;
        let runs = executor.take_runs();
        for (task, run) in runs {
            self.requeue_run(task, run.number, id, "another executor is there");
        }
        self.place_after_report(now, id);
    }

    /// Lets a task wait again whose run is known not to be at work any more.
    fn requeue_run(
        &mut self,
        task: TaskId,
        number: crate::id::RunNumber,
        id: &ExecutorId,
        why: &'static str,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.awaits(task.index, number, id) {
            job.wait_again(task.index);
            self.requeued.push(task.job);
            self.actions.push(Action::Log(Decision::RunEnded {
                task,
                run: number,
                executor: id.clone(),
                reason: why,
            }));
        }
    }

    /// Ends a job, tells its entry host and stops what still runs of it.
    fn end_job(&mut self, id: JobId, end: JobEnd) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        self.actions.push(Action::End {
            peer: job.request.peer,
            submission: job.request.submission,
            job: id,
            end,
        });
        self.stop_runs_of(id);
    }

    fn stop_runs_of(&mut self, job: JobId) {
        let mut stops = Vec::new();
        for (id, executor) in &mut self.executors {
            for (task, run) in &mut executor.runs {
                if task.job == job && !matches!(run.state, RunState::Stopping { .. }) {
                    run.state = RunState::Stopping { taken: None };
                    stops.push((id.clone(), *task, run.number));
                }
            }
        }
        for (id, task, run) in stops {
            self.send_stop(&id, task, run);
        }
    }

    fn send_stop(&mut self, id: &ExecutorId, task: TaskId, run: crate::id::RunNumber) {
        self.actions.push(Action::Stop(
            id.clone(),
            StopOrder {
                task,
                run,
                token: self.token,
            },
        ));
    }

    /// Asks an executor for its next report.
    fn send_hold(&mut self, now: Mono, id: &ExecutorId, pause: Millis) {
        let token = self.token;
        let options = &self.options;
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        // One that does not answer gets no renewal: its leases have to end for its tasks to run
        // elsewhere.
        let is_renewed = executor.phase == Phase::Held && !executor.is_silent;
        let is_idle = executor.runs.is_empty();
        let expires = match is_renewed && !is_idle {
            true => executor.lease_end(now, options.lease_ms),
            false => None,
        };
        let wait = match (is_renewed, is_idle) {
            (true, true) => options.idle_wait_ms,
            (true, false) => options.hold_wait_ms,
            (false, _) => Millis(0),
        };
        if expires.is_some() {
            executor.lease_sent(now, options);
        }
        let order = HoldOrder {
            expires,
            token,
            last_seen: executor.last_seen,
            wait,
            answer_within: match executor.phase {
                Phase::Held => options.report_timeout_ms,
                Phase::Taking | Phase::Withheld => options.first_report_timeout_ms,
            },
        };
        self.actions.push(Action::Hold(id.clone(), order, pause));
    }

    /// Ends the jobs of which no task was started as not run, and gets how many these are.
    fn hand_back_unstarted(&mut self, reason: NotRunReason) -> usize {
        let unstarted = self.jobs.iter().filter(|(_, job)| !job.has_started);
        let unstarted: Vec<JobId> = unstarted.map(|(id, _)| *id).collect();
        for job in &unstarted {
            self.end_job(*job, JobEnd::NotRun(reason, Millis(0)));
        }
        unstarted.len()
    }

    fn log(&mut self, decision: Decision) {
        self.actions.push(Action::Log(decision));
    }

    fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
