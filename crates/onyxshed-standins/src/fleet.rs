//! The users' platform: its store and its executors, as their pages describe them.

pub mod executor;
pub mod groups;
pub mod run_book;
pub mod store;

pub use executor::{FleetExecutor, FleetExecutorOptions};
pub use run_book::RunBook;
pub use store::FleetStore;
