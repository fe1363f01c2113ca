//! Circuit breaker of one executor.
//!
//! A breaker opens for one of five reasons. After a pause that doubles with each failed probe, one
//! queued task at a time is let through as a probe; its end closes the breaker or opens it again.
//! Because a probe is a real task, it costs an extra message only if it fails.

use std::fmt;

use onyxshed_core::{Micros, Millis, Mono};

/// Consecutive unanswered attempts that open the breaker.
const UNANSWERED_MAX: u32 = 3;

/// Suspicion, the sum of the weights of failures, at which the breaker opens: odds of about 150 to
/// 1 for a bad executor.
const SUSPICION_MAX: f64 = 5.0;

/// Slowdown above which an executor counts as slow. Healthy executors differ by up to 4 to 1.
const SLOW_RATIO_MIN: f64 = 8.0;

/// Minimum number of samples before an executor counts as slow.
const SLOW_SAMPLES_MIN: u32 = 4;

/// Pause before the first probe, without the jitter of up to 20% in either direction.
const FIRST_PAUSE: Millis = Millis(500);

/// Maximum doublings of the pause of an executor that runs tasks badly: up to 32 seconds.
const RUNNING_DOUBLINGS_MAX: u32 = 6;

/// Maximum doublings of the pause of an executor that does not respond: up to 8 seconds. Its probes
/// cost the upstream little, and the network may have been at fault.
const UNANSWERED_DOUBLINGS_MAX: u32 = 4;

/// Number of successes, without a failed or unanswered attempt in between, after which the count of
/// earlier openings, which determines the pause, is reset.
const OPENINGS_RESET_AFTER: u32 = 20;

/// Reason for which a breaker is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BreakerReason {
    /// Service times are far above those of the other executors.
    Slow,
    /// Attempts could not be sent or were lost.
    Dead,
    /// No response has arrived for longer than the response timeout.
    Silent,
    /// Tasks fail that succeed elsewhere.
    Failing,
    /// Tasks are stopped because their leases lapse, while tasks of the class succeed elsewhere.
    Lapsing,
}

impl fmt::Display for BreakerReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            BreakerReason::Slow => "slow",
            BreakerReason::Dead => "dead",
            BreakerReason::Silent => "silent",
            BreakerReason::Failing => "failing",
            BreakerReason::Lapsing => "lapsing",
        })
    }
}

/// The kind of task that may be sent to an executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// Any task may be sent.
    Work,
    /// A single task may be sent, which shows whether the executor has recovered.
    Probe,
    /// No task may be sent.
    Blocked,
}

/// Opening or closing of a breaker, which the policy logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerChange {
    /// The breaker opened, or opened again after a failed probe.
    Opened(BreakerReason),
    /// The breaker closed: the executor gets tasks again.
    Closed,
}

/// What the end of an attempt indicates about the executor.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Signal {
    /// The executor finished the task.
    Success,
    /// The executor refused the task, so it is reachable.
    Responded,
    /// The executor failed the task, let its lease lapse or was far too slow.
    Failure {
        /// Natural logarithm of the odds that the executor rather than the task is at fault; added
        /// to the suspicion.
        weight: f64,
        /// Reason for which the breaker opens if the suspicion is high enough.
        reason: BreakerReason,
    },
    /// No byte of the start was sent, or the connection was lost after the task may have started.
    NoResponse,
    /// The end indicates nothing about the executor, such as a stop by this host.
    Neutral,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Closed,
    Open { until: Mono, reason: BreakerReason },
    Probing { until: Mono, reason: BreakerReason },
}

/// State of one executor's circuit breaker (closed, open, or open with a probe sent) and the counts
/// that open it.
#[derive(Debug, Clone)]
pub struct Breaker {
    state: State,
    consecutive_unanswered: u32,
    suspicion: f64,
    openings: u32,
    consecutive_successes: u32,
}

impl Default for Breaker {
    fn default() -> Self {
        Breaker {
            state: State::Closed,
            consecutive_unanswered: 0,
            suspicion: 0.0,
            openings: 0,
            consecutive_successes: 0,
        }
    }
}

impl Breaker {
    /// Returns the kind of task that may be sent to the executor now.
    pub fn gate(&self, now: Mono) -> Gate {
        match self.state {
            State::Closed => Gate::Work,
            State::Open { until, .. } | State::Probing { until, .. } if until <= now => Gate::Probe,
            State::Open { .. } | State::Probing { .. } => Gate::Blocked,
        }
    }

    /// Returns the reason for which the breaker is open; `None` if it is closed.
    pub fn reason(&self) -> Option<BreakerReason> {
        match self.state {
            State::Closed => None,
            State::Open { reason, .. } | State::Probing { reason, .. } => Some(reason),
        }
    }

    /// Returns when the next probe may be sent; `None` if the breaker is closed.
    pub fn probe_at(&self) -> Option<Mono> {
        match self.state {
            State::Open { until, .. } | State::Probing { until, .. } => Some(until),
            State::Closed => None,
        }
    }

    /// Returns whether a probe was sent whose end has not been recorded.
    pub fn is_probing(&self) -> bool {
        matches!(self.state, State::Probing { .. })
    }

    /// Records that a probe was sent.
    ///
    /// A probe may be lost like the attempts before it, so the next probe may be sent after
    /// `response_timeout`.
    pub fn record_probe(&mut self, now: Mono, response_timeout: Micros) {
        if let Some(reason) = self.reason() {
            let until = now + response_timeout;
            self.state = State::Probing { until, reason };
        }
    }

    /// Records the end of an attempt and returns the change of the breaker, if any; `draw` in 0 to
    /// 1 sets the jitter that spreads the pauses of several hosts.
    pub fn record_end(
        &mut self,
        now: Mono,
        signal: Signal,
        is_probe: bool,
        draw: f64,
    ) -> Option<BreakerChange> {
        self.count_signal(signal);
        match self.state {
            State::Closed => {
                let reason = self.reason_to_open(signal)?;
                Some(self.open(now, reason, draw))
            }
            State::Probing { reason, .. } if is_probe => {
                self.apply_probe_end(now, signal, reason, draw)
            }
            State::Open { reason, .. } | State::Probing { reason, .. } => {
                self.apply_late_end(signal, reason)
            }
        }
    }

    /// Opens the breaker; returns `None` without effect if it is open or being probed.
    pub fn trip(&mut self, now: Mono, reason: BreakerReason, draw: f64) -> Option<BreakerChange> {
        (self.state == State::Closed).then(|| self.open(now, reason, draw))
    }

    /// Returns whether an executor with the given slowdown, learned from `samples` tasks, counts as
    /// slow.
    pub fn is_slow(slowdown: f64, samples: u32) -> bool {
        slowdown > SLOW_RATIO_MIN && samples >= SLOW_SAMPLES_MIN
    }

    fn count_signal(&mut self, signal: Signal) {
        match signal {
            Signal::Success => {
                self.consecutive_unanswered = 0;
                self.consecutive_successes += 1;
                if self.consecutive_successes >= OPENINGS_RESET_AFTER {
                    self.openings = 0;
                }
            }
            Signal::Failure { .. } => {
                self.consecutive_unanswered = 0;
                self.consecutive_successes = 0;
            }
            Signal::NoResponse => {
                self.consecutive_unanswered += 1;
                self.consecutive_successes = 0;
            }
            Signal::Responded => self.consecutive_unanswered = 0,
            Signal::Neutral => {}
        }
    }

    fn reason_to_open(&mut self, signal: Signal) -> Option<BreakerReason> {
        match signal {
            Signal::NoResponse if self.consecutive_unanswered >= UNANSWERED_MAX => {
                Some(BreakerReason::Dead)
            }
            Signal::Failure { weight, reason } => {
                self.suspicion += weight;
                (self.suspicion >= SUSPICION_MAX).then_some(reason)
            }
            Signal::Success => {
                self.suspicion = (self.suspicion - SUCCESS_CREDIT).max(0.0);
                None
            }
            _ => None,
        }
    }

    fn apply_probe_end(
        &mut self,
        now: Mono,
        signal: Signal,
        reason: BreakerReason,
        draw: f64,
    ) -> Option<BreakerChange> {
        let is_response_fault = matches!(reason, BreakerReason::Dead | BreakerReason::Silent);
        match signal {
            Signal::Success => Some(self.close()),
            Signal::Responded if is_response_fault => Some(self.close()),
            Signal::Responded | Signal::Neutral => {
                self.state = State::Open {
                    until: now + self.pause(reason, draw),
                    reason,
                };
                None
            }
            Signal::Failure { reason, .. } => Some(self.open(now, reason, draw)),
            Signal::NoResponse => Some(self.open(now, BreakerReason::Dead, draw)),
        }
    }

    /// Closes a breaker that is open for missing responses if an attempt other than the current
    /// probe succeeded.
    fn apply_late_end(&mut self, signal: Signal, reason: BreakerReason) -> Option<BreakerChange> {
        let is_response_fault = matches!(reason, BreakerReason::Dead | BreakerReason::Silent);
        (signal == Signal::Success && is_response_fault).then(|| self.close())
    }

    /// Moves the next probe forward to `at`, unless it is earlier already.
    pub fn advance_probe(&mut self, at: Mono) {
        match &mut self.state {
            State::Open { until, .. } | State::Probing { until, .. } => *until = at.min(*until),
            State::Closed => {}
        }
    }

    /// Delays the next probe to the time of the next probe of `other`, if that is later, and raises
    /// the count of openings, which determines later pauses, to that of `other`. No effect unless
    /// this breaker is open without a probe sent and `other` is not closed.
    pub fn align_with(&mut self, other: &Breaker) {
        if let (State::Open { until, .. }, Some(at)) = (&mut self.state, other.probe_at()) {
            *until = at.max(*until);
            self.openings = self.openings.max(other.openings);
        }
    }

    fn open(&mut self, now: Mono, reason: BreakerReason, draw: f64) -> BreakerChange {
        self.state = State::Open {
            until: now + self.pause(reason, draw),
            reason,
        };
        self.openings += 1;
        BreakerChange::Opened(reason)
    }

    fn close(&mut self) -> BreakerChange {
        self.state = State::Closed;
        self.suspicion = 0.0;
        self.consecutive_unanswered = 0;
        self.consecutive_successes = 0;
        BreakerChange::Closed
    }

    fn pause(&self, reason: BreakerReason, draw: f64) -> Micros {
        let max_doublings = match reason {
            BreakerReason::Dead | BreakerReason::Silent => UNANSWERED_DOUBLINGS_MAX,
            BreakerReason::Slow | BreakerReason::Failing | BreakerReason::Lapsing => {
                RUNNING_DOUBLINGS_MAX
            }
        };
        let doublings = self.openings.min(max_doublings);
        let pause_us = Micros::from(FIRST_PAUSE).0 << doublings;
        crate::span::to_micros(pause_us as f64 * (0.8 + 0.4 * draw))
    }
}

/// Suspicion that one success removes.
const SUCCESS_CREDIT: f64 = 2.5;
