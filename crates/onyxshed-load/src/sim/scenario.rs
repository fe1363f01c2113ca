//! The scenarios of the simulation: the load of a run, and the overload or the fault that starts
//! after its first third.

use crate::plan::Burst;

/// The load of a simulated run, and the overload or fault that starts after its first third.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Constant load at this percentage of capacity.
    Load(u32),
    /// Load at 60% of capacity, except in the middle third, where it is at this percentage.
    Overload(u32),
    /// Ten times the arrivals for 2 s.
    Burst,
    /// One executor runs every task 20 times slower.
    SlowExecutor,
    /// One executor fails every task immediately.
    FailingExecutor,
    /// One executor accepts tasks and never answers.
    UnresponsiveExecutor,
    /// A rack of 8 executors fails; the host list shows it 5 s later.
    RackFails,
    /// One entry host fails; its peers detect it after 2 s.
    EntryHostFails,
    /// The entry hosts of the zone lose contact with each other, and each acts as the zone's only
    /// host.
    HostsPartitioned,
    /// The host list is frozen throughout, and a rack of 8 executors fails.
    PlatformDown,
    /// The tasks of one class take 10 times as long as the policy has learned.
    ServiceTimesShift,
    /// The tasks of one class fail on every executor.
    ClassUnrunnable,
    /// Callers cancel half of all jobs in flight, every two seconds.
    CancelWave,
}

const STEADY_LOAD: f64 = 0.8;
const LOAD_AROUND_OVERLOAD: f64 = 0.6;
const LOAD_AROUND_LOSS: f64 = 0.4;
const BURST_FACTOR: f64 = 10.0;
const BURST_S: f64 = 2.0;

impl Scenario {
    /// All scenarios; [`Scenario::Load`] occurs once for each load that is simulated.
    pub const ALL: [Scenario; 17] = [
        Scenario::Load(50),
        Scenario::Load(80),
        Scenario::Load(95),
        Scenario::Load(100),
        Scenario::Overload(120),
        Scenario::Overload(200),
        Scenario::Burst,
        Scenario::SlowExecutor,
        Scenario::FailingExecutor,
        Scenario::UnresponsiveExecutor,
        Scenario::RackFails,
        Scenario::EntryHostFails,
        Scenario::HostsPartitioned,
        Scenario::PlatformDown,
        Scenario::ServiceTimesShift,
        Scenario::ClassUnrunnable,
        Scenario::CancelWave,
    ];

    /// Returns the short name of the scenario for tables, plots and `--scenario`.
    pub fn name(self) -> String {
        match self {
            Scenario::Load(percent) => format!("load {percent}%"),
            Scenario::Overload(percent) => format!("over {percent}%"),
            Scenario::Burst => "burst 10x".to_owned(),
            Scenario::SlowExecutor => "slow".to_owned(),
            Scenario::FailingExecutor => "failing".to_owned(),
            Scenario::UnresponsiveExecutor => "silent".to_owned(),
            Scenario::RackFails => "rack dies".to_owned(),
            Scenario::EntryHostFails => "entry dies".to_owned(),
            Scenario::HostsPartitioned => "cut off".to_owned(),
            Scenario::PlatformDown => "no platform".to_owned(),
            Scenario::ServiceTimesShift => "times 10x".to_owned(),
            Scenario::ClassUnrunnable => "never runs".to_owned(),
            Scenario::CancelWave => "cancels".to_owned(),
        }
    }

    /// Returns the load outside bursts as a fraction of capacity. Where half of the zone's
    /// executors fail, the load is low enough for the other half, so that missed targets are due to
    /// the policy.
    pub fn load(self) -> f64 {
        match self {
            Scenario::Load(percent) => f64::from(percent) / 100.0,
            Scenario::Overload(_) | Scenario::Burst => LOAD_AROUND_OVERLOAD,
            Scenario::RackFails | Scenario::PlatformDown | Scenario::ServiceTimesShift => {
                LOAD_AROUND_LOSS
            }
            _ => STEADY_LOAD,
        }
    }

    /// Returns the period of the overload or the burst in a run of `span_s` seconds; empty for the
    /// other scenarios.
    pub fn bursts(self, span_s: f64) -> Vec<Burst> {
        let from_s = span_s / 3.0;
        let (to_s, factor) = match self {
            Scenario::Overload(percent) => {
                let factor = f64::from(percent) / 100.0 / LOAD_AROUND_OVERLOAD;
                (2.0 * from_s, factor)
            }
            Scenario::Burst => (from_s + BURST_S, BURST_FACTOR),
            _ => return Vec::new(),
        };
        vec![Burst {
            from_s,
            to_s,
            factor,
        }]
    }

    /// Returns the end of the overload or the burst, in seconds from the start of a run of `span_s`
    /// seconds, or `None` for a scenario without one.
    pub fn overload_end_s(self, span_s: f64) -> Option<f64> {
        self.bursts(span_s).first().map(|burst| burst.to_s)
    }
}
