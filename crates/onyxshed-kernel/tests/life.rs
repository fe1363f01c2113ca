//! The states of a process: order of start and stop, drain, errors at start.

use std::cell::RefCell;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use onyxshed_core::{Millis, ResultCode};
use onyxshed_kernel::{
    Descriptor, Kernel, LocalFuture, Process, Result, RunEnd, RunOptions, Service, ServiceName,
    StopRequest,
};
use rstest::rstest;

type Log = Rc<RefCell<Vec<String>>>;

/// A service that records the calls it receives.
struct RecordingService {
    name: ServiceName,
    dependencies: Vec<ServiceName>,
    log: Log,
    drains_forever: bool,
    fails_to_start: bool,
}

impl RecordingService {
    fn record(&self, call: &str) {
        self.log.borrow_mut().push(format!("{call} {}", self.name));
    }
}

impl Service for RecordingService {
    fn name(&self) -> ServiceName {
        self.name
    }

    fn dependencies(&self) -> &[ServiceName] {
        &self.dependencies
    }

    fn start<'a>(&'a self, _: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        self.record("start");
        let result = match self.fails_to_start {
            true => Err(onyxshed_kernel::Error::start(
                self.name,
                ResultCode::AddressInUse,
                "taken",
            )),
            false => Ok(()),
        };
        Box::pin(async { result })
    }

    fn drain<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, ()> {
        assert!(!kernel.readiness().is_ready());
        self.record("drain");
        match self.drains_forever {
            true => Box::pin(pending()),
            false => Box::pin(async {}),
        }
    }

    fn stop<'a>(&'a self, _: &'a Kernel) -> LocalFuture<'a, ()> {
        self.record("stop");
        Box::pin(async {})
    }
}

fn service(log: &Log, name: &'static str, dependencies: &[&'static str]) -> RecordingService {
    RecordingService {
        name: ServiceName::new(name),
        dependencies: dependencies
            .iter()
            .map(|dependency| ServiceName::new(dependency))
            .collect(),
        log: log.clone(),
        drains_forever: false,
        fails_to_start: false,
    }
}

fn options(drain_timeout_ms: u64) -> RunOptions {
    RunOptions {
        drain_timeout_ms: Millis(drain_timeout_ms),
        has_ready_line: false,
        ..RunOptions::new("test")
    }
}

/// Records every event of a kernel as text.
fn events(kernel: &Kernel) -> Log {
    let log = Log::default();
    let sink = log.clone();
    let record = move |event: &onyxshed_core::Event| {
        let line = format!("{} {} {}", event.kind, event.party, event.detail);
        sink.borrow_mut().push(line.trim_end().to_owned());
    };
    kernel.bus().subscribe(Rc::new(record));
    log
}

#[test]
fn services_start_in_dependency_order_and_stop_in_reverse() {
    let log = Log::default();
    let kernel = Kernel::new();
    let events = events(&kernel);
    let services: Vec<Box<dyn Service>> = vec![
        Box::new(service(&log, "door", &["work"])),
        Box::new(service(&log, "work", &[])),
    ];
    kernel.request_stop(StopRequest::Drain);
    assert_eq!(kernel.run(services, options(60_000)), RunEnd::Drained);
    insta::assert_snapshot!(log.borrow().join("\n"), @"
    start work
    start door
    drain door
    drain work
    stop door
    stop work
    ");
    insta::assert_snapshot!(events.borrow().join("\n"), @"
    E600 ProcessStarted test
    E604 ServiceStarted work
    E604 ServiceStarted door
    E601 ProcessReady test
    E602 ProcessDraining test
    E603 ProcessStopped test drained
    ");
}

#[test]
fn second_sigterm_does_not_end_drain_but_sigquit_does() {
    // An operator sends SIGTERM, sends it again because the drain takes long, then sends SIGQUIT.
    // The second SIGTERM must have no effect, or it would cut off requests in flight. The drain
    // here never finishes and its timeout is far off, so only SIGQUIT can have ended the process.
    let log = Log::default();
    let kernel = Kernel::new();
    let mut stuck = service(&log, "stuck", &[]);
    stuck.drains_forever = true;
    for request in [StopRequest::Drain, StopRequest::Drain, StopRequest::AtOnce] {
        kernel.request_stop(request);
    }
    let end = kernel.run(vec![Box::new(stuck)], options(600_000));
    assert_eq!(end, RunEnd::StoppedAtOnce);
    assert_eq!(end.exit_number(), 5);
}

#[test]
fn endless_drain_times_out() {
    let log = Log::default();
    let kernel = Kernel::new();
    let mut stuck = service(&log, "stuck", &[]);
    stuck.drains_forever = true;
    kernel.request_stop(StopRequest::Drain);
    let end = kernel.run(vec![Box::new(stuck)], options(1));
    assert_eq!(end, RunEnd::DrainTimedOut);
    insta::assert_snapshot!(log.borrow().join("\n"), @"
    start stuck
    drain stuck
    stop stuck
    ");
}

#[rstest]
#[case::missing(&[("a", &["b"][..])], 5004, "service a depends on b, which this process does not have")]
#[case::cycle(&[("a", &["b"][..]), ("b", &["a"][..]), ("c", &[][..])], 5005, "services depend on each other in a cycle: a, b")]
#[case::twice(&[("a", &[][..]), ("a", &[][..])], 5005, "service a is registered twice")]
fn invalid_set_of_services_fails_with_result_code(
    #[case] set: &[(&'static str, &[&'static str])],
    #[case] code: u16,
    #[case] text: &str,
) {
    let log = Log::default();
    let mut services: Vec<Box<dyn Service>> = Vec::new();
    for (name, dependencies) in set {
        services.push(Box::new(service(&log, name, dependencies)));
    }
    let RunEnd::Failed(error) = Kernel::new().run(services, options(1)) else {
        panic!("started");
    };
    assert_eq!(
        (error.code().number(), error.to_string().as_str()),
        (code, text)
    );
    assert!(log.borrow().is_empty(), "no service may start");
}

#[test]
fn started_services_are_stopped_when_a_later_one_fails() {
    let log = Log::default();
    let mut bad = service(&log, "bad", &["good"]);
    bad.fails_to_start = true;
    let good = service(&log, "good", &[]);
    let end = Kernel::new().run(vec![Box::new(bad), Box::new(good)], options(1));
    let RunEnd::Failed(error) = end else {
        panic!("started");
    };
    assert_eq!(error.code(), ResultCode::AddressInUse);
    insta::assert_snapshot!(log.borrow().join("\n"), @"
    start good
    start bad
    stop good
    ");
}

#[test]
fn readiness_follows_the_state_of_the_process() {
    let kernel = Kernel::new();
    let readiness = kernel.readiness().clone();
    assert_eq!(readiness.not_ready_reason().as_deref(), Some("starting"));
    let process = async {
        let process = Process::new(kernel.clone(), Vec::new(), options(1));
        let process = process.start().await.unwrap();
        assert!(readiness.is_ready());
        readiness.set_not_ready("no configuration");
        assert_eq!(
            readiness.not_ready_reason().as_deref(),
            Some("no configuration")
        );
        readiness.clear_not_ready("no configuration");
        let process = process.begin_drain();
        assert_eq!(readiness.not_ready_reason().as_deref(), Some("draining"));
        process.finish().await
    };
    let end = async_io::block_on(kernel.executor().run(process.boxed_local()));
    assert_eq!(end, RunEnd::Drained);
}

#[test]
fn handles_are_found_by_name_and_type() {
    let kernel = Kernel::new();
    let descriptor = Descriptor {
        name: ServiceName::new("number"),
        summary: "holds a number",
    };
    kernel.register(descriptor, Rc::new(7_u32)).unwrap();
    assert_eq!(*kernel.find::<u32>(descriptor.name).unwrap(), 7);
    let other_type = kernel.find::<u64>(descriptor.name).unwrap_err();
    let missing = kernel.find::<u32>(ServiceName::new("none")).unwrap_err();
    let twice = kernel.register(descriptor, Rc::new(8_u32)).unwrap_err();
    insta::assert_snapshot!(
        [other_type, missing, twice].map(|error| format!("{} {error}", error.code())).join("\n"),
        @"
    5004 the handle of service number is a u32, not a u64
    5004 service none is not registered
    5005 service number is registered twice
    "
    );
}

#[test]
fn blocked_executor_emits_pause_event() {
    // A task blocks the only thread, as in a frozen process. The time line must then show the
    // pause, or the cause of all the delays could not be found.
    let kernel = Kernel::new();
    let events = events(&kernel);
    let options = RunOptions {
        pause_min_ms: Millis(20),
        ..options(1)
    };
    let process = async {
        let process = Process::new(kernel.clone(), Vec::new(), options);
        let process = process.start().await.unwrap();
        let pause = Duration::from_millis(150);
        while !events
            .borrow()
            .iter()
            .any(|event| event.starts_with("E503"))
        {
            std::thread::sleep(pause);
            Timer::after(pause).await;
        }
        process.begin_drain().finish().await
    };
    let end = async_io::block_on(kernel.executor().run(process));
    assert_eq!(end, RunEnd::Drained);
}
