//! Conversion of parsed arguments into the options of each subcommand.

use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;

use crate::bench::MixOptions;
use crate::caller::CallerOptions;
use crate::mix::Mix;
use crate::plan::PlanOptions;
use crate::run::RunOptions;
use crate::sim::SimOptions;
use crate::sim::scenario::Scenario;
use crate::sim::simulation::ZoneOptions;
use crate::whole_path::WholePathOptions;

/// Returns the value of an option that is required or has a default. Panics if it has none.
pub fn required<T: Clone + Send + Sync + 'static>(args: &ArgMatches, name: &str) -> T {
    optional(args, name).expect("the option is required or has a default")
}

/// Returns the value of an option, or `None` if it was not given.
pub fn optional<T: Clone + Send + Sync + 'static>(args: &ArgMatches, name: &str) -> Option<T> {
    args.get_one::<T>(name).cloned()
}

/// Converts the parsed arguments of the subcommand `run` into its options.
pub fn run_options(args: &ArgMatches) -> RunOptions {
    let entries = args.get_many("entry").into_iter().flatten();
    let bursts = args.get_many("burst").into_iter().flatten();
    RunOptions {
        entries: entries.copied().collect(),
        plan: PlanOptions {
            mix: required(args, "mix"),
            jobs_per_s: required(args, "jobs-per-s"),
            span_s: required(args, "span-s"),
            bursts: bursts.copied().collect(),
            time_scale: required(args, "time-scale"),
            seed: required(args, "seed"),
        },
        caller: CallerOptions {
            repeats_max: required(args, "repeats"),
            may_bind: args.get_flag("bind"),
            wait_past_target: Duration::from_secs(5),
        },
        network_us: required(args, "network-us"),
    }
}

/// Returns the folder of the other binaries: `--binaries`, or else the folder of this binary.
pub fn binaries(args: &ArgMatches) -> PathBuf {
    optional(args, "binaries").unwrap_or_else(|| {
        let own_path = std::env::current_exe().unwrap_or_default();
        own_path.parent().map(PathBuf::from).unwrap_or_default()
    })
}

/// Converts the parsed arguments of the subcommand `local` into its options.
pub fn whole_path_options(args: &ArgMatches) -> WholePathOptions {
    WholePathOptions {
        binaries: binaries(args),
        entries: required::<u16>(args, "entries").into(),
        executors: required::<u16>(args, "executors").into(),
        span_s: required(args, "span-s"),
        keeps_running: args.get_flag("stay"),
    }
}

/// Converts the parsed arguments of `bench --mix` into the options of [`crate::bench::run_mix`].
pub fn mix_options(args: &ArgMatches, binaries: PathBuf, mix: Mix) -> MixOptions {
    MixOptions {
        binaries,
        mix,
        load: required(args, "load"),
        span_s: required(args, "span-s"),
        seed: required(args, "seed"),
        may_bind: args.get_flag("bind"),
    }
}

/// Reads the options of `simulate`.
pub fn sim_options(args: &ArgMatches) -> SimOptions {
    let name_parts: Vec<&String> = args.get_many("scenario").into_iter().flatten().collect();
    let is_selected = |scenario: &Scenario| {
        name_parts.is_empty()
            || name_parts
                .iter()
                .any(|part| scenario.name().contains(*part))
    };
    SimOptions {
        mix: required(args, "mix"),
        seeds: (1..=required(args, "seeds")).collect(),
        scenarios: Scenario::ALL.into_iter().filter(is_selected).collect(),
        span_s: required(args, "span-s"),
        zone: ZoneOptions::default(),
    }
}
