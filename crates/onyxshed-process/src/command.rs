//! The command line of a process: where its settings are, and whether only to check them.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};

use crate::run::{Process, run};

/// Exit code for settings that were refused.
const EXIT_SETTINGS: u8 = 2;

/// Makes the command line of a process.
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
                .help("Only checks the settings: exit code 0 if they hold, 2 if not"),
        )
}

const EXIT_CODES: &str = "\nExit codes: 0 drained, 1 did not start, 2 settings refused, 4 drain ran out of time, 5 ended \
                          at once.\nOnce it serves it writes one JSON line with its addresses to standard output.";

/// Reads the command line and the settings, and runs the process.
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
