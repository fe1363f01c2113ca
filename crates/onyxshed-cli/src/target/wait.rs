//! Waits until a revision is in force in every process.

use std::time::Duration;

use async_io::Timer;
use onyxshed_core::Revision;
use onyxshed_settings::ProcessAddress;
use onyxshed_wire::admin::Status;

use crate::ask::{Asked, ask_status};
use crate::error::{Error, Result};
use crate::progress::Progress;

/// How long a process may take to answer.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

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
        let asked = ask_status(processes, ASK_TIMEOUT).await;
        let lacking = lacking(&asked, revision);
        if lacking.is_empty() {
            return Ok(());
        }
        let (all, done) = (asked.len(), asked.len() - lacking.len());
        let waiting = lacking.join(", ");
        if is_late() {
            return Err(Error::NotInForce {
                revision,
                waiting: waiting.into(),
            });
        }
        progress.set(format!(
            "{done} of {all} processes have revision {revision}; not yet {waiting}"
        ));
        Timer::after(POLL_PERIOD).await;
    }
}

/// Describes every process that lacks the revision.
fn lacking(asked: &[Asked<Status>], revision: Revision) -> Vec<String> {
    let lacking = asked.iter().filter(|asked| !has_revision(asked, revision));
    lacking.map(describe).collect()
}

fn has_revision(asked: &Asked<Status>, revision: Revision) -> bool {
    let found = asked
        .answer
        .as_ref()
        .ok()
        .and_then(|status| status.config_revision);
    found.is_some_and(|found| found >= revision)
}

fn describe(asked: &Asked<Status>) -> String {
    let name = &asked.process;
    match &asked.answer {
        Err(reason) => format!("{name} (no answer: {reason})"),
        Ok(status) => match status.config_revision {
            Some(revision) => format!("{name} (revision {revision})"),
            None => format!("{name} (none yet)"),
        },
    }
}
