//! Settings of every process: JSON with comments, checked in full before the process opens any
//! address.
//!
//! One table for each kind of file ([`tables`]) defines its fields with their units, ranges and
//! defaults. Both the check and the page docs/SETTINGS.md are derived from it. A file with faults
//! is rejected with all of them, each with its line, column and field, the value found and the
//! allowed values.

pub mod error;
pub mod field;
pub mod kind;
pub mod page;
pub mod position;
pub mod tables;

mod address;
mod check;
mod load;
mod suggest;

pub use error::{Fault, Result, SettingsError};
pub use kind::{
    CallerShareMode, ControlSettings, EntrySettings, LogFormat, LogLevel, LogSettings,
    OperatorSettings, Placement, ProcessAddress, ReturnPlanMode, Settings, SettingsKind,
};
pub use load::{check_text, load, read};
