//! Options of a pool's owner, with their defaults and the reasons for them.

use onyxshed_core::{Bytes, Millis};

use crate::overload::OverloadMode;

/// Time-outs, limits and factors that an owner applies to its executors, entry hosts and queue.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolOptions {
    /// Duration of the lease that a start or hold order grants; default 600 ms. Long enough to
    /// outlast a lost hold order and its repetition (150 + 150 + 150 ms), and short enough that a
    /// task of one second on an unresponsive executor can run elsewhere within its objective.
    pub lease_ms: Millis,
    /// How long a report may take beyond the wait of its hold order; default 50 ms. Ends listed in a
    /// lost report are known only with the next report.
    pub report_timeout_ms: Millis,
    /// How long the first report of an executor that is being acquired may take; default 300 ms. A
    /// new owner opens connections to all executors at the same time and may be short of processor
    /// time.
    pub first_report_timeout_ms: Millis,
    /// How long an unresponsive executor that is being acquired still counts as capacity; default
    /// 1,000 ms.
    pub takeover_grace_ms: Millis,
    /// How long an executor waits for a run to end before it answers a hold order; default 150 ms, a
    /// quarter of the lease.
    pub hold_wait_ms: Millis,
    /// Like `hold_wait_ms`, for an executor on which nothing runs; default 400 ms. A run that starts
    /// during the wait has its own lease, which outlasts the wait.
    pub idle_wait_ms: Millis,
    /// Maximum rate by which an executor's clock may lag behind, in thousandths; default 30. The
    /// platform guarantees at most 20.
    pub clock_drift_millis: u64,
    /// Allowance for the transit time of an order in [`PoolOptions::lease_bound`]; default 30 ms.
    pub lease_margin_ms: Millis,
    /// Maximum number of start orders for a run; default 3. If none is answered, the run is
    /// stopped.
    pub start_orders_max: u32,
    /// Maximum number of start orders without an answer; default without limit.
    pub unanswered_starts_max: usize,
    /// Age of the last proof that an entry host runs after which it is unresponsive; default 600 ms. With
    /// the longest lease (600 ms, 612 ms on a slow clock) and the time to stop a run (50 ms) that is 38 ms
    /// less than the 1,300 ms that callers wait before they resubmit a job.
    pub peer_timeout_ms: Millis,
    /// Pause of the owner's own process after which it ends the jobs of other entry hosts; default
    /// 400 ms. Those hosts may have given the jobs up after `peer_timeout_ms` less one heartbeat.
    pub pause_ms: Millis,
    /// How long an executor that is no longer listed but still answers is used; default 2,500 ms.
    /// After an outage of the store, entries return within about 2,000 ms.
    pub unlisted_grace_ms: Millis,
    /// Time that is added for transit when the end of a job is estimated; default 15 ms.
    pub transit_ms: Millis,
    /// Multiple of a job's target after which its answer is useless; default 3.
    pub late_factor: u64,
    /// Factor on the expected run time after which a run counts as stuck, in thousandths; default
    /// 3,000. Callers' estimates are often off by half, so a smaller factor would stop healthy runs.
    pub stuck_millis: u64,
    /// Like `stuck_millis`, once other tasks of the job have shown its actual run time; default 1,800.
    pub stuck_known_millis: u64,
    /// Time that is added to the limit for a stuck run; default 80 ms.
    pub stuck_slack_ms: Millis,
    /// Base time for which an executor is avoided after failures; default 500 ms, doubled with each
    /// further failure.
    pub avoid_ms: Millis,
    /// Maximum time for which an executor is avoided; default 4,000 ms.
    pub avoid_max_ms: Millis,
    /// How long jobs that have started may start tasks after operators have evacuated the zone;
    /// default 1,000 ms. This is longer than most jobs of sub-second tasks take, and a fifth of the
    /// time that the platform allows.
    pub evacuation_grace_ms: Millis,
    /// Factor by which a task takes longer on an executor outside the rack that holds its data, in
    /// thousandths; default 2,000, unless the platform's settings specify another value.
    pub remote_millis: u32,
    /// Whether overload decisions take effect; default [`OverloadMode::Off`].
    pub overload: OverloadMode,
    /// Memory for the pool's jobs, above which a job is refused; default without limit.
    pub jobs_memory: Bytes,
    /// Number of tasks that a pool must be able to run at a time for jobs to be begun only with a place for
    /// each task; default 16, twice the tasks of a wide job. In a smaller pool, hardly any wide job finds
    /// places for all its tasks within its slack, and late answers serve more callers.
    pub planned_places_min: u64,
}

impl Default for PoolOptions {
    fn default() -> Self {
        PoolOptions {
            lease_ms: Millis(600),
            report_timeout_ms: Millis(50),
            first_report_timeout_ms: Millis(300),
            takeover_grace_ms: Millis(1_000),
            hold_wait_ms: Millis(150),
            idle_wait_ms: Millis(400),
            clock_drift_millis: 30,
            lease_margin_ms: Millis(30),
            start_orders_max: 3,
            unanswered_starts_max: usize::MAX,
            peer_timeout_ms: Millis(600),
            pause_ms: Millis(400),
            unlisted_grace_ms: Millis(2_500),
            transit_ms: Millis(15),
            late_factor: 3,
            stuck_millis: 3_000,
            stuck_known_millis: 1_800,
            stuck_slack_ms: Millis(80),
            avoid_ms: Millis(500),
            avoid_max_ms: Millis(4_000),
            evacuation_grace_ms: Millis(1_000),
            remote_millis: 2_000,
            overload: OverloadMode::Off,
            jobs_memory: Bytes(u64::MAX),
            planned_places_min: 16,
        }
    }
}

impl PoolOptions {
    /// Returns the time, measured on this host's clock from the sending of an order, after which
    /// the order's lease has certainly expired.
    pub fn lease_bound(&self) -> Millis {
        let drift_ms = self.lease_ms.0 * self.clock_drift_millis / 1_000;
        Millis(self.lease_ms.0 + drift_ms + self.lease_margin_ms.0)
    }
}
