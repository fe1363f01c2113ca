//! The HTTP interface of the platform: appends to and reads of streams, the host list, and a test's commands
//! under `/control/`.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use async_io::Timer;
use futures_lite::{FutureExt, future};
use http_types::Method;
use onyxshed_core::{Millis, Offset, UnixMs};
use onyxshed_http::{Call, Reply};
use onyxshed_kernel::Notifier;
use onyxshed_wire::platform::{AppendReply, HOSTS_PATH, HostList, Page, RECORD_MAX_BYTES};
use smol_str::SmolStr;

use crate::serve::{Handler, ServerAction, no_such_path, read_json};

use super::state::{Faults, HostSet, Outage, PlatformOptions, State, consume_one};

/// The greatest number of records in one page; a reader may request fewer.
const PAGE_MAX: usize = 1_000;

const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;
const TOO_LARGE: u16 = 413;

/// The stand-in of the platform; clones share its state.
#[derive(Clone)]
pub struct Platform {
    state: Rc<RefCell<State>>,
    changed: Rc<Notifier>,
}

impl Platform {
    /// Creates a platform with an empty log and host list.
    pub fn new(options: PlatformOptions) -> Self {
        Platform {
            state: Rc::new(RefCell::new(State::new(options))),
            changed: Rc::default(),
        }
    }

    /// Returns the HTTP handler of the platform's interface and of the commands under `/control/`.
    pub fn handler(&self) -> Handler {
        let platform = self.clone();
        Rc::new(move |call| {
            let platform = platform.clone();
            Box::pin(async move { platform.handle(call).await })
        })
    }

    async fn handle(&self, call: Call) -> ServerAction {
        if call.path().starts_with("/control/") || call.method() == Method::Put {
            return self.control(&call);
        }
        if let Some(action) = self.apply_faults().await {
            return action;
        }
        match (call.method(), parse_stream_path(call.path())) {
            (Method::Post, Some(stream)) => self.append(stream, call.body).await,
            (Method::Get, Some(stream)) => self.read(stream, &call).await,
            (Method::Get, None) if call.path() == HOSTS_PATH => self.host_list(),
            _ => no_such_path(),
        }
    }

    fn control(&self, call: &Call) -> ServerAction {
        let mut state = self.state.borrow_mut();
        match (call.method(), call.path()) {
            (Method::Get, "/control/counts") => ServerAction::Reply(Reply::json(OK, &state.counts)),
            (Method::Get, "/control/faults") => ServerAction::Reply(Reply::json(OK, &state.faults)),
            (Method::Post, "/control/faults") => match read_json::<Faults>(&call.body) {
                Ok(faults) => {
                    state.set_faults(faults);
                    self.changed.notify();
                    ServerAction::Reply(Reply::bytes(OK, ""))
                }
                Err(action) => action,
            },
            (Method::Put, HOSTS_PATH) => match read_json::<HostSet>(&call.body) {
                Ok(hosts) => {
                    state.hosts.set(hosts);
                    ServerAction::Reply(Reply::bytes(OK, ""))
                }
                Err(action) => action,
            },
            _ => no_such_path(),
        }
    }

    /// Applies the faults in force to a call: waits for the delay, and returns the response that a
    /// fault requires, or `None` if the call is to be served.
    async fn apply_faults(&self) -> Option<ServerAction> {
        let faults = self.state.borrow().faults.clone();
        match faults.down {
            Some(Outage::Refuse) => return Some(ServerAction::Close),
            Some(Outage::Hang) => return future::pending().await,
            None => {}
        }
        if faults.slow_ms > 0 {
            Timer::after(Duration::from_millis(faults.slow_ms)).await;
        }
        faults
            .error_status
            .map(|status| ServerAction::Reply(Reply::bytes(status, "an error on purpose")))
    }

    async fn append(&self, stream: SmolStr, body: Vec<u8>) -> ServerAction {
        if body.len() > RECORD_MAX_BYTES {
            return ServerAction::Reply(Reply::bytes(TOO_LARGE, "the record is too large"));
        }
        let Ok(data) = String::from_utf8(body) else {
            return ServerAction::Reply(Reply::bytes(BAD_REQUEST, "the record is no UTF-8"));
        };
        let synced_at = {
            let mut state = self.state.borrow_mut();
            state.counts.appends += 1;
            if consume_one(&mut state.faults.drop_append) {
                return ServerAction::Close;
            }
            state.reserve_append()
        };
        Timer::at(synced_at).await;
        let (offset, is_reply_lost) = self.apply_append(stream, data);
        // An outage that began during the sync suppresses the reply, not the append.
        let down = self.state.borrow().faults.down;
        match down {
            Some(Outage::Hang) => future::pending().await,
            Some(Outage::Refuse) => ServerAction::Close,
            None if is_reply_lost => ServerAction::Close,
            None => ServerAction::Reply(Reply::json(OK, &AppendReply { offset })),
        }
    }

    fn apply_append(&self, stream: SmolStr, data: String) -> (Offset, bool) {
        let mut state = self.state.borrow_mut();
        *state.counts.appended.entry(stream.clone()).or_default() += 1;
        let log = state.streams.entry(stream).or_default();
        let offset = log.append(now_ms(), data);
        self.changed.notify();
        (offset, consume_one(&mut state.faults.lose_append_answer))
    }

    async fn read(&self, stream: SmolStr, call: &Call) -> ServerAction {
        let number = |name| call.query(name).and_then(|text| text.parse::<u64>().ok());
        let from = Offset(number("from").unwrap_or(0));
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        let max = number("max").map_or(PAGE_MAX, |max| {
            usize::try_from(max).unwrap_or(PAGE_MAX).min(PAGE_MAX)
        });
        self.state.borrow_mut().counts.reads += 1;
        let deadline = Instant::now() + wait;
        loop {
            let subscription = self.changed.subscribe();
            let page = self.page(&stream, from, max);
            if !page.records.is_empty() || Instant::now() >= deadline {
                return ServerAction::Reply(Reply::json(OK, &page));
            }
            let timeout = async {
                Timer::at(deadline).await;
            };
            subscription.wait().or(timeout).await;
            let down = self.state.borrow().faults.down;
            if down.is_some() {
                return self.apply_faults().await.unwrap_or(ServerAction::Close);
            }
        }
    }

    fn page(&self, stream: &SmolStr, from: Offset, max: usize) -> Page {
        let mut state = self.state.borrow_mut();
        let retention = state.options.retention_ms;
        let frozen = state.frozen.as_ref();
        let end = frozen.map_or(Offset(u64::MAX), |frozen| {
            frozen.ends.get(stream).copied().unwrap_or_default()
        });
        let log = state.streams.entry(stream.clone()).or_default();
        log.expire(now_ms(), retention);
        log.read(from, end, max)
    }

    fn host_list(&self) -> ServerAction {
        let mut state = self.state.borrow_mut();
        state.counts.host_lists += 1;
        let now = Instant::now();
        let as_of = state.frozen.as_ref().map_or(now, |frozen| frozen.at);
        let hosts = state.hosts.view_at(as_of).clone();
        let age = now - as_of + Duration::from(state.options.host_list_lag_ms);
        let list = HostList {
            age_ms: Millis(u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            executors: hosts.executors,
            entries: hosts.entries,
        };
        ServerAction::Reply(Reply::json(OK, &list))
    }
}

/// Parses the stream name of a records path; `None` if the path is of another form.
fn parse_stream_path(path: &str) -> Option<SmolStr> {
    path.strip_prefix("/v1/streams/")?
        .strip_suffix("/records")
        .filter(|name| !name.is_empty() && !name.contains('/'))
        .map(SmolStr::from)
}

/// Returns the time by the wall clock.
pub fn now_ms() -> UnixMs {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    UnixMs(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
