//! One entry host of the search: a machine, its clocks, and whether it is frozen.

use std::collections::VecDeque;

use onyxshed_core::{Incarnation, Millis, Mono, Now, RatePerS, UnixMs};
use onyxshed_dispatch::{Dispatch, DispatchOptions, Input};
use onyxshed_state::ClaimOptions;

/// How long ids are remembered in the search, short enough to be passed within one.
pub const HORIZON_MS: u64 = 4_000;

/// Most that clocks differ.
pub const SKEW_MS: u64 = 200;

/// One host.
pub struct Host {
    /// Its machine.
    pub machine: Dispatch,
    /// Its current life.
    pub incarnation: Incarnation,
    /// How far its wall clock is off, in milliseconds.
    pub skew_ms: i64,
    /// Until when it does nothing, in world time.
    pub frozen_until_ms: u64,
    /// What waits until it thaws.
    pub inbox: VecDeque<Input>,
    /// Whether a read of the log is under way.
    pub is_reading: bool,
}

impl Host {
    /// Makes a host in a new life.
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

    /// Reads the host's clocks at a world time.
    pub fn now(&self, world_ms: u64) -> Now {
        let wall_ms = world_ms.saturating_add_signed(self.skew_ms);
        Now {
            mono: Mono(world_ms * 1_000),
            wall: UnixMs(wall_ms),
        }
    }
}
