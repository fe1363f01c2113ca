//! Attempts that have had no answer for longer than their class usually takes.
//!
//! Failure guarded against: something between the two ends has forgotten the connection. The start
//! was swallowed, or the answer was, and nothing comes back. Symptom: the job waits out its whole
//! time and its outcome is unknown. The executor is asked over another connection, which changes
//! nothing there: a task that runs is waited for, one that it has not heard of is fenced off and may
//! start again, one that has ended hands over its result.

use onyxshed_core::{ClassName, Micros, Now};
use onyxshed_wire::upstream::TaskSighting;

use super::Dispatch;
use crate::input::AttemptReport;
use crate::output::{AttemptId, Output};

/// Silence before the first question, in times of what all but few tasks of the class stay within.
const SILENCE_FACTOR: u64 = 2;

/// Shortest silence before the first question.
const SILENCE_MIN: Micros = Micros(100_000);

/// Silence before the first question while nothing is known of the class.
const SILENCE_UNKNOWN: Micros = Micros(1_000_000);

impl Dispatch {
    /// Gets how long to wait before asking about a task of a class.
    pub(super) fn silence_of(&self, class: &ClassName) -> Micros {
        match self.policy.service_time_p99(class) {
            Some(usual) => Micros(usual.0.saturating_mul(SILENCE_FACTOR)).max(SILENCE_MIN),
            None => SILENCE_UNKNOWN,
        }
    }

    /// Asks about every attempt that has been silent for too long; each wait is twice the last.
    pub(super) fn ask_overdue(&mut self, now: Now) {
        while let Some(&(at, id)) = self.asks.first() {
            if at > now.mono {
                return;
            }
            self.asks.pop_first();
            self.ask(now, id);
        }
    }

    fn ask(&mut self, now: Now, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.ask_again_us = Micros(attempt.ask_again_us.0.saturating_mul(2));
        attempt.ask_at = now.mono + attempt.ask_again_us;
        self.asks.insert((attempt.ask_at, id));
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

    /// Takes in what an executor told of a silent task.
    pub(super) fn sighted(&mut self, _now: Now, id: AttemptId, sighting: Option<TaskSighting>) {
        match sighting {
            None | Some(TaskSighting::Running) => {}
            Some(TaskSighting::Unseen) => self.give_up_connection(id, "the start never arrived"),
            Some(TaskSighting::Ended(_)) => self.give_up_connection(id, "the answer never came"),
        }
    }

    /// Settles an attempt over another connection than the one that has gone silent.
    fn give_up_connection(&mut self, id: AttemptId, detail: &'static str) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut attempt.is_resolving, true) {
            return;
        }
        let attempt = attempt.clone();
        self.resolve(id, &attempt, &AttemptReport::lost(detail));
    }
}
