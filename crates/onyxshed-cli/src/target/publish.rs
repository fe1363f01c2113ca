//! Publishes a change.
//!
//! A change counts as accepted only when it has been read back. After an append whose answer was
//! lost, the log is read to its end first: only if the change is not there is it appended again,
//! under the same id and based on the same revision, so that at most one copy takes effect.

use std::time::Duration;

use async_io::Timer;
use onyxshed_core::{ChangeId, Millis, Revision};
use onyxshed_wire::record::{ChangeBody, ConfigChange, ConfigRecord};
use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};
use ulid::Ulid;

use super::log::{ConfigLog, Fate};
use super::wait::wait_in_force;
use crate::args::Publish;
use crate::error::{Error, Result};
use crate::output::{Format, json};
use crate::progress::Progress;

/// How long one read waits for the change to show.
const READ_WAIT: Millis = Millis(500);

/// How long to wait before another try.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

#[derive(Serialize)]
struct Published {
    change_id: ChangeId,
    revision: Revision,
    is_in_force_everywhere: Option<bool>,
}

/// What to do next about a change.
enum Next {
    /// Append it (again).
    Append,
    /// It may be on the log: read on.
    Read,
    /// It is accepted.
    Done(Revision),
}

/// A change on its way.
struct Sending<'a> {
    log: &'a mut ConfigLog,
    change: ConfigChange,
    /// Whether a copy may be on its way or on the log.
    may_be_sent: bool,
    /// Whether the log has said that it took a copy: then it only has to be read.
    is_taken: bool,
    progress: Progress,
}

/// Publishes a change and waits until it is in force, if that is asked for.
pub async fn publish(publish: Publish, format: Format) -> Result<String> {
    let mut log = ConfigLog::new(publish.platform);
    log.read_all().await?;
    let change = prepare(&log, publish.body, publish.based_on)?;
    let change_id = change.change_id;
    let revision = send(&mut log, change).await?;
    let is_waiting = !publish.wait_for.is_empty();
    if is_waiting {
        wait_in_force(&publish.wait_for, revision, || log.is_late()).await?;
    }
    Ok(match format {
        Format::Json => json(&Published {
            change_id,
            revision,
            is_in_force_everywhere: is_waiting.then_some(true),
        }),
        Format::Human if is_waiting => format!(
            "accepted as revision {revision} (change {change_id}), in force in all {} processes\n",
            publish.wait_for.len()
        ),
        Format::Human => format!("accepted as revision {revision} (change {change_id})\n"),
    })
}

/// Tries to prepare a change: whatever can be refused is refused here, before anything is sent.
pub fn prepare(
    log: &ConfigLog,
    body: ChangeBody,
    based_on: Option<Revision>,
) -> Result<ConfigChange> {
    let config = log.fold().config();
    let invalid = |reason: SmolStr| Error::ChangeInvalid { reason };
    match &body {
        ChangeBody::Put(target) => target
            .check()
            .map_err(|error| invalid(format_smolstr!("{error}")))?,
        ChangeBody::Remove(class) if !config.classes.contains_key(class) => {
            return Err(invalid(format_smolstr!("there is no class {class}")));
        }
        ChangeBody::Remove(_) => {}
    }
    let found = config.revision;
    let based_on = based_on.unwrap_or(found);
    if based_on != found {
        return Err(Error::ChangeRaced { based_on, found });
    }
    Ok(ConfigChange {
        change_id: ChangeId(Ulid::generate()),
        based_on,
        body,
    })
}

/// Sends a change until its fate is known or the time is up; gets the revision that it made.
pub async fn send(log: &mut ConfigLog, change: ConfigChange) -> Result<Revision> {
    let mut sending = Sending {
        log,
        change,
        may_be_sent: false,
        is_taken: false,
        progress: Progress::start(),
    };
    let mut next = Next::Append;
    loop {
        next = match next {
            Next::Append => sending.append().await?,
            Next::Read => sending.read().await?,
            Next::Done(revision) => return Ok(revision),
        };
    }
}

impl Sending<'_> {
    async fn append(&mut self) -> Result<Next> {
        let record = ConfigRecord::ChangeV1(self.change.clone()).encode();
        match self.log.append(record).await {
            Ok(_) => {
                self.may_be_sent = true;
                self.is_taken = true;
                Ok(Next::Read)
            }
            Err(error) if error.may_have_taken_effect() => {
                self.may_be_sent = true;
                self.pause(&error).await?;
                Ok(Next::Read)
            }
            Err(error) => {
                self.pause(&error).await?;
                // A copy sent before may have shown up meanwhile: look before appending again.
                Ok(match self.may_be_sent {
                    true => Next::Read,
                    false => Next::Append,
                })
            }
        }
    }

    async fn read(&mut self) -> Result<Next> {
        let read = self.log.read_to_end(READ_WAIT).await;
        match (self.log.fate(self.change.change_id), read) {
            (Some(Fate::Accepted(revision)), _) => Ok(Next::Done(revision)),
            (Some(Fate::Raced(found)), _) => Err(Error::ChangeRaced {
                based_on: self.change.based_on,
                found,
            }),
            (Some(Fate::Ignored), _) => Err(Error::ChangeInvalid {
                reason: SmolStr::new_static("the log's readers ignore it"),
            }),
            (Some(Fate::Unjudged), _) => Err(self.undecided("the log has lost records")),
            (None, Err(Error::Platform { source })) => {
                self.pause(&source).await?;
                Ok(Next::Read)
            }
            (None, Err(error)) => Err(error),
            (None, Ok(_)) if self.log.is_late() => Err(self.undecided("it was not read back")),
            (None, Ok(_)) if self.is_taken => Ok(Next::Read),
            (None, Ok(_)) => Ok(Next::Append),
        }
    }

    /// Waits before another try; an error once the time is up.
    async fn pause(&mut self, error: &onyxshed_platform::Error) -> Result<()> {
        if self.log.is_late() {
            return Err(match self.may_be_sent {
                true => self.undecided(&error.to_string()),
                false => Error::Platform {
                    source: error.clone(),
                },
            });
        }
        self.progress.tell(|| format!("the platform: {error}"));
        Timer::after(RETRY_PAUSE).await;
        Ok(())
    }

    fn undecided(&self, reason: &str) -> Error {
        Error::ChangeUndecided {
            change_id: self.change.change_id,
            reason: reason.into(),
        }
    }
}
