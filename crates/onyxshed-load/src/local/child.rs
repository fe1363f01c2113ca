//! A child process that is killed when its handle is dropped.

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Command, Stdio};

use crate::error::{Error, Result};
use crate::process::{Usage, read_usage};

/// A handle of a child process, which kills the process when it is dropped.
#[derive(Debug)]
pub struct Child {
    process: std::process::Child,
    /// Address from the process's first line of output; unspecified for a process whose output is
    /// not read.
    pub address: SocketAddr,
}

impl Child {
    /// Starts a stand-in and reads its address from the first line that it prints.
    pub fn start_standin(program: &Path, args: &[&str]) -> Result<Self> {
        let mut process = Command::new(program)
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .map_err(Error::start)?;
        let mut line = String::new();
        if let Some(stdout) = process.stdout.take() {
            BufReader::new(stdout)
                .read_line(&mut line)
                .map_err(Error::start)?;
        }
        let ready: serde_json::Value = serde_json::from_str(&line).map_err(Error::start)?;
        let address = ready["addresses"]["http"].as_str().unwrap_or_default();
        Ok(Child {
            address: address.parse().map_err(Error::start)?,
            process,
        })
    }

    /// Starts an entry or control process with a settings file. Its output is discarded.
    pub fn start_service(program: &Path, settings: &Path) -> Result<Self> {
        let process = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::null())
            .spawn()
            .map_err(Error::start)?;
        Ok(Child {
            process,
            address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        })
    }

    /// Reads the memory and processor time of the process.
    pub fn usage(&self) -> Result<Usage> {
        read_usage(self.process.id())
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // Both calls fail if the process has already ended, which needs no action.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
