//! Runs a command from its arguments to its exit code.

use std::ffi::OsString;
use std::io::{self, Write};
use std::process::ExitCode;

use clap::error::ErrorKind;
use onyxshed_core::ResultCode;
use serde::Serialize;

use crate::args::{self, Action};
use crate::error::{Error, Result};
use crate::exit::exit_number;
use crate::output::{Format, json};
use crate::{catalogue, check, command, drain, status, target, timeline, trace};

/// The text that a command prints, and whether anything is missing from it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandOutput {
    /// Text for standard output, already in the requested format.
    pub text: String,
    /// Code of the error that made the output incomplete; `None` if it is complete.
    pub incomplete: Option<ResultCode>,
}

impl From<String> for CommandOutput {
    fn from(text: String) -> Self {
        CommandOutput {
            text,
            incomplete: None,
        }
    }
}

#[derive(Serialize)]
struct JsonError<'a> {
    error: JsonErrorBody<'a>,
}

#[derive(Serialize)]
struct JsonErrorBody<'a> {
    code: ResultCode,
    text: &'a str,
}

/// Runs the command line with these arguments, of which the first is the program's name.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match command::command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => return ExitCode::from(report_parse_error(&error)),
    };
    let format = match args::is_json(&matches) {
        true => Format::Json,
        false => Format::Human,
    };
    let output = args::action(&matches).and_then(|action| execute(action, format));
    ExitCode::from(print_result(output, format))
}

/// Prints clap's help and version texts as they are, and its errors with this program's error number.
fn report_parse_error(error: &clap::Error) -> u8 {
    let rendered = error.render().to_string();
    match error.kind() {
        ErrorKind::DisplayHelp | ErrorKind::DisplayVersion => {
            print_text(&rendered);
            0
        }
        ErrorKind::DisplayHelpOnMissingArgumentOrSubcommand => {
            eprint!("{rendered}");
            exit_number(ResultCode::Usage)
        }
        _ => {
            let text = rendered.strip_prefix("error: ").unwrap_or(&rendered);
            eprint!("error {}: {text}", ResultCode::Usage);
            exit_number(ResultCode::Usage)
        }
    }
}

/// Prints the output or the error of a command and returns the exit code.
fn print_result(output: Result<CommandOutput>, format: Format) -> u8 {
    match output {
        Ok(output) => {
            print_text(&output.text);
            output.incomplete.map_or(0, exit_number)
        }
        Err(error) => {
            print_error(&error, format);
            exit_number(error.code())
        }
    }
}

/// Executes an action with the module that implements it.
fn execute(action: Action, format: Format) -> Result<CommandOutput> {
    match action {
        Action::Check { file, kind } => check::run(&file, kind, format).map(CommandOutput::from),
        Action::Explain(number) => catalogue::explain(&number, format).map(CommandOutput::from),
        Action::Trace { id, logs } => trace::run(&id, &logs, format).map(CommandOutput::from),
        Action::Publish(publish) => {
            async_io::block_on(target::publish(publish, format)).map(CommandOutput::from)
        }
        Action::Show { platform, class } => {
            async_io::block_on(target::show(platform, class, format)).map(CommandOutput::from)
        }
        Action::History {
            platform,
            class,
            change,
        } => async_io::block_on(target::history(platform, class, change, format))
            .map(CommandOutput::from),
        Action::Status(args) => Ok(async_io::block_on(status::run(&args, format))),
        Action::Timeline(args) => async_io::block_on(timeline::run(&args, format)),
        Action::Drain {
            process,
            should_wait,
            timeout_ms,
        } => async_io::block_on(drain::run(&process, should_wait, timeout_ms, format))
            .map(CommandOutput::from),
    }
}

/// Writes to standard output. A closed pipe (`| head`) is no failure of the command.
fn print_text(text: &str) {
    let mut stdout = io::stdout().lock();
    let _ = stdout
        .write_all(text.as_bytes())
        .and_then(|()| stdout.flush());
}

/// Writes an error to standard error.
fn print_error(error: &Error, format: Format) {
    match format {
        Format::Human => eprintln!("{}", error.explain()),
        Format::Json => {
            let explanation = error.explain();
            let prefix = format!("error {}: ", error.code());
            let text = explanation.strip_prefix(&prefix).unwrap_or(&explanation);
            let body = JsonErrorBody {
                code: error.code(),
                text,
            };
            eprint!("{}", json(&JsonError { error: body }));
        }
    }
}
