//! The command line of a process: the path of its settings file, and whether only to check it.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};

use crate::run::{Process, run};

/// Exit code for invalid or unreadable settings.
const EXIT_SETTINGS: u8 = 2;

/// Creates the command-line parser of a process.
pub fn command<P: Process>() -> Command {
    Command::new(P::NAME)
        .version(env!("CARGO_PKG_VERSION"))
        .about(P::ABOUT)
        .after_help(P::SIGNALS.to_owned() + EXIT_CODES)
        .arg(
            Arg::new("settings")
                .long("settings")
                .short('s')
                .required(true)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Settings in JSON with comments; docs/SETTINGS.md explains each"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Only checks the settings: exits with 0 if they are valid, 2 if not"),
        )
}

const EXIT_CODES: &str = "\nExit codes: 0 drained, 1 failed to start, 2 invalid settings, 4 drain timed out, 5 stopped \
                          immediately.\nWhen ready, it writes one JSON line with its addresses to standard output.";

/// Parses the command line, loads the settings and runs the process.
///
/// With `--check` the settings are only checked.
pub fn main<P: Process>() -> ExitCode {
    let matches = command::<P>().get_matches();
    let file: &PathBuf = matches.get_one("settings").expect("clap requires it");
    match onyxshed_settings::load::<P::Settings>(file) {
        Err(error) => {
            eprintln!("{}", error.explain());
            ExitCode::from(EXIT_SETTINGS)
        }
        Ok(_) if matches.get_flag("check") => ExitCode::SUCCESS,
        Ok(settings) => run::<P>(&settings),
    }
}
