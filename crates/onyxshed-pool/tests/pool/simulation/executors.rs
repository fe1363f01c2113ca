//! Executors: execution of orders, and the check that no task runs twice at a time.

use onyxshed_core::{Micros, Mono};
use onyxshed_pool::{
    ExecutorId, HoldAnswer, HoldOrder, JobEnd, RunEnd, RunNumber, StartAnswer, StartOrder, TaskId,
};

use super::{Answer, Event, Order, OwnerIndex, Simulation};

impl Simulation {
    pub(super) fn is_unreachable(&self, id: &ExecutorId) -> bool {
        let until = self.unreachable_until.get(id).copied().unwrap_or(Mono(0));
        self.now < until || !self.executors[id].is_up
    }

    pub(super) fn apply_order(
        &mut self,
        owner: OwnerIndex,
        id: ExecutorId,
        order: Order,
        number: u64,
    ) {
        if self.is_unreachable(&id) {
            return;
        }
        self.expire_leases(&id);
        match order {
            Order::Start(order) => {
                let answer = self.start(&id, &order);
                self.answer(owner, id, number, Answer::Start(answer));
            }
            Order::Stop(order) => {
                self.record_wasted_run(&id, order.task);
                let executor = self.executors.get_mut(&id).expect("a known executor");
                let answer = executor.stop(&order);
                self.answer(owner, id.clone(), number, Answer::Stop(answer));
                self.answer_pending_holds(&id);
            }
            Order::Hold(order) => self.hold(owner, id, &order, number),
        }
    }

    pub(super) fn start(&mut self, id: &ExecutorId, order: &StartOrder) -> StartAnswer {
        let now = self.now;
        let call = self.calls.get_mut(&order.task.job).expect("a known job");
        let demand = call.request.demand;
        let true_ms = call.true_ms[usize::from(order.task.index)];
        let executor = self.executors.get_mut(id).expect("a known executor");
        let work = Micros(true_ms * 1_000);
        let (answer, is_new) = executor.start(now, order, demand, work);
        if !is_new {
            return answer;
        }
        let call = self.calls.get_mut(&order.task.job).expect("a known job");
        call.started = true;
        if let Some((at, JobEnd::NotRun(..))) = call.ended {
            panic!(
                "{} starts at {now:?}, was \"not run\" at {at:?}",
                order.task
            );
        }
        self.log(order.task, format!("run {} starts on {id}", order.run));
        self.check_runs_nowhere_else(id, order.task);
        self.started_at.insert(order.task, now);
        self.schedule_run_end(id, order.task, order.run);
        let lease_expires_at = self.executors[id].lease_expires_at();
        self.schedule_at(lease_expires_at, Event::LeaseExpired(id.clone()));
        answer
    }

    /// Schedules the end of a run at the executor's current speed.
    pub(super) fn schedule_run_end(&mut self, id: &ExecutorId, task: TaskId, run: RunNumber) {
        let executor = &self.executors[id];
        let over = Event::RunEnded(id.clone(), task, run, executor.started_at_ms);
        if let Some(ends_at) = executor.ends_at(task) {
            self.schedule_at(ends_at.max(self.now + Micros(1)), over);
        }
    }

    /// Checks that a starting task executes on no other executor.
    pub(super) fn check_runs_nowhere_else(&self, executor_id: &ExecutorId, task: TaskId) {
        for (id, executor) in &self.executors {
            if id != executor_id && executor.is_up && executor.runs.contains_key(&task) {
                let is_expired = executor.is_lease_expired(self.now);
                let events: Vec<_> = self.trace.iter().filter(|row| row.1 == task).collect();
                assert!(
                    is_expired,
                    "{task} starts on {executor_id} at {:?} while it runs on {id}: {events:#?}",
                    self.now
                );
            }
        }
    }

    pub(super) fn hold(
        &mut self,
        owner: OwnerIndex,
        id: ExecutorId,
        order: &HoldOrder,
        number: u64,
    ) {
        let now = self.now;
        let executor = self.executors.get_mut(&id).expect("a known executor");
        if let Err(report) = executor.hold(now, order) {
            let answer = Answer::Hold(HoldAnswer::Report(report));
            return self.answer(owner, id, number, answer);
        }
        let lease_expires_at = executor.lease_expires_at();
        let has_ends = executor.has_ends();
        self.schedule_at(lease_expires_at, Event::LeaseExpired(id.clone()));
        if has_ends || order.wait.0 == 0 {
            self.report(owner, id, number);
        } else if number != 0 {
            self.pending_holds.insert((id.clone(), number), owner);
            self.schedule_after(order.wait, Event::HoldWaitOver(owner, id, number));
        }
    }

    pub(super) fn report(&mut self, owner: OwnerIndex, id: ExecutorId, number: u64) {
        if self.is_unreachable(&id) {
            return;
        }
        let report = self.executors[&id].report(self.now);
        self.answer(owner, id, number, Answer::Hold(HoldAnswer::Report(report)));
    }

    /// Answers the pending hold orders of an executor that has ended runs.
    pub(super) fn answer_pending_holds(&mut self, id: &ExecutorId) {
        if !self.executors[id].has_ends() {
            return;
        }
        let waiting: Vec<(u64, OwnerIndex)> = self
            .pending_holds
            .iter()
            .filter(|((at, _), _)| at == id)
            .map(|((_, number), owner)| (*number, *owner))
            .collect();
        for (number, owner) in waiting {
            self.pending_holds.remove(&(id.clone(), number));
            self.report(owner, id.clone(), number);
        }
    }

    pub(super) fn answer(
        &mut self,
        owner: OwnerIndex,
        id: ExecutorId,
        number: u64,
        answer: Answer,
    ) {
        if number != 0 && !self.is_unreachable(&id) {
            let transit = self.transit_time();
            self.schedule_at(
                self.now + transit,
                Event::AnswerArrived(owner, id, number, answer),
            );
        }
    }

    pub(super) fn end_run(
        &mut self,
        id: &ExecutorId,
        task: TaskId,
        number: RunNumber,
        started_at: u64,
    ) {
        self.expire_leases(id);
        let executor = self.executors.get_mut(id).expect("a known executor");
        let run = executor.runs.get(&task);
        if executor.started_at_ms != started_at || run.is_none_or(|run| run.number != number) {
            return;
        }
        // The executor has become slower since this event was scheduled.
        if executor.ends_at(task).is_none_or(|at| at > self.now) {
            return;
        }
        let end = match executor.fails_all {
            true => RunEnd::Failed,
            false => RunEnd::Done,
        };
        executor.end(task, end);
        self.answer_pending_holds(id);
    }

    pub(super) fn expire_leases(&mut self, id: &ExecutorId) {
        let now = self.now;
        let executor = &self.executors[id];
        if executor.runs.is_empty() || !executor.is_lease_expired(now) {
            return;
        }
        let tasks: Vec<TaskId> = executor.runs.keys().copied().collect();
        for task in tasks {
            self.record_wasted_run(id, task);
        }
        let executor = self.executors.get_mut(id).expect("a known executor");
        executor.stop_all_runs();
        self.answer_pending_holds(id);
    }

    pub(super) fn record_wasted_run(&mut self, id: &ExecutorId, task: TaskId) {
        if self.executors[id].runs.contains_key(&task)
            && let Some(since) = self.started_at.get(&task)
        {
            self.wasted_run_time.0 += self.now.since(*since).0;
        }
    }
}
