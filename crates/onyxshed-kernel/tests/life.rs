//! The life of a process: order of start and stop, drain, errors at start.

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

type Journal = Rc<RefCell<Vec<String>>>;

/// A service that notes what happens to it.
struct Noted {
    name: ServiceName,
    needs: Vec<ServiceName>,
    journal: Journal,
    has_endless_drain: bool,
    fails: bool,
}

impl Noted {
    fn note(&self, what: &str) {
        self.journal
            .borrow_mut()
            .push(format!("{what} {}", self.name));
    }
}

impl Service for Noted {
    fn name(&self) -> ServiceName {
        self.name
    }

    fn dependencies(&self) -> &[ServiceName] {
        &self.needs
    }

    fn start<'a>(&'a self, _: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        self.note("start");
        let result = match self.fails {
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
        self.note("drain");
        match self.has_endless_drain {
            true => Box::pin(pending()),
            false => Box::pin(async {}),
        }
    }

    fn stop<'a>(&'a self, _: &'a Kernel) -> LocalFuture<'a, ()> {
        self.note("stop");
        Box::pin(async {})
    }
}

fn service(journal: &Journal, name: &'static str, needs: &[&'static str]) -> Noted {
    Noted {
        name: ServiceName::new(name),
        needs: needs.iter().map(|need| ServiceName::new(need)).collect(),
        journal: journal.clone(),
        has_endless_drain: false,
        fails: false,
    }
}

fn options(drain_timeout_ms: u64) -> RunOptions {
    RunOptions {
        drain_timeout_ms: Millis(drain_timeout_ms),
        has_ready_line: false,
        ..RunOptions::new("test")
    }
}

/// Watches every event of a kernel as text.
fn events(kernel: &Kernel) -> Journal {
    let journal = Journal::default();
    let sink = journal.clone();
    let note = move |event: &onyxshed_core::Event| {
        let line = format!("{} {} {}", event.kind, event.party, event.detail);
        sink.borrow_mut().push(line.trim_end().to_owned());
    };
    kernel.bus().subscribe(Rc::new(note));
    journal
}

#[test]
fn starts_by_needs_and_stops_in_reverse() {
    let journal = Journal::default();
    let kernel = Kernel::new();
    let events = events(&kernel);
    let services: Vec<Box<dyn Service>> = vec![
        Box::new(service(&journal, "door", &["work"])),
        Box::new(service(&journal, "work", &[])),
    ];
    kernel.request_stop(StopRequest::Drain);
    assert_eq!(kernel.run(services, options(60_000)), RunEnd::Drained);
    insta::assert_snapshot!(journal.borrow().join("\n"), @"
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
fn second_sigterm_does_not_shorten_a_drain_and_sigquit_does() {
    // The operator sends SIGTERM, then again because it takes long, then SIGQUIT. The second
    // SIGTERM must change nothing, or a nervous operator cuts off requests in flight; the drain
    // here never ends and its bound lies far off, so only SIGQUIT can have ended the process.
    let journal = Journal::default();
    let kernel = Kernel::new();
    let mut stuck = service(&journal, "stuck", &[]);
    stuck.has_endless_drain = true;
    for request in [StopRequest::Drain, StopRequest::Drain, StopRequest::AtOnce] {
        kernel.request_stop(request);
    }
    let end = kernel.run(vec![Box::new(stuck)], options(600_000));
    assert_eq!(end, RunEnd::StoppedAtOnce);
    assert_eq!(end.exit_number(), 5);
}

#[test]
fn a_drain_is_bounded() {
    let journal = Journal::default();
    let kernel = Kernel::new();
    let mut stuck = service(&journal, "stuck", &[]);
    stuck.has_endless_drain = true;
    kernel.request_stop(StopRequest::Drain);
    let end = kernel.run(vec![Box::new(stuck)], options(1));
    assert_eq!(end, RunEnd::DrainTimedOut);
    insta::assert_snapshot!(journal.borrow().join("\n"), @"
    start stuck
    drain stuck
    stop stuck
    ");
}

#[rstest]
#[case::missing(&[("a", &["b"][..])], 5004, "service a needs b, which this process does not have")]
#[case::cycle(&[("a", &["b"][..]), ("b", &["a"][..]), ("c", &[][..])], 5005, "services need each other in a circle: a, b")]
#[case::twice(&[("a", &[][..]), ("a", &[][..])], 5005, "service a is there twice")]
fn wrong_sets_of_services_are_numbered_errors(
    #[case] set: &[(&'static str, &[&'static str])],
    #[case] code: u16,
    #[case] text: &str,
) {
    let journal = Journal::default();
    let mut services: Vec<Box<dyn Service>> = Vec::new();
    for (name, needs) in set {
        services.push(Box::new(service(&journal, name, needs)));
    }
    let RunEnd::Failed(error) = Kernel::new().run(services, options(1)) else {
        panic!("started");
    };
    assert_eq!(
        (error.code().number(), error.to_string().as_str()),
        (code, text)
    );
    assert!(journal.borrow().is_empty(), "nothing may start");
}

#[test]
fn what_runs_is_stopped_when_a_later_service_fails() {
    let journal = Journal::default();
    let mut bad = service(&journal, "bad", &["good"]);
    bad.fails = true;
    let good = service(&journal, "good", &[]);
    let end = Kernel::new().run(vec![Box::new(bad), Box::new(good)], options(1));
    let RunEnd::Failed(error) = end else {
        panic!("started");
    };
    assert_eq!(error.code(), ResultCode::AddressInUse);
    insta::assert_snapshot!(journal.borrow().join("\n"), @"
    start good
    start bad
    stop good
    ");
}

#[test]
fn readiness_follows_the_life() {
    let kernel = Kernel::new();
    let readiness = kernel.readiness().clone();
    assert_eq!(readiness.why_not().as_deref(), Some("starting"));
    let life = async {
        let process = Process::new(kernel.clone(), Vec::new(), options(1));
        let process = process.start().await.unwrap();
        assert!(readiness.is_ready());
        readiness.set_not_ready("no configuration");
        assert_eq!(readiness.why_not().as_deref(), Some("no configuration"));
        readiness.clear_not_ready("no configuration");
        let process = process.begin_drain();
        assert_eq!(readiness.why_not().as_deref(), Some("draining"));
        process.finish().await
    };
    let end = async_io::block_on(kernel.executor().run(life.boxed_local()));
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
    5004 service number is a u32, not a u64
    5004 service none is not registered
    5005 service number is there twice
    "
    );
}

#[test]
fn a_standstill_of_the_process_is_told() {
    // One task holds the only thread, as a frozen process does. Afterwards the time line says so,
    // or nobody could tell why everything was late.
    let kernel = Kernel::new();
    let events = events(&kernel);
    let options = RunOptions {
        pause_least_ms: Millis(20),
        ..options(1)
    };
    let life = async {
        let process = Process::new(kernel.clone(), Vec::new(), options);
        let process = process.start().await.unwrap();
        let stand_still = Duration::from_millis(150);
        while !events
            .borrow()
            .iter()
            .any(|event| event.starts_with("E503"))
        {
            std::thread::sleep(stand_still);
            Timer::after(stand_still).await;
        }
        process.begin_drain().finish().await
    };
    let end = async_io::block_on(kernel.executor().run(life));
    assert_eq!(end, RunEnd::Drained);
}
