//! Limits of the claim book and the rule that ties them to the log's retention.

use onyxshed_core::{Millis, RatePerS};

use crate::error::{Error, Result};

/// Limits of the claim book.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimOptions {
    /// Ids older than this are refused; less than half of the log's retention. Default 10 min.
    pub horizon_ms: Millis,
    /// Most that two clocks differ, of hosts or of the platform. Default 2 s.
    pub skew_ms: Millis,
    /// How long the log keeps a record. Default 30 min.
    pub retention_ms: Millis,
    /// Appends a second that all hosts together may make. Default 240.
    pub log_appends_per_s: RatePerS,
    /// Appends a second that this host may make, whatever its share of the total. It bounds the
    /// total when a partition makes hosts count fewer peers than there are. Default 30.
    pub appends_per_s: RatePerS,
    /// Most claims in one batch; the log's largest record bounds it too. Default 500.
    pub batch_max: usize,
    /// Most claims remembered, at about 81 bytes each. Past it the oldest ids are forgotten, and
    /// refused. Default 1,000,000.
    pub claims_max: usize,
    /// How long a consult waits for its claim to be read back. Default 2 s.
    pub read_back_timeout_ms: Millis,
    /// How long a batch that was not appended waits before the next try. Default 50 ms.
    pub retry_ms: Millis,
    /// How long a release waits for a batch of claims to ride on. Default 250 ms.
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
    /// Checks that the log keeps a claim for longer than anyone accepts its id.
    ///
    /// An id is accepted for a horizon and a skew after its time, and its first claim is appended
    /// no earlier than two skews before its time. So a record older than a horizon and four skews
    /// stands for ids that everyone refuses; two horizons leave room to read a long backlog.
    pub fn check(&self) -> Result<()> {
        let needed = Millis(2 * self.horizon_ms.0.max(4 * self.skew_ms.0));
        if self.retention_ms > needed {
            Ok(())
        } else {
            Err(Error::retention(self.retention_ms, needed))
        }
    }

    /// Gets the age at which a claim is forgotten: everyone's clock has then passed the horizon.
    pub(crate) fn keep_ms(&self) -> Millis {
        Millis(self.horizon_ms.0 + 2 * self.skew_ms.0)
    }
}
