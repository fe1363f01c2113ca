//! Any bytes are decoded or rejected without a panic, and encoded values decode to the same value.

use onyxshed_core::{
    ChangeId, ClassName, ClassTarget, Incarnation, Millis, Offset, ResultCode, Revision,
    SubmissionId, TaskId,
};
use onyxshed_wire::ContentHash;
use onyxshed_wire::admin::{Status, TimelinePage};
use onyxshed_wire::caller::{Answer, CopyMark, Submission, TASKS_MAX};
use onyxshed_wire::platform::{AppendReply, HostList, Page};
use onyxshed_wire::record::{
    ChangeBody, Claim, ClaimBatch, ClaimRecord, ConfigChange, ConfigRecord, ConfigSnapshot,
};
use onyxshed_wire::upstream::{TaskState, TaskStatus};
use proptest::collection::vec;
use proptest::prelude::*;
use ulid::Ulid;

fn ulid() -> impl Strategy<Value = Ulid> {
    any::<u128>().prop_map(Ulid)
}

fn submission_id() -> impl Strategy<Value = SubmissionId> {
    (ulid(), any::<Option<u64>>()).prop_map(|(ulid, bound_to)| SubmissionId {
        ulid,
        bound_to: bound_to.map(Incarnation),
    })
}

fn class() -> impl Strategy<Value = ClassName> {
    "[a-z0-9][a-z0-9._-]{0,63}".prop_map(|text| text.parse().expect("the text is a valid name"))
}

fn target() -> impl Strategy<Value = ClassTarget> {
    (class(), class(), any::<u64>(), any::<bool>()).prop_map(
        |(class, upstream, within, may_run_twice)| ClassTarget {
            class,
            upstream: upstream.as_str().parse().expect("the text is a valid name"),
            finish_within_ms: Millis(within),
            may_run_twice,
        },
    )
}

fn payloads(len_max: usize) -> impl Strategy<Value = Vec<Vec<u8>>> {
    vec(vec(any::<u8>(), 0..40), 1..len_max)
}

fn submission() -> impl Strategy<Value = Submission> {
    let copy = prop_oneof![
        Just(CopyMark::First),
        Just(CopyMark::Unmarked),
        Just(CopyMark::Again),
    ];
    (
        submission_id(),
        class(),
        any::<Option<u64>>(),
        copy,
        payloads(20),
    )
        .prop_map(|(submission, class, deadline, copy, tasks)| Submission {
            submission,
            class,
            deadline_ms: deadline.map(Millis),
            copy,
            tasks,
        })
}

fn claim() -> impl Strategy<Value = Claim> {
    (submission_id(), any::<u64>(), any::<Option<u64>>()).prop_map(
        |(submission, hash, replaces)| Claim {
            submission,
            content: ContentHash(hash),
            replaces: replaces.map(Incarnation),
        },
    )
}

fn batch() -> impl Strategy<Value = ClaimBatch> {
    let releases = vec(submission_id(), 0..5);
    (any::<u64>(), any::<u64>(), vec(claim(), 0..5), releases).prop_map(
        |(by, batch, claims, releases)| ClaimBatch {
            by: Incarnation(by),
            batch,
            claims,
            releases,
        },
    )
}

fn config_record() -> impl Strategy<Value = ConfigRecord> {
    let body = prop_oneof![
        target().prop_map(ChangeBody::Put),
        class().prop_map(ChangeBody::Remove),
    ];
    let change = (ulid(), any::<u64>(), body).prop_map(|(id, based_on, body)| {
        ConfigRecord::ChangeV1(ConfigChange {
            change_id: ChangeId(id),
            based_on: Revision(based_on),
            body,
        })
    });
    let numbers = (
        any::<u64>(),
        any::<u64>(),
        any::<u16>(),
        any::<bool>(),
        any::<u64>(),
    );
    let lists = (vec(target(), 0..4), vec(ulid(), 0..4));
    let snapshot = (numbers, lists).prop_map(|(numbers, (classes, recent))| {
        let (revision, folded_to, part, is_salvage, fingerprint) = numbers;
        ConfigRecord::SnapshotV1(ConfigSnapshot {
            revision: Revision(revision),
            folded_to: Offset(folded_to),
            part,
            parts: part.saturating_add(1),
            is_salvage,
            fingerprint: ContentHash(fingerprint),
            classes,
            recent_changes: recent.into_iter().map(ChangeId).collect(),
        })
    });
    prop_oneof![change, snapshot]
}

/// Decodes bytes with every decoder; fails only by a panic.
fn decode_all(bytes: &[u8]) {
    let _ = (Submission::decode(bytes), Answer::decode(bytes));
    let _ = (
        AppendReply::decode(bytes),
        Page::decode(bytes),
        HostList::decode(bytes),
    );
    let _ = (Status::decode(bytes), TimelinePage::decode(bytes));
    let text = String::from_utf8_lossy(bytes);
    let _ = (ConfigRecord::decode(&text), ClaimRecord::decode(&text));
    let _ = (text.parse::<TaskState>(), text.parse::<TaskStatus>());
    let _ = (text.parse::<SubmissionId>(), text.parse::<TaskId>());
    let _ = (text.parse::<ClassName>(), text.parse::<ContentHash>());
}

/// Returns the document with one byte replaced and the end removed.
fn corrupt(
    mut document: Vec<u8>,
    at: prop::sample::Index,
    byte: u8,
    end: prop::sample::Index,
) -> Vec<u8> {
    let position = at.index(document.len());
    document[position] = byte;
    document.truncate(end.index(document.len()) + 1);
    document
}

proptest! {
    #[test]
    fn arbitrary_bytes_decode_or_return_error(bytes in vec(any::<u8>(), 0..300)) {
        decode_all(&bytes);
    }

    #[test]
    fn corrupted_documents_decode_or_return_error(
        submission in submission(),
        batch in batch(),
        record in config_record(),
        (at, byte, end) in any::<(prop::sample::Index, u8, prop::sample::Index)>(),
    ) {
        let body = serde_json::to_vec(&submission).unwrap();
        let claims = ClaimRecord::ClaimsV1(batch).encode();
        for document in [body, claims.into_bytes(), record.encode().into_bytes()] {
            decode_all(&corrupt(document, at, byte, end));
        }
    }

    #[test]
    fn submissions_and_answers_round_trip(submission in submission(), code in 0..ResultCode::ALL.len()) {
        let body = serde_json::to_vec(&submission).unwrap();
        prop_assert_eq!(Submission::decode(&body).unwrap(), submission.clone());
        let id = submission.submission;
        let ended = Answer::ended(Some(id), ResultCode::ALL[code], "why");
        let complete = Answer::complete(id, submission.tasks);
        for answer in [ended, complete, Answer::running(id)] {
            let body = serde_json::to_vec(&answer).unwrap();
            prop_assert_eq!(Answer::decode(&body).unwrap(), answer);
        }
    }

    #[test]
    fn records_round_trip(batch in batch(), record in config_record()) {
        let claims = ClaimRecord::ClaimsV1(batch);
        prop_assert_eq!(ClaimRecord::decode(&claims.encode()).unwrap(), claims);
        prop_assert_eq!(ConfigRecord::decode(&record.encode()).unwrap(), record);
    }

    #[test]
    fn each_id_has_exactly_one_text(id in submission_id(), index in any::<u16>(), text in "[0-9A-Z]{26}") {
        prop_assert_eq!(id.to_string().parse::<SubmissionId>().unwrap(), id);
        let task = TaskId { submission: id, index };
        prop_assert_eq!(task.to_string().parse::<TaskId>().unwrap(), task);
        // If one id had two texts, a caller would regard them as two submissions, but onyxshed as
        // one.
        if let Ok(read) = text.parse::<SubmissionId>() {
            prop_assert_eq!(read.to_string(), text);
        }
    }

    #[test]
    fn submission_decodes_only_with_1_to_550_tasks(count in 0..700_usize) {
        let body = format!(
            r#"{{"submission":"01ARZ3NDEKTSV4RRFFQ69G5FAV","class":"fee","tasks":[{}]}}"#,
            vec![r#""""#; count].join(",")
        );
        let is_decoded = Submission::decode(body.as_bytes()).is_ok();
        prop_assert_eq!(is_decoded, (1..=TASKS_MAX).contains(&count));
    }
}
