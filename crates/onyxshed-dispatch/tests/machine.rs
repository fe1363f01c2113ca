//! Tests of the state machine in which a single input decides the result.

use std::net::SocketAddr;

use onyxshed_core::{CallerId, SubmissionId, UnixMs};
use onyxshed_core::{ClassTarget, Incarnation, Millis, Mono, Now, Offset, ResultCode, Revision};
use onyxshed_dispatch::output::ForwardedCall;
use onyxshed_dispatch::{Dispatch, DispatchOptions, Input, Output, RequestId};
use onyxshed_policy::ExecutorInfo;
use onyxshed_state::{Config, Member, MemberState};
use onyxshed_wire::caller::{Answer, CopyMark, Submission};
use rstest::rstest;
use ulid::Ulid;

const ME: Incarnation = Incarnation(1);
const OTHER: Incarnation = Incarnation(2);
const NOW: Now = Now {
    mono: Mono(1_000_000),
    wall: UnixMs(1_000_000_000),
};

fn config(revision: u64, may_run_twice: bool) -> Config {
    let target = ClassTarget {
        class: "stock-sync".parse().expect("the name is valid"),
        upstream: "tablets".parse().expect("the name is valid"),
        finish_within_ms: Millis(500),
        may_run_twice,
    };
    let classes = [(target.class.clone(), target)].into();
    Config {
        revision: Revision(revision),
        classes,
    }
}

/// Creates a state machine that has read the log to its end and has one class and no executors.
fn machine(may_run_twice: bool) -> Dispatch {
    let mut machine = Dispatch::new(ME, DispatchOptions::default(), 7);
    machine.handle(NOW, Input::Configured(config(1, may_run_twice)));
    machine.handle(NOW, Input::Executors(Vec::new()));
    let (oldest, next, records) = (Offset(0), Offset(0), Vec::new());
    machine.handle(
        NOW,
        Input::LogRead {
            oldest,
            next,
            records,
        },
    );
    machine
}

fn submission(bound_to: Option<Incarnation>) -> Submission {
    Submission {
        submission: SubmissionId {
            ulid: Ulid::from_parts(NOW.wall.0, 1),
            bound_to,
        },
        class: "stock-sync".parse().expect("the name is valid"),
        deadline_ms: None,
        copy: CopyMark::Again,
        tasks: vec![b"a".to_vec()],
    }
}

fn submit(machine: &mut Dispatch, bound_to: Option<Incarnation>) -> Vec<Output> {
    let submission = submission(bound_to);
    let request = RequestId(1);
    machine.handle(
        NOW,
        Input::Submit {
            request,
            submission,
            caller: CallerId::UNKNOWN,
            is_forwarded: false,
        },
    )
}

fn answer_of(outputs: &[Output]) -> Option<&Answer> {
    outputs.iter().find_map(|output| match output {
        Output::Answer { answer, .. } => Some(answer),
        _ => None,
    })
}

fn is_forwarded(outputs: &[Output]) -> bool {
    let is_submit = |output: &Output| {
        matches!(
            output,
            Output::Forward {
                to: OTHER,
                call: ForwardedCall::Submit(_),
                ..
            }
        )
    };
    outputs.iter().any(is_submit)
}

fn add_suspected_member(machine: &mut Dispatch, gone: Vec<Incarnation>) {
    let member = Member {
        host: "other".parse().expect("the name is valid"),
        zone: "a".parse().expect("the name is valid"),
        incarnation: OTHER,
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        state: MemberState::Suspect,
    };
    let members = vec![member];
    machine.handle(
        NOW,
        Input::Members {
            members,
            gone,
            zone_hosts: 1,
            live_hosts: 2,
        },
    );
}

// A control process that restarts or lags sends an older configuration than the one in force. The
// older one is ignored, so that callers do not see a removed class reappear.
#[test]
fn older_configuration_is_ignored() {
    let mut machine = machine(false);
    machine.handle(NOW, Input::Configured(config(5, false)));
    machine.handle(NOW, Input::Configured(config(4, true)));
    let current = machine.config().unwrap();
    assert_eq!(
        (current.revision, current),
        (Revision(5), &config(5, false))
    );
}

// A copy is submitted to a different host than the one its id is bound to. While that host is only
// suspected, it may be running the job, so the copy is forwarded, even if its class may run twice.
// Once the host is considered gone, a class that may run twice is taken over; for any other class
// the outcome is unknown.
#[rstest]
#[case::suspected_and_may_run_twice(true, false)]
#[case::suspected_and_may_not(false, false)]
#[case::gone_and_may_run_twice(true, true)]
#[case::gone_and_may_not(false, true)]
fn claim_is_taken_over_only_from_gone_holder(#[case] may_run_twice: bool, #[case] is_gone: bool) {
    let mut machine = machine(may_run_twice);
    add_suspected_member(&mut machine, if is_gone { vec![OTHER] } else { Vec::new() });
    let outputs = submit(&mut machine, Some(OTHER));
    let code = answer_of(&outputs).and_then(|answer| answer.code);
    match (may_run_twice, is_gone) {
        (_, false) => assert!(is_forwarded(&outputs)),
        // The job is taken over, and then refused because there is no executor.
        (true, true) => assert_eq!(code, Some(ResultCode::EarlierCopyOpen)),
        (false, true) => assert_eq!(code, Some(ResultCode::HolderGone)),
    }
}

/// Creates a state machine with one executor, which has one slot, and one live peer.
fn machine_with_executor() -> Dispatch {
    let mut machine = machine(false);
    let executor = ExecutorInfo {
        name: "e0".parse().expect("the name is valid"),
        upstream: "tablets".parse().expect("the name is valid"),
        zone: "a".parse().expect("the name is valid"),
        rack: "".into(),
        slots: 1,
        is_draining: false,
    };
    machine.handle(NOW, Input::Executors(vec![executor]));
    add_suspected_member(&mut machine, Vec::new());
    machine
}

/// Submits a job as the request of this number.
fn submit_as(
    machine: &mut Dispatch,
    number: u64,
    bound_to: Option<Incarnation>,
    copy: CopyMark,
) -> Vec<Output> {
    let submission = Submission {
        submission: SubmissionId {
            ulid: Ulid::from_parts(NOW.wall.0, number.into()),
            bound_to,
        },
        copy,
        ..submission(bound_to)
    };
    machine.handle(
        NOW,
        Input::Submit {
            request: RequestId(number),
            submission,
            caller: CallerId::UNKNOWN,
            is_forwarded: false,
        },
    )
}

/// Returns the requests that are answered and the codes of their answers.
fn answers_of(outputs: &[Output]) -> Vec<(u64, Option<ResultCode>)> {
    let answers = outputs.iter().filter_map(|output| match output {
        Output::Answer { request, answer } => Some((request.0, answer.code)),
        _ => None,
    });
    let mut answers: Vec<_> = answers.collect();
    answers.sort_unstable();
    answers
}

// A request that is still open when the process exits gets no answer, and its caller can't tell
// whether the job ran.
#[test]
fn expired_drain_answers_every_open_request() {
    let mut machine = machine_with_executor();
    let started = submit_as(&mut machine, 1, Some(ME), CopyMark::First);
    assert!(
        started
            .iter()
            .any(|output| matches!(output, Output::Start { .. }))
    );
    let queued = submit_as(&mut machine, 2, Some(ME), CopyMark::First);
    let claiming_first = submit_as(&mut machine, 3, None, CopyMark::First);
    let claiming_again = submit_as(&mut machine, 4, None, CopyMark::Again);
    let forwarded = submit_as(&mut machine, 5, Some(OTHER), CopyMark::First);
    assert!(is_forwarded(&forwarded));
    for outputs in [
        &started,
        &queued,
        &claiming_first,
        &claiming_again,
        &forwarded,
    ] {
        assert_eq!(answers_of(outputs), []);
    }
    machine.handle(NOW, Input::Drain);

    let outputs = machine.handle(NOW, Input::DrainExpired);

    let expected = [
        (1, Some(ResultCode::StoppedInDoubt)),
        (2, Some(ResultCode::Draining)),
        (3, Some(ResultCode::Draining)),
        (4, Some(ResultCode::EarlierCopyOpen)),
        (5, Some(ResultCode::StoppedInDoubt)),
    ];
    assert_eq!(answers_of(&outputs), expected);
    let is_stop = |output: &Output| matches!(output, Output::Stop { .. });
    assert!(outputs.iter().any(is_stop), "the task is not stopped");
    assert_eq!(machine.live_jobs(), 0);
}

// A request that waits for a peer after the drain has expired is cut off by the exit.
#[test]
fn expired_drain_forwards_no_request() {
    let mut machine = machine_with_executor();
    submit_as(&mut machine, 1, Some(OTHER), CopyMark::First);
    machine.handle(NOW, Input::DrainExpired);
    let late_answer = Input::ForwardEnded {
        request: RequestId(1),
        id: submission(Some(OTHER)).submission,
        answer: None,
    };
    assert_eq!(answers_of(&machine.handle(NOW, late_answer)), []);

    let outputs = submit_as(&mut machine, 2, Some(OTHER), CopyMark::Again);

    assert!(!is_forwarded(&outputs));
    let expected = [(2, Some(ResultCode::StoppedInDoubt))];
    assert_eq!(answers_of(&outputs), expected);
}
