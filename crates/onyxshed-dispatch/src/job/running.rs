//! Second stage of a job: this host may start its tasks.

use std::collections::BTreeSet;
use std::rc::Rc;

use onyxshed_core::{Outcome, ResultCode, TaskId};
use smol_str::SmolStr;

use super::JobHead;
use super::ended::EndedJob;
use crate::output::{AttemptId, RequestId};

/// Evidence on whether any task of a job has started.
///
/// A job may be reported as "not run" only while both fields are `false` and no attempt is in
/// flight.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StartEvidence {
    /// An executor reported that it ran a task.
    pub has_run: bool,
    /// An attempt was lost, so a task may have run.
    pub may_have_run: bool,
}

/// Job whose tasks may start, run and end on this host.
#[derive(Debug)]
pub struct RunningJob {
    /// Id, content, class and deadlines of the job.
    pub head: JobHead,
    /// Payload of each task, in order of their indexes.
    pub payloads: Vec<Rc<Vec<u8>>>,
    /// Requests that wait for the job's answer.
    pub waiters: Vec<RequestId>,
    /// Attempts that have not ended.
    pub attempts: BTreeSet<AttemptId>,
    /// Evidence on whether any task has started.
    pub evidence: StartEvidence,
    /// Whether this host has the claim to the submission; only a job that may run twice can run
    /// without a claim.
    pub is_claimed: bool,
    results: Vec<Option<Vec<u8>>>,
    missing_results: usize,
}

impl RunningJob {
    pub(super) fn new(
        head: JobHead,
        payloads: Vec<Rc<Vec<u8>>>,
        waiters: Vec<RequestId>,
        is_claimed: bool,
    ) -> Self {
        let missing = payloads.len();
        RunningJob {
            head,
            payloads,
            waiters,
            attempts: BTreeSet::new(),
            evidence: StartEvidence::default(),
            is_claimed,
            results: vec![None; missing],
            missing_results: missing,
        }
    }

    /// Returns the ids of the job's tasks.
    pub fn tasks(&self) -> impl Iterator<Item = TaskId> + use<> {
        let submission = self.head.id;
        let count = u16::try_from(self.payloads.len()).unwrap_or(u16::MAX);
        (0..count).map(move |index| TaskId { submission, index })
    }

    /// Returns whether the result of a task is stored.
    pub fn has_result(&self, index: u16) -> bool {
        self.results
            .get(usize::from(index))
            .is_some_and(Option::is_some)
    }

    /// Stores the result of a task; later results of the same task are ignored.
    pub fn record_result(&mut self, index: u16, result: Vec<u8>) {
        let Some(slot) = self.results.get_mut(usize::from(index)) else {
            return;
        };
        if slot.is_none() {
            *slot = Some(result);
            self.missing_results -= 1;
        }
    }

    /// Returns whether the results of all tasks are stored.
    pub fn is_complete(&self) -> bool {
        self.missing_results == 0
    }

    /// Returns whether it is proven that no task has started: there is no evidence of a start and
    /// no attempt is in flight.
    pub fn is_unstarted(&self) -> bool {
        !self.evidence.has_run && !self.evidence.may_have_run && self.attempts.is_empty()
    }

    /// Returns the code from `codes` for a job that is aborted now.
    ///
    /// `codes.unstarted` requires proof that no task has started, and `codes.started` that a task
    /// is known to have run. Otherwise the code is `codes.in_doubt`.
    pub fn abort_code(&self, codes: AbortCodes) -> ResultCode {
        let is_doubtful = self.evidence.may_have_run || !self.attempts.is_empty();
        match (self.evidence.has_run, is_doubtful) {
            (false, false) => codes.unstarted,
            (true, _) => codes.started,
            (false, true) => codes.in_doubt,
        }
    }

    /// Converts the job into an ended one, and returns it with the requests that wait for its
    /// answer. The results are kept only if `code` is [`ResultCode::Complete`].
    pub fn into_ended(self, code: ResultCode, detail: SmolStr) -> (EndedJob, Vec<RequestId>) {
        let is_complete = code.outcome() == Some(Outcome::Complete);
        let results = is_complete.then(|| self.results.into_iter().flatten().collect());
        let ended = EndedJob {
            content: self.head.content,
            class: self.head.class,
            code,
            detail,
            results,
        };
        (ended, self.waiters)
    }
}

/// Result codes for one reason to abort a job, depending on whether a task has started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AbortCodes {
    /// Code if it is proven that no task has started.
    pub unstarted: ResultCode,
    /// Code if a task is known to have run.
    pub started: ResultCode,
    /// Code if a task may have run, but is not known to have run.
    pub in_doubt: ResultCode,
}

impl AbortCodes {
    /// Codes for a job that the caller cancelled.
    pub const CANCELLED: AbortCodes = AbortCodes {
        unstarted: ResultCode::CancelledUnstarted,
        started: ResultCode::Cancelled,
        in_doubt: ResultCode::CancelledInDoubt,
    };

    /// Codes for a job whose time ran out.
    pub const TIMED_OUT: AbortCodes = AbortCodes {
        unstarted: ResultCode::ExpiredInQueue,
        started: ResultCode::DeadlinePassed,
        in_doubt: ResultCode::UpstreamSilent,
    };

    /// Codes for a job that is aborted because the host stops. A started job is not reported as
    /// failed, because the host exits before it knows whether the remaining tasks were stopped.
    pub const HOST_STOPPED: AbortCodes = AbortCodes {
        unstarted: ResultCode::Draining,
        started: ResultCode::StoppedInDoubt,
        in_doubt: ResultCode::StoppedInDoubt,
    };

    /// Returns the codes for a job that is aborted because one of its tasks ended with `code` and
    /// is not retried.
    pub fn for_task_end(code: ResultCode) -> AbortCodes {
        let is_not_run = code.outcome() == Some(Outcome::NotRun);
        AbortCodes {
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
