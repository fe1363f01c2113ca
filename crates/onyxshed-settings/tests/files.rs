//! Settings files: the samples, every kind of fault, and texts that are not settings.

use onyxshed_core::Millis;
use onyxshed_settings::page::{page, sample};
use onyxshed_settings::{
    ControlSettings, EntrySettings, OperatorSettings, Placement, SettingsError, SettingsKind,
    check_text, load, read,
};
use proptest::prelude::*;
use rstest::rstest;

fn entry(text: &str) -> String {
    match read::<EntrySettings>("entry.jsonc", text) {
        Ok(_) => "accepted".to_owned(),
        Err(error) => error.explain(),
    }
}

/// Reads the sample for an entry process with `fields` inserted before the sample's own fields.
fn entry_with(fields: &str) -> String {
    entry(&sample(SettingsKind::Entry).replacen("{\n", &format!("{{\n{fields}\n"), 1))
}

#[test]
fn settings_page_matches_the_tables() {
    let found = include_str!("../../../docs/SETTINGS.md");
    assert!(
        found == page(),
        "docs/SETTINGS.md is out of date: cargo run -p onyxshed-settings --example settings-page > docs/SETTINGS.md"
    );
}

#[rstest]
#[case(SettingsKind::Entry)]
#[case(SettingsKind::Control)]
#[case(SettingsKind::Operator)]
fn samples_are_accepted(#[case] kind: SettingsKind) {
    check_text(kind, "sample", sample(kind)).unwrap();
    assert_eq!(kind.to_string().parse(), Ok(kind));
}

#[test]
fn defaults_are_filled_in() {
    let entry: EntrySettings = read("entry", sample(SettingsKind::Entry)).unwrap();
    assert_eq!(entry.drain_timeout_ms, Millis(20_000));
    assert_eq!(entry.horizon_ms, Millis(600_000));
    assert_eq!(entry.placement, Placement::LeastExpectedFinish);
    let control: ControlSettings = read("control", sample(SettingsKind::Control)).unwrap();
    assert_eq!(
        (control.heartbeat_ms, control.peers.len()),
        (Millis(500), 2)
    );
}

#[test]
fn every_fault_is_reported_with_its_position() {
    let text = r#"{
  "host": "Entry One",
  "zone": 7,
  "caller_address": "localhost:7000",
  "peer_address": "0.0.0.0:7001",
  "control_address": "127.0.0.1:7002",
  "admin_address": "127.0.0.1:7002", /* taken */
  "log": { "level": "loud", "colour": true },
  "drain_timeout_s": 30,
  "horizon_ms": "10 min",
  "skew_ms": -1,
  "jobs_max": 1e3,
  "conections_max": 5,
  "zone": "zone-a",
  "weight": 3
}"#;
    insta::assert_snapshot!(entry(text));
}

#[rstest]
#[case::empty("", "empty")]
#[case::no_object("[1, 2]", "no_object")]
#[case::cut_short("{ \"host\": \"a\", \"zone", "cut_short")]
#[case::missing_comma("{\n  \"host\": \"a\"\n  \"zone\": \"b\"\n}", "missing_comma")]
#[case::all_missing("{}", "all_missing")]
fn invalid_texts_are_rejected_with_position(#[case] text: &str, #[case] name: &str) {
    insta::assert_snapshot!(format!("no_settings_{name}"), entry(text));
}

#[rstest]
#[case::horizon(
    "\"horizon_ms\": 1800000,",
    "entry.jsonc:2:15: horizon_ms: found 1800000; allowed: with skew_ms, less than half of platform_retention_ms (1800000)"
)]
#[case::retention(
    "\"platform_retention_ms\": 60000,",
    "entry.jsonc:1:1: horizon_ms: found the default; allowed: with skew_ms, less than half of platform_retention_ms (30000)"
)]
#[case::skew(
    "\"horizon_ms\": 1000,",
    "entry.jsonc:1:1: skew_ms: found the default; allowed: less than horizon_ms (1000)"
)]
fn contradicting_fields_are_rejected(#[case] fields: &str, #[case] fault: &str) {
    let explained = entry_with(fields);
    assert_eq!(explained.lines().nth(1).map(str::trim), Some(fault));
}

#[test]
fn two_fields_with_one_address_are_rejected() {
    // Two fields have the same address: the second listener would fail to open at start, when the
    // first already serves. 0.0.0.0 uses the port on every IP address, so it conflicts with any
    // address of that port. Port 0 never conflicts.
    let text = sample(SettingsKind::Entry)
        .replace("127.0.0.1:7000", "0.0.0.0:7001")
        .replace("127.0.0.1:7002", "127.0.0.1:0")
        .replace("127.0.0.1:7003", "127.0.0.1:0");
    insta::assert_snapshot!(entry(&text), @r#"
    error 5002: entry.jsonc: 1 fault in the settings
      entry.jsonc:6:19: peer_address: found "127.0.0.1:7001"; allowed: an address that no other field has; caller_address at 5:21 has this one
    "#);
}

#[test]
fn peers_may_include_the_process_itself_but_no_duplicates() {
    let own = sample(SettingsKind::Control).replace("127.0.0.1:7104", "127.0.0.1:7004");
    assert!(read::<ControlSettings>("control", &own).is_ok());
    let duplicate = own.replace("127.0.0.1:7204", "127.0.0.1:7004");
    let error = read::<ControlSettings>("control", &duplicate).unwrap_err();
    insta::assert_snapshot!(error.explain(), @r#"
    error 5002: control: 1 fault in the settings
      control:9:31: peers[1]: found "127.0.0.1:7004"; allowed: an address that no other field has; peers[0] at 9:13 has this one
    "#);
}

#[test]
fn processes_with_the_same_name_are_rejected() {
    let text = sample(SettingsKind::Operator).replace("control-1", "entry-1");
    let error = read::<OperatorSettings>("operator", &text).unwrap_err();
    insta::assert_snapshot!(error.explain(), @"
    error 5002: operator: 1 fault in the settings
      operator:3:16: processes: found a list; allowed: processes with different names
    ");
}

#[test]
fn missing_file_has_its_own_code() {
    let error = load::<EntrySettings>("no/such/file.jsonc").unwrap_err();
    assert!(matches!(error, SettingsError::Unreadable { .. }));
    assert_eq!(error.code().number(), 5001);
}

proptest! {
    #[test]
    fn no_text_panics(text in ".{0,200}", kind in 0_usize..3) {
        let _ = check_text(SettingsKind::ALL[kind], "any", &text);
    }

    #[test]
    fn no_damaged_sample_panics(at in 0_usize..600, cut in 0_usize..40, inserted in "[\\[\\]{}\",:0-9a-z/* .é-]{0,6}", kind in 0_usize..3) {
        let kind = SettingsKind::ALL[kind];
        let mut chars: Vec<char> = sample(kind).chars().collect();
        let at = at % chars.len();
        let end = (at + cut).min(chars.len());
        chars.splice(at..end, inserted.chars());
        let text: String = chars.into_iter().collect();
        if let Err(error) = check_text(kind, "any", &text) {
            prop_assert!(!error.explain().is_empty());
        }
    }
}
