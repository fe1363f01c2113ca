//! The state machine run by the owner of a pool.
//!
//! [`admission`] admits jobs and sheds those that can't end in time, [`place`] orders the queue and
//! starts runs, [`fit`] selects the executor of a task, [`orders`] handles the answers to start and
//! stop orders, [`reports`] handles the executors' reports, [`progress`] moves runs off slow
//! executors, [`running_work`] sums up what runs, [`watch`] handles time-outs, [`overload`] evaluates the
//! state of overload, [`handover`] passes the pool to its next owner,
//! [`evacuation`] drains the pool when operators evacuate its zone, and [`stalled`] ends jobs that
//! have lost their executors. While the pool is overloaded, [`overloaded_admission`] and
//! [`overloaded_place`] decide in place of [`admission`] and [`place`], by what [`overloaded`] keeps, and
//! [`caller_limits`] applies the shares of callers and plans the returns of refused jobs.

mod admission;
mod caller_limits;
mod check;
mod evacuation;
mod fit;
mod handover;
mod orders;
mod overload;
mod overloaded;
mod overloaded_admission;
mod overloaded_place;
mod place;
mod progress;
mod reports;
mod running_work;
mod stalled;
mod watch;

use std::cell::Cell;
use std::collections::BTreeMap;

use onyxshed_core::{Micros, Millis, Mono};

use crate::admission_levels::ClassLevels;
use crate::class_estimates::ClassEstimates;
use crate::class_shares::ClassShares;
use crate::executor::{Executor, ExecutorFacts, IncarnationMatch, Phase};
use crate::executor_set::{AcceptingTotal, ExecutorSet};
use crate::id::{ExecutorId, FencingToken, JobId, PeerIncarnation, Session, TaskId};
use crate::job::{Job, JobEnd, NotRunReason, UnknownReason};
use crate::job_table::JobTable;
use crate::message::{Action, Decision, HoldOrder, StopOrder};
use crate::offered_load::OfferedLoad;
use crate::options::PoolOptions;
use crate::overload::OverloadState;
use crate::overload_detector::OverloadDetector;
use crate::peers::{Heartbeat, PeerSessions};
use crate::pool_selector::PoolLoad;
use crate::resources::Resources;
use crate::start_window::StartWindow;
use crate::successor::SuccessorSelection;
use caller_limits::CallerLimits;
use evacuation::ZoneStatus;
use handover::{HandoverStage, Predecessor};
use overloaded::OverloadPlan;
use running_work::RunningTotals;

/// State of a pool of executors and its queue, as known to its owner.
///
/// The owner's host passes events with their times to the methods and carries out the returned
/// actions in order.
pub struct Pool {
    options: PoolOptions,
    token: FencingToken,
    /// Incarnation of the entry host in this process. Its jobs need no session.
    own_incarnation: PeerIncarnation,
    executors: ExecutorSet,
    jobs: JobTable,
    offered_load: OfferedLoad,
    overload_detector: OverloadDetector,
    /// State of overload by which the pool decides.
    overload_state: OverloadState,
    /// Time by which the last tick was late; 0 if overload is not evaluated.
    tick_lateness: Micros,
    class_levels: ClassLevels,
    /// Number of the last load report.
    report_version: Cell<u64>,
    peers: PeerSessions,
    last_tick_at: Mono,
    start_window: StartWindow,
    stage: HandoverStage,
    zone_status: ZoneStatus,
    successor_selection: SuccessorSelection,
    /// Total capacity of the usable executors that are not slow, as of the last tick.
    full_speed_capacity: Resources,
    /// Whether the list of executors has been read, from the store or from the previous owner.
    has_read_executors: bool,
    /// Whether this owner has stepped down; after that, it sends no orders.
    has_stepped_down: bool,
    predecessor: Predecessor,
    /// Jobs whose tasks were requeued since the last placement.
    requeued: Vec<JobId>,
    /// For each stalled job, the time since which no usable executor can run its tasks.
    stalled_since: BTreeMap<JobId, Mono>,
    caller_limits: CallerLimits,
    /// Queues, commitments and forecasts while overload decisions take effect.
    plan: Option<Box<OverloadPlan>>,
    class_shares: ClassShares,
    class_estimates: ClassEstimates,
    running: RunningTotals,
    actions: Vec<Action>,
}

impl Pool {
    /// Creates the state of a new owner with the fencing token `token`, without executors or jobs.
    pub fn new(
        now: Mono,
        token: FencingToken,
        own_incarnation: PeerIncarnation,
        options: PoolOptions,
    ) -> Self {
        Pool {
            jobs: JobTable::new(&options),
            start_window: StartWindow::new(options.unanswered_starts_max),
            options,
            token,
            own_incarnation,
            executors: ExecutorSet::default(),
            offered_load: OfferedLoad::default(),
            overload_detector: OverloadDetector::default(),
            overload_state: OverloadState::Normal,
            tick_lateness: Micros(0),
            class_levels: ClassLevels::default(),
            report_version: Cell::new(0),
            peers: PeerSessions::new(token),
            last_tick_at: now,
            stage: HandoverStage::Serving,
            zone_status: ZoneStatus::InService,
            successor_selection: SuccessorSelection::default(),
            full_speed_capacity: Resources::default(),
            has_read_executors: false,
            has_stepped_down: false,
            predecessor: Predecessor::None,
            requeued: Vec::new(),
            stalled_since: BTreeMap::new(),
            caller_limits: CallerLimits::default(),
            plan: None,
            class_shares: ClassShares::default(),
            class_estimates: ClassEstimates::default(),
            running: RunningTotals::default(),
            actions: Vec::new(),
        }
    }

    /// Returns the fencing token of this owner, which all its orders contain.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Returns the number of jobs that are queued or running.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of known executors, usable or not.
    pub fn executor_count(&self) -> usize {
        self.executors.len()
    }

    /// Stops admitting jobs. A later submission joins its job if that still runs here, or ends as not run, or
    /// as unknown while runs of an earlier submission are being stopped.
    ///
    /// Jobs that have not started are returned as well, so that their entry hosts submit them to other
    /// pools. This owner completes the others.
    pub fn close(&mut self) -> Vec<Action> {
        self.stage = self.stage.max(HandoverStage::Closed);
        self.return_unstarted_jobs(NotRunReason::NotOwner, UnknownReason::OwnerChanged);
        self.take_actions()
    }

    /// Returns whether the pool has stopped admitting jobs.
    pub fn is_closed(&self) -> bool {
        self.stage >= HandoverStage::Closed
    }

    /// Records a heartbeat of an entry host and returns the actions and the session of its connection.
    pub fn record_peer_contact(
        &mut self,
        now: Mono,
        heartbeat: &Heartbeat,
    ) -> (Vec<Action>, Session) {
        self.apply_elapsed_time(now);
        self.successor_selection
            .record_offer(now, heartbeat.connection.peer, heartbeat.offer);
        let session = self.peers.record_contact(now, heartbeat);
        (self.take_actions(), session)
    }

    /// Records that the list of executors has been read, from the store or from the previous owner.
    pub fn mark_executors_read(&mut self) {
        self.has_read_executors = true;
    }

    /// Returns the load report of the pool for entry hosts.
    ///
    /// An owner that was cut off from the store before it read the list of executors reports that it
    /// needs to be replaced. It can't run any job, yet other hosts would leave the pool to it because it
    /// still answers.
    pub fn load(&self, now: Mono) -> PoolLoad {
        let is_in_service = self.zone_status == ZoneStatus::InService;
        let accepting = match is_in_service {
            true => self.executors.accepting(now, &self.options),
            false => AcceptingTotal::default(),
        };
        let waiting_work = self.jobs.waiting_work();
        PoolLoad {
            capacity_cpu_millis: accepting.capacity_cpu_millis,
            free_cpu_millis: accepting.free_cpu_millis,
            waiting_work,
            needs_replacement: self.stage >= HandoverStage::Draining || !self.has_read_executors,
            is_closed: self.is_closed(),
            successor: self.successor_selection.successor_address(),
            version: self.next_report_version(),
            running_work: self.running.work(now),
            speed_millis: self.running.speed_millis(),
            overload: self.overload_state,
            admissions: self
                .admissions(Millis(waiting_work / accepting.capacity_cpu_millis.max(1))),
            limited_callers: self.limited_callers(),
        }
    }

    /// Adds or updates an executor that the platform lists. Entries of past incarnations are ignored.
    pub fn record_listed_executor(
        &mut self,
        now: Mono,
        id: ExecutorId,
        facts: ExecutorFacts,
    ) -> Vec<Action> {
        self.apply_elapsed_time(now);
        if self.executors.contains_key(&id) {
            if self.update_listed_executor(now, &id, facts) == IncarnationMatch::Past {
                return self.take_actions();
            }
        } else if self.stage != HandoverStage::Releasing {
            // While releasing, an unknown executor was released to the next owner.
            self.add_executor(now, id.clone(), facts);
        }
        self.place_after_report(now, &id);
        self.take_actions()
    }

    /// Updates an executor unless the entry is of a past incarnation. Returns which incarnation the
    /// entry is of.
    fn update_listed_executor(
        &mut self,
        now: Mono,
        id: &ExecutorId,
        facts: ExecutorFacts,
    ) -> IncarnationMatch {
        let Some(mut executor) = self.executors.get_mut(id) else {
            return IncarnationMatch::Past;
        };
        let started_at = facts.started_at;
        let has_moved = started_at.is_none() && facts.address != executor.facts.address;
        let incarnation = executor.match_incarnation(started_at);
        if incarnation == IncarnationMatch::Past {
            return incarnation;
        }
        let has_restarted = incarnation == IncarnationMatch::New || has_moved;
        if has_restarted {
            executor.record_restart(now, started_at);
        }
        let starts_draining = facts.is_draining && !executor.facts.is_draining;
        executor.update_facts(facts);
        drop(executor);
        if has_restarted {
            self.log_restart(id);
        }
        if starts_draining {
            self.log(Decision::ExecutorDraining(id.clone()));
        }
        incarnation
    }

    fn add_executor(&mut self, now: Mono, id: ExecutorId, facts: ExecutorFacts) {
        let mut executor = Executor::new(now, facts);
        if self.predecessor.can_hold(&id) {
            executor.phase = Phase::Withheld;
            self.executors.insert(id, executor);
            return;
        }
        self.executors.insert(id.clone(), executor);
        self.send_hold(now, &id, Millis(0));
    }

    /// Records that the platform no longer lists an executor. It is still used for
    /// `unlisted_grace_ms` while it answers.
    pub fn record_unlisted_executor(&mut self, now: Mono, id: &ExecutorId) -> Vec<Action> {
        if let Some(mut executor) = self.executors.get_mut(id) {
            executor.unlisted_at.get_or_insert(now);
        }
        self.take_actions()
    }

    /// Gives up the pool: every job ends with an unknown outcome, and no further order is sent.
    pub fn step_down(&mut self) -> Vec<Action> {
        self.has_stepped_down = true;
        let jobs: Vec<JobId> = self.jobs.keys().copied().collect();
        for job in jobs {
            self.end_job(job, JobEnd::Unknown(UnknownReason::OwnerChanged));
        }
        self.actions
            .retain(|action| matches!(action, Action::End { .. } | Action::Log(_)));
        self.take_actions()
    }

    /// Handles an answer from another executor at the address of `id`: no run that was ordered from
    /// `id` executes any more, so the tasks are requeued.
    fn apply_replacement(&mut self, now: Mono, id: &ExecutorId) {
        let Some(mut executor) = self.executors.get_mut(id) else {
            return;
        };
        executor.record_restart(now, None);
        executor.phase = Phase::Acquiring;
        drop(executor);
        self.log_restart(id);
        let runs = self.executors.take_runs(id);
        for (task, run) in runs {
            self.requeue_run(
                task,
                run.number,
                id,
                "another executor answered at its address",
            );
        }
        self.place_after_report(now, id);
    }

    fn log_restart(&mut self, id: &ExecutorId) {
        let executor = self.executors.get(id);
        let is_listed = executor.is_some_and(Executor::has_current_facts);
        self.log(Decision::ExecutorRestarted {
            executor: id.clone(),
            is_listed,
        });
    }

    /// Requeues a task whose run is known not to execute any more, or never to have started. If the
    /// run is not the current run of the task, the task only stops being blocked by it.
    fn requeue_run(
        &mut self,
        task: TaskId,
        number: crate::id::RunNumber,
        id: &ExecutorId,
        reason: &'static str,
    ) {
        let Some(mut job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if !job.is_current_run(task.index, number, id) {
            drop(job);
            return self.unblock_task(task);
        }
        job.requeue_task(task.index);
        drop(job);
        self.requeued.push(task.job);
        self.actions.push(Action::Log(Decision::RunEnded {
            task,
            run: number,
            executor: id.clone(),
            reason,
        }));
    }

    /// Lets a blocked task start once no run of an earlier copy of its job is left.
    fn unblock_task(&mut self, task: TaskId) {
        let Some(mut job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let mut runs = self.executors.runs_of(task.job);
        if job.is_blocked(task.index) && runs.all(|(_, other)| other != task) {
            job.unblock_task(task.index);
            self.requeued.push(task.job);
        }
    }

    /// Ends a job: reports `end` to its entry host and stops the runs of the job.
    fn end_job(&mut self, id: JobId, end: JobEnd) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        self.record_shed(&job.request.class, &end);
        self.forget_job(id);
        if let JobEnd::Unknown(reason) = end
            && job.has_started
        {
            self.log_dropped(&job, reason);
        }
        self.actions.push(Action::End {
            peer: job.request.peer,
            submission: job.request.submission,
            job: id,
            end,
        });
        self.stop_runs_of(id);
    }

    fn log_dropped(&mut self, job: &Job, reason: UnknownReason) {
        let now = self.executors.clock();
        let request = &job.request;
        self.log(Decision::JobDropped {
            job: request.job,
            submitted_as: (request.peer, request.submission),
            reason,
            last_contact: self
                .peers
                .time_since_contact(now, request.peer, job.session),
        });
    }

    fn stop_runs_of(&mut self, job: JobId) {
        let runs = self.executors.runs_of(job);
        let runs: Vec<(ExecutorId, TaskId)> = runs.map(|(id, task)| (id.clone(), task)).collect();
        for (id, task) in runs {
            if self.executors.mark_dropped(&id, task) {
                self.stop_run(&id, task);
            }
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

    /// Sends a hold order, which requests the next report, after `pause`. If the executor is
    /// acquired, responsive and not idle, and has no run left to stop, the order also renews the leases of
    /// its runs.
    fn send_hold(&mut self, now: Mono, id: &ExecutorId, pause: Millis) {
        let token = self.token;
        let options = &self.options;
        let Some(mut executor) = self.executors.get_mut(id) else {
            return;
        };
        // An unresponsive executor gets no renewal: its leases must expire before its tasks can run
        // elsewhere.
        let is_renewed = executor.phase == Phase::Acquired && !executor.is_unresponsive;
        let is_idle = executor.runs.is_empty();
        let expires = match is_renewed && !is_idle && !executor.has_unstopped_run() {
            true => executor.grant_lease(now, options),
            false => None,
        };
        let wait = match (is_renewed, is_idle) {
            (true, true) => options.idle_wait_ms,
            (true, false) => options.hold_wait_ms,
            (false, _) => Millis(0),
        };
        let order = HoldOrder {
            expires,
            token,
            last_seen: executor.last_seen,
            wait,
            answer_within: match executor.phase {
                Phase::Acquired => options.report_timeout_ms,
                Phase::Acquiring | Phase::Withheld => options.first_report_timeout_ms,
            },
        };
        drop(executor);
        self.actions.push(Action::Hold(id.clone(), order, pause));
    }

    /// Ends every job of which no run was ordered, and returns the number of ended jobs. They end as not run,
    /// or as unknown while runs of an earlier copy are being stopped.
    fn return_unstarted_jobs(&mut self, reason: NotRunReason, unknown: UnknownReason) -> usize {
        let unstarted = self.jobs.iter().filter(|(_, job)| !job.has_started);
        let unstarted: Vec<JobId> = unstarted.map(|(id, _)| *id).collect();
        for job in &unstarted {
            let end = self.end_of_dropped_job(*job, (reason, Millis(0)), unknown);
            self.end_job(*job, end);
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
