//! `onyxshed target`: reads and publishes the targets of classes.

mod log;
mod publish;
mod show;
mod wait;

pub use log::ConfigLog;
pub use publish::{prepare, publish, send};
pub use show::{history, show};
pub use wait::wait_in_force;
