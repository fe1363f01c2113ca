//! The scenarios: how much load, and what goes wrong in the middle third.

use crate::plan::Burst;

/// One scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Steady load at this percentage of capacity.
    Load(u32),
    /// 60% of capacity, in the middle third this percentage, then 60% again.
    Overload(u32),
    /// Ten times the arrivals for 2 s.
    Burst,
    /// One executor runs everything 20 times slower.
    SlowExecutor,
    /// One executor fails everything at once.
    FailingExecutor,
    /// One executor takes tasks and never answers.
    UnresponsiveExecutor,
    /// A rack of 8 executors dies; the host list tells it 5 s later.
    RackFails,
    /// One entry host dies; its peers notice after 2 s.
    EntryHostFails,
    /// The zone's entry hosts lose sight of one another: each holds itself to be alone.
    HostsPartitioned,
    /// The host list stands still throughout, and a rack of 8 dies.
    PlatformDown,
    /// One class's tasks take 10 times as long as learned so far.
    ServiceTimesShift,
    /// One class's tasks fail wherever they run.
    ClassUnrunnable,
    /// Half of all jobs in flight are cancelled, every two seconds.
    CancelWave,
}

const STEADY_LOAD: f64 = 0.8;
const LOAD_AROUND_OVERLOAD: f64 = 0.6;
const LOAD_AROUND_LOSS: f64 = 0.4;
const BURST_FACTOR: f64 = 10.0;
const BURST_S: f64 = 2.0;

impl Scenario {
    /// Every scenario.
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

    /// Gets a short name.
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

    /// Gets the load outside bursts as a part of capacity. Where half of the zone's executors die,
    /// it is low enough for the rest to carry, so that what is lost is the policy's doing.
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

    /// Gets the stretches with another rate.
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

    /// Gets when the overload ends, none without one.
    pub fn overload_end_s(self, span_s: f64) -> Option<f64> {
        self.bursts(span_s).first().map(|burst| burst.to_s)
    }
}
