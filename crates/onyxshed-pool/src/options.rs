//! Times and bounds of a pool.

use onyxshed_core::Millis;

/// How an owner treats its executors, its entry hosts and its queue.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolOptions {
    /// Lease given with each order; default 600 ms. Long enough to outlast a lost hold and its
    /// repetition (150 + 150 + 150 ms), short enough that a task of a silent executor runs
    /// elsewhere within the objective of a task of a second.
    pub lease_ms: Millis,
    /// How long a report may take beyond the time that the executor waits for an end; default 50 ms.
    /// Ends that fall into a report without an answer are known only with the next one.
    pub report_timeout_ms: Millis,
    /// The same for the first report of an executor that is being taken over; default 300 ms. A new
    /// owner opens connections to all executors at once, and may be short of processor time.
    pub first_report_timeout_ms: Millis,
    /// How long an executor that is being taken over counts without an answer; default 1,000 ms.
    pub taking_patience_ms: Millis,
    /// How long a hold waits at the executor for an end; default 150 ms. A quarter of the lease.
    pub hold_wait_ms: Millis,
    /// The same where nothing runs; default 400 ms. A task that starts meanwhile has a lease of its
    /// own, which outlasts the wait.
    pub idle_wait_ms: Millis,
    /// Most that an executor's clock is slow, in thousandths; default 30. The platform promises 20.
    pub clock_drift_millis: u64,
    /// What is added to a lease for the way there; default 30 ms.
    pub lease_margin_ms: Millis,
    /// Orders to start a run before it is stopped for want of an answer; default 3.
    pub start_tries_max: u32,
    /// Silence after which an entry host is held to be gone; default 600 ms: four heartbeats, and
    /// 700 ms less than callers wait before they send a job again.
    pub peer_silence_ms: Millis,
    /// Standstill of the owner itself after which it gives up every job; default 400 ms: its entry
    /// hosts may have given them up after `peer_silence_ms` less one heartbeat.
    pub pause_ms: Millis,
    /// How long an executor is used that is no longer listed but answers; default 2,500 ms. After
    /// an outage of the store entries are back within about 2,000 ms.
    pub unlisted_grace_ms: Millis,
    /// Time that a job loses on its way, kept free when its start is planned; default 15 ms.
    pub overhead_ms: Millis,
    /// Times the objective after which a job is of no use; default 3.
    pub late_factor: u64,
    /// Times the expected run time after which a run counts as stuck, in thousandths; default
    /// 3,000. Callers' estimates are often off by half, so less would stop sound runs.
    pub stuck_millis: u64,
    /// The same where other tasks of the job have told its true length; default 1,800.
    pub stuck_known_millis: u64,
    /// What a run may take beyond that; default 80 ms.
    pub stuck_slack_ms: Millis,
    /// First time that an executor is avoided for after a failed run; default 500 ms, doubled
    /// with each further one.
    pub avoid_ms: Millis,
    /// Longest time that an executor is avoided for; default 4,000 ms.
    pub avoid_max_ms: Millis,
    /// How long jobs that have begun may start tasks after operators have evacuated the zone; default
    /// 1,000 ms: longer than most jobs of sub-second tasks, a fifth of what the platform allows.
    pub evacuation_grace_ms: Millis,
    /// How many times longer a task takes where its data is not in its rack, in thousandths; default
    /// 2,000, until the platform's settings say otherwise.
    pub remote_millis: u32,
}

impl Default for PoolOptions {
    fn default() -> Self {
        PoolOptions {
            lease_ms: Millis(600),
            report_timeout_ms: Millis(50),
            first_report_timeout_ms: Millis(300),
            taking_patience_ms: Millis(1_000),
            hold_wait_ms: Millis(150),
            idle_wait_ms: Millis(400),
            clock_drift_millis: 30,
            lease_margin_ms: Millis(30),
            start_tries_max: 3,
            peer_silence_ms: Millis(600),
            pause_ms: Millis(400),
            unlisted_grace_ms: Millis(2_500),
            overhead_ms: Millis(15),
            late_factor: 3,
            stuck_millis: 3_000,
            stuck_known_millis: 1_800,
            stuck_slack_ms: Millis(80),
            avoid_ms: Millis(500),
            avoid_max_ms: Millis(4_000),
            evacuation_grace_ms: Millis(1_000),
            remote_millis: 2_000,
        }
    }
}

impl PoolOptions {
    /// Gets how long after an order was sent its lease has ended for certain, on this host's clock.
    pub fn lease_bound(&self) -> Millis {
        let drift_ms = self.lease_ms.0 * self.clock_drift_millis / 1_000;
        Millis(self.lease_ms.0 + drift_ms + self.lease_margin_ms.0)
    }
}
