//! Metrics of the entry process: counts and response times of answers to submissions, and gauges of the
//! current work.
//!
//! Names follow the Prometheus conventions: counters end in `_total`, durations in `_seconds`. Jobs of
//! classes that are not configured share one label, so that callers can't create labels without bound.

use std::time::Duration;

use onyxshed_core::{ClassName, ResultCode};
use onyxshed_dispatch::Dispatch;
use onyxshed_telemetry::metric;
use onyxshed_wire::caller::Answer;

/// Number of answers to submissions, by class and result code.
pub const JOB_ANSWERS_TOTAL: &str = "onyxshed_job_answers_total";

/// Time from a submission's arrival to its answer, by class.
pub const JOB_RESPONSE_SECONDS: &str = "onyxshed_job_response_seconds";

/// Number of messages to executors that contributed to no answer, by kind.
pub const WASTED_MESSAGES_TOTAL: &str = "onyxshed_wasted_messages_total";

/// Value of the `class` label for jobs of classes that are not configured.
const UNCONFIGURED_CLASS: &str = "none";

/// Records an answer to a submission and its response time.
pub fn record_answer(class: &ClassName, answer: &Answer, elapsed: Duration) {
    let is_known = !matches!(
        answer.code,
        Some(ResultCode::UnknownClass | ResultCode::NotReady)
    );
    let class = if is_known {
        class.as_str()
    } else {
        UNCONFIGURED_CLASS
    };
    let code = answer.code.map_or(0, ResultCode::number);
    let labels = [("class", class.to_owned()), ("code", code.to_string())];
    metrics::counter!(JOB_ANSWERS_TOTAL, &labels).increment(1);
    metrics::histogram!(JOB_RESPONSE_SECONDS, "class" => class.to_owned())
        .record(elapsed.as_secs_f64());
}

/// Sets the gauges and the counters of wasted messages to the current values of the state machine.
pub fn refresh(machine: &Dispatch) {
    metrics::describe_counter!(JOB_ANSWERS_TOTAL, "Answers to submissions.");
    metrics::describe_histogram!(
        JOB_RESPONSE_SECONDS,
        metrics::Unit::Seconds,
        "Time from a submission's arrival to its answer."
    );
    let gauges = [
        (
            "onyxshed_live_jobs",
            "Jobs that have not ended.",
            machine.live_jobs(),
        ),
        (
            "onyxshed_remembered_jobs",
            "Submissions remembered.",
            machine.remembered_jobs(),
        ),
        (
            "onyxshed_queued_tasks",
            "Tasks that wait for an executor.",
            machine.queued_tasks(),
        ),
        (
            "onyxshed_live_attempts",
            "Starts that have not ended.",
            machine.live_attempts(),
        ),
        (
            "onyxshed_live_peers",
            "Peers that are live as far as is known.",
            machine.live_peers(),
        ),
    ];
    for (name, text, value) in gauges {
        // The conversion is exact up to 2^53.
        metric::gauge(name, text).set(value as f64);
    }
    let revision = machine.config().map_or(0, |config| config.revision.0);
    metric::gauge("onyxshed_config_revision", "The configuration in force.").set(revision as f64);
    refresh_wasted_messages(machine);
}

fn refresh_wasted_messages(machine: &Dispatch) {
    let wasted = machine.wasted_messages();
    let kinds = [
        ("refusal", wasted.refusals),
        ("unsent", wasted.unsent),
        ("retry", wasted.retries),
        ("hedge", wasted.hedges),
        ("failed_probe", wasted.failed_probes),
        ("stop", wasted.stopped),
    ];
    for (kind, count) in kinds {
        let text = "Messages to executors that served no answer.";
        metric::labelled_counter(WASTED_MESSAGES_TOTAL, text, "kind", kind).absolute(count);
    }
}
