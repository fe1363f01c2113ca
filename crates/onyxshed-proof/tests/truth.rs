//! The checks at the end of every scenario: each kind of false answer is detected.

use onyxshed_core::{Incarnation, ResultCode, SubmissionId, TaskId, UnixMs};
use onyxshed_proof::caller::{CallResult, TimedCallResult};
use onyxshed_proof::truth::{Exchange, JobFacts, Starts, check};
use onyxshed_standins::upstream::StartRecord;
use onyxshed_wire::caller::Answer;
use rstest::rstest;

const ID: &str = "01ARZ3NDEKTSV4RRFFQ69G5FAV";
const OTHER: &str = "01ARZ3NDEKTSV4RRFFQ69G5FAW";
const SENT: UnixMs = UnixMs(1_000);

fn id() -> SubmissionId {
    ID.parse().expect("a valid submission id")
}

/// Creates start records of the job's tasks from task indexes and times.
fn starts(records: &[(u16, u64)]) -> Starts {
    let record = |&(index, at_ms): &(u16, u64)| StartRecord {
        task: TaskId {
            submission: id(),
            index,
        },
        starter: Incarnation(1),
        at_ms: UnixMs(at_ms),
        content: "".into(),
    };
    Starts::new(records.iter().map(record).collect())
}

fn check_answer(answer: Answer, may_run_twice: bool, records: &[(u16, u64)]) -> String {
    let result = CallResult::Answer(answer.http_status(), answer);
    let job = JobFacts {
        id: id(),
        may_run_twice,
        results: vec![b"one".to_vec(), b"two".to_vec()],
        exchanges: vec![Exchange {
            sent_at_ms: SENT,
            result: Some(TimedCallResult {
                result,
                received_at_ms: UnixMs(2_000),
            }),
        }],
    };
    match check(&job, &starts(records)) {
        Ok(()) => "holds".to_owned(),
        Err(error) => error.to_string(),
    }
}

fn complete(results: &[&str]) -> Answer {
    Answer::complete(
        id(),
        results
            .iter()
            .map(|text| text.as_bytes().to_vec())
            .collect(),
    )
}

fn ended(code: ResultCode) -> Answer {
    Answer::ended(Some(id()), code, "")
}

#[rstest]
#[case::complete(complete(&["one", "two"]), &[(0, 1_500), (1, 1_500)], "holds")]
#[case::partial(complete(&["one"]), &[(0, 1_500), (1, 1_500)], "its results are not the job's own")]
#[case::swapped(complete(&["two", "one"]), &[(0, 1_500), (1, 1_500)], "its results are not the job's own")]
#[case::never_ran(complete(&["one", "two"]), &[(0, 1_500)], "not every task started")]
#[case::not_run(ended(ResultCode::Overloaded), &[], "holds")]
#[case::had_run(ended(ResultCode::Overloaded), &[(0, 900)], "a task had started before the request was sent")]
#[case::ran_later(ended(ResultCode::Overloaded), &[(0, 1_500)], "every answer to 01ARZ3NDEKTSV4RRFFQ69G5FAV was not_run")]
#[case::failed(ended(ResultCode::TaskFailed), &[(1, 1_500)], "holds")]
#[case::failed_unstarted(ended(ResultCode::TaskFailed), &[], "no task started")]
#[case::twice(ended(ResultCode::HolderGone), &[(1, 1_500), (1, 1_600)], "task 1 of 01ARZ3NDEKTSV4RRFFQ69G5FAV started 2 times")]
#[case::foreign(Answer::ended(Some(OTHER.parse().unwrap()), ResultCode::HolderGone, ""), &[], "another submission's answer")]
fn false_answers_are_detected(
    #[case] answer: Answer,
    #[case] records: &[(u16, u64)],
    #[case] expected: &str,
) {
    let found = check_answer(answer, false, records);
    assert!(found.contains(expected), "found {found}");
}

#[test]
fn second_start_is_allowed_if_class_may_run_twice() {
    let answer = complete(&["one", "two"]);
    assert_eq!(
        check_answer(answer, true, &[(0, 1_500), (0, 1_600), (1, 1_500)]),
        "holds"
    );
}
