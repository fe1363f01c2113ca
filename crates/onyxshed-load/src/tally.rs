//! Counts and response times of the jobs of a run, by class.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use onyxshed_core::{Outcome, ResultCode};

use crate::mix::Mix;

/// Number of histogram units in a response ratio of 1: ratios are recorded in thousandths.
pub const RATIO_UNIT: f64 = 1_000.0;

/// Largest value that a histogram records: an hour in microseconds, or a ratio of 3.6 million.
const HISTOGRAM_MAX: u64 = 3_600_000_000;

/// Returns an empty histogram for values from 1 to 3.6 billion, with three significant digits.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, HISTOGRAM_MAX, 3).expect("the histogram bounds are valid")
}

/// The end of one job as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobEnd {
    /// Index of the job's class in the mix.
    pub class: usize,
    /// Number of tasks in the job.
    pub tasks: u64,
    /// Result code of the final answer, or `None` if there was no final answer.
    pub code: Option<ResultCode>,
    /// Time from the planned arrival to the final answer, in microseconds.
    pub took_us: u64,
    /// Shortest possible response time of the job, in microseconds.
    pub ideal_us: u64,
    /// The class's target for the response time, in microseconds.
    pub finish_within_us: u64,
}

/// Results of one class.
#[derive(Debug, Clone)]
pub struct ClassTally {
    /// Number of jobs that ended, with or without an answer.
    pub jobs: u64,
    /// Number of tasks in those jobs.
    pub tasks: u64,
    /// Number of jobs answered as complete.
    pub complete: u64,
    /// Number of jobs answered as complete within the target.
    pub hits: u64,
    /// Number of tasks in the jobs answered as complete within the target.
    pub good_tasks: u64,
    /// Number of jobs without an answer.
    pub unanswered: u64,
    /// Number of final answers by result code.
    pub codes: BTreeMap<ResultCode, u64>,
    /// Response time of complete jobs divided by the ideal, in thousandths.
    pub ratio: Histogram<u64>,
    /// Response time of complete jobs, in microseconds.
    pub took_us: Histogram<u64>,
}

impl Default for ClassTally {
    fn default() -> Self {
        ClassTally {
            jobs: 0,
            tasks: 0,
            complete: 0,
            hits: 0,
            good_tasks: 0,
            unanswered: 0,
            codes: BTreeMap::new(),
            ratio: histogram(),
            took_us: histogram(),
        }
    }
}

/// Numbers of messages that did not contribute to an answer that a caller received, by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Wasted {
    /// Answers "not run" to callers.
    pub refusals: u64,
    /// Submissions that callers sent again.
    pub repeats: u64,
    /// Polls of jobs that were still running.
    pub polls: u64,
    /// Attempts at tasks whose previous attempt failed, was refused or was lost.
    pub retries: u64,
    /// Second attempts at slow tasks, started while the first one ran.
    pub hedges: u64,
    /// Attempts at tasks that an executor refused; only simulations count them.
    pub executor_refusals: u64,
    /// Requests to stop an attempt because its job or task had already ended.
    pub stops: u64,
    /// Attempts that failed, were not sent or were not answered in time.
    pub lost_starts: u64,
}

impl Wasted {
    /// Returns the sum over all kinds.
    pub fn total(&self) -> u64 {
        self.kinds().iter().map(|(_, count)| count).sum()
    }

    /// Returns the name and the count of every kind.
    pub fn kinds(&self) -> [(&'static str, u64); 8] {
        [
            ("refusals", self.refusals),
            ("repeats", self.repeats),
            ("polls", self.polls),
            ("retries", self.retries),
            ("hedges", self.hedges),
            ("executor refusals", self.executor_refusals),
            ("stops", self.stops),
            ("lost starts", self.lost_starts),
        ]
    }
}

/// Results of a run, which are updated as its jobs end.
#[derive(Debug, Clone)]
pub struct Tally {
    /// The mix that the jobs were drawn from.
    pub mix: Mix,
    /// Results by class, in the order of [`Mix::classes`].
    pub classes: Vec<ClassTally>,
    /// Messages wasted in the run, by kind.
    pub wasted: Wasted,
}

impl Tally {
    /// Returns a tally whose counts are all 0, with an entry for each class of the mix.
    pub fn new(mix: Mix) -> Self {
        Tally {
            mix,
            classes: vec![ClassTally::default(); mix.classes().len()],
            wasted: Wasted::default(),
        }
    }

    /// Adds the end of one job to the counts and histograms of its class.
    pub fn record(&mut self, end: &JobEnd) {
        self.classes[end.class].record(end);
    }

    /// Returns the number of tasks over all classes.
    pub fn tasks(&self) -> u64 {
        self.classes.iter().map(|class| class.tasks).sum()
    }

    /// Returns the number of wasted messages as a percentage of the number of tasks.
    pub fn wasted_percent(&self) -> f64 {
        percent(self.wasted.total(), self.tasks())
    }
}

impl ClassTally {
    fn record(&mut self, end: &JobEnd) {
        self.jobs += 1;
        self.tasks += end.tasks;
        match end.code {
            Some(code) => *self.codes.entry(code).or_default() += 1,
            None => self.unanswered += 1,
        }
        let is_complete = end.code.and_then(ResultCode::outcome) == Some(Outcome::Complete);
        if is_complete {
            self.record_complete(end);
        }
    }

    fn record_complete(&mut self, end: &JobEnd) {
        self.complete += 1;
        self.took_us.saturating_record(end.took_us);
        let thousandths = end.took_us.saturating_mul(1_000) / end.ideal_us.max(1);
        self.ratio.saturating_record(thousandths);
        if end.took_us <= end.finish_within_us {
            self.hits += 1;
            self.good_tasks += end.tasks;
        }
    }

    /// Returns the percentage of jobs that were complete within the target.
    pub fn hit_percent(&self) -> f64 {
        percent(self.hits, self.jobs)
    }

    /// Returns a percentile of the response time divided by the ideal, or 0 if no job was complete.
    pub fn ratio_at(&self, percentile: f64) -> f64 {
        if self.ratio.is_empty() {
            return 0.0;
        }
        float(self.ratio.value_at_percentile(percentile)) / RATIO_UNIT
    }
}

/// Returns a part as a percentage of the whole, or 0 if the whole is 0.
pub fn percent(part: u64, whole: u64) -> f64 {
    match whole {
        0 => 0.0,
        whole => 100.0 * float(part) / float(whole),
    }
}

/// Converts a count into a float, exactly for counts below 2^52.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub fn float(count: u64) -> f64 {
    count as f64
}
