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
use crate::{catalogue, check, command, drain, status, story, target, timeline};

/// The output of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Said {
    /// Text for standard output.
    pub text: String,
    /// Why the output is incomplete; `None` if it is complete.
    pub partly: Option<ResultCode>,
}

impl From<String> for Said {
    fn from(text: String) -> Self {
        Said { text, partly: None }
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
pub fn main(words: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match command::command().try_get_matches_from(words) {
        Ok(matches) => matches,
        Err(error) => return ExitCode::from(not_understood(&error)),
    };
    let format = match args::is_json(&matches) {
        true => Format::Json,
        false => Format::Human,
    };
    let said = args::action(&matches).and_then(|action| act(action, format));
    ExitCode::from(conclude(said, format))
}

/// Prints clap's help and version texts as they are, and its errors with this program's error number.
fn not_understood(error: &clap::Error) -> u8 {
    let rendered = error.render().to_string();
    match error.kind() {
        ErrorKind::DisplayHelp | ErrorKind::DisplayVersion => {
            say(&rendered);
            0
        }
        ErrorKind::DisplayHelpOnMissingArgumentOrSubcommand => {
            eprint!("{rendered}");
            exit_number(ResultCode::Usage)
        }
        _ => {
            let words = rendered.strip_prefix("error: ").unwrap_or(&rendered);
            eprint!("error {}: {words}", ResultCode::Usage);
            exit_number(ResultCode::Usage)
        }
    }
}

fn conclude(said: Result<Said>, format: Format) -> u8 {
    match said {
        Ok(said) => {
            say(&said.text);
            said.partly.map_or(0, exit_number)
        }
        Err(error) => {
            complain(&error, format);
            exit_number(error.code())
        }
    }
}

fn act(action: Action, format: Format) -> Result<Said> {
    match action {
        Action::Check { file, kind } => check::run(&file, kind, format).map(Said::from),
        Action::Explain(number) => catalogue::explain(&number, format).map(Said::from),
        Action::Story { id, logs } => story::run(&id, &logs, format).map(Said::from),
        Action::Publish(publish) => {
            async_io::block_on(target::publish(publish, format)).map(Said::from)
        }
        Action::Show { platform, class } => {
            async_io::block_on(target::show(platform, class, format)).map(Said::from)
        }
        Action::History {
            platform,
            class,
            change,
        } => async_io::block_on(target::history(platform, class, change, format)).map(Said::from),
        Action::Status(ask) => Ok(async_io::block_on(status::run(&ask, format))),
        Action::Timeline(args) => async_io::block_on(timeline::run(&args, format)),
        Action::Drain {
            process,
            is_waiting,
            timeout_ms,
        } => {
            async_io::block_on(drain::run(&process, is_waiting, timeout_ms, format)).map(Said::from)
        }
    }
}

/// Writes to standard output. A closed pipe (`| head`) is no failure of the command.
fn say(text: &str) {
    let mut stdout = io::stdout().lock();
    let _ = stdout
        .write_all(text.as_bytes())
        .and_then(|()| stdout.flush());
}

fn complain(error: &Error, format: Format) {
    match format {
        Format::Human => eprintln!("{}", error.explain()),
        Format::Json => {
            let explained = error.explain();
            let head = format!("error {}: ", error.code());
            let text = explained.strip_prefix(&head).unwrap_or(&explained);
            let body = JsonErrorBody {
                code: error.code(),
                text,
            };
            eprint!("{}", json(&JsonError { error: body }));
        }
    }
}
