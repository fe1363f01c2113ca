//! Types shared by every onyxshed crate.
//!
//! An entry host receives submissions, which are jobs of several tasks, from callers. It starts the
//! tasks on executors, the workers of a service called upstream. This crate defines identifiers,
//! units, the target of a class, outcomes and result codes, the catalogue of events, and the
//! clocks. It makes no decisions and performs no I/O: time is always passed in as a [`Now`], so
//! code built on these types can be replayed exactly.

pub mod code;
pub mod error;
pub mod event;
pub mod hlc;
pub mod id;
pub mod outcome;
pub mod target;
pub mod time;
pub mod units;

pub use code::ResultCode;
pub use error::{Error, Result};
pub use event::{Event, EventKind};
pub use hlc::{Hlc, HlcClock};
pub use id::{
    CallerId, ChangeId, ClassName, ExecutorName, HostName, Incarnation, Offset, Revision,
    SubmissionId, TaskId, UpstreamName, ZoneName,
};
pub use outcome::Outcome;
pub use target::ClassTarget;
pub use time::{Mono, Now, UnixMs};
pub use units::{Bytes, Micros, Millis, RatePerS, Share, Slots};
