//! What must always hold, checked against the executors' own records.

use super::*;

impl World {
    pub(super) fn answered(&mut self, from: Incarnation, request: RequestId, answer: Answer) {
        let asker = self.askers.remove(&(from, request));
        let asker = asker.unwrap_or_else(|| panic!("{}: answered twice", self.story()));
        self.check_denial(asker, &answer);
        match asker {
            Asker::Peer { from, request, id } => {
                self.messages.push(Message::ForwardAnswer {
                    to: from,
                    request,
                    id,
                    answer,
                });
            }
            Asker::Caller { id, copy, is_alone } => {
                self.judge(id, is_alone && self.copies[&id] == copy, &answer);
            }
        }
    }

    /// Checks that "not run" is true when it is said, not when it is relayed: no copy has started a task by then. Only the
    /// first copy may be told so while one that was sent after it has run.
    pub(super) fn check_denial(&self, asker: Asker, answer: &Answer) {
        let (id, is_first_of_several) = match asker {
            Asker::Peer { id, .. } => (id, false),
            Asker::Caller { id, copy, .. } => (id, copy == 1 && self.copies[&id] > 1),
        };
        let is_denial = answer.outcome == Some(Outcome::NotRun);
        let has_started = self
            .executors
            .starts
            .keys()
            .any(|task| task.submission == id);
        let is_lie = is_denial && has_started && !is_first_of_several && !self.is_relaying;
        assert!(
            !is_lie,
            "{}: {id} was told \"not run\" after a start",
            self.story()
        );
    }

    /// Checks an answer that reached a caller.
    pub(super) fn judge(&mut self, id: SubmissionId, is_last_word: bool, answer: &Answer) {
        self.trace.push(format!(
            "caller of {id} got {:?} {}",
            answer.code, answer.text
        ));
        let submission = &self.sent[&id];
        assert_eq!(
            answer.submission,
            Some(id),
            "{}: foreign answer",
            self.story()
        );
        match answer.outcome {
            Some(Outcome::Complete) => {
                let wanted: Vec<Vec<u8>> = tasks_of(submission).map(result_of).collect();
                assert_eq!(answer.results.as_ref(), Some(&wanted), "{}", self.story());
            }
            // Said to the last copy, with no other under way meanwhile, it speaks of every copy.
            Some(Outcome::NotRun) if is_last_word => {
                self.not_run.insert(id);
            }
            Some(Outcome::NotRun) => {}
            _ => assert!(answer.results.is_none(), "{}: partial answer", self.story()),
        }
    }

    /// Tells whether another copy of a submission still waits for its answer.
    pub(super) fn is_under_way(&self, id: SubmissionId) -> bool {
        let is_asked = self.askers.values().any(|asker| match asker {
            Asker::Caller { id: found, .. } | Asker::Peer { id: found, .. } => *found == id,
        });
        let is_carried = self.messages.iter().any(|message| match message {
            Message::Forward {
                call: ForwardedCall::Submit(found),
                ..
            } => found.submission == id,
            _ => false,
        });
        is_asked || is_carried
    }

    /// Checks the executors' own records.
    pub(super) fn check(&self) {
        for (task, starts) in &self.executors.starts {
            assert!(
                starts.len() <= 1,
                "{}: {task} started by {starts:?}",
                self.story()
            );
            let is_denied = self.not_run.contains(&task.submission);
            assert!(
                !is_denied,
                "{}: {task} started behind \"not run\"",
                self.story()
            );
        }
    }

    /// Tells what led here.
    pub(super) fn story(&self) -> String {
        const LINES: usize = 60;
        let tail = self.trace.len().saturating_sub(LINES);
        format!("seed {}\n{}\n", self.seed, self.trace[tail..].join("\n"))
    }
}
