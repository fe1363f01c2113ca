//! The parser of the scenario language: its errors for invalid scripts, and that it accepts any text
//! without a panic.

use onyxshed_proof::scenario::parse;
use proptest::prelude::*;
use rstest::rstest;

fn parse_result(text: &str) -> String {
    match parse(text) {
        Ok(script) => format!("{:?}", script.lines[0].step),
        Err(error) => error.to_string(),
    }
}

#[rstest]
#[case::unknown_statement("# comment\n\nkidnap entry a1")]
#[case::unknown_process("freeze server a1")]
#[case::name_missing("kill entry")]
#[case::bad_name("kill entry A1")]
#[case::bad_job("cancel job j1 at entry a1")]
#[case::bad_range("cancel jobs J9 to J1 at entry a1")]
#[case::bad_number("start zone a with two entry hosts and 1 executor each")]
#[case::bad_unit("let 3 minutes pass")]
#[case::bad_class("publish class Fee within 5 s")]
#[case::bad_outcome("expect answer of job J1 is fine")]
#[case::bad_ending("publish class fee within 5 s and win")]
#[case::too_much("thaw control a1 now")]
#[case::cut_short("submit job J1 class fee tasks 4 of 100 ms")]
#[case::bad_edge("cut entry a1 from a2")]
#[case::bad_place("wait until revision 2 is in force somewhere")]
fn invalid_script_is_rejected_with_position_and_reason(#[case] text: &str) {
    let case = std::thread::current().name().unwrap_or_default().to_owned();
    let name = case.rsplit("::").next().unwrap_or_default();
    insta::assert_snapshot!(
        name.split_once("_").map_or(name, |(_, rest)| rest),
        parse_result(text)
    );
}

#[rstest]
#[case::submit(
    "submit jobs J1 to J2 class fee tasks 4 of 1 s failing 2 to each of a1 b1 until run"
)]
#[case::edge("break off answers after 60 bytes on executors of zone a")]
#[case::expectation("expect answer of job J1 from entry b1 is complete or lost")]
#[case::publication("publish class fee within 5 s may run twice from revision 2 and lose the race")]
fn valid_script_is_parsed(#[case] text: &str) {
    let case = std::thread::current().name().unwrap_or_default().to_owned();
    let name = case.rsplit("::").next().unwrap_or_default();
    insta::assert_snapshot!(name, parse_result(text));
}

/// Words of the language, so that random lines pass the first words of the grammar.
const WORDS: &[&str] = &[
    "submit",
    "job",
    "jobs",
    "J1",
    "to",
    "J3",
    "class",
    "fee",
    "tasks",
    "4",
    "of",
    "100",
    "ms",
    "entry",
    "a1",
    "each",
    "until",
    "run",
    "expect",
    "every",
    "task",
    "started",
    "at",
    "most",
    "once",
    "cut",
    "zone",
    "from",
    "platform",
    "answers",
    "wait",
    "is",
    "answered",
    "\u{e9}",
    "9999999999999999999999",
];

proptest! {
    #[test]
    fn any_text_is_parsed_or_rejected_with_position(
        words in prop::collection::vec(prop::sample::select(WORDS), 0..16),
        tail in ".{0,20}",
    ) {
        let text = format!("# head\n{} {tail}", words.join(" "));
        if let Err(error) = parse(&text) {
            let line = text.lines().nth(error.line - 1).unwrap_or_default();
            prop_assert!(error.column <= line.chars().count() + 1);
            prop_assert!(!error.allowed.is_empty());
        }
    }
}
