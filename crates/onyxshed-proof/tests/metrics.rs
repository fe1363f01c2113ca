//! The metrics of an entry host.

use std::time::Duration;

use async_io::block_on;
use http_types::Method;
use onyxshed_http::client::call_once;
use onyxshed_proof::cluster::{ClusterOptions, ProcessKind};
use onyxshed_proof::zone;
use onyxshed_wire::admin::METRICS_PATH;
use onyxshed_wire::caller::JOBS_PATH;

const TIMEOUT: Duration = Duration::from_secs(10);

#[test]
fn answers_are_counted_by_class_and_code() {
    let mut cluster = block_on(zone::start(1, ClusterOptions::default()));
    let caller_address = zone::caller_address(&mut cluster, "a1");
    block_on(zone::run_one_job(caller_address, zone::AT_MOST_ONCE));
    let unknown_class = serde_json::to_vec(&zone::job("nobody-configured-this", b"x")).unwrap();
    block_on(call_once(
        caller_address,
        Method::Post,
        JOBS_PATH,
        unknown_class,
        TIMEOUT,
    ))
    .unwrap();
    let admin = cluster
        .host("a1")
        .unwrap()
        .admin_address(ProcessKind::Entry)
        .unwrap();
    let reply = block_on(call_once(
        admin,
        Method::Get,
        METRICS_PATH,
        Vec::new(),
        TIMEOUT,
    ))
    .unwrap();
    let text = String::from_utf8(reply.body).unwrap();
    let complete = format!(
        "onyxshed_job_answers_total{{class=\"{}\",code=\"1000\"}} 1",
        zone::AT_MOST_ONCE
    );
    assert!(text.contains(&complete), "{complete} is not in\n{text}");
    let unknown_class = "onyxshed_job_answers_total{class=\"none\",code=\"3102\"} 1";
    assert!(
        text.contains(unknown_class),
        "{unknown_class} is not in\n{text}"
    );
    // The caller of the valid job may have retried, so the numbers of its answers are summed.
    let answer_count = sum_samples(
        &text,
        &format!(
            "onyxshed_job_answers_total{{class=\"{}\"",
            zone::AT_MOST_ONCE
        ),
    );
    let response_count = sum_samples(
        &text,
        &format!(
            "onyxshed_job_response_seconds_count{{class=\"{}\"",
            zone::AT_MOST_ONCE
        ),
    );
    assert!(answer_count >= 1);
    assert_eq!(answer_count, response_count);
    assert!(!text.contains("nobody-configured-this"));
}

/// Returns the sum of the values of all lines that start with `beginning`.
fn sum_samples(text: &str, beginning: &str) -> u64 {
    let lines = text.lines().filter(|line| line.starts_with(beginning));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    values.sum()
}
