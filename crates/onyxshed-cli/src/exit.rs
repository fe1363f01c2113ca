//! Exit codes of the command line.

use onyxshed_core::ResultCode;

/// The section of the help text that lists the exit codes.
pub const EXIT_HELP: &str = "\
Exit codes:
  0  done
  1  failed: the platform or a process can't be reached or refused
  2  the command line, the settings or the change is wrong; nothing was sent
  3  the change lost a race against another one and is not in force
  4  not known or not finished in time: ask again with the command that the error names
  5  answered in part: some process did not answer";

/// Returns the exit code of a command that failed, or whose output is incomplete, with the result
/// code `code`; see [`EXIT_HELP`].
pub fn exit_number(code: ResultCode) -> u8 {
    match code {
        ResultCode::Usage
        | ResultCode::SettingsUnreadable
        | ResultCode::SettingsInvalid
        | ResultCode::ChangeInvalid => 2,
        ResultCode::ChangeRaced => 3,
        ResultCode::ChangeUndecided | ResultCode::NotInForceYet => 4,
        ResultCode::PeerUnreachable => 5,
        _ => 1,
    }
}
