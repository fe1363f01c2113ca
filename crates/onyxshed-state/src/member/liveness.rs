//! Detects unresponsive peers (from their heartbeats and the platform's list of hosts) and pauses
//! of this process (from its own clocks).

use onyxshed_core::{HostName, Incarnation, Micros, Millis, Mono, Now};
use onyxshed_wire::platform::HostState;

use super::{Heartbeat, MemberState, MemberTable, MembershipEvent};

/// What [`MemberTable::tick`] does with a peer: keep its state, suspect it, or remove it as gone.
enum Transition {
    Keep,
    Suspect,
    Remove,
}

impl MemberTable {
    /// Updates the state of every peer and returns the membership changes. Must be called at least
    /// once per round.
    pub fn tick(&mut self, now: Now) -> Vec<MembershipEvent> {
        self.detect_pause(now);
        let incarnations: Vec<Incarnation> = self.peers.keys().copied().collect();
        for incarnation in incarnations {
            match self.next_transition(now, incarnation) {
                Transition::Keep => {}
                Transition::Suspect => self.mark_suspect(incarnation),
                Transition::Remove => self.remove_gone(now, incarnation),
            }
        }
        let keep = Micros::from(self.options.keep_gone_ms);
        self.gone.retain(|_, since| now.mono.since(*since) <= keep);
        std::mem::take(&mut self.events)
    }

    /// Continues with a new incarnation of this host, and records the former incarnation as gone.
    ///
    /// The known peers are kept. A new table would not know that the former incarnation, which
    /// still holds claims, is gone.
    pub fn restart(&mut self, now: Now, own: Heartbeat) -> Vec<MembershipEvent> {
        let former = std::mem::replace(&mut self.own, own);
        if former.incarnation != self.own.incarnation {
            self.gone.insert(former.incarnation, now.mono);
            self.events.push(MembershipEvent::Gone(former.incarnation));
        }
        std::mem::take(&mut self.events)
    }

    /// Detects that this process has not run for longer than
    /// [`MemberOptions::pause_ms`](super::MemberOptions::pause_ms).
    ///
    /// Without this, a process that thaws would consider all its peers unresponsive, although the
    /// process itself has received nothing. So the time of the last heartbeat of each peer is moved
    /// by the length of the pause. The wall clock is checked too, because some systems stop the
    /// monotonic clock while they are suspended.
    pub(super) fn detect_pause(&mut self, now: Now) {
        let Some(last_run) = self.last_run.replace(now) else {
            return;
        };
        let mono_elapsed = now.mono.since(last_run.mono);
        let span = mono_elapsed.as_millis().max(now.wall.since(last_run.wall));
        if span <= self.options.pause_ms {
            return;
        }
        for peer in self.peers.values_mut() {
            peer.advanced_at = peer.advanced_at + mono_elapsed;
        }
        self.events.push(MembershipEvent::Paused(span));
    }

    /// Removes a peer and records its incarnation as permanently gone.
    pub(super) fn remove_gone(&mut self, now: Now, incarnation: Incarnation) {
        if self.peers.remove(&incarnation).is_some() {
            self.gone.insert(incarnation, now.mono);
            self.events.push(MembershipEvent::Gone(incarnation));
        }
    }

    /// Determines the transition of a peer from the time since its counter last advanced, and from
    /// the platform's list once that time exceeds `gone_ms`.
    fn next_transition(&self, now: Now, incarnation: Incarnation) -> Transition {
        let Some(peer) = self.peers.get(&incarnation) else {
            return Transition::Keep;
        };
        let heartbeat_age = now.mono.since(peer.advanced_at);
        let allowed = |span| Micros::from(self.options.scaled(span, self.peers.len()));
        if heartbeat_age <= allowed(self.options.suspect_ms) {
            return Transition::Keep;
        }
        let has_expired = heartbeat_age > allowed(self.options.gone_ms);
        if has_expired && self.is_out_of_service(&peer.heartbeat.host, peer.advanced_at) {
            return Transition::Remove;
        }
        match peer.state {
            MemberState::Live => Transition::Suspect,
            MemberState::Suspect | MemberState::Gone => Transition::Keep,
        }
    }

    fn mark_suspect(&mut self, incarnation: Incarnation) {
        if let Some(peer) = self.peers.get_mut(&incarnation) {
            peer.state = MemberState::Suspect;
            self.events.push(MembershipEvent::Suspected(incarnation));
        }
    }

    /// Returns whether the platform's list shows a host as out of service, and is newer than the
    /// last heartbeat of the host.
    fn is_out_of_service(&self, host: &HostName, advanced_at: Mono) -> bool {
        let Some(host_list) = &self.host_list else {
            return false;
        };
        let is_in_service = host_list
            .hosts
            .get(host)
            .is_some_and(|host| host.state == HostState::Live);
        host_list.as_of > advanced_at && !is_in_service
    }

    /// Returns the time since the counter of an incarnation last advanced; `None` if it is not a
    /// known peer.
    pub fn heartbeat_age_ms(&self, now: Now, incarnation: Incarnation) -> Option<Millis> {
        let peer = self.peers.get(&incarnation)?;
        Some(now.mono.since(peer.advanced_at).as_millis())
    }
}
