//! Calls to the platform's store, counted by their purpose.

use std::net::SocketAddr;
use std::time::Duration;

use onyxshed_adapter::Store;
use onyxshed_adapter::store::CallUsage;
use onyxshed_http::connections::ReusePolicy;
use onyxshed_telemetry::metric::labelled_counter;

/// Name of the counter of calls to the store.
pub const STORE_CALLS_TOTAL: &str = "onyxshed_store_calls_total";

/// Name of the counter of the bytes of the bodies that were sent to the store and received from it.
pub const STORE_BYTES_TOTAL: &str = "onyxshed_store_bytes_total";

/// Name of the counter of idle connections to the store that were replaced instead of reused.
pub const STORE_CONNECTIONS_REPLACED_TOTAL: &str = "onyxshed_store_connections_replaced_total";

/// Time since the last reply after which a connection to the store is replaced.
///
/// Existing connections may permanently stop delivering data while new ones work, and a call on such a
/// connection is lost with its whole timeout.
const CONNECTION_REUSE_WITHIN: Duration = Duration::from_secs(1);

/// What a call to the store is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StorePurpose {
    /// To follow the manifest and the evacuations.
    Operators,
    /// To follow the shard layouts.
    Layouts,
    /// To follow the records of new owners.
    OwnerRecords,
    /// To look up the owner of a pool.
    Lookups,
    /// To acquire, renew and give up the ownership of a pool.
    Ownership,
    /// To read the executors' entries.
    Executors,
}

impl StorePurpose {
    /// Returns the value of the label of the counters.
    pub fn label(self) -> &'static str {
        match self {
            StorePurpose::Operators => "operators",
            StorePurpose::Layouts => "layouts",
            StorePurpose::OwnerRecords => "owner_records",
            StorePurpose::Lookups => "lookups",
            StorePurpose::Ownership => "ownership",
            StorePurpose::Executors => "executors",
        }
    }
}

/// Returns a client of the store whose calls are counted.
pub fn open(address: SocketAddr, purpose: StorePurpose) -> Store {
    let text = "Calls to the store, by purpose.";
    let calls = labelled_counter(STORE_CALLS_TOTAL, text, "purpose", purpose.label());
    let text = "Bytes of bodies sent to the store and received from it, by purpose.";
    let bytes = labelled_counter(STORE_BYTES_TOTAL, text, "purpose", purpose.label());
    let text = "Idle connections to the store that were replaced instead of reused, by purpose.";
    let name = STORE_CONNECTIONS_REPLACED_TOTAL;
    let replaced = labelled_counter(name, text, "purpose", purpose.label());
    let reuse = ReusePolicy::AnsweredWithin(CONNECTION_REUSE_WITHIN);
    Store::new(address, reuse).metered(move |usage: CallUsage| {
        calls.increment(1);
        bytes.increment(usage.sent_bytes + usage.received_bytes);
        replaced.increment(usage.replaced_connections);
    })
}
