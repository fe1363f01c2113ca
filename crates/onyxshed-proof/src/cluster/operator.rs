//! Actions of operators: publishing class targets with the command line, and reading the log.

use std::process::{Child, Command, Stdio};
use std::time::Instant;

use http_types::Method;
use onyxshed_core::{ChangeId, ClassTarget, Revision};
use onyxshed_state::ConfigFold;
use onyxshed_wire::platform::{CONFIG_STREAM, Page, records_path};
use onyxshed_wire::record::{ChangeBody, ConfigChange, ConfigRecord};
use smol_str::{SmolStr, format_smolstr};
use snafu::ResultExt;
use ulid::Ulid;

use crate::error::{Error, Result, SystemSnafu};
use crate::process::find_binary;
use crate::remote::{WAIT_TIMEOUT, call, get, pause};

use super::Cluster;

/// The exit code and output of an `onyxshed` command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandOutput {
    /// The exit code, `None` if a signal ended the command.
    pub code: Option<i32>,
    /// The standard output, followed by the standard error.
    pub text: SmolStr,
}

impl Cluster {
    /// Runs `onyxshed target put` and waits until it exits. The change is based on the revision
    /// `based_on`, or on the current revision of the log if that is `None`.
    pub async fn put_target(
        &self,
        target: &ClassTarget,
        based_on: Option<Revision>,
    ) -> Result<CommandOutput> {
        let platform = self.platform_address()?;
        let route = SmolStr::new_static("platform.operator");
        let platform = self.open_route(route, platform).await?;
        let mut arguments = vec![
            "target".to_owned(),
            "put".to_owned(),
            target.class.to_string(),
            format!("--upstream={}", target.upstream),
            format!("--finish-within={}", target.finish_within_ms),
            format!("--platform={platform}"),
        ];
        if target.may_run_twice {
            arguments.push("--may-run-twice".to_owned());
        }
        if let Some(revision) = based_on {
            arguments.push(format!("--based-on={revision}"));
        }
        run_command(&arguments).await
    }

    /// Appends a change directly to the log. The command would reject a change that is based on an
    /// outdated revision; two operators that read the same revision and append at the same time
    /// produce such a change.
    pub async fn append_change(&self, target: ClassTarget, based_on: Revision) -> Result<()> {
        let change = ConfigRecord::ChangeV1(ConfigChange {
            change_id: ChangeId(Ulid::generate()),
            based_on,
            body: ChangeBody::Put(target),
        });
        let path = records_path(CONFIG_STREAM);
        let body = change.encode().into_bytes();
        call(self.platform_address()?, Method::Post, &path, body).await?;
        Ok(())
    }

    /// Reads the configuration stream and returns the configuration that results from its records.
    pub async fn read_config(&self) -> Result<ConfigFold> {
        let path = records_path(CONFIG_STREAM);
        let page: Page = get(self.platform_address()?, &path).await?;
        let mut fold = ConfigFold::default();
        for record in &page.records {
            fold.apply(record.offset, &record.data);
        }
        Ok(fold)
    }
}

/// Runs `onyxshed` to its end without blocking the executor, so that requests of callers proceed.
async fn run_command(arguments: &[String]) -> Result<CommandOutput> {
    let mut child = Command::new(find_binary("onyxshed")?)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .context(SystemSnafu {
            operation: "start onyxshed, which `cargo build --bins` builds",
        })?;
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while is_running(&mut child)? {
        if Instant::now() > deadline {
            let _ = child.kill();
            let _ = child.wait();
            return Err(Error::call("onyxshed", "the command did not exit in time"));
        }
        pause().await;
    }
    let output = child.wait_with_output().context(SystemSnafu {
        operation: "read the output of onyxshed",
    })?;
    let text = format_smolstr!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
    Ok(CommandOutput {
        code: output.status.code(),
        text,
    })
}

fn is_running(child: &mut Child) -> Result<bool> {
    let ended = child
        .try_wait()
        .context(SystemSnafu { operation: "wait" })?;
    Ok(ended.is_none())
}
