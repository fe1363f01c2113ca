//! Settings of every process: JSON with comments, checked in full before anything opens.
//!
//! One table for each kind of file ([`tables`]) says which fields there are, of which unit, in
//! which range, with which default. It drives the check and the page docs/SETTINGS.md alike. A file with
//! faults is refused with all of them, each with its line, column and field, what was found and
//! what is allowed.

pub mod error;
pub mod field;
pub mod kind;
pub mod page;
pub mod place;
pub mod tables;

mod address;
mod check;
mod load;
mod suggest;

pub use error::{Fault, Result, SettingsError};
pub use kind::{
    ControlSettings, EntrySettings, LogFormat, LogLevel, LogSettings, OperatorSettings, Placement,
    ProcessAddress, Settings, SettingsKind,
};
pub use load::{load, read, read_kind};
