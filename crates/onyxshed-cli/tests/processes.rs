//! Commands that query running processes over real sockets.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::mpsc::{Sender, channel};
use std::thread::{self, JoinHandle};

use onyxshed_cli::progress::Progress;
use onyxshed_cli::target::wait_in_force;
use onyxshed_core::{Event, EventKind, Incarnation, Revision};
use onyxshed_kernel::{Kernel, LocalFuture, Result, RunEnd, RunOptions, Service, ServiceName};
use onyxshed_settings::{LogSettings, OperatorSettings, load};
use onyxshed_telemetry::{AdminService, StatusParts, Telemetry, TelemetryOptions};

/// A service that reports the admin address to the test once it is known.
struct Announcer(Sender<SocketAddr>);

impl Service for Announcer {
    fn name(&self) -> ServiceName {
        ServiceName::new("announcer")
    }

    fn dependencies(&self) -> &[ServiceName] {
        &[AdminService::NAME]
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        let sent = self.0.send(kernel.addresses()["admin"]);
        kernel.emit(Event::new(EventKind::PeerJoined).party("entry-2"));
        Box::pin(async move {
            sent.expect("the test waits for the address");
            Ok(())
        })
    }
}

fn run_process(sender: Sender<SocketAddr>) -> RunEnd {
    let kernel = Kernel::new();
    let options = TelemetryOptions {
        process: "onyxshed-entry".into(),
        version: "0.1.0".into(),
        host: "host-1".into(),
        boot: Incarnation(7),
        log: LogSettings::default(),
        timeline_events_max: 100,
    };
    let telemetry = Telemetry::open(&kernel, options).expect("log and metrics open");
    telemetry.set_status_source(Box::new(|| StatusParts {
        config_revision: Some(Revision(3)),
        details: serde_json::json!({ "jobs": 2 }),
    }));
    let admin = AdminService::new(telemetry, SocketAddr::from(([127, 0, 0, 1], 0)));
    let services: Vec<Box<dyn Service>> = vec![Box::new(admin), Box::new(Announcer(sender))];
    let options = RunOptions {
        has_ready_line: false,
        ..RunOptions::new("onyxshed-entry")
    };
    kernel.run(services, options)
}

/// A running process, an address on which nothing listens, and the settings that name both.
struct Fleet {
    process: JoinHandle<RunEnd>,
    settings: PathBuf,
}

impl Fleet {
    fn start(test: &str) -> Self {
        let (sender, address) = channel();
        let process = thread::spawn(|| run_process(sender));
        let address = address.recv().expect("the process starts");
        let closed = std::net::TcpListener::bind("127.0.0.1:0")
            .and_then(|listener| listener.local_addr())
            .expect("an address is free");
        let text = format!(
            r#"{{
  "platform_address": "127.0.0.1:1",
  "processes": [
    {{ "name": "entry-1", "admin_address": "{address}" }},
    {{ "name": "entry-2", "admin_address": "{closed}" }},
  ],
}}"#
        );
        let name = format!("onyxshed-{test}-{}.jsonc", std::process::id());
        let settings = std::env::temp_dir().join(name);
        std::fs::write(&settings, text).expect("the settings are written");
        Fleet { process, settings }
    }

    fn run(&self, words: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_onyxshed"))
            .args(words)
            .arg("--settings")
            .arg(&self.settings)
            .output()
            .expect("the binary runs")
    }

    /// Drains the process with the `drain` command and waits until it has ended.
    fn end(self) {
        let drained = self.run(&["drain", "entry-1", "--timeout", "60s"]);
        assert_eq!(text(&drained), "entry-1 has drained and ended\n");
        assert_eq!(drained.status.code(), Some(0));
        assert_eq!(self.process.join().expect("no panic"), RunEnd::Drained);
        std::fs::remove_file(&self.settings).expect("the settings are there");
    }
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn status_shows_answering_and_unreachable_processes() {
    let fleet = Fleet::start("status");
    let shown = fleet.run(&["status"]);
    assert_eq!(shown.status.code(), Some(5));
    let shown = text(&shown);
    let lines: Vec<Vec<&str>> = shown
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    assert_eq!(
        lines[1][..5],
        ["entry-1", "onyxshed-entry", "host-1", "ready", "3"]
    );
    assert_eq!(lines[2], ["entry-2", "-", "-", "no", "answer"]);
    assert_eq!(lines[3], ["entry-1:", "jobs=2"]);
    assert_eq!(lines[4][..3], ["entry-2:", "error", "5011:"]);
    fleet.end();
}

#[test]
fn timeline_shows_events_and_the_gap_of_an_unreachable_process() {
    let fleet = Fleet::start("timeline");
    let shown = fleet.run(&["timeline", "--party", "entry-2"]);
    assert_eq!(shown.status.code(), Some(5));
    let shown = text(&shown);
    let lines: Vec<&str> = shown.lines().collect();
    assert!(lines[1].contains("entry-1  E500 PeerJoined"), "{shown}");
    assert!(
        lines[2].starts_with("gap: entry-2 does not answer"),
        "{shown}"
    );
    assert_eq!(lines.len(), 3, "{shown}");
    fleet.end();
}

#[test]
fn waiting_for_a_revision_names_the_processes_that_lack_it() {
    // The change is accepted, but one process has an older revision and another does not answer. The
    // error must name both, and must not suggest that the change was rejected.
    let fleet = Fleet::start("wait");
    let settings = load::<OperatorSettings>(&fleet.settings).unwrap();
    let progress = Progress::new("the processes");
    let wait = |revision| {
        async_io::block_on(wait_in_force(
            &settings.processes,
            revision,
            || true,
            &progress,
        ))
    };
    let lacking = wait(Revision(4)).unwrap_err();
    assert_eq!(lacking.code().number(), 5015);
    let text = lacking.to_string();
    assert!(
        text.contains("not yet in force in entry-1 (revision 3), entry-2 (no answer: "),
        "{text}"
    );
    let first_process = &settings.processes[..1];
    let done = async_io::block_on(wait_in_force(
        first_process,
        Revision(3),
        || true,
        &progress,
    ));
    assert_eq!(done, Ok(()));
    fleet.end();
}

#[test]
fn drain_of_a_process_that_is_not_in_the_settings_fails() {
    let fleet = Fleet::start("drain");
    let unknown = fleet.run(&["drain", "entry-9"]);
    assert_eq!(unknown.status.code(), Some(2));
    assert_eq!(
        String::from_utf8_lossy(&unknown.stderr),
        "error 5014: no process \"entry-9\" in the settings: there are entry-1, entry-2\n"
    );
    let unreachable = fleet.run(&["drain", "entry-2"]);
    assert_eq!(unreachable.status.code(), Some(5));
    fleet.end();
}
