//! What the machine tells about itself.

use onyxshed_core::{Incarnation, Mono, Offset};
use onyxshed_policy::decision::WastedMessages;
use onyxshed_state::{Config, Member};

use super::Dispatch;

impl Dispatch {
    /// Gets when the machine wants a [`Input::Tick`] at the latest.
    pub fn wake_at(&self) -> Option<Mono> {
        self.wake_at
    }

    /// Gets the configuration in force.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// Gets how many peers are held to be live.
    pub fn live_peers(&self) -> usize {
        let is_live = |member: &&Member| member.state == onyxshed_state::MemberState::Live;
        self.members.values().filter(is_live).count()
    }

    /// Tells whether the claims stream has been read to its end.
    pub fn is_log_read(&self) -> bool {
        self.book.is_caught_up()
    }

    /// Gets the offset of the claims stream to read from next.
    pub fn next_log_offset(&self) -> Offset {
        self.book.next()
    }

    /// Gets how many jobs have not ended.
    pub fn live_jobs(&self) -> usize {
        self.jobs.live_count()
    }

    /// Gets how many submissions are remembered.
    pub fn remembered_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Gets how many attempts have not ended.
    pub fn live_attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Gets how many tasks wait for an executor.
    pub fn queued_tasks(&self) -> usize {
        self.policy.queued_tasks()
    }

    /// Gets the messages that served no answer, by kind.
    pub fn waste(&self) -> WastedMessages {
        self.policy.wasted_messages()
    }

    /// Gets how many records of the claims stream could not be read and were ignored.
    pub fn unreadable_records(&self) -> u64 {
        self.book.counts().unreadable
    }

    /// Gets the member of an incarnation.
    pub fn member(&self, incarnation: Incarnation) -> Option<&Member> {
        self.members.get(&incarnation)
    }
}
