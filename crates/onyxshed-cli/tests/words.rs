//! Output of the command line that needs no process: help, catalogues, durations and usage errors.

use std::process::{Command, Output};
use std::sync::Mutex;
use std::time::Duration;

use async_io::Timer;
use onyxshed_cli::progress::Progress;
use onyxshed_cli::{catalogue, command, span};
use onyxshed_core::Millis;
use proptest::prelude::*;
use rstest::rstest;

fn onyxshed(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_onyxshed"))
        .args(words)
        .env("COLUMNS", "100")
        .output()
        .expect("the binary runs")
}

/// Formats exit code, standard output and standard error as one text.
fn transcript(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    format!("exit {:?}\n{out}{err}", output.status.code())
}

#[test]
fn result_codes_page_matches_the_code() {
    let found = include_str!("../../../docs/RESULT-CODES.md");
    let written = catalogue::codes_page();
    assert!(
        found == written,
        "the page is out of date: its head says how to write it again"
    );
    for code in onyxshed_core::ResultCode::ALL {
        assert!(
            written.contains(&format!("| {code} | `{code:?}` |")),
            "{code} is left out"
        );
    }
}

#[test]
fn events_page_matches_the_code() {
    let found = include_str!("../../../docs/EVENTS.md");
    let written = catalogue::events_page();
    assert!(
        found == written,
        "the page is out of date: its head says how to write it again"
    );
    for kind in onyxshed_core::EventKind::ALL {
        let row = format!("| E{} | `{}` |", kind.number(), kind.name());
        assert!(written.contains(&row), "{kind} is left out");
    }
}

#[rstest]
#[case("onyxshed", &[])]
#[case("check", &["check"])]
#[case("target", &["target"])]
#[case("target_put", &["target", "put"])]
#[case("target_history", &["target", "history"])]
#[case("target_remove", &["target", "remove"])]
#[case("status", &["status"])]
#[case("timeline", &["timeline"])]
#[case("drain", &["drain"])]
#[case("explain", &["explain"])]
fn help(#[case] name: &str, #[case] path: &[&str]) {
    let mut words = vec!["onyxshed"];
    words.extend(path);
    words.push("--help");
    let shown = command::command()
        .term_width(100)
        .try_get_matches_from(words)
        .unwrap_err();
    insta::assert_snapshot!(format!("help_{name}"), shown.render().to_string());
}

#[rstest]
#[case::no_command("no_command", &["status"])]
#[case::unknown("unknown", &["target", "put", "sync", "--weight", "3"])]
#[case::bad_span("bad_span", &["target", "put", "sync", "--upstream", "stock", "--finish-within", "2", "--platform", "127.0.0.1:1"])]
#[case::bad_class("bad_class", &["target", "get", "Sync", "--platform", "127.0.0.1:1"])]
#[case::host_name("host_name", &["target", "list", "--platform", "localhost:1"])]
#[case::both("both", &["target", "list", "--platform", "127.0.0.1:1", "--settings", "x.jsonc"])]
#[case::no_file("no_file", &["status", "--settings", "no/such/file.jsonc"])]
#[case::no_file_json("no_file_json", &["status", "--settings", "no/such/file.jsonc", "--json"])]
#[case::explain_code("explain_code", &["explain", "3004"])]
#[case::explain_event("explain_event", &["explain", "E301", "--json"])]
#[case::explain_none("explain_none", &["explain", "E1"])]
fn words_and_exit_codes(#[case] name: &str, #[case] words: &[&str]) {
    insta::assert_snapshot!(format!("words_{name}"), transcript(&onyxshed(words)));
}

#[test]
fn check_reports_every_fault_and_exits_with_2() {
    let path = std::env::temp_dir().join(format!("onyxshed-check-{}.jsonc", std::process::id()));
    let file = path.to_str().unwrap();
    std::fs::write(
        &path,
        "{ \"platform_address\": \"here\", \"proceses\": [] }",
    )
    .unwrap();
    let bad = onyxshed(&["check", file, "--kind", "operator"]);
    std::fs::write(
        &path,
        "{ \"platform_address\": \"127.0.0.1:7900\" } // no process yet",
    )
    .unwrap();
    let good = onyxshed(&["check", file, "--kind", "operator", "--json"]);
    std::fs::remove_file(&path).unwrap();
    let both = transcript(&bad) + &transcript(&good);
    insta::assert_snapshot!(both.replace(file, "FILE"));
}

#[test]
fn the_command_line_is_well_formed() {
    command::command().debug_assert();
}

#[test]
fn progress_is_reported_while_work_lasts() {
    static REPORTED: Mutex<Vec<String>> = Mutex::new(Vec::new());
    let progress = Progress::with_reporter("the platform", |activity| {
        REPORTED
            .lock()
            .expect("nobody panics")
            .push(activity.to_owned());
    });
    // The work ends once something was reported, and would never end otherwise.
    let work = async {
        while REPORTED.lock().unwrap().is_empty() {
            Timer::after(Duration::from_millis(5)).await;
        }
    };
    async_io::block_on(progress.during(work));
    assert_eq!(*REPORTED.lock().unwrap(), ["the platform"]);
}

proptest! {
    #[test]
    fn displayed_duration_parses_to_the_same_value(span_ms in 0_u64..10_000_000) {
        let span = Millis(span_ms);
        prop_assert_eq!(span::parse(&span::display(span)), Ok(span));
    }

    #[test]
    fn parsing_any_text_does_not_panic(text in ".{0,30}") {
        let _ = span::parse(&text);
    }
}
