//! Limits of the claim book, and the constraint between them and the log's retention.

use onyxshed_core::{Millis, RatePerS};

use crate::error::{Error, Result};

/// Limits and time spans of the claim book.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimOptions {
    /// Ids older than this are rejected; must be less than half of the log's retention. Default 10
    /// min.
    pub horizon_ms: Millis,
    /// Largest difference between any two clocks, of hosts or of the platform. Default 2 s.
    pub skew_ms: Millis,
    /// How long the log retains a record. Default 30 min.
    pub retention_ms: Millis,
    /// Appends per second that all hosts together may make. Default 240.
    pub log_appends_per_s: RatePerS,
    /// Appends per second that this host may make, whatever its share of the total. This limit
    /// bounds the total when a partition makes hosts count fewer peers than exist. Default 30.
    pub appends_per_s: RatePerS,
    /// Maximum number of claims in one batch; the log's maximum record size limits it too. Default
    /// 500.
    pub batch_max: usize,
    /// Maximum number of claims remembered, at about 81 bytes each. Beyond it the oldest ids are
    /// forgotten and from then on rejected. Default 1,000,000.
    pub claims_max: usize,
    /// How long a claim may wait to be read back before it fails. Default 2 s.
    pub read_back_timeout_ms: Millis,
    /// Delay before a batch that was not appended is retried. Default 50 ms.
    pub retry_ms: Millis,
    /// How long a release waits to be sent together with claims before it is sent alone. Default
    /// 250 ms.
    pub release_delay_ms: Millis,
}

impl Default for ClaimOptions {
    fn default() -> Self {
        ClaimOptions {
            horizon_ms: Millis(600_000),
            skew_ms: Millis(2_000),
            retention_ms: Millis(1_800_000),
            log_appends_per_s: RatePerS(240),
            appends_per_s: RatePerS(30),
            batch_max: 500,
            claims_max: 1_000_000,
            read_back_timeout_ms: Millis(2_000),
            retry_ms: Millis(50),
            release_delay_ms: Millis(250),
        }
    }
}

impl ClaimOptions {
    /// Checks that the log retains a claim for longer than any host accepts its id.
    ///
    /// An id is accepted until a horizon and a skew after its time, and its first claim is appended
    /// no earlier than two skews before its time. So a record older than a horizon and four skews
    /// only contains ids that every host rejects. The check requires more than twice the larger of
    /// the horizon and four skews, which leaves time to read a long backlog.
    pub fn check(&self) -> Result<()> {
        let needed = Millis(2 * self.horizon_ms.0.max(4 * self.skew_ms.0));
        if self.retention_ms > needed {
            Ok(())
        } else {
            Err(Error::retention(self.retention_ms, needed))
        }
    }

    /// Returns the age at which a claim is forgotten: by then the id is past the horizon on every
    /// host's clock.
    pub(crate) fn claim_max_age_ms(&self) -> Millis {
        Millis(self.horizon_ms.0 + 2 * self.skew_ms.0)
    }
}
