//! Publishes a change: executes the steps that [`Proposal`] decides, within the command's time limit.

use std::time::Duration;

use async_io::Timer;
use onyxshed_core::{ChangeId, Millis, Revision};
use onyxshed_state::config::proposal::{Ready, Sent};
use onyxshed_state::config::{AppendStep, ProposalStatus};
use onyxshed_state::{AppendFailure, Proposal};
use onyxshed_wire::record::{ChangeBody, ConfigChange};
use serde::Serialize;
use smol_str::SmolStr;
use ulid::Ulid;

use super::log::ConfigLog;
use super::wait::wait_in_force;
use crate::args::Publish;
use crate::error::{Error, Result};
use crate::output::{Format, json};
use crate::progress::Progress;

/// How long one read waits for the change to appear on the log.
const READ_WAIT: Millis = Millis(500);

/// Pause between two calls to the log.
const RETRY_DELAY: Duration = Duration::from_millis(200);

#[derive(Serialize)]
struct PublishedChange {
    change_id: ChangeId,
    revision: Revision,
    is_in_force_everywhere: Option<bool>,
}

/// Whether a change is to be appended, looked for on the log, or is accepted.
enum NextStep {
    /// Append the change, possibly again.
    Append(Proposal<Ready>),
    /// The change may be on the log: read on.
    Read(Proposal<Sent>),
    /// The change is accepted and made this revision.
    Done(Revision),
}

/// The change being sent, and the log to which it is sent.
struct ChangeSender<'a> {
    log: &'a mut ConfigLog,
    change_id: ChangeId,
    /// Whether a copy of the change may be on the log or still reach it.
    may_be_sent: bool,
    progress: &'a Progress,
}

/// Publishes a change and, if processes to wait for are given, waits until it is in force in them.
pub async fn publish(publish: Publish, format: Format) -> Result<String> {
    let progress = Progress::new("the platform's log");
    let processes = publish.wait_for.len();
    let published = progress.during(publish_change(publish, &progress)).await?;
    Ok(match (format, &published) {
        (Format::Json, published) => json(published),
        (
            Format::Human,
            PublishedChange {
                change_id,
                revision,
                ..
            },
        ) => {
            let everywhere = match processes {
                0 => String::new(),
                count => format!(", in force in all {count} processes"),
            };
            format!("accepted as revision {revision} (change {change_id}){everywhere}\n")
        }
    })
}

async fn publish_change(publish: Publish, progress: &Progress) -> Result<PublishedChange> {
    let mut log = ConfigLog::new(publish.platform);
    log.read_all().await?;
    let change = prepare(&log, publish.body, publish.based_on)?;
    let change_id = change.change().change_id;
    let revision = send(&mut log, change, progress).await?;
    let should_wait = !publish.wait_for.is_empty();
    if should_wait {
        wait_in_force(&publish.wait_for, revision, || log.is_late(), progress).await?;
    }
    Ok(PublishedChange {
        change_id,
        revision,
        is_in_force_everywhere: should_wait.then_some(true),
    })
}

/// Prepares a change with a new id, based on `based_on` or, if that is `None`, on the revision that
/// `log` has read. Returns an error for a fault that can be detected before anything is sent.
pub fn prepare(
    log: &ConfigLog,
    body: ChangeBody,
    based_on: Option<Revision>,
) -> Result<Proposal<Ready>> {
    let change = ConfigChange {
        change_id: ChangeId(Ulid::generate()),
        based_on: based_on.unwrap_or(log.fold().folded_config().revision),
        body,
    };
    Ok(Proposal::prepare(change, log.fold())?)
}

/// Sends a change until its outcome is known or the time limit passes. Returns the revision that it
/// made.
pub async fn send(
    log: &mut ConfigLog,
    proposal: Proposal<Ready>,
    progress: &Progress,
) -> Result<Revision> {
    let mut sender = ChangeSender {
        log,
        change_id: proposal.change().change_id,
        may_be_sent: false,
        progress,
    };
    let mut next = NextStep::Append(proposal);
    loop {
        next = match next {
            NextStep::Append(proposal) => sender.append(proposal).await?,
            NextStep::Read(proposal) => sender.read(proposal).await?,
            NextStep::Done(revision) => return Ok(revision),
        };
    }
}

impl ChangeSender<'_> {
    async fn append(&mut self, proposal: Proposal<Ready>) -> Result<NextStep> {
        let append_result = self.log.append(proposal.record()).await;
        let result = append_result.as_ref().copied().map_err(append_failure);
        let step = proposal.apply_append_result(result);
        self.may_be_sent |= matches!(step, AppendStep::Sent(_));
        if let Err(error) = append_result {
            self.pause(&error).await?;
        }
        Ok(match step {
            AppendStep::Retry(proposal) => NextStep::Append(proposal),
            AppendStep::Sent(proposal) => NextStep::Read(proposal),
        })
    }

    async fn read(&mut self, proposal: Proposal<Sent>) -> Result<NextStep> {
        let end = match self.log.read_to_end(READ_WAIT).await {
            Ok(end) => end,
            Err(error) => {
                self.pause(&error).await?;
                return Ok(NextStep::Read(proposal));
            }
        };
        match proposal.resolve(self.log.fold(), end) {
            ProposalStatus::Accepted(revision) => Ok(NextStep::Done(revision)),
            ProposalStatus::Raced { based_on, found } => {
                Err(Error::ChangeRaced { based_on, found })
            }
            ProposalStatus::Invalid => Err(Error::ChangeInvalid {
                reason: SmolStr::new_static(
                    "the change violated a rule by the time it was read back",
                ),
            }),
            ProposalStatus::Repeat(_) | ProposalStatus::Undecided(_) if self.log.is_late() => {
                Err(self.undecided_error("it was not read back"))
            }
            ProposalStatus::Repeat(proposal) => Ok(NextStep::Append(proposal)),
            ProposalStatus::Undecided(proposal) => {
                // Without this pause, a log that ignores the requested wait would be read in a busy loop.
                Timer::after(RETRY_DELAY).await;
                Ok(NextStep::Read(proposal))
            }
        }
    }

    /// Waits after a failed call. Once the time limit has passed, fails with
    /// [`Error::ChangeUndecided`] if the change may be on the log, and with `error` otherwise.
    async fn pause(&mut self, error: &onyxshed_platform::Error) -> Result<()> {
        if self.log.is_late() {
            return Err(match self.may_be_sent {
                true => self.undecided_error(&error.to_string()),
                false => Error::Platform {
                    source: error.clone(),
                },
            });
        }
        self.progress.set(format!("the platform ({error})"));
        Timer::after(RETRY_DELAY).await;
        Ok(())
    }

    fn undecided_error(&self, reason: &str) -> Error {
        Error::ChangeUndecided {
            change_id: self.change_id,
            reason: reason.into(),
        }
    }
}

fn append_failure(error: &onyxshed_platform::Error) -> AppendFailure {
    match error.may_have_taken_effect() {
        true => AppendFailure::AnswerLost,
        false => AppendFailure::NotAppended,
    }
}
