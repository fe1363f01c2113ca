//! What a process tells about itself: log, metrics, time line and the admin address.
//!
//! [`Telemetry`] subscribes to the kernel's event bus, so every event reaches all three alike. The
//! [`AdminService`] serves them to operators.

pub mod admin;
pub mod budget;
pub mod error;
pub mod line;
pub mod log;
pub mod metric;
pub mod telemetry;
pub mod timeline;

mod usage;

pub use admin::AdminService;
pub use error::{Error, Result};
pub use log::Log;
pub use metric::Metrics;
pub use telemetry::{StatusParts, Telemetry, TelemetryOptions};
pub use timeline::{Filter, Timeline};
