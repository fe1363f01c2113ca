//! Times and bounds of the membership.

use onyxshed_core::Millis;

/// Times and bounds of the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberOptions {
    /// How long a peer's count may stand still before it is suspected, for as many peers as one
    /// message tells of; twice that for twice as many, and so on. Default 6 s.
    pub suspect_ms: Millis,
    /// How long it may stand still before the platform's list is asked, growing likewise. Default
    /// 15 s.
    pub gone_ms: Millis,
    /// How long this process may not have run before it counts as paused. Default 2 s.
    pub pause_ms: Millis,
    /// How long an incarnation that is gone is remembered. Default 20 min, twice the horizon.
    pub keep_gone_ms: Millis,
    /// Peers of the own zone told in each round. Default 1.
    pub zone_fanout: usize,
    /// One round in so many tells a peer of another zone. Default 1.
    pub foreign_every: u64,
    /// One round in so many tells an address from the settings. Default 8.
    pub seed_every: u64,
    /// Most heartbeats passed on in a message. Default 12.
    pub digest_max: usize,
    /// Most peers remembered. Default 1024.
    pub members_max: usize,
}

impl Default for MemberOptions {
    fn default() -> Self {
        MemberOptions {
            suspect_ms: Millis(6_000),
            gone_ms: Millis(15_000),
            pause_ms: Millis(2_000),
            keep_gone_ms: Millis(1_200_000),
            zone_fanout: 1,
            foreign_every: 1,
            seed_every: 8,
            digest_max: 12,
            members_max: 1_024,
        }
    }
}

impl MemberOptions {
    /// Gets a span for a table of `peers` peers. A message has room for a bounded number of
    /// heartbeats, so the more peers there are, the longer each takes to come round.
    pub(super) fn stretched(&self, span: Millis, peers: usize) -> Millis {
        let messages = peers.div_ceil(self.digest_max.max(1)).max(1);
        Millis(span.0.saturating_mul(messages as u64))
    }
}
