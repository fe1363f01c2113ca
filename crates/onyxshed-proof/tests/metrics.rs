//! What operators' monitoring sees of an entry host.

use std::time::Duration;

use async_io::block_on;
use http_types::Method;
use onyxshed_http::client::call_once;
use onyxshed_proof::cluster::{Given, Part};
use onyxshed_proof::zone;
use onyxshed_wire::admin::METRICS_PATH;
use onyxshed_wire::caller::JOBS_PATH;

const TIMEOUT: Duration = Duration::from_secs(10);

#[test]
fn answers_are_counted_by_class_and_code() {
    let mut cluster = block_on(zone::start(1, Given::default()));
    let callers = zone::callers(&mut cluster, "a1");
    block_on(zone::serve_one(callers, zone::ONCE));
    let stranger = serde_json::to_vec(&zone::job("nobody-configured-this", b"x")).unwrap();
    block_on(call_once(
        callers,
        Method::Post,
        JOBS_PATH,
        stranger,
        TIMEOUT,
    ))
    .unwrap();
    let admin = cluster
        .host("a1")
        .unwrap()
        .admin_address(Part::Entry)
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
        zone::ONCE
    );
    assert!(text.contains(&complete), "{complete} is not in\n{text}");
    let stranger = "onyxshed_job_answers_total{class=\"none\",code=\"3102\"} 1";
    assert!(text.contains(stranger), "{stranger} is not in\n{text}");
    // The good caller may have been told to come back before, so its answers are summed.
    let answers = sum(
        &text,
        &format!("onyxshed_job_answers_total{{class=\"{}\"", zone::ONCE),
    );
    let times = sum(
        &text,
        &format!(
            "onyxshed_job_response_seconds_count{{class=\"{}\"",
            zone::ONCE
        ),
    );
    assert!(answers >= 1);
    assert_eq!(answers, times);
    assert!(!text.contains("nobody-configured-this"));
}

/// Sums the values of every line that begins so.
fn sum(text: &str, beginning: &str) -> u64 {
    let lines = text.lines().filter(|line| line.starts_with(beginning));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    values.sum()
}
