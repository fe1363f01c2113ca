//! Command line of `onyxshed-load`: parses the arguments, runs the subcommand, and prints and
//! writes its result.

mod args;
mod values;

use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use clap::{ArgMatches, Command};
use serde::Serialize;

use crate::bench::{bench_entry_host, run_mix};
use crate::claims;
use crate::direct::{DirectOptions, compare};
use crate::error::Result;
use crate::idle::{IdleOptions, hold_connections};
use crate::mix::Mix;
use crate::plot;
use crate::report::write_json;
use crate::run::run;
use crate::sim::simulate;
use crate::slopes::{self, SlopeOptions};
use crate::whole_path::run_whole_path;

/// Exit status after a subcommand failed; clap exits with 2 after wrong usage.
const EXIT_ERROR: u8 = 1;

/// Runs the subcommand that the process's arguments name, and returns the exit status.
pub fn main() -> ExitCode {
    let matches = args::command().get_matches();
    match run_subcommand(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("onyxshed-load: error {}: {error}", error.code());
            ExitCode::from(EXIT_ERROR)
        }
    }
}

/// Returns the definition of the command line, from which its documentation can be written.
pub fn command() -> Command {
    args::command()
}

fn run_subcommand(matches: &ArgMatches) -> Result<()> {
    let executor = LocalExecutor::new();
    match matches.subcommand() {
        Some(("local", args)) => {
            let options = values::whole_path_options(args);
            async_io::block_on(executor.run(run_whole_path(&executor, &options)))
        }
        Some(("run", args)) => run_command(&executor, args),
        Some(("direct", args)) => direct_command(&executor, args),
        Some(("idle", args)) => idle_command(&executor, args),
        Some(("simulate", args)) => simulate_command(args),
        Some(("bench", args)) => bench_command(&executor, args),
        Some(("slopes", args)) => slopes_command(&executor, args),
        Some(("claims", args)) => claims_command(&executor, args),
        _ => Ok(()),
    }
}

fn run_command(executor: &LocalExecutor<'static>, args: &ArgMatches) -> Result<()> {
    let options = values::run_options(args);
    let report = async_io::block_on(executor.run(run(executor, &options)));
    println!("{report}");
    if let Some(folder) = args.get_one::<PathBuf>("out") {
        write_json(&folder.join("run.json"), &report)?;
        plot::ratio_bars(&report).draw(&folder.join("ratio.svg"))?;
        plot::wasted_bars(&report).draw(&folder.join("wasted.svg"))?;
    }
    Ok(())
}

fn direct_command(executor: &LocalExecutor<'static>, args: &ArgMatches) -> Result<()> {
    let options = DirectOptions {
        executor: values::required(args, "executor"),
        entry: values::optional(args, "entry"),
        class: values::required(args, "class"),
        count: values::required(args, "count"),
        service_ms: values::required(args, "service-ms"),
        pause: Duration::from_millis(values::required(args, "pause-ms")),
        may_bind: args.get_flag("bind"),
    };
    let report = async_io::block_on(executor.run(compare(options)))?;
    print_json(&report);
    write_out(args, &report)
}

fn idle_command(executor: &LocalExecutor<'static>, args: &ArgMatches) -> Result<()> {
    let options = IdleOptions {
        address: values::required(args, "address"),
        pid: values::optional(args, "pid"),
        count: values::required(args, "count"),
        class: values::optional(args, "class"),
        service_ms: values::required(args, "service-ms"),
        hold: Duration::from_millis(values::required(args, "hold-ms")),
        awaits_answers: true,
    };
    let report = async_io::block_on(executor.run(hold_connections(executor, Rc::new(options))))?;
    print_json(&report);
    write_out(args, &report)
}

fn bench_command(executor: &LocalExecutor<'static>, args: &ArgMatches) -> Result<()> {
    let binaries = values::binaries(args);
    match values::optional::<Mix>(args, "mix") {
        None => {
            let bench = async_io::block_on(executor.run(bench_entry_host(executor, binaries)))?;
            print_json(&bench);
            write_out(args, &bench)
        }
        Some(mix) => {
            let options = values::mix_options(args, binaries, mix);
            let mix_run = async_io::block_on(executor.run(run_mix(executor, &options)))?;
            println!(
                "load {:.0}% of capacity, {}",
                100.0 * mix_run.load,
                mix_run.report
            );
            write_out(args, &mix_run)
        }
    }
}

fn slopes_command(executor: &LocalExecutor<'static>, args: &ArgMatches) -> Result<()> {
    let options = SlopeOptions {
        binaries: values::binaries(args),
        only: values::optional(args, "only"),
    };
    let slopes = async_io::block_on(executor.run(slopes::measure_slopes(executor, &options)))?;
    for slope in &slopes {
        println!("{slope}");
    }
    match args.get_one::<PathBuf>("out") {
        Some(folder) => slopes::write(&slopes, folder),
        None => Ok(()),
    }
}

fn claims_command(executor: &LocalExecutor<'static>, args: &ArgMatches) -> Result<()> {
    let runs = async_io::block_on(executor.run(claims::measure_claims(values::binaries(args))))?;
    print_json(&runs);
    write_out(args, &runs)
}

fn simulate_command(args: &ArgMatches) -> Result<()> {
    let summary = simulate(&values::sim_options(args));
    println!("{summary}");
    match args.get_one::<PathBuf>("out") {
        Some(folder) => summary.write(folder),
        None => Ok(()),
    }
}

fn print_json(value: &impl Serialize) {
    let text = serde_json::to_string_pretty(value).expect("reports are serializable as JSON");
    println!("{text}");
}

fn write_out(args: &ArgMatches, value: &impl Serialize) -> Result<()> {
    match args.get_one::<PathBuf>("out") {
        Some(path) => write_json(path, value),
        None => Ok(()),
    }
}
