//! The command of the README that runs the whole system on one machine.

use std::path::Path;
use std::process::Command;

use onyxshed_proof::process::find_binary;

/// Returns the ids of the started processes from the output of the command.
fn process_ids(text: &str) -> Vec<&str> {
    let after = text
        .lines()
        .filter_map(|line| line.split_once("  process "));
    after.map(|(_, id)| id).collect()
}

#[test]
fn local_run_shows_whole_path_and_leaves_no_process() {
    // One command publishes a class, submits a job to two entry hosts, where it runs once, and shows
    // its time line and a sample load. No process is left running afterwards.
    let output = Command::new(find_binary("onyxshed-load").unwrap())
        .args([
            "local",
            "--entries",
            "2",
            "--executors",
            "2",
            "--span-s",
            "0.5",
        ])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{output:?}");
    for step in ["accepted as revision 4", "E300 TaskStarted", "mix inzira"] {
        assert!(text.contains(step), "no {step:?} in {text}");
    }
    assert_eq!(
        text.matches("E300 TaskStarted   0-2 (3x)").count(),
        1,
        "{text}"
    );
    // One answer to the first submission, and one to its copy at the other entry host.
    assert_eq!(text.matches(r#""outcome":"complete""#).count(), 2, "{text}");
    let ids = process_ids(&text);
    assert_eq!(ids.len(), 5, "{text}");
    for id in ids {
        assert!(
            !Path::new("/proc").join(id).exists(),
            "process {id} still runs"
        );
    }
}
