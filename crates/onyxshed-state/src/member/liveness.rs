//! Judges peers by their silence and the platform's list, and this process by its own clocks.

use onyxshed_core::{HostName, Incarnation, Micros, Millis, Mono, Now};
use onyxshed_wire::platform::HostState;

use super::{Heartbeat, MemberState, MemberTable, MembershipEvent};

/// What to do about a silent peer.
enum Judgement {
    Stay,
    Suspect,
    Bury,
}

impl MemberTable {
    /// Judges every peer; called at least once a round.
    pub fn tick(&mut self, now: Now) -> Vec<MembershipEvent> {
        self.notice_pause(now);
        let incarnations: Vec<Incarnation> = self.peers.keys().copied().collect();
        for incarnation in incarnations {
            match self.judge(now, incarnation) {
                Judgement::Stay => {}
                Judgement::Suspect => self.suspect(incarnation),
                Judgement::Bury => self.bury(now, incarnation),
            }
        }
        let keep = Micros::from(self.options.keep_gone_ms);
        self.gone.retain(|_, since| now.mono.since(*since) <= keep);
        std::mem::take(&mut self.notes)
    }

    /// Goes on for a new life of this host, whose former one is gone. What is known of peers stays;
    /// in a table made afresh the former life, which still holds claims, would be unknown.
    pub fn restart(&mut self, now: Now, me: Heartbeat) -> Vec<MembershipEvent> {
        let former = std::mem::replace(&mut self.me, me);
        if former.incarnation != self.me.incarnation {
            self.gone.insert(former.incarnation, now.mono);
            self.notes.push(MembershipEvent::Gone(former.incarnation));
        }
        std::mem::take(&mut self.notes)
    }

    /// Notices that this process has not run for a while.
    ///
    /// Without it a process that thaws would hold all its peers to be silent, though it was itself
    /// that did not listen. So what was heard before counts as heard that much later. The wall
    /// clock is watched too: some systems stop the monotonic clock while they are suspended.
    pub(super) fn notice_pause(&mut self, now: Now) {
        let Some(last) = self.last.replace(now) else {
            return;
        };
        let ran_on = now.mono.since(last.mono);
        let span = ran_on.as_millis().max(now.wall.since(last.wall));
        if span <= self.options.pause_ms {
            return;
        }
        for peer in self.peers.values_mut() {
            peer.heard_at = peer.heard_at + ran_on;
        }
        self.notes.push(MembershipEvent::Paused(span));
    }

    /// Holds an incarnation to be gone for good.
    pub(super) fn bury(&mut self, now: Now, incarnation: Incarnation) {
        if self.peers.remove(&incarnation).is_some() {
            self.gone.insert(incarnation, now.mono);
            self.notes.push(MembershipEvent::Gone(incarnation));
        }
    }

    fn judge(&self, now: Now, incarnation: Incarnation) -> Judgement {
        let Some(peer) = self.peers.get(&incarnation) else {
            return Judgement::Stay;
        };
        let silent = now.mono.since(peer.heard_at);
        let allowed = |span| Micros::from(self.options.stretched(span, self.peers.len()));
        if silent <= allowed(self.options.suspect_ms) {
            return Judgement::Stay;
        }
        let is_long = silent > allowed(self.options.gone_ms);
        if is_long && self.is_unlisted(&peer.beat.host, peer.heard_at) {
            return Judgement::Bury;
        }
        match peer.state {
            MemberState::Live => Judgement::Suspect,
            MemberState::Suspect | MemberState::Gone => Judgement::Stay,
        }
    }

    fn suspect(&mut self, incarnation: Incarnation) {
        if let Some(peer) = self.peers.get_mut(&incarnation) {
            peer.state = MemberState::Suspect;
            self.notes.push(MembershipEvent::Suspected(incarnation));
        }
    }

    /// Tells whether a list that is newer than what was heard of a host holds it out of service.
    fn is_unlisted(&self, host: &HostName, heard_at: Mono) -> bool {
        let Some(listed) = &self.listed else {
            return false;
        };
        let is_in_service = listed
            .hosts
            .get(host)
            .is_some_and(|host| host.state == HostState::Live);
        listed.as_of > heard_at && !is_in_service
    }

    /// Gets how long this host has not heard of an incarnation.
    pub fn silence_ms(&self, now: Now, incarnation: Incarnation) -> Option<Millis> {
        let peer = self.peers.get(&incarnation)?;
        Some(now.mono.since(peer.heard_at).as_millis())
    }
}
