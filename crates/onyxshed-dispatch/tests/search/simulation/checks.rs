//! Invariants, checked against the executors' records.

use super::*;

impl Simulation {
    pub(super) fn apply_answer(&mut self, from: Incarnation, request: RequestId, answer: Answer) {
        let requester = self.requesters.remove(&(from, request));
        let requester =
            requester.unwrap_or_else(|| panic!("{}: answered twice", self.failure_context()));
        self.check_not_run(requester, &answer);
        match requester {
            Requester::Peer { from, request, id } => {
                self.messages.push(Message::ForwardAnswer {
                    to: from,
                    request,
                    id,
                    answer,
                });
            }
            Requester::Caller {
                id,
                copy,
                is_only_copy_in_progress,
            } => {
                self.check_answer(
                    id,
                    is_only_copy_in_progress && self.copies[&id] == copy,
                    &answer,
                );
            }
        }
    }

    /// Checks that no copy has started a task when a host first answers "not run"; relayed answers
    /// are not checked. Only the first copy may get "not run" while a later copy has run.
    pub(super) fn check_not_run(&self, requester: Requester, answer: &Answer) {
        let (id, is_first_of_several) = match requester {
            Requester::Peer { id, .. } => (id, false),
            Requester::Caller { id, copy, .. } => (id, copy == 1 && self.copies[&id] > 1),
        };
        let is_not_run = answer.outcome == Some(Outcome::NotRun);
        let has_started = self
            .executors
            .starts
            .keys()
            .any(|task| task.submission == id);
        let is_false = is_not_run && has_started && !is_first_of_several && !self.is_relaying;
        assert!(
            !is_false,
            "{}: {id} got \"not run\" after a start",
            self.failure_context()
        );
    }

    /// Checks that an answer names its submission and contains every result if it is complete, and
    /// no results if it is neither complete nor "not run". Records the submission if the answer is
    /// "not run" and `is_final`.
    pub(super) fn check_answer(&mut self, id: SubmissionId, is_final: bool, answer: &Answer) {
        self.trace.push(format!(
            "caller of {id} got {:?} {}",
            answer.code, answer.text
        ));
        let submission = &self.sent[&id];
        assert_eq!(
            answer.submission,
            Some(id),
            "{}: answer for another submission",
            self.failure_context()
        );
        match answer.outcome {
            Some(Outcome::Complete) => {
                let expected: Vec<Vec<u8>> = tasks_of(submission).map(result_of).collect();
                assert_eq!(
                    answer.results.as_ref(),
                    Some(&expected),
                    "{}",
                    self.failure_context()
                );
            }
            // "Not run" in the answer to the last copy, with no other copy in progress, applies to
            // every copy.
            Some(Outcome::NotRun) if is_final => {
                self.not_run.insert(id);
            }
            Some(Outcome::NotRun) => {}
            _ => assert!(
                answer.results.is_none(),
                "{}: partial answer",
                self.failure_context()
            ),
        }
    }

    /// Returns whether a copy of a submission still waits for its answer.
    pub(super) fn is_in_progress(&self, id: SubmissionId) -> bool {
        let is_waiting = self.requesters.values().any(|requester| match requester {
            Requester::Caller { id: found, .. } | Requester::Peer { id: found, .. } => *found == id,
        });
        let is_in_transit = self.messages.iter().any(|message| match message {
            Message::Forward {
                call: ForwardedCall::Submit(found),
                ..
            } => found.submission == id,
            _ => false,
        });
        is_waiting || is_in_transit
    }

    /// Checks that no task was started twice, and none of a submission whose final answer was "not
    /// run".
    pub(super) fn check(&self) {
        for (task, starts) in &self.executors.starts {
            assert!(
                starts.len() <= 1,
                "{}: {task} started by {starts:?}",
                self.failure_context()
            );
            let is_reported_not_run = self.not_run.contains(&task.submission);
            assert!(
                !is_reported_not_run,
                "{}: {task} started after \"not run\"",
                self.failure_context()
            );
        }
    }

    /// Returns the seed and the latest lines of the trace, for failure messages.
    pub(super) fn failure_context(&self) -> String {
        const TRACE_LINES: usize = 60;
        let tail = self.trace.len().saturating_sub(TRACE_LINES);
        format!("seed {}\n{}\n", self.seed, self.trace[tail..].join("\n"))
    }
}
