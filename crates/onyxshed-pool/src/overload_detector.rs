//! Detection of overload from measures that a pool's owner takes at each tick.
//!
//! | from | to | when |
//! |---|---|---|
//! | normal | overloaded | on two ticks in succession, more is offered than the room, or a job has waited for half of its slack while most of the room is in use |
//! | overloaded | normal | for 500 ms, less than 0.85 of the room is offered and no job has waited for an eighth of its slack |
//! | any | saturated | on two ticks in succession, the tick is late by half of the shortest slack of the last second |
//! | saturated | overloaded | for 500 ms, no tick is late by half of that slack |
//!
//! The slack of a job is its target less the run time of a task: a job that starts later than that
//! misses its target. The bounds are shares of it, so they follow from what callers need. The bounds
//! for leaving a state are lower than those for entering it, and a single late tick, such as the first
//! one after a short pause of the process, changes nothing.

use std::fmt;

use onyxshed_core::{Micros, Millis, Mono};

use crate::overload::OverloadState;

/// Interval at which the owner's host evaluates the timers of its pool.
pub const TICK_PERIOD: Millis = Millis(20);

/// Number of ticks in succession that show a higher state before it is entered.
const ENTER_TICKS: u32 = 2;

/// How long the measures have to be below the bounds for leaving before a state is left. Shorter than a
/// second, so that levels of admission are gone a second after the load; several times the slack of
/// a short job, so that one burst is one overload.
const LEAVE_AFTER: Millis = Millis(500);

/// Share of a job's slack, in thousandths, that it has waited for when overload is entered. The
/// other half is left for the decisions of overload to have an effect.
const ENTER_WAIT_MILLIS: u64 = 500;

/// Like [`ENTER_WAIT_MILLIS`], for leaving overload.
const LEAVE_WAIT_MILLIS: u64 = 125;

/// Share of the room, in thousandths, below which the offered work is when overload is left.
const LEAVE_OFFERED_MILLIS: u64 = 850;

/// Share of the shortest slack, in thousandths, by which ticks are late in a saturated host.
const LATE_TICK_MILLIS: u64 = 500;

/// How long a slack counts after it was seen.
const SLACK_WINDOW: Millis = Millis(1_000);

/// Wait of a job that has not started, with the time that it can wait without missing its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobWait {
    /// Time since the job arrived at its entry host.
    pub waited: Micros,
    /// Target of the job less the run time of a task.
    pub slack: Micros,
}

impl JobWait {
    /// Returns the part of the slack that the job has waited for, in thousandths; the whole if there
    /// is no slack.
    pub fn used_millis(self) -> u64 {
        match self.slack {
            Micros(0) => 1_000,
            slack => self.waited.0.saturating_mul(1_000) / slack.0,
        }
    }
}

/// What the owner measures at a tick.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadSample {
    /// Work that arrived within the last second, in thousandths of a core.
    pub offered_cpu_millis: u64,
    /// Capacity of the usable executors at the speeds seen, in thousandths of a core. 0 if the pool can't
    /// start tasks.
    pub room_cpu_millis: u64,
    /// Part of the room on which no run was ordered, in thousandths of a core.
    pub free_cpu_millis: u64,
    /// The job that has waited for the largest part of its slack, among those that have not started
    /// and can still be on target.
    pub longest_wait: Option<JobWait>,
    /// Shortest slack of the jobs that are queued or running.
    pub least_slack: Option<Micros>,
    /// Time by which the tick is late.
    pub tick_lateness: Micros,
}

impl fmt::Display for LoadSample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "offered {}mcpu, room {}mcpu, free {}mcpu, ",
            self.offered_cpu_millis, self.room_cpu_millis, self.free_cpu_millis
        )?;
        match self.longest_wait {
            Some(wait) => write!(f, "waited {} of {}", wait.waited, wait.slack)?,
            None => write!(f, "no wait")?,
        }
        write!(f, ", tick late by {}", self.tick_lateness)
    }
}

/// A change of the state of overload, with the measures that caused it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverloadChange {
    /// State that is left.
    pub from: OverloadState,
    /// State that is entered.
    pub to: OverloadState,
    /// Measures of the tick.
    pub sample: LoadSample,
}

/// Detector of the state of overload; a new one starts in [`OverloadState::Normal`].
#[derive(Debug, Default)]
pub struct OverloadDetector {
    state: OverloadState,
    /// Ticks in succession that have shown more load than room.
    pressed_ticks: u32,
    /// Ticks in succession that were late.
    late_ticks: u32,
    calm_since: Option<Mono>,
    in_time_since: Option<Mono>,
    slack: SlackWindow,
}

impl OverloadDetector {
    /// Returns the detected state.
    pub fn state(&self) -> OverloadState {
        self.state
    }

    /// Updates the state by the measures of a tick, and returns the change, if any.
    pub fn observe(&mut self, now: Mono, sample: &LoadSample) -> Option<OverloadChange> {
        self.slack.observe(now, sample.least_slack);
        self.count_ticks(now, sample);
        let (from, to) = (self.state, self.next_state(now));
        self.state = to;
        (from != to).then_some(OverloadChange {
            from,
            to,
            sample: *sample,
        })
    }

    fn count_ticks(&mut self, now: Mono, sample: &LoadSample) {
        self.pressed_ticks = match is_pressed(sample) {
            true => self.pressed_ticks.saturating_add(1),
            false => 0,
        };
        let is_late = self.slack.least().is_some_and(|slack| {
            sample.tick_lateness.0.saturating_mul(1_000) >= slack.0.saturating_mul(LATE_TICK_MILLIS)
                && sample.tick_lateness.0 > 0
        });
        self.late_ticks = match is_late {
            true => self.late_ticks.saturating_add(1),
            false => 0,
        };
        self.calm_since = is_calm(sample).then(|| self.calm_since.unwrap_or(now));
        self.in_time_since = (!is_late).then(|| self.in_time_since.unwrap_or(now));
    }

    fn next_state(&self, now: Mono) -> OverloadState {
        if self.late_ticks >= ENTER_TICKS {
            return OverloadState::Saturated;
        }
        match self.state {
            OverloadState::Normal if self.pressed_ticks >= ENTER_TICKS => OverloadState::Overloaded,
            OverloadState::Overloaded if has_lasted(now, self.calm_since) => OverloadState::Normal,
            OverloadState::Saturated if has_lasted(now, self.in_time_since) => {
                OverloadState::Overloaded
            }
            state => state,
        }
    }
}

/// Returns whether the measures of a tick show more load than the pool can serve in time.
///
/// A job may wait for the only executor with its label, or for a large one, while most of the pool is
/// idle, so a wait counts only if most of the room is in use.
fn is_pressed(sample: &LoadSample) -> bool {
    let is_in_use = sample.free_cpu_millis * 2 < sample.room_cpu_millis;
    let has_waited = sample
        .longest_wait
        .is_some_and(|wait| wait.used_millis() >= ENTER_WAIT_MILLIS);
    let is_over_room = sample.offered_cpu_millis > sample.room_cpu_millis;
    sample.room_cpu_millis > 0 && (is_over_room || (has_waited && is_in_use))
}

/// Returns whether the measures of a tick are below the bounds for leaving overload.
fn is_calm(sample: &LoadSample) -> bool {
    let has_room =
        sample.offered_cpu_millis * 1_000 <= sample.room_cpu_millis * LEAVE_OFFERED_MILLIS;
    let has_waited = sample
        .longest_wait
        .is_some_and(|wait| wait.used_millis() >= LEAVE_WAIT_MILLIS);
    has_room && !has_waited
}

fn has_lasted(now: Mono, since: Option<Mono>) -> bool {
    since.is_some_and(|since| now.since(since) >= LEAVE_AFTER.into())
}

/// Shortest slack that was seen within [`SLACK_WINDOW`] or up to twice that time.
#[derive(Debug, Default)]
struct SlackWindow {
    began_at: Mono,
    current: Option<Micros>,
    previous: Option<Micros>,
}

impl SlackWindow {
    fn observe(&mut self, now: Mono, slack: Option<Micros>) {
        let age = now.since(self.began_at);
        if age >= SLACK_WINDOW.into() {
            self.previous = self.current.take();
            self.began_at = now;
        }
        if age.0 >= 2 * Micros::from(SLACK_WINDOW).0 {
            self.previous = None;
        }
        self.current = shorter(self.current, slack);
    }

    fn least(&self) -> Option<Micros> {
        shorter(self.current, self.previous)
    }
}

fn shorter(one: Option<Micros>, other: Option<Micros>) -> Option<Micros> {
    match (one, other) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    }
}
