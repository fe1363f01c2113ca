//! Definitions of the subcommands and their options.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};
use smol_str::SmolStr;

use crate::mix::Mix;
use crate::plan::Burst;

/// Returns the clap command of `onyxshed-load` with all subcommands and their options.
pub fn command() -> Command {
    Command::new("onyxshed-load")
        .version(clap::crate_version!())
        .about("Sends load to entry hosts and measures what callers see")
        .after_help("Exit status: 0 done, 1 an error (its result code is printed), 2 wrong usage.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(local_args())
        .subcommand(run_args())
        .subcommand(direct_args())
        .subcommand(idle_args())
        .subcommand(simulate_args())
        .subcommand(bench_args())
        .subcommand(slopes_args())
        .subcommand(claims_args())
}

fn local_args() -> Command {
    Command::new("local")
        .about("Runs a complete zone on this machine with stand-ins, and shows each step")
        .after_help(
            "Starts the platform's and the executors' stand-ins and the entry hosts, publishes a \
             class, submits a job twice, shows its time line, sends a sample load, and stops \
             every process that it started.",
        )
        .arg(
            number_arg("entries", "3", "Entry hosts, each with its control process")
                .value_parser(value_parser!(u16).range(1..=32)),
        )
        .arg(
            number_arg("executors", "4", "Executors")
                .value_parser(value_parser!(u16).range(1..=64)),
        )
        .arg(
            number_arg(
                "span-s",
                "5",
                "Seconds during which the sample load arrives; 0 sends none",
            )
            .value_parser(value_parser!(f64)),
        )
        .arg(
            Arg::new("stay")
                .long("stay")
                .action(ArgAction::SetTrue)
                .help("Keep the processes running until standard input ends"),
        )
        .arg(binaries_arg())
}

fn run_args() -> Command {
    Command::new("run")
        .about("Open-loop load over HTTP; response times count from the planned arrival")
        .after_help(
            "Example: onyxshed-load run --entry 127.0.0.1:7000 --entry 127.0.0.1:7001 \
             --mix inzira --jobs-per-s 40 --span-s 20 --burst 5:7:10 --out results",
        )
        .arg(
            Arg::new("entry")
                .long("entry")
                .required(true)
                .action(ArgAction::Append)
                .value_name("ADDRESS")
                .value_parser(value_parser!(SocketAddr))
                .help("An entry host's address; jobs are spread evenly over all given"),
        )
        .arg(mix_arg())
        .arg(
            number_arg("jobs-per-s", "20", "Jobs per second outside bursts")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            number_arg("span-s", "10", "Seconds during which jobs arrive")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            number_arg("time-scale", "1", "Multiplies every service time")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            Arg::new("burst")
                .long("burst")
                .action(ArgAction::Append)
                .value_name("FROM_S:TO_S:FACTOR")
                .value_parser(parse_burst)
                .help("A period with a different rate; in order, without overlap"),
        )
        .arg(number_arg("seed", "1", "Seed of the random numbers").value_parser(value_parser!(u64)))
        .arg(
            number_arg(
                "repeats",
                "2",
                "Maximum number of times a refused job is sent again",
            )
            .value_parser(value_parser!(u32)),
        )
        .arg(bind_arg())
        .arg(
            number_arg(
                "network-us",
                "500",
                "Least network time of one job, in microseconds; part of the ideal",
            )
            .value_parser(value_parser!(u64)),
        )
        .arg(out_arg("Folder for run.json, ratio.svg and wasted.svg"))
}

fn direct_args() -> Command {
    Command::new("direct")
        .about("Runs one task at a time, alternately at an executor and through an entry host")
        .arg(address_arg("executor", "The executor's address").required(true))
        .arg(address_arg("entry", "The entry host's address"))
        .arg(class_arg("The class of the tasks").default_value("lock-order"))
        .arg(number_arg("count", "1000", "Tasks on each path").value_parser(value_parser!(u32)))
        .arg(
            number_arg("service-ms", "0", "Run time of each task, in milliseconds")
                .value_parser(value_parser!(u32)),
        )
        .arg(bind_arg())
        .arg(out_arg("File for the report in JSON"))
}

fn idle_args() -> Command {
    Command::new("idle")
        .about("Holds connections or requests in flight and measures the other process")
        .arg(address_arg("address", "The process's address").required(true))
        .arg(
            Arg::new("pid")
                .long("pid")
                .value_parser(value_parser!(u32))
                .help("The process's id, to read its memory and processor time"),
        )
        .arg(number_arg("count", "1000", "Connections to hold").value_parser(value_parser!(u32)))
        .arg(class_arg(
            "Send one job of this class on each connection; without it connections stay idle",
        ))
        .arg(
            number_arg(
                "service-ms",
                "10000",
                "Run time of each job's one task, in milliseconds",
            )
            .value_parser(value_parser!(u32)),
        )
        .arg(
            number_arg(
                "hold-ms",
                "2000",
                "Milliseconds to hold before memory and processor time are read",
            )
            .value_parser(value_parser!(u64)),
        )
        .arg(out_arg("File for the report in JSON"))
}

fn bench_args() -> Command {
    Command::new("bench")
        .about("Starts real processes on this machine and measures them")
        .after_help(
            "Without --mix: start, overhead, throughput and memory of one entry host.\n\
             With --mix: callers' results for a zone of 3 entry hosts and 16 executors.",
        )
        .arg(optional_mix_arg())
        .arg(
            number_arg("load", "0.8", "Offered load as a fraction of capacity")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            number_arg("span-s", "20", "Seconds during which jobs arrive")
                .value_parser(value_parser!(f64)),
        )
        .arg(number_arg("seed", "1", "Seed of the random numbers").value_parser(value_parser!(u64)))
        .arg(bind_arg())
        .arg(binaries_arg())
        .arg(out_arg("File for the report in JSON"))
}

fn slopes_args() -> Command {
    Command::new("slopes")
        .about("Measures how one process grows with size, for docs/CAPACITY.md")
        .arg(
            Arg::new("only")
                .long("only")
                .value_name("NAME")
                .value_parser(value_parser!(SmolStr))
                .help("Part of the name: in-flight, executors, claims, job-size or members"),
        )
        .arg(binaries_arg())
        .arg(out_arg(
            "Folder for one JSON file and plot each, such as docs/plots",
        ))
}

fn claims_args() -> Command {
    Command::new("claims")
        .about("Measures the cost of at-most-once execution, and an outage of the platform")
        .after_help(
            "Three entry hosts and one caller; each kind of id, with and without the platform.",
        )
        .arg(binaries_arg())
        .arg(out_arg("File for the report in JSON"))
}

fn binaries_arg() -> Arg {
    Arg::new("binaries")
        .long("binaries")
        .value_name("FOLDER")
        .value_parser(value_parser!(PathBuf))
        .help("Folder of the other binaries; by default the folder of this binary")
}

fn simulate_args() -> Command {
    Command::new("simulate")
        .about("Compares the decision core with round robin and least outstanding in virtual time")
        .arg(mix_arg())
        .arg(
            number_arg(
                "seeds",
                "5",
                "Runs of each scenario and policy, with seeds from 1",
            )
            .value_parser(value_parser!(u64)),
        )
        .arg(
            number_arg(
                "span-s",
                "90",
                "Seconds during which jobs arrive; the middle third counts",
            )
            .value_parser(value_parser!(f64)),
        )
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .action(ArgAction::Append)
                .value_name("NAME")
                .help("Only scenarios whose name contains this, such as 'load' or 'rack'"),
        )
        .arg(out_arg("Folder for JSON and plots"))
}

fn mix_arg() -> Arg {
    optional_mix_arg().default_value("inzira")
}

fn optional_mix_arg() -> Arg {
    Arg::new("mix")
        .long("mix")
        .value_parser(value_parser!(Mix))
        .help("Mix of work: inzira or valbrenta")
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_name("N")
        .help(help)
}

fn address_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDRESS")
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

fn class_arg(help: &'static str) -> Arg {
    Arg::new("class")
        .long("class")
        .value_parser(value_parser!(SmolStr))
        .help(help)
}

fn bind_arg() -> Arg {
    Arg::new("bind")
        .long("bind")
        .action(ArgAction::SetTrue)
        .help(
            "Bind ids to the entry host once its incarnation is known, so that no claim is needed",
        )
}

fn out_arg(help: &'static str) -> Arg {
    Arg::new("out")
        .long("out")
        .value_name("PATH")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn parse_burst(text: &str) -> Result<Burst, String> {
    let numbers: Vec<f64> = text
        .split(':')
        .map(|part| {
            part.parse()
                .map_err(|_| format!("{part:?} is not a number"))
        })
        .collect::<Result<_, _>>()?;
    match numbers[..] {
        [from_s, to_s, factor] if 0.0 <= from_s && from_s < to_s && factor >= 0.0 => Ok(Burst {
            from_s,
            to_s,
            factor,
        }),
        _ => Err("expected FROM_S:TO_S:FACTOR, such as 5:7:10".to_owned()),
    }
}
