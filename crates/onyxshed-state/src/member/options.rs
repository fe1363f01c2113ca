//! Options of the membership state machine.

use onyxshed_core::Millis;

/// Time limits of the membership state machine, and limits on its messages and its table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberOptions {
    /// Time without an advance of a peer's counter after which the peer is suspected. Applies to as
    /// many peers as one message contains; with twice as many peers the time is twice as long, and so
    /// on. Default 6 s.
    pub suspect_ms: Millis,
    /// Time without an advance of a peer's counter after which the platform's list decides whether
    /// the peer is gone. It grows with the number of peers like `suspect_ms`. Default 15 s.
    pub gone_ms: Millis,
    /// A pause is reported if this process has not run for longer than this time. Default 2 s.
    pub pause_ms: Millis,
    /// How long an incarnation that is gone is remembered, so that it is not admitted again.
    /// Default 20 min, twice the claim horizon.
    pub keep_gone_ms: Millis,
    /// Number of peers in the same zone to which a message is sent in each round. Default 1.
    pub zone_fanout: usize,
    /// Interval, in rounds, at which a message is sent to a peer in another zone. Default 1.
    pub other_zone_every: u64,
    /// Interval, in rounds, at which a message is sent to a configured address. Default 8.
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
    /// Returns `span` scaled to a table of `peers` peers. A message contains a limited number of
    /// heartbeats, so the more peers there are, the longer each takes to be forwarded again.
    pub(super) fn scaled(&self, span: Millis, peers: usize) -> Millis {
        let messages = peers.div_ceil(self.digest_max.max(1)).max(1);
        Millis(span.0.saturating_mul(messages as u64))
    }
}
