//! Publishing a change to the stand-in of the platform, which injects faults.

#[path = "support/standin.rs"]
mod standin;

use std::str::FromStr;

use http_types::Method;
use onyxshed_cli::args::{PlatformArgs, Publish};
use onyxshed_cli::output::Format;
use onyxshed_cli::progress::Progress;
use onyxshed_cli::target::{self, ConfigLog, prepare, send};
use onyxshed_cli::{Error, Result};
use onyxshed_core::{ChangeId, ClassTarget, Millis, Revision, UnixMs};
use onyxshed_state::RepublishStep;
use onyxshed_wire::record::ChangeBody;
use rstest::rstest;
use serde_json::{Value, json};

use standin::Standin;

fn put(finish_within_ms: u64) -> ChangeBody {
    ChangeBody::Put(ClassTarget {
        class: "stock-sync".parse().expect("a name"),
        upstream: "stock".parse().expect("a name"),
        finish_within_ms: Millis(finish_within_ms),
        may_run_twice: false,
    })
}

fn args(standin: &Standin, timeout_ms: u64) -> PlatformArgs {
    PlatformArgs {
        address: standin.address,
        timeout_ms: Millis(timeout_ms),
    }
}

async fn publish(standin: &Standin, body: ChangeBody, timeout_ms: u64) -> Result<String> {
    let publish = Publish {
        platform: args(standin, timeout_ms),
        body,
        based_on: None,
        wait_for: Vec::new(),
    };
    target::publish(publish, Format::Json).await
}

fn revision(output: Result<String>) -> Value {
    let output = output.expect("the change is accepted");
    serde_json::from_str::<Value>(&output).expect("JSON")["revision"].clone()
}

async fn outcomes(standin: &Standin) -> Vec<Value> {
    let output = target::history(args(standin, 60_000), None, None, Format::Json).await;
    let history: Value = serde_json::from_str(&output.expect("a history")).expect("JSON");
    let changes = history["changes"].as_array().expect("a list").clone();
    changes
        .into_iter()
        .map(|change| change["fate"].clone())
        .collect()
}

#[test]
fn successive_changes_make_successive_revisions() {
    standin::with_platform(async |standin| {
        assert_eq!(revision(publish(standin, put(2_000), 60_000).await), 1);
        assert_eq!(revision(publish(standin, put(3_000), 60_000).await), 2);
        let shown = target::show(args(standin, 60_000), None, Format::Human).await;
        insta::assert_snapshot!(shown.unwrap(), @"
        revision 2
        CLASS       UPSTREAM  FINISH WITHIN  MAY RUN TWICE
        stock-sync  stock     3s             no
        ");
        let remove = ChangeBody::Remove("stock-sync".parse().unwrap());
        assert_eq!(revision(publish(standin, remove, 60_000).await), 3);
        let gone = target::show(
            args(standin, 60_000),
            Some("stock-sync".parse().unwrap()),
            Format::Human,
        )
        .await;
        assert_eq!(
            gone.unwrap_err().to_string(),
            "there is no class stock-sync in revision 3"
        );
    });
}

#[rstest]
#[case::answer_lost(json!({ "lose_append_answer": 1 }))]
#[case::dropped(json!({ "drop_append": 2 }))]
#[case::both(json!({ "drop_append": 1, "lose_append_answer": 1 }))]
fn append_without_an_answer_is_read_back_and_takes_effect_once(#[case] faults: Value) {
    // The connection closes after the append was sent. The command must not report a rejection, and
    // must not append the change twice: it reads the log to its end, and sends the change again, with
    // the same id, only if it is not there.
    standin::with_platform(async |standin| {
        standin.control("/control/faults", &faults).await;
        assert_eq!(revision(publish(standin, put(2_000), 60_000).await), 1);
        assert_eq!(outcomes(standin).await, ["accepted"]);
    });
}

#[test]
fn second_change_of_a_race_is_reported_as_raced() {
    // Two operators publish changes based on revision 0. Both changes are on the log, so only reading
    // the second one back shows that it was not accepted.
    standin::with_platform(async |standin| {
        let mut log = ConfigLog::new(args(standin, 60_000));
        log.read_all().await.unwrap();
        let late = prepare(&log, put(9_000), None).unwrap();
        assert_eq!(revision(publish(standin, put(2_000), 60_000).await), 1);
        let error = send(&mut log, late, &Progress::new("the log"))
            .await
            .unwrap_err();
        assert_eq!(error.code().number(), 5008);
        assert!(
            matches!(
                error,
                Error::ChangeRaced {
                    found: Revision(1),
                    ..
                }
            ),
            "{error}"
        );
        assert_eq!(outcomes(standin).await, ["accepted", "raced"]);
        // A change based on an old revision fails before anything is sent.
        let stale = prepare(&log, put(9_000), Some(Revision(0))).unwrap_err();
        assert_eq!(stale.code().number(), 5008);
    });
}

#[rstest]
#[case::too_long(
    put(600_001),
    "the change is invalid: finish_within_ms is 600001: allowed is 1 to 600000; nothing was sent"
)]
#[case::no_class(ChangeBody::Remove("none".parse().expect("a name")), "the change is invalid: there is no class none; nothing was sent")]
fn invalid_change_fails_before_the_append(#[case] body: ChangeBody, #[case] text: &str) {
    standin::with_platform(async |standin| {
        let error = publish(standin, body, 60_000).await.unwrap_err();
        assert_eq!(
            (error.code().number(), error.to_string().as_str()),
            (5009, text)
        );
        assert_eq!(standin.counts().await["appends"], 0);
    });
}

#[test]
fn append_that_hangs_is_undecided_and_found_by_its_id_later() {
    // The platform appends the change and hangs before it answers, until the command's time limit
    // passes. Neither "accepted" nor "rejected" would be true. The error names the command that shows
    // the outcome later, and that command finds the change once the platform answers again.
    standin::with_platform(async |standin| {
        let change = prepare(&ConfigLog::new(args(standin, 0)), put(2_000), None).unwrap();
        let change_id = change.change().change_id;
        standin
            .control("/control/faults", &json!({ "down": "hang" }))
            .await;
        let mut log = ConfigLog::new(args(standin, 200));
        let error = send(&mut log, change.clone(), &Progress::new("the log"))
            .await
            .unwrap_err();
        assert_eq!(error.code().number(), 5010);
        let command = format!("`onyxshed target history --change {change_id}`");
        assert!(error.to_string().contains(&command), "{error}");

        standin.control("/control/faults", &json!({})).await;
        let mut log = ConfigLog::new(args(standin, 60_000));
        log.read_all().await.unwrap();
        assert_eq!(
            send(&mut log, change, &Progress::new("the log")).await,
            Ok(Revision(1))
        );
        let found = target::history(args(standin, 60_000), None, Some(change_id), Format::Human);
        assert!(found.await.unwrap().contains("revision 1"));
    });
}

#[test]
fn stale_reads_do_not_repeat_the_append() {
    // The log acknowledges the append, but reads return its state before the append. The command must
    // not report success before the change was read back, and must not append it a second time.
    standin::with_platform(async |standin| {
        let change = prepare(&ConfigLog::new(args(standin, 0)), put(2_000), None).unwrap();
        let stale = json!({ "stale_reads": true });
        standin.control("/control/faults", &stale).await;
        let mut log = ConfigLog::new(args(standin, 700));
        let error = send(&mut log, change, &Progress::new("the log"))
            .await
            .unwrap_err();
        assert_eq!(error.code().number(), 5010);
        assert_eq!(standin.counts().await["appends"], 1);
        standin.control("/control/faults", &json!({})).await;
        assert_eq!(outcomes(standin).await, ["accepted"]);
    });
}

#[test]
fn rejected_append_is_reported_as_not_accepted() {
    standin::with_platform(async |standin| {
        let mut log = ConfigLog::new(args(standin, 200));
        let change = prepare(&log, put(2_000), None).unwrap();
        standin
            .control("/control/faults", &json!({ "error_status": 403 }))
            .await;
        let error = send(&mut log, change, &Progress::new("the log"))
            .await
            .unwrap_err();
        assert_eq!(error.code().number(), 5006);
        assert_eq!(standin.counts().await["appended"], json!({}));
    });
}

#[test]
fn expired_records_are_not_read_as_an_empty_configuration() {
    // The log lost its first record and contains no snapshot. Reading on would show revision 0 and let
    // the operator publish a change based on a configuration that is in force nowhere.
    standin::with_platform(async |standin| {
        assert_eq!(revision(publish(standin, put(2_000), 60_000).await), 1);
        let lost = json!({ "truncate": { "stream": "config", "to": 1 } });
        standin.control("/control/faults", &lost).await;
        let error = publish(standin, put(3_000), 60_000).await.unwrap_err();
        assert_eq!(error, Error::ConfigIncomplete);
        let shown = standin
            .call(Method::Get, "/v1/streams/config/records?from=0")
            .await;
        assert!(String::from_utf8_lossy(&shown.body).contains("\"records\":[]"));
    });
}

#[test]
fn unreadable_records_are_ignored_and_counted() {
    // Another program appended to the stream: an empty record, a record of an unknown kind, and two
    // texts that are not JSON. Every reader ignores the same records, so publishing still works.
    standin::with_platform(async |standin| {
        let mut log = ConfigLog::new(args(standin, 60_000));
        for garbage in ["", "{\"change_v9\":{}}", "[[[[", "\u{0}"] {
            log.append(garbage.to_owned()).await.unwrap();
        }
        assert_eq!(revision(publish(standin, put(2_000), 60_000).await), 1);
        let output = target::history(args(standin, 60_000), None, None, Format::Human).await;
        let output = output.unwrap();
        let last = output.lines().last();
        let counted = "4 records can't be read and are ignored by all (error 5013)";
        assert_eq!(last, Some(counted), "{output}");
        let unknown = Some(ChangeId::from_str("01JABCDEFGHJKMNPQRSTVWXYZ0").unwrap());
        let output = target::history(args(standin, 60_000), None, unknown, Format::Human).await;
        assert_eq!(output.unwrap_err().code().number(), 5010);
    });
}

#[test]
fn snapshot_replaces_expired_records() {
    // A control process publishes the configuration as a snapshot, then the records of its changes
    // expire. The operator sees the same targets and can continue from the same revision.
    standin::with_platform(async |standin| {
        assert_eq!(revision(publish(standin, put(2_000), 60_000).await), 1);
        let mut log = ConfigLog::new(args(standin, 60_000));
        log.read_all().await.unwrap();
        let first = log.changes()[0].change.change_id;
        let RepublishStep::Publish(records) = log.fold().clone().republish(UnixMs(u64::MAX), 1)
        else {
            panic!("the end of time is past any retention");
        };
        for record in records {
            log.append(record.encode()).await.unwrap();
        }
        let lost = json!({ "truncate": { "stream": "config", "to": 1 } });
        standin.control("/control/faults", &lost).await;
        let output = target::history(args(standin, 60_000), None, Some(first), Format::Human);
        let expected = format!("change {first} made revision 1; its record has expired\n");
        assert_eq!(output.await, Ok(expected));
        assert_eq!(revision(publish(standin, put(3_000), 60_000).await), 2);
    });
}
