//! The control process: supplies the entry process of its host with the state that it works with.
//!
//! [`config_follower`] folds the platform's configuration stream, [`host_follower`] polls the platform's
//! list of hosts, which lags behind, [`peers`] exchanges gossip with the control processes of other
//! hosts, [`republisher`] appends the configuration again before its records expire, and [`entry_link`]
//! sends the combined state to the entry process as a snapshot. [`shared_state`] holds the state that these
//! services share. A crash, hang or restart of this process does not affect requests.

pub mod config_follower;
pub mod entry_link;
pub mod host_follower;
pub mod names;
pub mod peers;
pub mod process;
pub mod republisher;
pub mod shared_state;
