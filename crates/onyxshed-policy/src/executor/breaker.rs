//! When an executor gets no new work, and how it is tried again.
//!
//! A breaker opens for one of five reasons. After a pause that doubles with each failed try, one
//! task of real work at a time is let through; its end closes the breaker or opens it again. Real
//! work costs no message that serves nobody, unless the try fails.

use std::fmt;

use onyxshed_core::{Micros, Millis, Mono};

/// Attempts without an answer, in a row, that open the breaker.
const UNANSWERED_MAX: u32 = 3;

/// Suspicion at which the breaker opens: odds of about 150 to 1 for a bad worker.
const SUSPICION_MAX: f64 = 5.0;

/// Slowdown from which on an executor counts as slow. Sound ones differ by up to 4 to 1.
const SLOW_FROM: f64 = 8.0;

/// Samples before an executor is called slow.
const SLOW_SAMPLES: u32 = 4;

/// First pause, in milliseconds.
const PAUSE_FIRST: Millis = Millis(500);

/// Doublings of the pause of an executor that runs tasks badly; the longest is 32 seconds.
const DOUBLINGS_RUNNING: u32 = 6;

/// Doublings of the pause of an executor that does not answer; the longest is 8 seconds. A try of
/// it costs the upstream little, and it may have been the way there that was broken.
const DOUBLINGS_UNANSWERED: u32 = 4;

/// Good ends in a row after which earlier openings are forgotten.
const FORGET_AFTER: u32 = 20;

/// Why a breaker is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BreakerReason {
    /// Service far above its peers.
    Slow,
    /// Attempts could not be sent, or were lost.
    Dead,
    /// Nothing came back for long.
    Silent,
    /// Tasks fail that succeed elsewhere.
    Failing,
    /// Leases lapse.
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

/// What an executor may get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// Work.
    Work,
    /// One task that finds out whether it is well again.
    Probe,
    /// Nothing.
    Shut,
}

/// A change that people should read about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerChange {
    /// It opened, or opened again after a failed try.
    Opened(BreakerReason),
    /// It closed.
    Closed,
}

/// What an attempt's end says about the executor.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sign {
    /// It finished a task.
    Good,
    /// It answered without running the task.
    Answered,
    /// It failed a task, or let its lease lapse; `weight` is the evidence against the executor.
    Bad {
        /// Logarithm of the odds that a bad worker rather than the task is at fault.
        weight: f64,
        /// What the breaker opens for.
        reason: BreakerReason,
    },
    /// Nothing came back.
    Unanswered,
    /// Nothing can be told.
    None,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Closed,
    Open { until: Mono, reason: BreakerReason },
    Probing { until: Mono, reason: BreakerReason },
}

/// One executor's breaker.
#[derive(Debug, Clone)]
pub struct Breaker {
    state: State,
    unanswered: u32,
    suspicion: f64,
    openings: u32,
    good_in_a_row: u32,
}

impl Default for Breaker {
    fn default() -> Self {
        Breaker {
            state: State::Closed,
            unanswered: 0,
            suspicion: 0.0,
            openings: 0,
            good_in_a_row: 0,
        }
    }
}

impl Breaker {
    /// Gets what the executor may get now.
    pub fn gate(&self, now: Mono) -> Gate {
        match self.state {
            State::Closed => Gate::Work,
            State::Open { until, .. } | State::Probing { until, .. } if until <= now => Gate::Probe,
            State::Open { .. } | State::Probing { .. } => Gate::Shut,
        }
    }

    /// Gets why the breaker is open, if it is.
    pub fn reason(&self) -> Option<BreakerReason> {
        match self.state {
            State::Closed => None,
            State::Open { reason, .. } | State::Probing { reason, .. } => Some(reason),
        }
    }

    /// Gets when the next try may be made, if the breaker is open.
    pub fn probe_at(&self) -> Option<Mono> {
        match self.state {
            State::Open { until, .. } | State::Probing { until, .. } => Some(until),
            State::Closed => None,
        }
    }

    /// Tells whether a task that tries the executor is under way.
    pub fn is_probing(&self) -> bool {
        matches!(self.state, State::Probing { .. })
    }

    /// Takes in that the task that tries the executor was sent.
    ///
    /// A try may go the way of the tasks before it and never end; after `patience` the next one may
    /// follow.
    pub fn probing(&mut self, now: Mono, patience: Micros) {
        if let Some(reason) = self.reason() {
            let until = now + patience;
            self.state = State::Probing { until, reason };
        }
    }

    /// Takes in an attempt's end; `draw` between 0 and 1 spreads the pauses of several hosts.
    pub fn ended(
        &mut self,
        now: Mono,
        sign: Sign,
        is_probe: bool,
        draw: f64,
    ) -> Option<BreakerChange> {
        self.count(sign);
        match self.state {
            State::Closed => {
                let reason = self.reason_to_open(sign)?;
                Some(self.open(now, reason, draw))
            }
            State::Probing { reason, .. } if is_probe => self.probed(now, sign, reason, draw),
            State::Open { reason, .. } | State::Probing { reason, .. } => self.heard(sign, reason),
        }
    }

    /// Opens the breaker unless it is open already.
    pub fn trip(&mut self, now: Mono, reason: BreakerReason, draw: f64) -> Option<BreakerChange> {
        (self.state == State::Closed).then(|| self.open(now, reason, draw))
    }

    /// Tells whether an executor of that slowdown counts as slow.
    pub fn is_slow(slowdown: f64, samples: u32) -> bool {
        slowdown > SLOW_FROM && samples >= SLOW_SAMPLES
    }

    fn count(&mut self, sign: Sign) {
        match sign {
            Sign::Good => {
                self.unanswered = 0;
                self.good_in_a_row += 1;
                if self.good_in_a_row >= FORGET_AFTER {
                    self.openings = 0;
                }
            }
            Sign::Bad { .. } => {
                self.unanswered = 0;
                self.good_in_a_row = 0;
            }
            Sign::Unanswered => {
                self.unanswered += 1;
                self.good_in_a_row = 0;
            }
            Sign::Answered => self.unanswered = 0,
            Sign::None => {}
        }
    }

    fn reason_to_open(&mut self, sign: Sign) -> Option<BreakerReason> {
        match sign {
            Sign::Unanswered if self.unanswered >= UNANSWERED_MAX => Some(BreakerReason::Dead),
            Sign::Bad { weight, reason } => {
                self.suspicion += weight;
                (self.suspicion >= SUSPICION_MAX).then_some(reason)
            }
            Sign::Good => {
                self.suspicion = (self.suspicion - GOOD_CLEARS).max(0.0);
                None
            }
            _ => None,
        }
    }

    fn probed(
        &mut self,
        now: Mono,
        sign: Sign,
        reason: BreakerReason,
        draw: f64,
    ) -> Option<BreakerChange> {
        let is_about_answers = matches!(reason, BreakerReason::Dead | BreakerReason::Silent);
        match sign {
            Sign::Good => Some(self.close()),
            Sign::Answered if is_about_answers => Some(self.close()),
            Sign::Answered | Sign::None => {
                self.state = State::Open {
                    until: now + self.pause(reason, draw),
                    reason,
                };
                None
            }
            Sign::Bad { reason, .. } => Some(self.open(now, reason, draw)),
            Sign::Unanswered => Some(self.open(now, BreakerReason::Dead, draw)),
        }
    }

    /// An answer to an older attempt ends the doubt whether anything comes back.
    fn heard(&mut self, sign: Sign, reason: BreakerReason) -> Option<BreakerChange> {
        let is_about_answers = matches!(reason, BreakerReason::Dead | BreakerReason::Silent);
        (sign == Sign::Good && is_about_answers).then(|| self.close())
    }

    /// Moves the next try forward to `at`, if it would come later.
    pub fn hurry(&mut self, at: Mono) {
        match &mut self.state {
            State::Open { until, .. } | State::Probing { until, .. } => *until = at.min(*until),
            State::Closed => {}
        }
    }

    /// Goes along with another breaker whose try has failed: the next try comes no sooner than
    /// that one's, and pauses grow as if the try had been here.
    pub fn follow(&mut self, other: &Breaker) {
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
        self.unanswered = 0;
        self.good_in_a_row = 0;
        BreakerChange::Closed
    }

    fn pause(&self, reason: BreakerReason, draw: f64) -> Micros {
        let most = match reason {
            BreakerReason::Dead | BreakerReason::Silent => DOUBLINGS_UNANSWERED,
            BreakerReason::Slow | BreakerReason::Failing | BreakerReason::Lapsing => {
                DOUBLINGS_RUNNING
            }
        };
        let doublings = self.openings.min(most);
        let pause_us = Micros::from(PAUSE_FIRST).0 << doublings;
        crate::span::to_micros(pause_us as f64 * (0.8 + 0.4 * draw))
    }
}

/// Suspicion that a finished task takes away.
const GOOD_CLEARS: f64 = 2.5;
