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

/// How often processes are asked.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Waits until every process has the revision in force, or `is_late` says that the time is up.
pub async fn wait_in_force(
    processes: &[ProcessAddress],
    revision: Revision,
    is_late: impl Fn() -> bool,
    progress: &Progress,
) -> Result<()> {
    loop {
        let asked = ask_status(processes, ASK_TIMEOUT).await;
        let lacking: Vec<String> = asked
            .iter()
            .filter(|asked| !has_revision(asked, revision))
            .map(describe)
            .collect();
        if lacking.is_empty() {
            return Ok(());
        }
        let waiting = lacking.join(", ");
        if is_late() {
            return Err(Error::NotInForce {
                revision,
                waiting: waiting.into(),
            });
        }
        let done = asked.len() - lacking.len();
        let all = asked.len();
        progress.set(format!(
            "{done} of {all} processes have revision {revision}; not yet {waiting}"
        ));
        Timer::after(POLL_PERIOD).await;
    }
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
