//! The state of the platform's stand-in, and the faults that a test may set.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use onyxshed_core::{Millis, Offset};
use onyxshed_wire::platform::{EntryHost, ExecutorHost};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::history::History;

use super::log::Stream;

/// The options of the platform's stand-in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformOptions {
    /// The time until an append is synced and answered. Default 3 ms.
    pub sync_ms: Millis,
    /// The number of appends per second that the log accepts; further ones are delayed. Default 500.
    pub appends_per_s: u32,
    /// The age at which records are dropped. Default one hour.
    pub retention_ms: Millis,
    /// The time by which the host list lags behind what was set. Default 0.
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

/// What callers observe during an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Connections are closed without a reply.
    Refuse,
    /// Connections stay open and requests are never answered.
    Hang,
}

/// A command to drop the records of a stream before an offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Truncation {
    /// The name of the stream.
    pub stream: SmolStr,
    /// The oldest offset that is kept.
    pub to: Offset,
}

/// The faults in force; a `POST /control/faults` replaces all of them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// An outage of the log and the host list.
    pub down: Option<Outage>,
    /// The delay of every call, in milliseconds.
    pub slow_ms: u64,
    /// The number of next appends that take effect but whose connection is closed without a reply.
    pub lose_append_answer: u32,
    /// The number of next appends that have no effect and whose connection is closed without a reply.
    pub drop_append: u32,
    /// The HTTP status that every call is answered with, without taking effect.
    pub error_status: Option<u16>,
    /// Whether reads and the host list show the state as of the moment when this was set.
    pub stale_reads: bool,
    /// Records to drop when this is set.
    pub truncate: Option<Truncation>,
}

/// The numbers of calls since the start of the process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// The number of appends requested, including those that `drop_append` dropped.
    pub appends: u64,
    /// The number of appends that took effect, by stream.
    pub appended: BTreeMap<SmolStr, u64>,
    /// The number of reads of all streams together.
    pub reads: u64,
    /// The number of reads of the host list.
    pub host_lists: u64,
}

/// The host list as `PUT /v1/hosts` sets it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "struct Hosts")]
pub struct HostSet {
    /// The executors of all upstreams and zones.
    pub executors: Vec<ExecutorHost>,
    /// The entry hosts of all zones.
    pub entries: Vec<EntryHost>,
}

/// The state that stale reads show: the time of the freeze, and the next offset of each stream at that time.
#[derive(Debug)]
pub(super) struct FrozenView {
    pub(super) at: Instant,
    pub(super) ends: BTreeMap<SmolStr, Offset>,
}

/// The log, the host list, the faults in force and the counts of the platform's stand-in.
#[derive(Debug)]
pub(super) struct State {
    pub(super) options: PlatformOptions,
    pub(super) streams: BTreeMap<SmolStr, Stream>,
    pub(super) hosts: History<HostSet>,
    pub(super) faults: Faults,
    pub(super) frozen: Option<FrozenView>,
    pub(super) counts: Counts,
    next_append_slot: Instant,
}

impl State {
    pub(super) fn new(options: PlatformOptions) -> Self {
        let lag = options.host_list_lag_ms.into();
        State {
            options,
            streams: BTreeMap::new(),
            hosts: History::new(lag, HostSet::default()),
            faults: Faults::default(),
            frozen: None,
            counts: Counts::default(),
            next_append_slot: Instant::now(),
        }
    }

    /// Reserves the next append slot within the rate limit; returns the time at which the append is synced.
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
            (true, None) => Some(self.freeze_view()),
        };
        self.faults = faults;
    }

    fn freeze_view(&self) -> FrozenView {
        let ends = self.streams.iter();
        FrozenView {
            at: Instant::now(),
            ends: ends.map(|(name, log)| (name.clone(), log.next())).collect(),
        }
    }
}

/// Decrements the number of calls that are still to fail; returns whether this call is one of them.
pub(super) fn consume_one(remaining: &mut u32) -> bool {
    let must_fail = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    must_fail
}
