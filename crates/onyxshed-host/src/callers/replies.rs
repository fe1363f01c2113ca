//! Replies to callers, in the format that the platform specifies.

use onyxshed_adapter::job;
use onyxshed_core::Millis;
use onyxshed_http::Reply;
use onyxshed_pool::{JobEnd, NotRunReason, UnknownReason};

/// Returns a reply whose JSON body contains `reason`, with a retry-after header unless
/// `retry_after` is `None`.
pub fn rejection_reply(status: u16, reason: &str, retry_after: Option<Millis>) -> Reply {
    let reply = Reply::json(status, &job::reason_body(reason));
    match retry_after {
        Some(wait) => reply.retry_after_ms(wait.0),
        None => reply,
    }
}

/// Returns the reply to a job: status 200 if the job completed or failed, 503 if it was not run,
/// 504 if its outcome is unknown.
pub fn job_reply(end: &JobEnd) -> Reply {
    match end {
        JobEnd::Completed => Reply::json(200, &job::state_body("completed")),
        JobEnd::Failed => Reply::json(200, &job::state_body("failed")),
        JobEnd::NotRun(reason, retry_after) => {
            let wait = Millis(retry_after.0.max(1));
            rejection_reply(503, not_run_text(*reason), Some(wait))
        }
        JobEnd::Unknown(reason) => rejection_reply(504, unknown_text(*reason), None),
    }
}

/// Returns the text of a reply to a job that was not run.
pub fn not_run_text(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::NoTime => "not run: it could not end in time",
        NotRunReason::NoExecutor => "not run: no executor can run it",
        NotRunReason::NotOwner | NotRunReason::OldSession => "not run: no pool can be reached",
        NotRunReason::ZoneEvacuated => "not run: no zone is in service",
        NotRunReason::ClassShare => "not run: its class has used its share",
        NotRunReason::CallerShare => "not run: its caller has used its share",
        NotRunReason::HostOverloaded => "not run: this host is overloaded",
        NotRunReason::MemoryFull => "not run: the memory for jobs is full",
    }
}

fn unknown_text(reason: UnknownReason) -> &'static str {
    match reason {
        UnknownReason::OwnerChanged => "unknown: the pool's owner was lost",
        UnknownReason::OwnerPaused => "unknown: the pool's owner stood still",
        UnknownReason::PeerSilent => "unknown: the pool's owner did not hear this host",
        UnknownReason::TimeOut => "unknown: the time was over",
        UnknownReason::Cancelled => "unknown: the caller gave it up",
        UnknownReason::EntryStopped => "unknown: this host is stopping",
        UnknownReason::Superseded => "unknown: the caller sent it again",
        UnknownReason::ZoneEvacuated => "unknown: the zone is evacuated",
        UnknownReason::ExecutorsLost => "unknown: its executors were lost",
    }
}
