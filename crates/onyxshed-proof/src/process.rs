//! One process of a test: started, signalled, and ended by its id when dropped.

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

/// How long a process may take to print its ready line.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Lines of a process's log that a failed test shows.
const LOG_TAIL_LINES: usize = 120;

/// A running process.
#[derive(Debug)]
pub struct Process {
    name: SmolStr,
    child: Child,
    log: PathBuf,
    ready: Receiver<String>,
    addresses: Option<ReadyLine>,
}

impl Process {
    /// Tries to start a binary that was built beside this test; its log goes into `folder`.
    pub fn start(binary: &str, name: &str, arguments: &[String], folder: &Path) -> Result<Self> {
        let log = folder.join(format!("{name}.log"));
        let file = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .context(SystemSnafu { what: "open a log" })?;
        let mut child = Command::new(find_binary(binary)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file)
            .spawn()
            .with_context(|_| SystemSnafu {
                what: format_smolstr!("start {binary}, which `cargo build --bins` builds"),
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

    /// Tries to start a binary that writes its log to standard output; it prints no ready line.
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
            file.context(SystemSnafu { what: "open a log" })
        };
        let child = Command::new(find_binary(binary)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(open()?)
            .stderr(open()?)
            .spawn()
            .with_context(|_| SystemSnafu {
                what: format_smolstr!("start {binary}, which `cargo build --bins` builds"),
            })?;
        Ok(Process {
            name: name.into(),
            child,
            log,
            ready: channel().1,
            addresses: None,
        })
    }

    /// Tells the process that its settings changed.
    pub fn hang_up(&self) -> Result<()> {
        self.signal(Signal::HUP)
    }

    /// Waits for the ready line.
    pub fn wait_ready(&mut self) -> Result<()> {
        let line = self
            .ready
            .recv_timeout(READY_TIMEOUT)
            .map_err(|_| self.not_ready_error("no ready line"))?;
        let ready = serde_json::from_str(&line).map_err(|error| {
            self.not_ready_error(&format!("{error} in {line:?}, log: {}", self.log_tail()))
        })?;
        self.addresses = Some(ready);
        Ok(())
    }

    /// Gets one of the addresses that the ready line named.
    pub fn address(&self, purpose: &str) -> Result<SocketAddr> {
        let ready = self.addresses.as_ref();
        ready
            .and_then(|ready| ready.addresses.get(purpose).copied())
            .ok_or_else(|| {
                self.not_ready_error(&format!("no address {purpose:?} in its ready line"))
            })
    }

    /// Gets the name that the test gave it.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Gets the system's number for the process, which tells its runs apart.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process at once and waits until it is gone.
    pub fn kill(&mut self) -> Result<()> {
        self.signal(Signal::KILL)?;
        let waited = self.child.wait();
        waited.map(drop).context(SystemSnafu { what: "wait" })
    }

    /// Stops the process's clockwork without its knowing.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to stop gracefully.
    pub fn ask_to_stop(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Asks the process to stop at once, whatever is in flight.
    pub fn ask_to_quit(&self) -> Result<()> {
        self.signal(Signal::QUIT)
    }

    /// Gets how the process ended, none while it runs.
    pub fn ended(&mut self) -> Result<Option<ExitStatus>> {
        self.child.try_wait().context(SystemSnafu { what: "wait" })
    }

    /// Tells whether the process has taken notice that it is to stop, or has ended.
    pub fn is_stopping_or_ended(&mut self) -> Result<bool> {
        Ok(self.ended()?.is_some() || self.log().contains(EventKind::ProcessDraining.name()))
    }

    /// Gets the process's log.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Gets the end of the process's log.
    pub fn log_tail(&self) -> String {
        let text = self.log();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        kill_process(Pid::from_child(&self.child), signal)
            .map_err(std::io::Error::from)
            .context(SystemSnafu { what: "signal" })
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

/// Reads the first line on a thread of its own, so that a silent process can't block the test.
fn read_first_line(stdout: Option<ChildStdout>) -> Receiver<String> {
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        let mut line = String::new();
        if let Some(stdout) = stdout
            && BufReader::new(stdout).read_line(&mut line).is_ok()
        {
            // Nobody listens any more if the test has ended.
            let _ = sender.send(line);
        }
    });
    receiver
}

/// Finds a binary in the folder of this executable, or above it, where tests lie.
pub fn find_binary(binary: &str) -> Result<PathBuf> {
    let test = std::env::current_exe().context(SystemSnafu {
        what: "find the test executable",
    })?;
    let folders: Vec<&Path> = test.ancestors().skip(1).take(2).collect();
    let found = folders.iter().map(|folder| folder.join(binary));
    let mut there = found.filter(|path| path.is_file());
    Ok(there.next().unwrap_or_else(|| binary.into()))
}
