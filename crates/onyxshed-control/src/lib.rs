//! The control process: knows what the entry process of its host needs to know.
//!
//! [`config_follower`] folds the platform's configuration stream, [`host_follower`] reads its lagging
//! list of hosts, [`peers`] exchanges digests with the control processes of other hosts, and
//! [`entry_link`] hands the sum, a snapshot, to the entry process. [`knowledge`] is what they share.
//! This process may die, hang or restart without one request noticing.

pub mod config_follower;
pub mod entry_link;
pub mod host_follower;
pub mod knowledge;
pub mod names;
pub mod peers;
pub mod process;
pub mod republisher;
