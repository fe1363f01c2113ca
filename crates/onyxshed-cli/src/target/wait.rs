//! Waits until a revision is in force in every process.

use std::time::Duration;

use async_io::Timer;
use onyxshed_core::Revision;
use onyxshed_settings::ProcessAddress;
use onyxshed_wire::admin::Status;

use crate::error::{Error, Result};
use crate::progress::Progress;
use crate::query::{ProcessReply, query_status};

/// How long a process may take to answer.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// How often processes are queried.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Waits until every process has the revision in force. Fails once `is_late` returns `true`.
pub async fn wait_in_force(
    processes: &[ProcessAddress],
    revision: Revision,
    is_late: impl Fn() -> bool,
    progress: &Progress,
) -> Result<()> {
    loop {
        let replies = query_status(processes, QUERY_TIMEOUT).await;
        let lagging_processes = lagging_processes(&replies, revision);
        if lagging_processes.is_empty() {
            return Ok(());
        }
        let (total, done) = (replies.len(), replies.len() - lagging_processes.len());
        let waiting = lagging_processes.join(", ");
        if is_late() {
            return Err(Error::NotInForce {
                revision,
                waiting: waiting.into(),
            });
        }
        progress.set(format!(
            "{done} of {total} processes have revision {revision}; not yet {waiting}"
        ));
        Timer::after(POLL_PERIOD).await;
    }
}

/// Describes every process that lacks the revision.
fn lagging_processes(replies: &[ProcessReply<Status>], revision: Revision) -> Vec<String> {
    let lagging_processes = replies
        .iter()
        .filter(|reply| !has_revision(reply, revision));
    lagging_processes.map(describe).collect()
}

fn has_revision(reply: &ProcessReply<Status>, revision: Revision) -> bool {
    let found = reply
        .answer
        .as_ref()
        .ok()
        .and_then(|status| status.config_revision);
    found.is_some_and(|found| found >= revision)
}

fn describe(reply: &ProcessReply<Status>) -> String {
    let name = &reply.process;
    match &reply.answer {
        Err(reason) => format!("{name} (no answer: {reason})"),
        Ok(status) => match status.config_revision {
            Some(revision) => format!("{name} (revision {revision})"),
            None => format!("{name} (none yet)"),
        },
    }
}
