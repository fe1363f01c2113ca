//! The telemetry of a process: log, metrics, time line and admin address.
//!
//! [`Telemetry`] subscribes to the kernel's event bus, so log, metrics and time line receive the
//! same events. The [`AdminService`] serves metrics, status and time line to operators.

pub mod admin;
pub mod budget;
pub mod error;
pub mod line;
pub mod log;
pub mod metric;
pub mod refusals;
pub mod telemetry;
pub mod timeline;

mod usage;

pub use admin::AdminService;
pub use error::{Error, Result};
pub use log::Log;
pub use metric::Metrics;
pub use telemetry::{StatusParts, Telemetry, TelemetryOptions};
pub use timeline::{Filter, Timeline};
