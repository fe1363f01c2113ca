//! Owners: their actions, and the answers to their orders.

use std::collections::{BTreeMap, BTreeSet};

use onyxshed_core::{Millis, Mono};
use onyxshed_pool::{
    Action, Decision, ExecutorFacts, ExecutorId, FencingToken, HoldAnswer, Pool, StartAnswer,
    StopAnswer,
};
use rand::RngExt;

use super::{
    Answer, Event, HANDOVER_MAX, LINK_TIMEOUT, Order, Owner, OwnerIndex, Simulation, TICK,
};

impl Simulation {
    pub(super) fn new_owner(&mut self) {
        self.add_owner(None);
    }

    /// Adds a new owner. `last` is the previous owner if it still answers; the new owner then waits
    /// for it to release its executors.
    pub(super) fn add_owner(&mut self, last: Option<OwnerIndex>) {
        self.token += 1;
        let token = FencingToken(self.token);
        let incarnation = self.new_incarnation();
        self.owners.push(Owner {
            pool: Pool::new(self.now, token, incarnation, self.options.clone()),
            paused_until: Mono(0),
            is_stopped: false,
            pending_orders: BTreeMap::new(),
        });
        let owner = self.current_owner();
        if let Some(last) = last {
            self.owners[owner].pool.await_predecessor();
            let over_at = self.now + HANDOVER_MAX;
            self.schedule_after(Millis(1), Event::ReleaseRequested(last, owner, over_at));
            // An entry host submits jobs on a link only after the owner has answered on it.
            for entry in 0..self.entries.len() {
                if self.now >= self.entries[entry].paused_until {
                    self.exchange_heartbeat(entry, owner);
                }
            }
        }
        let listed: Vec<(ExecutorId, ExecutorFacts)> = self
            .executors
            .keys()
            .map(|id| (id.clone(), self.entry_of(id)))
            .collect();
        for (id, facts) in listed {
            let actions = self.owners[owner]
                .pool
                .record_listed_executor(self.now, id, facts);
            self.apply_actions(owner, actions);
        }
        self.schedule_after(TICK, Event::Tick(owner));
    }

    pub(super) fn apply_actions(&mut self, owner: OwnerIndex, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id, order) => {
                    self.send_order(owner, id, Order::Start(order), Millis(0))
                }
                Action::Stop(id, order) => {
                    self.send_order(owner, id, Order::Stop(order), Millis(0))
                }
                Action::Hold(id, order, pause) => {
                    self.send_order(owner, id, Order::Hold(order), pause)
                }
                Action::End {
                    peer,
                    submission,
                    job,
                    end,
                } => {
                    let entry = self
                        .entries
                        .iter()
                        .position(|entry| entry.incarnation == peer);
                    if let Some(entry) = entry {
                        let transit = self.transit_time();
                        self.schedule_at(
                            self.now + transit,
                            Event::Ended(entry, submission, job, end),
                        );
                    }
                }
                Action::StepDown => self.owners[owner].is_stopped = true,
                Action::Log(Decision::RunEnded {
                    task,
                    run,
                    executor,
                    reason,
                }) => self.log(
                    task,
                    format!("{owner} has run {run} on {executor}: {reason}"),
                ),
                Action::Log(_) => {}
            }
        }
    }

    pub(super) fn send_order(
        &mut self,
        owner: OwnerIndex,
        id: ExecutorId,
        order: Order,
        pause: Millis,
    ) {
        self.last_order += 1;
        let number = self.last_order;
        let timeout = match &order {
            Order::Hold(hold) => Millis(pause.0 + hold.wait.0 + self.timeouts.report.0),
            _ => self.timeouts.order,
        };
        let sent_at = self.now + pause;
        match &order {
            Order::Start(order) => {
                self.check_kind(owner, &id, order);
                self.log(
                    order.task,
                    format!("{owner} orders run {} of {id}", order.run),
                );
            }
            Order::Stop(order) => self.log(
                order.task,
                format!("{owner} stops run {} on {id}", order.run),
            ),
            Order::Hold(_) => {}
        }
        self.owners[owner]
            .pending_orders
            .insert(number, (id.clone(), order.clone(), sent_at));
        self.schedule_after(timeout, Event::OrderTimedOut(owner, id.clone(), number));
        let transit = self.transit_time();
        let has_message_faults = self.now < self.message_faults.until;
        if has_message_faults && self.rng.random_bool(self.message_faults.late_share) {
            let late = Millis(self.rng.random_range(2_000..12_000));
            self.schedule_at(self.now + late, Event::OrderArrived(owner, id, order, 0));
            return;
        }
        let answered =
            !(has_message_faults && self.rng.random_bool(self.message_faults.lost_answer_share));
        let number = if answered { number } else { 0 };
        self.schedule_at(
            sent_at + transit,
            Event::OrderArrived(owner, id, order, number),
        );
    }

    pub(super) fn request_release(&mut self, last: OwnerIndex, next: OwnerIndex, over_at: Mono) {
        if self.defer_if_away(next, Event::ReleaseRequested(last, next, over_at)) {
            return;
        }
        if self.owners[last].is_stopped || self.now >= over_at {
            return self.apply_held_executors(last, next, over_at, BTreeSet::new());
        }
        if self.now < self.owners[last].paused_until {
            let gone = Event::HeldExecutors(last, next, over_at, BTreeSet::new());
            return self.schedule_after(LINK_TIMEOUT, gone);
        }
        let token = self.owners[next].pool.token();
        let (actions, held) = self.owners[last].pool.release(self.now, token);
        self.apply_actions(last, actions);
        let transit = self.transit_time();
        let held = held.into_iter().collect();
        self.schedule_at(
            self.now + transit,
            Event::HeldExecutors(last, next, over_at, held),
        );
        if self.owners[last].pool.job_count() == 0 {
            self.owners[last].is_stopped = true;
        }
    }

    pub(super) fn apply_held_executors(
        &mut self,
        last: OwnerIndex,
        next: OwnerIndex,
        over_at: Mono,
        held: BTreeSet<ExecutorId>,
    ) {
        if self.defer_if_away(
            next,
            Event::HeldExecutors(last, next, over_at, held.clone()),
        ) {
            return;
        }
        if !held.is_empty() {
            self.schedule_after(TICK, Event::ReleaseRequested(last, next, over_at));
        }
        let actions = self.owners[next]
            .pool
            .apply_predecessor_executors(self.now, held);
        self.apply_actions(next, actions);
    }

    /// Defers an event for a paused owner and drops it for a stopped owner. Returns whether it did
    /// either.
    pub(super) fn defer_if_away(&mut self, owner: OwnerIndex, event: Event) -> bool {
        if self.owners[owner].is_stopped {
            return true;
        }
        let until = self.owners[owner].paused_until;
        if self.now < until {
            self.schedule_at(until, event);
            return true;
        }
        false
    }

    pub(super) fn tick(&mut self, owner: OwnerIndex) {
        if self.defer_if_away(owner, Event::Tick(owner)) {
            return;
        }
        let actions = self.owners[owner].pool.tick(self.now);
        self.check_indexes(owner);
        self.apply_actions(owner, actions);
        self.share_let_through(owner);
        self.schedule_after(TICK, Event::Tick(owner));
    }

    /// Checks that every kept total and index of a pool agrees with a walk. Nothing rebuilds them, so
    /// a difference caused by an earlier event is still there.
    fn check_indexes(&self, owner: OwnerIndex) {
        if !self.checks_indexes {
            return;
        }
        let difference = self.owners[owner].pool.index_difference(self.now);
        assert_eq!(difference, None, "at {:?}", self.now);
    }

    pub(super) fn apply_answer(
        &mut self,
        owner: OwnerIndex,
        id: ExecutorId,
        number: u64,
        answer: Answer,
    ) {
        let event = Event::AnswerArrived(owner, id.clone(), number, answer.clone());
        if self.defer_if_away(owner, event) {
            return;
        }
        let Some((_, order, sent_at)) = self.owners[owner].pending_orders.remove(&number) else {
            return;
        };
        self.dispatch_answer(owner, &id, &order, sent_at, answer);
    }

    pub(super) fn time_out_order(&mut self, owner: OwnerIndex, id: ExecutorId, number: u64) {
        if self.defer_if_away(owner, Event::OrderTimedOut(owner, id.clone(), number)) {
            return;
        }
        let Some((_, order, sent_at)) = self.owners[owner].pending_orders.remove(&number) else {
            return;
        };
        let answer = match &order {
            Order::Start(_) => Answer::Start(StartAnswer::Unknown),
            Order::Stop(_) => Answer::Stop(StopAnswer::Unknown),
            Order::Hold(_) => Answer::Hold(HoldAnswer::Unknown),
        };
        self.dispatch_answer(owner, &id, &order, sent_at, answer);
    }

    pub(super) fn dispatch_answer(
        &mut self,
        owner: OwnerIndex,
        id: &ExecutorId,
        order: &Order,
        sent_at: Mono,
        answer: Answer,
    ) {
        let now = self.now;
        let pool = &mut self.owners[owner].pool;
        let actions = match (order, answer) {
            (Order::Start(order), Answer::Start(answer)) => {
                pool.apply_start_answer(now, id, order.task, order.run, &answer)
            }
            (Order::Stop(order), Answer::Stop(answer)) => {
                pool.apply_stop_answer(now, id, order.task, order.run, answer)
            }
            (Order::Hold(_), Answer::Hold(answer)) => {
                self.record_report(owner, id, &answer);
                let pool = &mut self.owners[owner].pool;
                pool.apply_hold_answer(now, id, sent_at, answer)
            }
            (order, answer) => panic!("unexpected answer {answer:?} to {order:?}"),
        };
        self.apply_actions(owner, actions);
    }
}
