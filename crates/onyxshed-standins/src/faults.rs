//! A TCP proxy that delays, drops or closes connections on command.

pub mod control;
pub mod mode;
pub mod pump;
pub mod route;

pub use control::Proxy;
pub use mode::{Mode, NewRoute, SetMode};
pub use route::Route;
