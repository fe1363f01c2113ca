//! Status queries for attempts that have been unanswered for longer than usual for their class.
//!
//! A network element between host and executor may drop the state of a connection, so that the
//! start or the answer is lost without an error. Without a query, the job would wait until its
//! final deadline and its outcome would be unknown. The query is sent over another connection and
//! has no side effects. While the task runs, the attempt keeps waiting. If the executor has not
//! seen the task, or the task has ended, the attempt is treated as lost: a stop fences the start,
//! so that the task may start again, or returns the result.

use onyxshed_core::{ClassName, Micros, Now};
use onyxshed_wire::upstream::TaskStatus;

use super::Dispatch;
use crate::input::AttemptReport;
use crate::output::{AttemptId, Output};

/// Delay before the first query, as a multiple of the 99th percentile of the service time of the
/// class.
const QUERY_DELAY_FACTOR: u64 = 2;

/// Minimum delay before the first query.
const QUERY_DELAY_MIN_US: Micros = Micros(100_000);

/// Delay before the first query if the class has no estimate of its service time.
const QUERY_DELAY_DEFAULT_US: Micros = Micros(1_000_000);

impl Dispatch {
    /// Returns the delay before the first query for a task of a class.
    pub(super) fn query_delay_us(&self, class: &ClassName) -> Micros {
        match self.policy.service_time_p99(class) {
            Some(service_time) => {
                Micros(service_time.0.saturating_mul(QUERY_DELAY_FACTOR)).max(QUERY_DELAY_MIN_US)
            }
            None => QUERY_DELAY_DEFAULT_US,
        }
    }

    /// Queries every attempt whose query is due; the interval to the next query doubles each time.
    pub(super) fn send_due_queries(&mut self, now: Now) {
        while let Some(&(at, id)) = self.queries.first() {
            if at > now.mono {
                return;
            }
            self.queries.pop_first();
            self.send_query(now, id);
        }
    }

    /// Schedules the next query of an attempt, and sends a query now unless a stop is under way.
    fn send_query(&mut self, now: Now, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.query_interval_us = Micros(attempt.query_interval_us.0.saturating_mul(2));
        attempt.query_at = now.mono + attempt.query_interval_us;
        self.queries.insert((attempt.query_at, id));
        if attempt.is_resolving {
            return;
        }
        let (task, executor) = (attempt.task, attempt.executor.clone());
        self.outputs.push(Output::Query {
            attempt: id,
            task,
            executor,
        });
    }

    /// Applies an executor's reply to a status query. Without a reply the attempt waits for the
    /// next query.
    pub(super) fn apply_task_status(
        &mut self,
        _now: Now,
        id: AttemptId,
        status: Option<TaskStatus>,
    ) {
        match status {
            None | Some(TaskStatus::Running) => {}
            Some(TaskStatus::NotSeen) => self.abandon_connection(id, "the start never arrived"),
            Some(TaskStatus::Ended(_)) => self.abandon_connection(id, "the answer never came"),
        }
    }

    /// Treats an attempt as lost and determines the task's state over another connection.
    fn abandon_connection(&mut self, id: AttemptId, detail: &'static str) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut attempt.is_resolving, true) {
            return;
        }
        let attempt = attempt.clone();
        self.resolve_lost_attempt(id, &attempt, &AttemptReport::lost(detail));
    }
}
