//! Times and limits of the membership.

use onyxshed_core::Millis;

/// Times and limits of the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberOptions {
    /// How long a peer's counter may not advance before the peer is suspected, for as many peers as
    /// one message holds. With twice as many peers it is twice as long, and so on. Default 6 s.
    pub suspect_ms: Millis,
    /// How long a peer's counter may not advance before the platform's list decides whether the
    /// peer is gone. It grows with the number of peers like `suspect_ms`. Default 15 s.
    pub gone_ms: Millis,
    /// How long this process may not run before a pause is reported. Default 2 s.
    pub pause_ms: Millis,
    /// How long an incarnation that is gone is remembered. Default 20 min, twice the claim horizon.
    pub keep_gone_ms: Millis,
    /// Number of peers in the same zone that get a message in each round. Default 1.
    pub zone_fanout: usize,
    /// Interval, in rounds, at which a peer in another zone gets a message. Default 1.
    pub other_zone_every: u64,
    /// Interval, in rounds, at which a configured address gets a message. Default 8.
    pub seed_every: u64,
    /// Maximum number of heartbeats forwarded in a message. Default 12.
    pub digest_max: usize,
    /// Maximum number of peers remembered. Default 1024.
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
            other_zone_every: 1,
            seed_every: 8,
            digest_max: 12,
            members_max: 1_024,
        }
    }
}

impl MemberOptions {
    /// Returns `span` scaled to a table of `peers` peers. A message holds a limited number of
    /// heartbeats, so the more peers there are, the longer each takes to be forwarded again.
    pub(super) fn scaled(&self, span: Millis, peers: usize) -> Millis {
        let messages = peers.div_ceil(self.digest_max.max(1)).max(1);
        Millis(span.0.saturating_mul(messages as u64))
    }
}
