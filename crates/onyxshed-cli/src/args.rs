//! Turns the parsed command line into an [`Action`].

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::ArgMatches;
use onyxshed_core::{
    ChangeId, ClassName, ClassTarget, Millis, Revision, SubmissionId, UpstreamName,
};
use onyxshed_settings::{OperatorSettings, ProcessAddress, SettingsKind, load};
use onyxshed_wire::record::ChangeBody;
use smol_str::SmolStr;

use crate::error::{Error, Result};

/// The action that a command line asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Checks a settings file.
    Check {
        /// The settings file to check; no process is started with it.
        file: PathBuf,
        /// The kind of process that the settings are for.
        kind: SettingsKind,
    },
    /// Publishes a change of the configuration.
    Publish(Publish),
    /// Shows the targets of classes.
    Show {
        /// The platform whose log contains the configuration.
        platform: PlatformArgs,
        /// Shows only this class, if given.
        class: Option<ClassName>,
    },
    /// Shows the changes on the log.
    History {
        /// The platform whose log contains the configuration.
        platform: PlatformArgs,
        /// Shows only changes of this class, if given.
        class: Option<ClassName>,
        /// Shows only the change with this id, if given.
        change: Option<ChangeId>,
    },
    /// Shows the status of every process.
    Status(ProcessArgs),
    /// Shows the events of all processes.
    Timeline(TimelineArgs),
    /// Drains a process: it finishes its work in flight, rejects new work and ends.
    Drain {
        /// The process of the settings that has the name given on the command line.
        process: ProcessAddress,
        /// Whether to wait until the process has ended.
        should_wait: bool,
        /// How long to wait, in milliseconds.
        timeout_ms: Millis,
    },
    /// Explains the number of a result code or an event.
    Explain(SmolStr),
    /// Explains the outcome of a request or a job from log files.
    Trace {
        /// Id of the request or the job.
        id: SmolStr,
        /// Paths of the log files of all hosts.
        logs: Vec<PathBuf>,
    },
}

/// Parameters of a change to publish.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Publish {
    /// The platform whose log the change is appended to.
    pub platform: PlatformArgs,
    /// What the change does; the command adds a new change id and the base revision before sending.
    pub body: ChangeBody,
    /// The revision that the change is based on; `None` for the one in force.
    pub based_on: Option<Revision>,
    /// Processes in which the revision must be in force before the command ends.
    pub wait_for: Vec<ProcessAddress>,
}

/// The platform to call, and the time limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformArgs {
    /// Address of the platform.
    pub address: SocketAddr,
    /// How long the whole command may take, in milliseconds.
    pub timeout_ms: Millis,
}

/// The processes to query, and the time limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessArgs {
    /// Names and addresses of the processes.
    pub processes: Vec<ProcessAddress>,
    /// How long each process may take to answer, in milliseconds.
    pub timeout_ms: Millis,
}

/// Source of the events of a time line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EventSource {
    /// The events that these processes keep in memory.
    Processes(ProcessArgs),
    /// Paths of the log files of all hosts.
    Logs(Vec<PathBuf>),
}

/// A filtered time line of events, from the processes or from log files.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimelineArgs {
    /// Whether the events come from the memory of running processes or from log files.
    pub source: EventSource,
    /// Whether to show only events that concern no single request, job or submission (`--beliefs`).
    pub general_events_only: bool,
    /// Shows only events of this submission, if given.
    pub submission: Option<SubmissionId>,
    /// Shows only events of this class, if given.
    pub class: Option<ClassName>,
    /// Shows only events whose other party's name contains this text, if given.
    pub party: Option<SmolStr>,
    /// Shows only events with this upstream's executors, which the platform lists, if given.
    pub upstream: Option<(UpstreamName, PlatformArgs)>,
    /// Shows only events at most this old, in milliseconds, if given: before now for processes,
    /// before the last event for log files.
    pub since_ms: Option<Millis>,
    /// Maximum number of lines; earlier ones are omitted.
    pub lines: usize,
}

/// Builds the action from the parsed command line, and loads the settings that it names. Returns an
/// error if an argument or the settings are invalid.
pub fn action(matches: &ArgMatches) -> Result<Action> {
    match matches.subcommand() {
        Some(("check", args)) => check(args),
        Some(("target", args)) => target(args),
        Some(("status", args)) => Ok(Action::Status(processes(args)?)),
        Some(("timeline", args)) => timeline(args),
        Some(("drain", args)) => drain(args),
        Some(("explain", args)) => Ok(explain(args)),
        _ => Err(Error::usage("no command is given")),
    }
}

/// Returns whether output is requested as JSON.
pub fn is_json(matches: &ArgMatches) -> bool {
    let mut deepest = matches;
    while let Some((_, inner)) = deepest.subcommand() {
        deepest = inner;
    }
    matches!(deepest.try_get_one::<bool>("json"), Ok(Some(true)))
}

fn explain(args: &ArgMatches) -> Action {
    let subject = SmolStr::from(required::<String>(args, "what"));
    let logs = args.get_many::<PathBuf>("logs").unwrap_or_default();
    let logs: Vec<PathBuf> = logs.cloned().collect();
    match logs.is_empty() {
        true => Action::Explain(subject),
        false => Action::Trace { id: subject, logs },
    }
}

fn check(args: &ArgMatches) -> Result<Action> {
    let kind: String = required(args, "kind");
    Ok(Action::Check {
        file: required(args, "file"),
        kind: kind.parse().map_err(Error::usage)?,
    })
}

fn target(args: &ArgMatches) -> Result<Action> {
    match args.subcommand() {
        Some(("put", args)) => publish(args, ChangeBody::Put(put_target(args))),
        Some(("remove", args)) => publish(args, ChangeBody::Remove(required(args, "class"))),
        Some(("get", args)) => Ok(Action::Show {
            platform: platform(args)?,
            class: Some(required(args, "class")),
        }),
        Some(("list", args)) => Ok(Action::Show {
            platform: platform(args)?,
            class: None,
        }),
        Some(("history", args)) => Ok(Action::History {
            platform: platform(args)?,
            class: args.get_one("class").cloned(),
            change: args.get_one("change").copied(),
        }),
        _ => Err(Error::usage("no command is given")),
    }
}

fn put_target(args: &ArgMatches) -> ClassTarget {
    ClassTarget {
        class: required(args, "class"),
        upstream: required::<UpstreamName>(args, "upstream"),
        finish_within_ms: required(args, "finish-within"),
        may_run_twice: args.get_flag("may-run-twice"),
    }
}

fn publish(args: &ArgMatches, body: ChangeBody) -> Result<Action> {
    let wait_for = match args.get_flag("wait") {
        true => settings(args)?.processes,
        false => Vec::new(),
    };
    Ok(Action::Publish(Publish {
        platform: platform(args)?,
        body,
        based_on: args.get_one("based-on").copied(),
        wait_for,
    }))
}

fn timeline(args: &ArgMatches) -> Result<Action> {
    let upstream = match args.get_one::<UpstreamName>("upstream") {
        Some(upstream) => Some((upstream.clone(), platform_in_settings(args)?)),
        None => None,
    };
    let source = match args.get_many::<PathBuf>("log") {
        Some(files) => EventSource::Logs(files.cloned().collect()),
        None => EventSource::Processes(processes(args)?),
    };
    Ok(Action::Timeline(TimelineArgs {
        source,
        general_events_only: args.get_flag("beliefs"),
        upstream,
        submission: args.get_one("submission").copied(),
        class: args.get_one("class").cloned(),
        party: args.get_one::<String>("party").map(SmolStr::from),
        since_ms: args.get_one("since").copied(),
        lines: required::<u16>(args, "lines").into(),
    }))
}

fn drain(args: &ArgMatches) -> Result<Action> {
    let name: String = required(args, "process");
    let known = settings(args)?.processes;
    let names: Vec<&str> = known.iter().map(|process| process.name.as_str()).collect();
    let unknown = format!(
        "no process {name:?} in the settings: there are {}",
        names.join(", ")
    );
    let mut matching = known.into_iter().filter(|process| process.name == name);
    Ok(Action::Drain {
        process: matching.next().ok_or_else(|| Error::usage(unknown))?,
        should_wait: !args.get_flag("no-wait"),
        timeout_ms: required(args, "timeout"),
    })
}

fn platform(args: &ArgMatches) -> Result<PlatformArgs> {
    match args.get_one("platform") {
        Some(address) => Ok(PlatformArgs {
            address: *address,
            timeout_ms: required(args, "timeout"),
        }),
        None => platform_in_settings(args),
    }
}

fn platform_in_settings(args: &ArgMatches) -> Result<PlatformArgs> {
    Ok(PlatformArgs {
        address: settings(args)?.platform_address,
        timeout_ms: required(args, "timeout"),
    })
}

fn processes(args: &ArgMatches) -> Result<ProcessArgs> {
    Ok(ProcessArgs {
        processes: settings(args)?.processes,
        timeout_ms: required(args, "timeout"),
    })
}

fn settings(args: &ArgMatches) -> Result<OperatorSettings> {
    Ok(load(required::<PathBuf>(args, "settings"))?)
}

/// Returns an argument that clap guarantees to be present.
fn required<T: Clone + Send + Sync + 'static>(args: &ArgMatches, name: &str) -> T {
    args.get_one::<T>(name)
        .cloned()
        .expect("the command line requires the argument or has a default for it")
}
