//! The command `onyxshed timeline` with the processes of two entry hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;

use async_io::block_on;
use onyxshed_core::SubmissionId;
use onyxshed_proof::caller::{ResubmitPolicy, TimedCallResult, submit};
use onyxshed_proof::cluster::{Cluster, ClusterOptions, ProcessKind};
use onyxshed_proof::process::find_binary;
use onyxshed_proof::zone;
use onyxshed_wire::caller::{CopyMark, Submission};
use serde_json::json;
use tempfile::TempDir;

const PROCESSES: [(&str, ProcessKind); 4] = [
    ("a1", ProcessKind::Entry),
    ("a1", ProcessKind::Control),
    ("a2", ProcessKind::Entry),
    ("a2", ProcessKind::Control),
];

fn admin(cluster: &mut Cluster, host: &str, process_kind: ProcessKind) -> SocketAddr {
    let unit = cluster.host(host).expect("the host runs");
    unit.admin_address(process_kind).expect("the process runs")
}

/// Writes the operator's settings and returns the path of the file.
fn settings(cluster: &mut Cluster, folder: &TempDir) -> PathBuf {
    let processes = PROCESSES.map(|(host, process_kind)| {
        json!({
            "name": format!("{host}-{}", process_kind.as_str()),
            "admin_address": admin(cluster, host, process_kind),
        })
    });
    let platform = cluster.platform_address().expect("the platform runs");
    let settings = json!({"platform_address": platform, "processes": processes});
    let file = folder.path().join("operator.jsonc");
    std::fs::write(&file, settings.to_string()).expect("the settings can be written");
    file
}

fn timeline(settings: &PathBuf, arguments: &[&str]) -> String {
    let output = Command::new(find_binary("onyxshed").expect("the binaries are built"))
        .arg("timeline")
        .args(arguments)
        .arg("--settings")
        .arg(settings)
        .output()
        .expect("the binary can be run");
    assert!(output.status.success(), "{output:?}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Removes the parts that differ between runs and groups the lines by process, because events of
/// different processes within the same millisecond may be listed in any order.
fn by_process(text: &str) -> String {
    let mut lines: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    for line in text.lines().skip(1) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let from = words
            .iter()
            .position(|word| word.starts_with('a'))
            .expect("the line names a process");
        let is_plain =
            |word: &&&str| word.len() != 16 || !word.bytes().all(|b| b.is_ascii_hexdigit());
        let kept: Vec<&str> = words[from..].iter().filter(is_plain).copied().collect();
        lines.entry(words[from]).or_default().push(kept.join(" "));
    }
    lines.into_values().flatten().collect::<Vec<_>>().join("\n")
}

/// Submits a job to one host and, once all its tasks have started, to another host.
async fn submit_twice(
    cluster: &mut Cluster,
    job: &Submission,
) -> (TimedCallResult, TimedCallResult) {
    let (first, second) = (
        zone::caller_address(cluster, "a1"),
        zone::caller_address(cluster, "a2"),
    );
    let again = Submission {
        copy: CopyMark::Again,
        ..job.clone()
    };
    let has_started = async || {
        let starts = cluster.starts();
        let ours = starts
            .iter()
            .filter(|start| start.task.submission == job.submission);
        ours.count() == job.tasks.len()
    };
    let resubmitted = async {
        zone::wait_until("all tasks run", has_started).await;
        submit(second, again, ResubmitPolicy::Once).await
    };
    futures_lite::future::zip(
        submit(first, job.clone(), ResubmitPolicy::Once),
        resubmitted,
    )
    .await
}

#[test]
fn time_line_shows_one_submission_from_caller_to_upstream_and_back() {
    // A caller submits a job of three tasks to one entry host and then a copy to another. The time line
    // shows both copies, the holder of the submission, the start and the end of each task on the
    // executor, and one answer. A query by class finds the same events.
    let mut cluster = block_on(zone::start(2, ClusterOptions::default()));
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let file = settings(&mut cluster, &folder);
    let mut job = zone::job(zone::AT_MOST_ONCE, br#"{"service_ms":1500,"echo":"a"}"#);
    job.tasks = vec![job.tasks[0].clone(); 3];
    block_on(async {
        for host in ["a1", "a2"] {
            zone::run_one_job(
                zone::caller_address(&mut cluster, host),
                zone::MAY_RUN_TWICE,
            )
            .await;
            zone::wait_until_peers_are_known(&mut cluster, host, 1).await;
        }
        let (first, second) = submit_twice(&mut cluster, &job).await;
        assert_eq!(first.result, second.result);
    });
    let id: SubmissionId = job.submission;
    let of_submission = timeline(&file, &["--submission", &id.to_string()]);
    insta::assert_snapshot!(by_process(&of_submission));
    let of_class = timeline(&file, &["--class", zone::AT_MOST_ONCE]);
    let ours = of_class
        .lines()
        .filter(|line| line.contains(&id.ulid.to_string()));
    assert_eq!(
        ours.count(),
        of_submission.lines().count() - 1,
        "{of_class}"
    );
}
