//! What the platform's stand-in holds, and how it may be told to fail.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use onyxshed_core::{Millis, Offset};
use onyxshed_wire::platform::{EntryHost, ExecutorHost};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::history::History;

use super::log::Stream;

/// Options of the platform's stand-in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformOptions {
    /// How long an append takes until it is synced. Default 3 ms.
    pub sync_ms: Millis,
    /// Appends a second that the log takes; more wait their turn. Default 500.
    pub appends_per_s: u32,
    /// How long records are kept. Default one hour.
    pub retention_ms: Millis,
    /// How far the host list lags. Default 0.
    pub host_list_lag_ms: Millis,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        PlatformOptions {
            sync_ms: Millis(3),
            appends_per_s: 500,
            retention_ms: Millis(3_600_000),
            host_list_lag_ms: Millis(0),
        }
    }
}

/// How an outage looks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Connections are closed without an answer.
    Refuse,
    /// Requests are never answered.
    Hang,
}

/// Drops a stream's records before an offset, at once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Truncation {
    /// The stream.
    pub stream: SmolStr,
    /// The oldest offset kept.
    pub to: Offset,
}

/// Faults in force; a `POST /control/faults` replaces them all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Outage of log and host list.
    pub down: Option<Outage>,
    /// Added to every call, in milliseconds.
    pub slow_ms: u64,
    /// Appends from now on that take effect and close the connection without an answer.
    pub lose_append_answer: u32,
    /// Appends from now on that have no effect and close the connection without an answer.
    pub drop_append: u32,
    /// Status that every call is answered with, without effect.
    pub error_status: Option<u16>,
    /// Whether reads and the host list show the state of the moment this was set.
    pub stale_reads: bool,
    /// Records to drop now.
    pub truncate: Option<Truncation>,
}

/// Calls served since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Appends asked for.
    pub appends: u64,
    /// Appends that took effect, by stream.
    pub appended: BTreeMap<SmolStr, u64>,
    /// Reads of a stream.
    pub reads: u64,
    /// Reads of the host list.
    pub host_lists: u64,
}

/// Hosts as `PUT /v1/hosts` sets them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Hosts {
    /// Every executor.
    pub executors: Vec<ExecutorHost>,
    /// Every entry host.
    pub entries: Vec<EntryHost>,
}

/// The moment at which stale reads stopped seeing anything new.
#[derive(Debug)]
pub(super) struct Frozen {
    pub(super) at: Instant,
    pub(super) ends: BTreeMap<SmolStr, Offset>,
}

/// All that the stand-in holds.
#[derive(Debug)]
pub(super) struct State {
    pub(super) options: PlatformOptions,
    pub(super) streams: BTreeMap<SmolStr, Stream>,
    pub(super) hosts: History<Hosts>,
    pub(super) faults: Faults,
    pub(super) frozen: Option<Frozen>,
    pub(super) counts: Counts,
    next_append_slot: Instant,
}

impl State {
    pub(super) fn new(options: PlatformOptions) -> Self {
        let lag = options.host_list_lag_ms.into();
        State {
            options,
            streams: BTreeMap::new(),
            hosts: History::new(lag, Hosts::default()),
            faults: Faults::default(),
            frozen: None,
            counts: Counts::default(),
            next_append_slot: Instant::now(),
        }
    }

    /// Takes the next place in the log's pace and gets when the append will be synced.
    pub(super) fn reserve_append(&mut self) -> Instant {
        let slot = self.next_append_slot.max(Instant::now());
        self.next_append_slot = slot + Duration::from_secs(1) / self.options.appends_per_s.max(1);
        slot + self.options.sync_ms.into()
    }

    pub(super) fn set_faults(&mut self, faults: Faults) {
        if let Some(Truncation { stream, to }) = &faults.truncate {
            self.streams
                .entry(stream.clone())
                .or_default()
                .truncate(*to);
        }
        self.frozen = match (faults.stale_reads, self.frozen.take()) {
            (false, _) => None,
            (true, Some(frozen)) => Some(frozen),
            (true, None) => Some(self.freeze()),
        };
        self.faults = faults;
    }

    fn freeze(&self) -> Frozen {
        let ends = self.streams.iter();
        Frozen {
            at: Instant::now(),
            ends: ends.map(|(name, log)| (name.clone(), log.next())).collect(),
        }
    }
}

/// Takes one off a count of calls to spoil; tells whether this one is to be spoilt.
pub(super) fn take_one(left: &mut u32) -> bool {
    let is_spoilt = *left > 0;
    *left = left.saturating_sub(1);
    is_spoilt
}
