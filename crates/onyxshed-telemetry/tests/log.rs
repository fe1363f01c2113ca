//! The format of log lines, the log's level, and lines dropped while the log is not read.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use async_io::block_on;
use onyxshed_core::{Event, EventKind, Hlc, UnixMs};
use onyxshed_settings::{LogFormat, LogLevel, LogSettings};
use onyxshed_telemetry::{Log, line};
use rstest::rstest;
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::WriteSink;

fn event(kind: EventKind) -> Event {
    let mut event = Event::new(kind)
        .submission("01JABCDEFGHJKMNPQRSTVWXYZ0".parse().expect("an id"))
        .task(3)
        .class(&"lock-order".parse().expect("a name"))
        .party("executor-7")
        .detail("status 500\nE404 forged");
    event.hlc = Hlc {
        wall: UnixMs(1_700_000_000_123),
        counter: 2,
    };
    event
}

#[test]
fn one_event_is_one_line() {
    let event = event(EventKind::TaskFinished);
    insta::assert_snapshot!(line::format(&event, LogFormat::Human), @"E301 TaskFinished submission=01JABCDEFGHJKMNPQRSTVWXYZ0 task=3 class=lock-order party=executor-7: status 500 E404 forged");
    insta::assert_snapshot!(line::format(&event, LogFormat::Json), @r#"{"level":"debug","name":"TaskFinished","hlc":"1700000000123.2","kind":301,"submission":"01JABCDEFGHJKMNPQRSTVWXYZ0","task_index":3,"class":"lock-order","party":"executor-7","detail":"status 500\nE404 forged"}"#);
}

/// A writer that stores what is written.
#[derive(Clone, Default)]
struct MemoryWriter(Arc<Mutex<Vec<u8>>>);

impl Write for MemoryWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0
            .lock()
            .expect("no writer panics")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A writer whose first write blocks until it is released, like a full pipe.
struct BlockedWriter {
    entered: Sender<()>,
    release: Receiver<()>,
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.entered.send(());
        let _ = self.release.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn open(level: LogLevel, target: impl Write + Send + 'static) -> Log {
    let sink = WriteSink::builder()
        .target(target)
        .formatter(PatternFormatter::new(pattern!("{level} {payload}{eol}")))
        .build_arc()
        .expect("the sink opens");
    let settings = LogSettings {
        level,
        ..LogSettings::default()
    };
    Log::with_sink(settings, sink).expect("the log opens")
}

#[rstest]
#[case(LogLevel::Debug, 4)]
#[case(LogLevel::Info, 3)]
#[case(LogLevel::Warn, 2)]
#[case(LogLevel::Error, 1)]
fn events_below_the_level_are_not_written(#[case] level: LogLevel, #[case] lines: usize) {
    let written = MemoryWriter::default();
    let log = open(level, written.clone());
    let kinds = [
        EventKind::JobReceived,
        EventKind::ProcessReady,
        EventKind::PlatformLost,
        EventKind::ConfigGap,
    ];
    for kind in kinds {
        log.write(&Event::new(kind));
    }
    block_on(log.flush());
    let text = String::from_utf8(written.0.lock().unwrap().clone()).unwrap();
    assert_eq!(text.lines().count(), lines, "{text}");
    assert!(text.ends_with("error E404 ConfigGap\n"));
}

#[test]
fn blocked_output_drops_lines_without_blocking_writers() {
    // The reader of standard error stops reading, so the write of the first line never returns.
    // Callers must not be affected: later lines are queued, and once the queue is full they are
    // dropped and counted. The test would hang if a write waited for room in the queue.
    let (entered, is_blocked) = channel();
    let (release, released) = channel();
    let blocked = BlockedWriter {
        entered,
        release: released,
    };
    let log = open(LogLevel::Info, blocked);
    log.write(&Event::new(EventKind::ProcessReady));
    is_blocked.recv().unwrap();
    for _ in 0..4_096 + 10 {
        log.write(&Event::new(EventKind::ProcessReady));
    }
    assert_eq!(log.dropped(), 10);
    drop(release);
    block_on(log.flush());
}

/// Guards against queued lines that are as long as callers choose.
#[test]
fn line_is_bounded_whatever_its_texts() {
    let written = MemoryWriter::default();
    let log = open(LogLevel::Debug, written.clone());
    let long = "i".repeat(100_000);
    let event = Event::new(EventKind::PoolJobRefused).request(&*long);
    log.write(&event.party(&*long).detail(&*long));
    block_on(log.flush());
    let bytes = written.0.lock().expect("no writer panics").len();
    assert!(bytes < 2_000, "{bytes} bytes");
}
