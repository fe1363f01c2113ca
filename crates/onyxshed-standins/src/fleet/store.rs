//! The store of the users' platform: keyed topics and consumer groups, kept in memory.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;
use http_types::Method;
use onyxshed_http::{Call, Reply};
use onyxshed_kernel::Notifier;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol_str::SmolStr;

use super::groups::Group;
use crate::serve::{Handler, ServerAction, no_such_path, read_json};

const OK: u16 = 200;
const GONE: u16 = 410;
const PRECONDITION_FAILED: u16 = 412;
const UNAVAILABLE: u16 = 503;

/// The faults of the store that are in force; a call of `/control/faults` replaces all of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether every call is answered with status 503.
    pub is_busy: bool,
    /// The delay of every call, in milliseconds.
    pub delay_ms: u64,
    /// The share of calls, from 0 to 1, that take effect but whose connection is closed without a reply.
    pub lost_answers: f64,
    /// Whether memberships of groups last a thousand times as long as requested.
    pub keeps_members: bool,
}

/// The records of one topic.
#[derive(Debug, Default)]
struct Topic {
    /// The offset of the oldest record that is kept.
    first: u64,
    /// The kept records as keys and values; a value of `None` deletes the key.
    records: Vec<(SmolStr, Option<Vec<u8>>)>,
    /// The newest value of each key, with its offset.
    newest: BTreeMap<SmolStr, (u64, Vec<u8>)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn put(&mut self, key: SmolStr, value: Option<Vec<u8>>) {
        let offset = self.end();
        match &value {
            Some(bytes) => self.newest.insert(key.clone(), (offset, bytes.clone())),
            None => self.newest.remove(&key),
        };
        self.records.push((key, value));
    }
}

#[derive(Debug, Deserialize)]
struct JoinRequest {
    group: SmolStr,
    member: SmolStr,
    ttl_ms: u64,
    generation: u64,
}

#[derive(Debug, Deserialize)]
struct LeaveRequest {
    group: SmolStr,
    member: SmolStr,
}

/// The stand-in of the store; clones share its state.
#[derive(Clone, Default)]
pub struct FleetStore {
    inner: Rc<Inner>,
}

#[derive(Default)]
struct Inner {
    topics: RefCell<BTreeMap<SmolStr, Topic>>,
    groups: RefCell<BTreeMap<SmolStr, Group>>,
    faults: RefCell<StoreFaults>,
    /// The number of joins and renewals of memberships since the store was created.
    joins: Cell<u64>,
    changed: Notifier,
}

impl FleetStore {
    /// Creates a store without topics, groups and faults.
    pub fn new() -> Self {
        FleetStore::default()
    }

    /// Returns the HTTP handler of the store's interface and of the commands under `/control/`.
    pub fn handler(&self) -> Handler {
        let store = self.clone();
        Rc::new(move |call| {
            let store = store.clone();
            Box::pin(async move { store.handle(call).await })
        })
    }

    async fn handle(&self, call: Call) -> ServerAction {
        if let Some(rest) = call.path().strip_prefix("/control/") {
            return self.control(rest, &call);
        }
        let faults = *self.inner.faults.borrow();
        if faults.is_busy {
            return ServerAction::Reply(Reply::bytes(UNAVAILABLE, Vec::new()));
        }
        if faults.delay_ms > 0 {
            Timer::after(Duration::from_millis(faults.delay_ms)).await;
        }
        let action = match (call.method(), call.path()) {
            (Method::Get, "/log-newest") => self.read_newest(&call),
            (Method::Get, "/log-read") => self.read(&call).await,
            (Method::Get, "/log-owners") => self.read_owners(&call),
            (Method::Post, "/log-append") => self.append(&call),
            (Method::Post, "/log-join") => self.join(&call),
            (Method::Post, "/log-leave") => self.leave(&call),
            _ => no_such_path(),
        };
        let is_reply_lost = rand::rng().random_bool(faults.lost_answers.clamp(0.0, 1.0));
        if is_reply_lost {
            ServerAction::Close
        } else {
            action
        }
    }

    fn control(&self, command: &str, call: &Call) -> ServerAction {
        match command {
            "put" => self.put(call),
            "faults" => match read_json(&call.body) {
                Ok(faults) => {
                    self.inner.faults.replace(faults);
                    empty_reply()
                }
                Err(action) => action,
            },
            "forget" => {
                for topic in self.inner.topics.borrow_mut().values_mut() {
                    topic.first = topic.end();
                    topic.records.clear();
                }
                empty_reply()
            }
            "joins" => ServerAction::Reply(Reply::json(OK, &self.inner.joins.get())),
            "revoke" => {
                let mut groups = self.inner.groups.borrow_mut();
                groups.values_mut().for_each(Group::revoke);
                empty_reply()
            }
            _ => no_such_path(),
        }
    }

    /// Handles a write of a record by operators or executors; an empty body deletes the key.
    fn put(&self, call: &Call) -> ServerAction {
        let (Some(topic), Some(key)) = (call.query("topic"), call.query("key")) else {
            return no_such_path();
        };
        let value = (!call.body.is_empty()).then(|| call.body.clone());
        let mut topics = self.inner.topics.borrow_mut();
        topics.entry(topic).or_default().put(key, value);
        drop(topics);
        self.inner.changed.notify();
        empty_reply()
    }

    /// Handles an append of one record in the store's framing: a length of four bytes, the length of the key
    /// in one byte, the key and the value.
    fn append(&self, call: &Call) -> ServerAction {
        const LENGTH_BYTES: usize = 4;
        let record = call.body.get(LENGTH_BYTES..).unwrap_or_default();
        let Some((length, rest)) = record.split_first() else {
            return no_such_path();
        };
        let Some((key, value)) = rest.split_at_checked(usize::from(*length)) else {
            return no_such_path();
        };
        let key = SmolStr::new(String::from_utf8_lossy(key));
        let topic = call.query("topic").unwrap_or_default();
        let mut topics = self.inner.topics.borrow_mut();
        let topic = topics.entry(topic).or_default();
        let expected_end: Option<u64> = call.query("at").and_then(|text| text.parse().ok());
        if expected_end.is_some_and(|expected_end| expected_end != topic.end()) {
            let reply = json!({ "end": topic.end() });
            return ServerAction::Reply(Reply::json(PRECONDITION_FAILED, &reply));
        }
        topic.put(key, Some(value.to_vec()));
        let reply = json!({ "offset": topic.end() - 1, "end": topic.end() });
        drop(topics);
        self.inner.changed.notify();
        ServerAction::Reply(Reply::json(OK, &reply))
    }

    fn read_newest(&self, call: &Call) -> ServerAction {
        let mut topics = self.inner.topics.borrow_mut();
        let topic = topics
            .entry(call.query("topic").unwrap_or_default())
            .or_default();
        let items: Vec<NewestItem> = topic
            .newest
            .iter()
            .map(|(key, (offset, value))| NewestItem {
                key: key.clone(),
                value: value.clone(),
                offset: *offset,
            })
            .collect();
        let page = NewestPage {
            items,
            truncated: false,
            end: topic.end(),
        };
        ServerAction::Reply(Reply::json(OK, &page))
    }

    async fn read(&self, call: &Call) -> ServerAction {
        let topic = call.query("topic").unwrap_or_default();
        let number = |name| -> u64 {
            let text = call.query(name).unwrap_or_default();
            text.parse().unwrap_or_default()
        };
        let (from, wait) = (number("from"), Duration::from_millis(number("wait_ms")));
        let deadline = Instant::now() + wait;
        loop {
            let subscription = self.inner.changed.subscribe();
            if let Some(action) = self.try_read(&topic, from, Instant::now() >= deadline) {
                return action;
            }
            let timeout = async {
                Timer::at(deadline).await;
            };
            subscription.wait().or(timeout).await;
        }
    }

    fn try_read(&self, topic: &SmolStr, from: u64, is_last: bool) -> Option<ServerAction> {
        let mut topics = self.inner.topics.borrow_mut();
        let topic = topics.entry(topic.clone()).or_default();
        if from < topic.first {
            let first = json!({ "first": topic.first });
            return Some(ServerAction::Reply(Reply::json(GONE, &first)));
        }
        let skip = usize::try_from(from - topic.first).unwrap_or(usize::MAX);
        let records = topic.records.get(skip..).unwrap_or_default();
        if records.is_empty() && !is_last {
            return None;
        }
        let mut body = Vec::new();
        body.extend_from_slice(&topic.end().to_be_bytes());
        body.extend_from_slice(&topic.first.to_be_bytes());
        for (key, value) in records {
            write_record(&mut body, key, value.as_deref().unwrap_or_default());
        }
        Some(ServerAction::Reply(Reply::bytes(OK, body)))
    }

    fn join(&self, call: &Call) -> ServerAction {
        let join: JoinRequest = match read_json(&call.body) {
            Ok(join) => join,
            Err(action) => return action,
        };
        self.inner.joins.set(self.inner.joins.get() + 1);
        let mut groups = self.inner.groups.borrow_mut();
        let group = groups.entry(join.group.clone()).or_default();
        /// The factor by which memberships last longer under the fault, so that none expires during a test.
        const EXTENDED_TTL_FACTOR: u32 = 1_000;
        let is_extended = self.inner.faults.borrow().keeps_members;
        let ttl =
            Duration::from_millis(join.ttl_ms) * if is_extended { EXTENDED_TTL_FACTOR } else { 1 };
        let (generation, partitions) =
            group.join(Instant::now(), &join.member, ttl, join.generation);
        let rows: Vec<_> = partitions
            .iter()
            .map(|partition| json!([join.group, partition, 0]))
            .collect();
        let reply = json!({ "generation": generation, "ttl_ms": join.ttl_ms, "parts": rows });
        ServerAction::Reply(Reply::json(OK, &reply))
    }

    fn leave(&self, call: &Call) -> ServerAction {
        let leave: LeaveRequest = match read_json(&call.body) {
            Ok(leave) => leave,
            Err(action) => return action,
        };
        let mut groups = self.inner.groups.borrow_mut();
        if let Some(group) = groups.get_mut(&leave.group) {
            group.leave(Instant::now(), &leave.member);
        }
        empty_reply()
    }

    fn read_owners(&self, call: &Call) -> ServerAction {
        let name = call.query("group").unwrap_or_default();
        let mut groups = self.inner.groups.borrow_mut();
        let owners = groups
            .get_mut(&name)
            .map(|group| group.partition_holders(Instant::now()));
        let rows: Vec<_> = owners
            .unwrap_or_default()
            .into_iter()
            .map(|(partition, member)| json!([name, partition, member, 0]))
            .collect();
        ServerAction::Reply(Reply::json(OK, &json!({ "parts": rows })))
    }
}

#[derive(Serialize)]
struct NewestPage {
    items: Vec<NewestItem>,
    truncated: bool,
    end: u64,
}

#[serde_with::serde_as]
#[derive(Serialize)]
struct NewestItem {
    key: SmolStr,
    #[serde_as(as = "serde_with::base64::Base64")]
    value: Vec<u8>,
    offset: u64,
}

fn empty_reply() -> ServerAction {
    ServerAction::Reply(Reply::json(OK, &json!({})))
}

fn write_record(body: &mut Vec<u8>, key: &str, value: &[u8]) {
    let length =
        u32::try_from(1 + key.len() + value.len()).expect("a record is shorter than 4 GiB");
    body.extend_from_slice(&length.to_be_bytes());
    body.push(u8::try_from(key.len()).expect("a key is at most 255 bytes long"));
    body.extend_from_slice(key.as_bytes());
    body.extend_from_slice(value);
}
