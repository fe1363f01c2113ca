//! Read access to the state, for status reports, metrics and timers.

use onyxshed_core::{Incarnation, Mono, Offset};
use onyxshed_policy::decision::WastedMessages;
use onyxshed_state::{Config, Member};

use super::Dispatch;

impl Dispatch {
    /// Returns the time by which an [`Input::Tick`](crate::Input::Tick) is needed; `None` if no
    /// timer is pending.
    pub fn wake_at(&self) -> Option<Mono> {
        self.wake_at
    }

    /// Returns the configuration in force; `None` until the control process has sent a
    /// configuration.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// Returns the number of peers that are considered live.
    pub fn live_peers(&self) -> usize {
        let is_live = |member: &&Member| member.state == onyxshed_state::MemberState::Live;
        self.members.values().filter(is_live).count()
    }

    /// Returns whether the claims stream has been read to its end.
    pub fn is_log_read(&self) -> bool {
        self.book.is_caught_up()
    }

    /// Returns the offset from which to read the claims stream next.
    pub fn next_log_offset(&self) -> Offset {
        self.book.next()
    }

    /// Returns the number of jobs that have not ended.
    pub fn live_jobs(&self) -> usize {
        self.jobs.live_count()
    }

    /// Returns the number of submissions that are remembered: being claimed, running or ended.
    pub fn remembered_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of attempts that have not ended.
    pub fn live_attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the number of tasks that wait for an executor.
    pub fn queued_tasks(&self) -> usize {
        self.policy.queued_tasks()
    }

    /// Returns the number of messages that did not contribute to an answer, by kind.
    pub fn wasted_messages(&self) -> WastedMessages {
        self.policy.wasted_messages()
    }

    /// Returns the number of records of the claims stream that could not be decoded and were
    /// ignored.
    pub fn unreadable_records(&self) -> u64 {
        self.book.counts().unreadable
    }

    /// Returns the member with the given incarnation; `None` if it is not known.
    pub fn member(&self, incarnation: Incarnation) -> Option<&Member> {
        self.members.get(&incarnation)
    }
}
