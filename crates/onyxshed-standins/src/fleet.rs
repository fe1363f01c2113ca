//! The stand-ins of the users' platform: its store and its executors, as the platform's documentation
//! describes them.

pub mod executor;
pub mod groups;
pub mod run_book;
pub mod store;

pub use executor::{FleetExecutor, FleetExecutorOptions};
pub use run_book::RunBook;
pub use store::FleetStore;
