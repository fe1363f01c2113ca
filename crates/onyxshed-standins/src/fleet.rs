//! The stand-ins of the users' platform: its store and its executors, as the platform's documentation
//! describes them.

pub mod executor;
pub mod executor_model;
pub mod groups;
pub mod store;

pub use executor::{FleetExecutor, FleetExecutorOptions};
pub use executor_model::ExecutorModel;
pub use store::FleetStore;
