//! Definition of the command line and its help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgGroup, Command, value_parser};
use onyxshed_core::{ChangeId, ClassName, Revision, SubmissionId, UpstreamName};
use onyxshed_settings::SettingsKind;

use crate::exit::EXIT_HELP;
use crate::span;

const ABOUT: &str =
    "Operates onyxshed: manages classes of work and their targets, and shows what the processes do";

const EXAMPLES: &str = "\
Examples:
  onyxshed check entry.jsonc --kind entry
  onyxshed target put stock-sync --upstream stock --finish-within 2s -s operator.jsonc --wait
  onyxshed status --settings operator.jsonc
  onyxshed timeline --settings operator.jsonc --submission 01JABCDEFGHJKMNPQRSTVWXYZ0

Answers go to standard output (with --json as one JSON document), progress and errors to standard
error. Every error has a number; `onyxshed explain NUMBER` describes it.
";

const TARGET_LONG: &str = "\
Reads and publishes targets. A class of work has one target: how soon its jobs must be finished and
whether its tasks may ever run twice. A target is published as a change on the platform's log, based
on the revision that the operator saw. The order of the log decides races: of two changes based on
the same revision the second is not accepted, and the command reports it. A change counts as
accepted only after it was read back.";

const TIMELINE_LONG: &str = "\
Shows the events of all processes in the settings, in the order of their hybrid logical
clocks. Each process keeps its latest events in memory only: a process that does not answer, one
that started since, and events that were dropped are shown as gaps. Log files also hold events that
the processes have dropped; with log files, `--since` counts back from the last event in them.";

const DRAIN_LONG: &str = "\
Takes a process out of service, as SIGTERM does: its readiness goes false, new work is answered as
not run, work in flight is finished within the process's drain_timeout_ms, then the process ends. On
the host itself, `kill -TERM` does the same; a second SIGTERM does not shorten it, SIGQUIT ends the
process at once and cuts off what is in flight.";

/// Builds the definition of the whole command line.
pub fn command() -> Command {
    Command::new("onyxshed")
        .version(clap::crate_version!())
        .about(ABOUT)
        .after_help(format!("{EXAMPLES}\n{EXIT_HELP}"))
        .max_term_width(100)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check())
        .subcommand(target())
        .subcommand(status())
        .subcommand(timeline())
        .subcommand(drain())
        .subcommand(explain())
}

fn check() -> Command {
    let kinds = SettingsKind::ALL.iter().map(|kind| kind.as_str());
    Command::new("check")
        .about("Checks a settings file in full and reports every fault")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The file, JSON with comments; docs/SETTINGS.md explains each field"),
        )
        .arg(
            Arg::new("kind")
                .long("kind")
                .value_name("KIND")
                .required(true)
                .value_parser(kinds.collect::<Vec<_>>())
                .help("Which process the file is for"),
        )
        .arg(json())
}

fn target() -> Command {
    Command::new("target")
        .about("Reads and publishes the targets of classes")
        .long_about(TARGET_LONG)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(target_put())
        .subcommand(
            with_platform_args(Command::new("get"))
                .about("Shows one class's target")
                .arg(class()),
        )
        .subcommand(with_platform_args(Command::new("list")).about("Shows every class's target"))
        .subcommand(target_history())
        .subcommand(
            with_publish_args(Command::new("remove"))
                .about("Removes a class; its jobs are then rejected as of an unknown class")
                .arg(class()),
        )
}

fn target_put() -> Command {
    with_publish_args(Command::new("put"))
        .about("Creates a class or replaces its target")
        .arg(class())
        .arg(
            Arg::new("upstream")
                .long("upstream")
                .value_name("UPSTREAM")
                .required(true)
                .value_parser(value_parser!(UpstreamName))
                .help("The upstream service that runs its tasks"),
        )
        .arg(
            Arg::new("finish-within")
                .long("finish-within")
                .value_name("SPAN")
                .required(true)
                .value_parser(span::parse)
                .help("How soon after its arrival a job must be finished: 500ms, 2s; up to 10m"),
        )
        .arg(
            Arg::new("may-run-twice")
                .long("may-run-twice")
                .action(ArgAction::SetTrue)
                .help("Its tasks may run more than once; without this they run at most once"),
        )
}

fn target_history() -> Command {
    with_platform_args(Command::new("history"))
        .about("Shows the changes that the log still holds, with the outcome of each")
        .arg(
            Arg::new("class")
                .value_name("CLASS")
                .value_parser(value_parser!(ClassName))
                .help("Only changes of this class"),
        )
        .arg(
            Arg::new("change")
                .long("change")
                .value_name("CHANGE")
                .value_parser(value_parser!(ChangeId))
                .help("Only this change; shows the outcome of a change whose answer was lost"),
        )
}

fn status() -> Command {
    with_process_args(Command::new("status"))
        .about("Shows every process: its readiness, the revision in force and its own figures")
        .arg(timeout("3s", "How long a process may take to answer"))
}

fn timeline() -> Command {
    Command::new("timeline")
        .about("Shows the events of all processes")
        .long_about(TIMELINE_LONG)
        .arg(
            settings()
                .required_unless_present("log")
                .help("Settings of kind operator, which name the processes"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("FILE")
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .conflicts_with_all(["settings", "upstream"])
                .help(
                    "Log files of all hosts, one per host or merged, in place of the processes' memory",
                ),
        )
        .arg(json())
        .args(timeline_filters())
        .arg(
            Arg::new("beliefs")
                .long("beliefs")
                .action(ArgAction::SetTrue)
                .help("Only events about no single request: starts, stops, owners, dependencies"),
        )
        .arg(
            Arg::new("lines")
                .long("lines")
                .value_name("COUNT")
                .default_value("40")
                .value_parser(value_parser!(u16).range(1..))
                .help(
                    "Maximum number of lines, the newest; events that differ only in their task share one",
                ),
        )
        .arg(timeout("3s", "How long a process may take to answer"))
}

fn timeline_filters() -> [Arg; 5] {
    [
        filter("submission", "ID")
            .value_parser(value_parser!(SubmissionId))
            .help("Only events of this submission"),
        filter("class", "CLASS")
            .value_parser(value_parser!(ClassName))
            .help("Only events of this class"),
        filter("party", "TEXT")
            .help("Only events whose other party (an executor, a peer) has this text in its name"),
        filter("upstream", "UPSTREAM")
            .value_parser(value_parser!(UpstreamName))
            .help("Only events with this upstream's executors, as the platform lists them now"),
        filter("since", "SPAN")
            .value_parser(span::parse)
            .help("Only events that are at most this old, such as 5m"),
    ]
}

fn filter(name: &'static str, value: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value)
}

fn drain() -> Command {
    with_process_args(Command::new("drain"))
        .about("Takes a process out of service without cutting off work")
        .long_about(DRAIN_LONG)
        .arg(
            Arg::new("process")
                .value_name("PROCESS")
                .required(true)
                .help("The process's name in the settings"),
        )
        .arg(
            Arg::new("no-wait")
                .long("no-wait")
                .action(ArgAction::SetTrue)
                .help("Returns once the drain has begun"),
        )
        .arg(timeout("60s", "How long to wait for the process's end"))
}

fn explain() -> Command {
    Command::new("explain")
        .about("Explains a result code (3004), an event (E301) or, from log files, a request or a job")
        .arg(
            Arg::new("what")
                .value_name("WHAT")
                .required(true)
                .help("A result code such as 3004, an event such as E301, or with log files an id"),
        )
        .arg(
            Arg::new("logs")
                .value_name("LOG")
                .num_args(0..)
                .value_parser(value_parser!(PathBuf))
                .help(
                    "Log files of all hosts, one per host or merged; the file's name names the host",
                ),
        )
        .arg(json())
}

/// Adds the arguments of every command that calls the platform.
fn with_platform_args(command: Command) -> Command {
    command
        .arg(settings().help("Settings of kind operator, for the platform's address"))
        .arg(
            Arg::new("platform")
                .long("platform")
                .value_name("ADDRESS")
                .value_parser(value_parser!(SocketAddr))
                .help("The platform's address, in place of settings"),
        )
        .group(
            ArgGroup::new("where")
                .args(["settings", "platform"])
                .required(true),
        )
        .arg(timeout("10s", "How long the whole command may take"))
        .arg(json())
}

/// Adds the arguments of every command that publishes a change.
fn with_publish_args(command: Command) -> Command {
    with_platform_args(command)
        .arg(
            Arg::new("based-on")
                .long("based-on")
                .value_name("REVISION")
                .value_parser(value_parser!(Revision))
                .help("Revision that the change is based on; by default the one in force now"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .requires("settings")
                .help("Waits until every process in the settings has the revision in force"),
        )
}

/// Adds the arguments of every command that queries processes.
fn with_process_args(command: Command) -> Command {
    command
        .arg(
            settings()
                .required(true)
                .help("Settings of kind operator, which name the processes"),
        )
        .arg(json())
}

fn class() -> Arg {
    Arg::new("class")
        .value_name("CLASS")
        .required(true)
        .value_parser(value_parser!(ClassName))
        .help("Name of the class of work")
}

fn settings() -> Arg {
    Arg::new("settings")
        .long("settings")
        .short('s')
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
}

fn timeout(default: &'static str, help: &'static str) -> Arg {
    Arg::new("timeout")
        .long("timeout")
        .value_name("SPAN")
        .default_value(default)
        .value_parser(span::parse)
        .help(help)
}

fn json() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Answers and errors as JSON")
}
