//! Simulated entry host: a state machine, its clocks and its frozen state.

use std::collections::VecDeque;

use onyxshed_core::{Incarnation, Millis, Mono, Now, RatePerS, UnixMs};
use onyxshed_dispatch::{Dispatch, DispatchOptions, Input};
use onyxshed_state::ClaimOptions;

/// Horizon of ids in the simulation, in milliseconds; short enough to pass during one search.
pub const HORIZON_MS: u64 = 4_000;

/// Maximum difference between wall clocks, in milliseconds.
pub const SKEW_MS: u64 = 200;

/// Simulated entry host; inputs are queued while it is frozen.
pub struct Host {
    /// State machine under test.
    pub machine: Dispatch,
    /// Current incarnation of the host.
    pub incarnation: Incarnation,
    /// Difference between the host's wall clock and the simulation time, in milliseconds.
    pub skew_ms: i64,
    /// Simulation time until which the host is frozen, in milliseconds.
    pub frozen_until_ms: u64,
    /// Inputs that arrived while the host was frozen.
    pub inbox: VecDeque<Input>,
    /// Whether a read of the log is in progress.
    pub is_reading: bool,
}

impl Host {
    /// Creates a host with a new incarnation.
    pub fn new(incarnation: Incarnation, skew_ms: i64) -> Self {
        let options = DispatchOptions {
            claims: ClaimOptions {
                horizon_ms: Millis(HORIZON_MS),
                skew_ms: Millis(SKEW_MS),
                appends_per_s: RatePerS(200),
                ..ClaimOptions::default()
            },
            ..DispatchOptions::default()
        };
        Host {
            machine: Dispatch::new(incarnation, options, incarnation.0),
            incarnation,
            skew_ms,
            frozen_until_ms: 0,
            inbox: VecDeque::new(),
            is_reading: false,
        }
    }

    /// Returns the readings of the host's clocks at a simulation time in milliseconds.
    pub fn now(&self, simulation_ms: u64) -> Now {
        let wall_ms = simulation_ms.saturating_add_signed(self.skew_ms);
        Now {
            mono: Mono(simulation_ms * 1_000),
            wall: UnixMs(wall_ms),
        }
    }
}
