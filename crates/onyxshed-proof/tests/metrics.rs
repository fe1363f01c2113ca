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
    for line in [
        format!(
            "onyxshed_job_answers_total{{class=\"{}\",code=\"1000\"}} 1",
            zone::ONCE
        ),
        "onyxshed_job_answers_total{class=\"none\",code=\"3102\"} 1".to_owned(),
        format!(
            "onyxshed_job_response_seconds_count{{class=\"{}\"}} 1",
            zone::ONCE
        ),
    ] {
        assert!(text.contains(&line), "{line} is not in\n{text}");
    }
    assert!(!text.contains("nobody-configured-this"));
}
