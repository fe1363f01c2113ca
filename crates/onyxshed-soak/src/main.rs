//! `onyxshed-soak`: runs soaks with consecutive seeds and prints the promises that were broken.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use onyxshed_soak::callers::CallerOptions;
use onyxshed_soak::faults::FaultMix;
use onyxshed_soak::fleet::ExecutorClocks;
use onyxshed_soak::{SoakOptions, soak};

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    let flag = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .action(ArgAction::SetTrue)
            .help(help)
    };
    Command::new("onyxshed-soak")
        .version(clap::crate_version!())
        .about("Runs the real programs under random faults and checks their promises")
        .arg(number("seed", "1", "The first seed"))
        .arg(number("seeds", "1", "The number of seeds"))
        .arg(number(
            "seconds",
            "8",
            "The time in seconds during which faults are injected, for each seed",
        ))
        .arg(number("zones", "2", "Zones"))
        .arg(number("hosts", "2", "The number of hosts in each zone"))
        .arg(number(
            "executors",
            "3",
            "The number of executors in each zone",
        ))
        .arg(number(
            "places",
            "2",
            "The number of tasks that an executor runs at the same time",
        ))
        .arg(number("callers", "8", "The number of callers at a time"))
        .arg(
            Arg::new("overload")
                .long("overload")
                .value_parser(["off", "shadow", "on"])
                .default_value("on")
                .help("Overload decisions of the hosts"),
        )
        .arg(flag(
            "planned",
            "Injects only stops, reloads and new manifests",
        ))
        .arg(flag(
            "stops",
            "Injects rolling stops that overlap, with signals and new manifests during them",
        ))
        .arg(flag(
            "clients",
            "Adds 200 clients that send what no caller may send, to hosts with 64 MB and 400 descriptors",
        ))
        .arg(flag("slow", "Injects mostly slow executors"))
        .arg(flag(
            "starved",
            "Injects starved and frozen hosts and slow or silent links, with callers that wait for 1.5 s",
        ))
        .arg(
            Arg::new("deadline-ms")
                .long("deadline-ms")
                .value_parser(value_parser!(u64))
                .help("The deadline of the callers' jobs, after which callers close their connections"),
        )
        .arg(flag(
            "keep-logs",
            "Keeps the logs of a soak that breaks no promise as well",
        ))
        .arg(flag(
            "debug-logs",
            "Lets hosts log every run that they order",
        ))
        .arg(flag(
            "evacuations",
            "Injects evacuations of zones, kills and planned work",
        ))
        .arg(flag(
            "true-clocks",
            "Gives executors accurate clocks, neither ahead nor slow",
        ))
}

fn options(matches: &ArgMatches, seed: u64) -> SoakOptions {
    let number = |name: &str| {
        *matches
            .get_one::<u64>(name)
            .expect("the option has a default")
    };
    let count = |name: &str| usize::try_from(number(name)).unwrap_or(usize::MAX);
    let mut options = SoakOptions::with_seed(seed);
    options.fleet.zones = count("zones");
    options.fleet.hosts = count("hosts");
    options.fleet.executors = count("executors");
    options.fleet.places = u32::try_from(number("places")).unwrap_or(u32::MAX);
    options.callers = count("callers");
    if let Some(mode) = matches.get_one::<String>("overload") {
        options
            .fleet
            .host_arguments
            .push(format!("--overload={mode}"));
    }
    options.fleet.clocks = match matches.get_flag("true-clocks") {
        true => ExecutorClocks::Accurate,
        false => ExecutorClocks::Skewed,
    };
    if matches.get_flag("clients") {
        let unruly = SoakOptions::with_unruly_clients(seed);
        options.fleet.limits = unruly.fleet.limits;
        options.unruly_clients = unruly.unruly_clients;
    }
    if matches.get_flag("planned") {
        options.mix = FaultMix::Planned;
    }
    if matches.get_flag("stops") {
        options.mix = FaultMix::Stops;
    }
    if matches.get_flag("slow") {
        options.mix = FaultMix::Slow;
    }
    if matches.get_flag("evacuations") {
        options.mix = FaultMix::Evacuations;
    }
    if matches.get_flag("starved") {
        options.mix = FaultMix::Starved;
        options.caller = CallerOptions::hurried();
    }
    if let Some(deadline_ms) = matches.get_one::<u64>("deadline-ms") {
        options.caller.deadline_ms = *deadline_ms;
        options.caller.request_timeout = Duration::from_millis(*deadline_ms);
    }
    options.keeps_logs = matches.get_flag("keep-logs");
    if matches.get_flag("debug-logs") {
        let level = "--log-level=debug".to_owned();
        options.fleet.host_arguments.push(level);
    }
    options.length = Duration::from_secs(number("seconds"));
    options
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let first = *matches
        .get_one::<u64>("seed")
        .expect("the option has a default");
    let count = *matches
        .get_one::<u64>("seeds")
        .expect("the option has a default");
    let mut failed = 0;
    for seed in first..first + count {
        match soak(&options(&matches, seed)) {
            Ok(report) => {
                println!(
                    "seed {seed}: {} jobs, {} completed, {} runs ({} when sent again), {} faults, {} broken",
                    report.jobs,
                    report.completed,
                    report.runs,
                    report.runs_at_resend.len(),
                    report.faults.len(),
                    report.violations.len()
                );
                for line in &report.violations {
                    println!("  {line}");
                }
                for line in &report.runs_at_resend {
                    println!("  when sent again: {line}");
                }
                if !report.violations.is_empty() {
                    failed += 1;
                }
                if report.logs.is_some() {
                    println!("  logs in {:?}; faults {:#?}", report.logs, report.faults);
                }
            }
            Err(error) => {
                failed += 1;
                println!("seed {seed}: {error}");
            }
        }
    }
    println!("{count} seeds, {failed} with a broken promise");
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
