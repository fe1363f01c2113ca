//! The drain of an entry host, and the answers to its open requests when no time is left.

use onyxshed_core::{Now, ResultCode};

use super::Dispatch;
use crate::job::{AbortCodes, Job};

/// Progress of the drain; it never goes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DrainState {
    /// New submissions are accepted.
    NotDraining,
    /// New submissions are refused, and open requests wait for their answers.
    Draining,
    /// No request waits any more.
    Expired,
}

impl Dispatch {
    pub(super) fn begin_drain(&mut self) {
        self.drain_state = self.drain_state.max(DrainState::Draining);
    }

    /// Ends every job and answers every open request. From now on no request waits for a peer.
    ///
    /// The process exits soon after, and a request that is still open then gets no answer at all.
    pub(super) fn expire_drain(&mut self, now: Now) {
        self.drain_state = DrainState::Expired;
        for id in self.jobs.live_ids() {
            match self.jobs.get(id) {
                Some(Job::Claiming(_)) => self.refuse_unclaimed(now, id, ResultCode::Draining),
                _ => self.abort(now, id, AbortCodes::HOST_STOPPED, ""),
            }
        }
        self.refuse_all_forwards(ResultCode::StoppedInDoubt);
    }

    pub(super) fn is_draining(&self) -> bool {
        self.drain_state >= DrainState::Draining
    }

    pub(super) fn is_drain_expired(&self) -> bool {
        self.drain_state == DrainState::Expired
    }
}
