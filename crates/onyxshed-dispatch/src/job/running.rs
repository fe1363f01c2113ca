//! A job whose tasks may start, run and end on this host.

use std::collections::BTreeSet;
use std::rc::Rc;

use onyxshed_core::{Outcome, ResultCode, TaskId};
use smol_str::SmolStr;

use super::JobHead;
use super::ended::Ended;
use crate::output::{AttemptId, RequestId};

/// What is known of whether any task has started.
///
/// "Not run" may be said only while this holds nothing against it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Some executor told that it ran a task.
    pub has_run: bool,
    /// Some attempt was lost, so a task may have run.
    pub is_in_doubt: bool,
}

/// A job under way.
#[derive(Debug)]
pub struct Running {
    /// What stays the same.
    pub head: JobHead,
    /// One payload a task.
    pub payloads: Vec<Rc<Vec<u8>>>,
    /// Requests that wait for the answer.
    pub waiters: Vec<RequestId>,
    /// Attempts that have not ended.
    pub attempts: BTreeSet<AttemptId>,
    /// What is known of starts.
    pub evidence: Evidence,
    /// Whether it rests on a claim; one that may run twice can do without.
    pub is_claimed: bool,
    results: Vec<Option<Vec<u8>>>,
    missing: usize,
}

impl Running {
    pub(super) fn new(
        head: JobHead,
        payloads: Vec<Rc<Vec<u8>>>,
        waiters: Vec<RequestId>,
        is_claimed: bool,
    ) -> Self {
        let missing = payloads.len();
        Running {
            head,
            payloads,
            waiters,
            attempts: BTreeSet::new(),
            evidence: Evidence::default(),
            is_claimed,
            results: vec![None; missing],
            missing,
        }
    }

    /// Gets the ids of its tasks.
    pub fn tasks(&self) -> impl Iterator<Item = TaskId> + use<> {
        let submission = self.head.id;
        let count = u16::try_from(self.payloads.len()).unwrap_or(u16::MAX);
        (0..count).map(move |index| TaskId { submission, index })
    }

    /// Tells whether the task has its result.
    pub fn has_result(&self, index: u16) -> bool {
        self.results
            .get(usize::from(index))
            .is_some_and(Option::is_some)
    }

    /// Takes in a task's result; the first one counts.
    pub fn keep_result(&mut self, index: u16, result: Vec<u8>) {
        let Some(place) = self.results.get_mut(usize::from(index)) else {
            return;
        };
        if place.is_none() {
            *place = Some(result);
            self.missing -= 1;
        }
    }

    /// Tells whether every task has its result.
    pub fn is_complete(&self) -> bool {
        self.missing == 0
    }

    /// Tells whether it is proved that no task has started.
    pub fn is_unstarted(&self) -> bool {
        !self.evidence.has_run && !self.evidence.is_in_doubt && self.attempts.is_empty()
    }

    /// Gets the code that tells the truth when the job is given up for `reason`.
    ///
    /// A reason that says "not run" holds only while that is proved; one that says "failed" only if
    /// some task is known to have run.
    pub fn truthful(&self, reason: GiveUp) -> ResultCode {
        let is_doubtful = self.evidence.is_in_doubt || !self.attempts.is_empty();
        match (self.evidence.has_run, is_doubtful) {
            (false, false) => reason.unstarted,
            (true, _) => reason.started,
            (false, true) => reason.in_doubt,
        }
    }

    /// Ends the job and hands back the requests that wait for its answer.
    pub fn end(self, code: ResultCode, detail: SmolStr) -> (Ended, Vec<RequestId>) {
        let is_complete = code.outcome() == Some(Outcome::Complete);
        let results = is_complete.then(|| self.results.into_iter().flatten().collect());
        let ended = Ended {
            content: self.head.content,
            class: self.head.class,
            code,
            detail,
            results,
        };
        (ended, self.waiters)
    }
}

/// The three truths about one reason to give a job up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GiveUp {
    /// When it is proved that nothing started.
    pub unstarted: ResultCode,
    /// When some task is known to have run.
    pub started: ResultCode,
    /// When some task may have run.
    pub in_doubt: ResultCode,
}

impl GiveUp {
    /// The caller cancelled.
    pub const CANCELLED: GiveUp = GiveUp {
        unstarted: ResultCode::CancelledUnstarted,
        started: ResultCode::Cancelled,
        in_doubt: ResultCode::CancelledInDoubt,
    };

    /// Its time ran out.
    pub const OUT_OF_TIME: GiveUp = GiveUp {
        unstarted: ResultCode::ExpiredInQueue,
        started: ResultCode::DeadlinePassed,
        in_doubt: ResultCode::UpstreamSilent,
    };

    /// A task is over with this code.
    pub fn task(code: ResultCode) -> GiveUp {
        let is_not_run = code.outcome() == Some(Outcome::NotRun);
        GiveUp {
            unstarted: code,
            started: if is_not_run {
                ResultCode::PartlyRefused
            } else {
                code
            },
            in_doubt: if is_not_run {
                ResultCode::ConnectionLost
            } else {
                code
            },
        }
    }
}
