//! One process of a test: starts it, sends it signals, and kills this one process (by its id, never
//! by name) when it is dropped.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use onyxshed_core::EventKind;
use onyxshed_standins::ready::ReadyLine;
use rustix::process::{Pid, Signal, kill_process};
use smol_str::{SmolStr, format_smolstr};
use snafu::ResultExt;

use crate::error::{Error, Result, SystemSnafu};

/// Longest wait for a process's ready line.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of lines from the end of a process's log that are shown when a test fails.
const LOG_TAIL_LINES: usize = 120;

/// A process that a test started. It is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    name: SmolStr,
    child: Child,
    log: PathBuf,
    ready: Receiver<String>,
    addresses: Option<ReadyLine>,
}

impl Process {
    /// Starts a binary from the build folder of this test. Its standard error is appended to a log in
    /// `folder`, and its ready line is read from its standard output.
    pub fn start(binary: &str, name: &str, arguments: &[String], folder: &Path) -> Result<Self> {
        let log = folder.join(format!("{name}.log"));
        let file = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .context(SystemSnafu {
                operation: "open a log",
            })?;
        let mut child = Command::new(find_binary(binary)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file)
            .spawn()
            .with_context(|_| SystemSnafu {
                operation: format_smolstr!("start {binary}, which `cargo build --bins` builds"),
            })?;
        let ready = read_first_line(child.stdout.take());
        Ok(Process {
            name: name.into(),
            child,
            log,
            ready,
            addresses: None,
        })
    }

    /// Starts a binary that logs to standard output and prints no ready line. Both of its outputs are
    /// appended to a log in `folder`.
    pub fn start_logging(
        binary: &str,
        name: &str,
        arguments: &[String],
        folder: &Path,
    ) -> Result<Self> {
        let log = folder.join(format!("{name}.log"));
        let open = || {
            let mut options = File::options();
            let file = options.create(true).append(true).open(&log);
            file.context(SystemSnafu {
                operation: "open a log",
            })
        };
        let child = Command::new(find_binary(binary)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(open()?)
            .stderr(open()?)
            .spawn()
            .with_context(|_| SystemSnafu {
                operation: format_smolstr!("start {binary}, which `cargo build --bins` builds"),
            })?;
        Ok(Process {
            name: name.into(),
            child,
            log,
            ready: channel().1,
            addresses: None,
        })
    }

    /// Sends SIGHUP, on which a host reloads its settings and any other process does nothing.
    pub fn request_reload(&self) -> Result<()> {
        self.signal(Signal::HUP)
    }

    /// Waits for the ready line and stores the addresses that it contains.
    ///
    /// # Errors
    ///
    /// Fails if no valid ready line is printed in time.
    pub fn wait_ready(&mut self) -> Result<()> {
        let line = self
            .ready
            .recv_timeout(READY_TIMEOUT)
            .map_err(|_| self.not_ready_error("it printed no ready line in time"))?;
        let ready = serde_json::from_str(&line).map_err(|error| {
            self.not_ready_error(&format!(
                "invalid ready line {line:?}: {error}, log: {}",
                self.log_tail()
            ))
        })?;
        self.addresses = Some(ready);
        Ok(())
    }

    /// Returns the address for a purpose, such as `http`, from the ready line.
    pub fn address(&self, purpose: &str) -> Result<SocketAddr> {
        let ready = self.addresses.as_ref();
        ready
            .and_then(|ready| ready.addresses.get(purpose).copied())
            .ok_or_else(|| {
                self.not_ready_error(&format!("its ready line contains no address {purpose:?}"))
            })
    }

    /// Returns the name that the test gave to the process.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id. It differs between two starts of the same binary.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGKILL and waits until the process has exited.
    pub fn kill(&mut self) -> Result<()> {
        self.signal(Signal::KILL)?;
        let waited = self.child.wait();
        waited.map(drop).context(SystemSnafu { operation: "wait" })
    }

    /// Suspends the process with SIGSTOP, which it can't notice or prevent.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Sends SIGTERM, on which the process drains and exits.
    pub fn request_stop(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Sends SIGQUIT, on which the process exits without waiting for work in flight.
    pub fn request_quit(&self) -> Result<()> {
        self.signal(Signal::QUIT)
    }

    /// Returns the exit status, `None` while the process runs.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>> {
        self.child
            .try_wait()
            .context(SystemSnafu { operation: "wait" })
    }

    /// Returns whether the process has logged that it is draining, or has exited.
    pub fn is_stopping_or_ended(&mut self) -> Result<bool> {
        Ok(self.exit_status()?.is_some() || self.log().contains(EventKind::ProcessDraining.name()))
    }

    /// Returns the whole text of the process's log, empty if it can't be read.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the last 120 lines of the process's log.
    pub fn log_tail(&self) -> String {
        let text = self.log();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        kill_process(Pid::from_child(&self.child), signal)
            .map_err(std::io::Error::from)
            .context(SystemSnafu {
                operation: "signal",
            })
    }

    fn not_ready_error(&self, reason: &str) -> Error {
        Error::NotReady {
            process: self.name.clone(),
            reason: format_smolstr!("{reason}\n{}", self.log_tail()),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads the first line on a separate thread, so that a process that prints nothing can't block the
/// test.
fn read_first_line(stdout: Option<ChildStdout>) -> Receiver<String> {
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        let mut line = String::new();
        if let Some(stdout) = stdout
            && BufReader::new(stdout).read_line(&mut line).is_ok()
        {
            // The receiver is gone if the test has ended.
            let _ = sender.send(line);
        }
    });
    receiver
}

/// Returns the path of a binary in the folder of the test executable or in its parent folder. If it
/// is in neither, returns the bare name, which is then looked up in `PATH`.
pub fn find_binary(binary: &str) -> Result<PathBuf> {
    let test = std::env::current_exe().context(SystemSnafu {
        operation: "find the test executable",
    })?;
    let folders: Vec<&Path> = test.ancestors().skip(1).take(2).collect();
    let found = folders.iter().map(|folder| folder.join(binary));
    let mut there = found.filter(|path| path.is_file());
    Ok(there.next().unwrap_or_else(|| binary.into()))
}
