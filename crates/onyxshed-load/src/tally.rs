//! What became of the jobs of a run, class by class.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use onyxshed_core::{Outcome, ResultCode};

use crate::mix::Mix;

/// Response ratios are kept in thousandths.
pub const RATIO_UNIT: f64 = 1_000.0;

/// Largest value that a histogram keeps: an hour in microseconds, or a ratio of 3.6 million.
const HISTOGRAM_MAX: u64 = 3_600_000_000;

/// Makes an empty histogram with three significant digits.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, HISTOGRAM_MAX, 3).expect("the bounds are constants that fit")
}

/// How one job ended, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobEnd {
    /// Place of its class in the mix.
    pub class: usize,
    /// Tasks it had.
    pub tasks: u64,
    /// The final answer's code, none if no answer came.
    pub code: Option<ResultCode>,
    /// From its planned arrival to the final answer, in microseconds.
    pub took_us: u64,
    /// The shortest that it could have taken, in microseconds.
    pub ideal_us: u64,
    /// What its class's target allows, in microseconds.
    pub finish_within_us: u64,
}

/// One class's results.
#[derive(Debug, Clone)]
pub struct ClassTally {
    /// Jobs that ended.
    pub jobs: u64,
    /// Tasks in them.
    pub tasks: u64,
    /// Jobs answered complete.
    pub complete: u64,
    /// Jobs answered complete within the target.
    pub hits: u64,
    /// Tasks of jobs answered complete within the target.
    pub good_tasks: u64,
    /// Jobs that got no answer.
    pub unanswered: u64,
    /// Final answers by code.
    pub codes: BTreeMap<ResultCode, u64>,
    /// Response time over ideal of complete jobs, in thousandths.
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

/// Messages that did not contribute to the answer a caller got, by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Wasted {
    /// Answers "not run" to callers.
    pub refusals: u64,
    /// Submissions that callers sent again.
    pub repeats: u64,
    /// Requests for an answer that was not there yet.
    pub polls: u64,
    /// Attempts at an executor beyond a task's first: retries after a refusal or a loss.
    pub retries: u64,
    /// Second copies of slow tasks.
    pub hedges: u64,
    /// Refusals by executors.
    pub executor_refusals: u64,
    /// Starts whose job had ended otherwise, and the messages that stopped them.
    pub stops: u64,
    /// Attempts that brought no answer in time or failed.
    pub lost_starts: u64,
}

impl Wasted {
    /// Gets the sum over all kinds.
    pub fn total(&self) -> u64 {
        self.kinds().iter().map(|(_, count)| count).sum()
    }

    /// Gets every kind's name and count.
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

/// All results of a run.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Whose work it was.
    pub mix: Mix,
    /// Results in the order of [`Mix::classes`].
    pub classes: Vec<ClassTally>,
    /// Wasted messages.
    pub wasted: Wasted,
}

impl Tally {
    /// Makes an empty tally.
    pub fn new(mix: Mix) -> Self {
        Tally {
            mix,
            classes: vec![ClassTally::default(); mix.classes().len()],
            wasted: Wasted::default(),
        }
    }

    /// Takes in how one job ended.
    pub fn record(&mut self, end: &JobEnd) {
        self.classes[end.class].record(end);
    }

    /// Gets the number of tasks over all classes.
    pub fn tasks(&self) -> u64 {
        self.classes.iter().map(|class| class.tasks).sum()
    }

    /// Gets wasted messages as a percentage of tasks.
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

    /// Gets the part of jobs that were complete within the target, in percent.
    pub fn hit_percent(&self) -> f64 {
        percent(self.hits, self.jobs)
    }

    /// Gets a percentile of response time over ideal, 0 if no job was complete.
    pub fn ratio_at(&self, percentile: f64) -> f64 {
        if self.ratio.is_empty() {
            return 0.0;
        }
        float(self.ratio.value_at_percentile(percentile)) / RATIO_UNIT
    }
}

/// Gets a part in percent, 0 of nothing.
pub fn percent(part: u64, whole: u64) -> f64 {
    match whole {
        0 => 0.0,
        whole => 100.0 * float(part) / float(whole),
    }
}

/// Turns a count into a float; counts stay far below 2^52.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub fn float(count: u64) -> f64 {
    count as f64
}
