//! `onyxshed-load local`: runs a complete zone on this machine and shows each step.
//!
//! Starts the stand-ins of the platform and the executors and several entry hosts, publishes a
//! class with the operator's command line, submits a job to one entry host and then under the same
//! id to another, shows the job's time line, sends a sample load, and stops every process that it
//! started.

use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use async_executor::LocalExecutor;
use http_types::Method;
use onyxshed_core::SubmissionId;
use onyxshed_wire::caller::{CopyMark, JOBS_PATH, Submission};
use serde_json::json;
use ulid::Ulid;

use crate::caller::CallerOptions;
use crate::error::{Error, Result};
use crate::local::{LocalOptions, LocalSet, call};
use crate::mix::Mix;
use crate::plan::PlanOptions;
use crate::report::write_json;
use crate::run::{RunOptions, class_name, run};

/// Options of [`run_whole_path`].
#[derive(Debug, Clone)]
pub struct WholePathOptions {
    /// Folder of the other binaries.
    pub binaries: PathBuf,
    /// Number of entry hosts.
    pub entries: usize,
    /// Number of executors; their speeds are in the ratio 1:2:4 in turn.
    pub executors: usize,
    /// Time during which the sample load arrives, in seconds; 0 sends none.
    pub span_s: f64,
    /// Whether the processes keep running until standard input ends.
    pub keeps_running: bool,
}

/// Class of the sample job.
const CLASS: &str = "fee-charge";

/// Arrival rate of the sample load, in jobs per second, for any number of executors.
const JOBS_PER_S: f64 = 4.0;

/// Shortest possible network time of a job on one machine, in microseconds.
const NETWORK_US: u64 = 100;

/// Starts the processes and shows each step. Fails if a process can't be started or reached, or a
/// command of the operator fails.
pub async fn run_whole_path(
    executor: &LocalExecutor<'static>,
    options: &WholePathOptions,
) -> Result<()> {
    let zone = LocalOptions::zone(
        options.binaries.clone(),
        Mix::Inzira,
        options.entries,
        options.executors,
    );
    let set = LocalSet::start(&zone).await?;
    let operator = Operator::new(&options.binaries, &set)?;
    print_addresses(&set, &operator);
    operator.run(&publish_args())?;
    operator.run(&["status"])?;
    show_job(&set, &operator).await?;
    if options.span_s > 0.0 {
        println!(
            "\n# A sample load on all entry hosts for {} s",
            options.span_s
        );
        let report = run(executor, &load_options(&set, options.span_s)).await;
        println!("{report}");
    }
    if options.keeps_running {
        println!("\n# The processes keep running until standard input ends (Ctrl-D)");
        let _ = std::io::stdin().read_to_end(&mut Vec::new());
    }
    println!("\n# Stopping the processes");
    Ok(())
}

/// Returns the arguments that publish the sample job's class and wait until it is in force.
fn publish_args() -> [&'static str; 8] {
    [
        "target",
        "put",
        CLASS,
        "--upstream",
        Mix::Inzira.upstream(),
        "--finish-within",
        "2s",
        "--wait",
    ]
}

/// The operator's command line with its settings file.
struct Operator {
    binary: PathBuf,
    settings: PathBuf,
}

impl Operator {
    /// Writes the operator's settings into the folder of the processes' settings.
    fn new(binaries: &Path, set: &LocalSet) -> Result<Self> {
        let settings = set.folder().join("operator.json");
        let processes: Vec<_> = set.entries.iter().zip(0..).flat_map(|(entry, index)| {
            [
                json!({"name": format!("entry-{index}"), "admin_address": entry.admin}),
                json!({"name": format!("control-{index}"), "admin_address": entry.control_admin}),
            ]
        }).collect();
        let document = json!({
            "platform_address": set.platform.address,
            "processes": processes,
        });
        write_json(&settings, &document)?;
        Ok(Operator {
            binary: binaries.join("onyxshed"),
            settings,
        })
    }

    /// Prints a command and runs it, with its output on the terminal.
    fn run(&self, args: &[&str]) -> Result<()> {
        println!("\n$ onyxshed {} --settings operator.json", args.join(" "));
        let status = Command::new(&self.binary)
            .args(args)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .status()
            .map_err(Error::start)?;
        match status.success() {
            true => Ok(()),
            false => Err(Error::start(format!(
                "the command onyxshed failed with {status}"
            ))),
        }
    }
}

fn print_addresses(set: &LocalSet, operator: &Operator) {
    println!("# Started");
    println!(
        "platform       {}  process {}",
        set.platform.address,
        set.platform.id()
    );
    for (index, executor) in set.executors.iter().enumerate() {
        println!(
            "executor x{index:05} {}  process {}",
            executor.address,
            executor.id()
        );
    }
    for (index, entry) in set.entries.iter().enumerate() {
        let (callers, admin) = (entry.callers, entry.admin);
        println!(
            "entry host e{index}  callers {callers}  admin {admin}  process {}",
            entry.entry.id()
        );
    }
    println!("operator's settings: {}", operator.settings.display());
}

/// Submits a job to one entry host and then, under the same id, to another, and shows the answers
/// and the job's time line.
async fn show_job(set: &LocalSet, operator: &Operator) -> Result<()> {
    let (first, last) = match set.callers()[..] {
        [first, .., last] => (first, last),
        [only] => (only, only),
        [] => return Ok(()),
    };
    let id = SubmissionId::unbound(Ulid::generate());
    println!("\n# A job of three tasks, to the first entry host");
    post(first, &sample_job(id, CopyMark::First)).await?;
    println!("\n# The same job again, to the last entry host: same answer, and no task runs twice");
    post(last, &sample_job(id, CopyMark::Again)).await?;
    operator.run(&["timeline", "--submission", &id.to_string()])
}

fn sample_job(id: SubmissionId, copy: CopyMark) -> Submission {
    let task = |number: u32| json!({"service_ms": 100, "echo": format!("fee {number}")});
    Submission {
        submission: id,
        class: class_name(CLASS),
        deadline_ms: None,
        copy,
        tasks: (1..=3)
            .map(|number| task(number).to_string().into_bytes())
            .collect(),
    }
}

async fn post(address: SocketAddr, job: &Submission) -> Result<()> {
    let body = serde_json::to_string(job).expect("jobs are serializable as JSON");
    println!("POST http://{address}{JOBS_PATH}\n{body}");
    let reply = call(address, Method::Post, JOBS_PATH, body.into_bytes()).await?;
    println!("{} {}", reply.status, String::from_utf8_lossy(&reply.body));
    Ok(())
}

fn load_options(set: &LocalSet, span_s: f64) -> RunOptions {
    RunOptions {
        entries: set.callers(),
        plan: PlanOptions {
            mix: Mix::Inzira,
            jobs_per_s: JOBS_PER_S,
            span_s,
            bursts: Vec::new(),
            time_scale: 1.0,
            seed: 1,
        },
        caller: CallerOptions::default(),
        network_us: NETWORK_US,
    }
}
