//! The README's command for the whole path on one machine.

use std::path::Path;
use std::process::Command;

use onyxshed_proof::process::find_binary;

/// Gets the ids of the processes that the command said it started.
fn process_ids(text: &str) -> Vec<&str> {
    let after = text
        .lines()
        .filter_map(|line| line.split_once("  process "));
    after.map(|(_, id)| id).collect()
}

#[test]
fn the_whole_path_is_shown_and_everything_ends() {
    // A newcomer types one command: a class is published, a job runs once though it is submitted to
    // two entry hosts, its time line and a sample load are shown, and no process is left behind.
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
    // The first submission and the same again, to the other entry host.
    assert_eq!(text.matches(r#""outcome":"complete""#).count(), 2, "{text}");
    let ids = process_ids(&text);
    assert_eq!(ids.len(), 5, "{text}");
    for id in ids {
        assert!(
            !Path::new("/proc").join(id).exists(),
            "process {id} is left"
        );
    }
}
