//! The control process's command line.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};
use onyxshed_settings::ControlSettings;

/// Exit code for settings that were refused.
const EXIT_SETTINGS: u8 = 2;

/// Makes the command line.
pub fn command() -> Command {
    Command::new("onyxshed-control")
        .version(clap::crate_version!())
        .about("Keeps the entry process of one entry host informed")
        .after_help(
            "It may die, hang or restart without one request noticing: the entry process goes on \
             with the last state it was handed.\n\
             Signals: SIGTERM or SIGINT stop it in order; SIGQUIT ends it at once.\n\
             Exit codes: 0 drained, 1 did not start, 2 settings refused, 4 drain ran out of time, \
             5 ended at once.\n\
             Once it serves it writes one JSON line with its addresses to standard output.",
        )
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

/// Reads the command line and settings, and runs the process.
pub fn run(process: fn(ControlSettings) -> ExitCode) -> ExitCode {
    let matches = command().get_matches();
    let file: &PathBuf = matches.get_one("settings").expect("clap requires it");
    match onyxshed_settings::load::<ControlSettings>(file) {
        Err(error) => {
            eprintln!("{}", error.explain());
            ExitCode::from(EXIT_SETTINGS)
        }
        Ok(_) if matches.get_flag("check") => ExitCode::SUCCESS,
        Ok(settings) => process(settings),
    }
}
