//! Stand-ins and scripts of the second review.
//!
//! One process plays the platform's store, the executors and the clients, and starts the hosts as
//! separate processes with the command of the deploy file. Only the standard library is used.
//!
//! `harness CASE FOLDER` runs a case in the repository's root and writes `record.txt` into FOLDER.
//! The exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
//! `TROUBLE=0` in the environment, the disruption is left out.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn unix_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---------------------------------------------------------------------------------------------
// Record

/// Lines of the record with the time since the start, in milliseconds.
struct Record {
    started: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    fn now(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn add(&self, line: String) -> u64 {
        let at = self.now();
        lock(&self.lines).push((at, line));
        at
    }

    fn save(&self, folder: &Path) {
        let mut text = String::new();
        for (at, line) in lock(&self.lines).iter() {
            let _ = writeln!(text, "{at:>7} ms  {line}");
        }
        let _ = std::fs::write(folder.join("record.txt"), text);
    }
}

// ---------------------------------------------------------------------------------------------
// JSON

#[derive(Debug, Clone)]
enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List,
    Table(BTreeMap<String, Json>),
}

impl Json {
    fn parse(bytes: &[u8]) -> Option<Json> {
        let text = std::str::from_utf8(bytes).ok()?;
        let mut parser = Parser {
            text: text.as_bytes(),
            at: 0,
        };
        parser.value()
    }

    fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    fn number(&self) -> Option<u64> {
        match self {
            Json::Number(value) => Some(*value as u64),
            _ => None,
        }
    }

    fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn peek(&mut self) -> Option<u8> {
        self.skip();
        self.text.get(self.at).copied()
    }

    fn eat(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let rest = self.text.get(self.at..)?;
        rest.starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool),
            b'f' => self.word("false", Json::Bool),
            b'n' => self.word("null", Json::Null),
            _ => self.numeral(),
        }
    }

    fn table(&mut self) -> Option<Json> {
        let mut table = BTreeMap::new();
        self.eat(b'{')?;
        if self.eat(b'}').is_some() {
            return Some(Json::Table(table));
        }
        loop {
            self.skip();
            let key = self.string()?;
            self.eat(b':')?;
            table.insert(key, self.value()?);
            if self.eat(b',').is_none() {
                self.eat(b'}')?;
                return Some(Json::Table(table));
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.eat(b'[')?;
        if self.eat(b']').is_some() {
            return Some(Json::List);
        }
        loop {
            self.value()?;
            if self.eat(b',').is_none() {
                self.eat(b']')?;
                return Some(Json::List);
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.eat(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.text.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            let digits = std::str::from_utf8(digits).ok()?;
                            self.at += 4;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let mut buffer = [0; 4];
                            let letter = char::from_u32(code).unwrap_or('?');
                            bytes.extend_from_slice(letter.encode_utf8(&mut buffer).as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn numeral(&mut self) -> Option<Json> {
        let start = self.at;
        while self
            .text
            .get(self.at)
            .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
        {
            self.at += 1;
        }
        let text = std::str::from_utf8(self.text.get(start..self.at)?).ok()?;
        text.parse().ok().map(Json::Number)
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0_u32, |word, byte| (word << 8) | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                let digit = (word >> (18 - 6 * index)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------
// HTTP

struct Request {
    method: String,
    path: String,
    query: BTreeMap<String, String>,
    headers: BTreeMap<String, String>,
    body: Vec<u8>,
}

struct Response {
    status: u16,
    body: Vec<u8>,
}

impl Response {
    fn json(status: u16, body: String) -> Response {
        Response {
            status,
            body: body.into_bytes(),
        }
    }
}

/// Reads the head and the body of a message; returns the first line, the headers and the body.
fn read_message(
    stream: &mut TcpStream,
    rest: &mut Vec<u8>,
) -> Option<(String, BTreeMap<String, String>, Vec<u8>)> {
    let mut buffer = [0; 16_384];
    let head_end = loop {
        if let Some(at) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        let count = stream.read(&mut buffer).ok()?;
        if count == 0 {
            return None;
        }
        rest.extend_from_slice(&buffer[..count]);
    };
    let head = String::from_utf8_lossy(&rest[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next()?.to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let body_start = head_end + 4;
    while rest.len() < body_start + length {
        let count = stream.read(&mut buffer).ok()?;
        if count == 0 {
            return None;
        }
        rest.extend_from_slice(&buffer[..count]);
    }
    let body = rest[body_start..body_start + length].to_vec();
    rest.drain(..body_start + length);
    Some((first, headers, body))
}

fn parse_request(first: &str, headers: BTreeMap<String, String>, body: Vec<u8>) -> Option<Request> {
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| {
            (
                key.to_owned(),
                value.replace("%2F", "/").replace("%2f", "/"),
            )
        })
        .collect();
    Some(Request {
        method,
        path: path.to_owned(),
        query,
        headers,
        body,
    })
}

/// Handler of requests; `None` closes the connection without an answer.
type Handler = Arc<dyn Fn(Request) -> Option<Response> + Send + Sync>;

/// Serves a listener until the process ends. `is_up` is false while the server is down: connections
/// are then closed at once, and open ones by `streams`.
fn serve(
    listener: TcpListener,
    handler: Handler,
    is_up: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            if !is_up.load(Ordering::SeqCst) {
                continue;
            }
            let _ = stream.set_nodelay(true);
            if let Ok(clone) = stream.try_clone() {
                lock(&streams).push(clone);
            }
            let handler = handler.clone();
            thread::spawn(move || {
                let mut rest = Vec::new();
                while let Some((first, headers, body)) = read_message(&mut stream, &mut rest) {
                    let Some(request) = parse_request(&first, headers, body) else {
                        break;
                    };
                    let Some(response) = handler(request) else {
                        break;
                    };
                    let head = format!(
                        "HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                        response.status,
                        response.body.len()
                    );
                    let mut bytes = head.into_bytes();
                    bytes.extend_from_slice(&response.body);
                    if stream.write_all(&bytes).is_err() {
                        break;
                    }
                }
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
}

/// Sends one request on a new connection; `None` if there is no whole answer within `limit`.
fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(limit));
    let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-type: application/json\r\n");
    if headers.iter().all(|(name, _)| *name != "host") {
        let _ = write!(head, "host: {address}\r\n");
    }
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "content-length: {}\r\n\r\n{body}", body.len());
    stream.write_all(head.as_bytes()).ok()?;
    let mut rest = Vec::new();
    let (first, _, body) = read_message(&mut stream, &mut rest)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

// ---------------------------------------------------------------------------------------------
// Store

#[derive(Default)]
struct Topic {
    records: Vec<(String, Option<Vec<u8>>)>,
}

#[derive(Default)]
struct Group {
    generation: u64,
    /// Members with the end of their membership.
    members: BTreeMap<String, Instant>,
    holder: Option<String>,
}

#[derive(Default)]
struct StoreState {
    topics: BTreeMap<String, Topic>,
    groups: BTreeMap<String, Group>,
}

/// The platform's store: keyed topics and groups. It loses nothing and answers at once.
struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl Group {
    fn expire(&mut self) {
        let now = Instant::now();
        let count = self.members.len();
        self.members.retain(|_, until| *until > now);
        if self.members.len() != count {
            self.generation += 1;
        }
        if self
            .holder
            .as_ref()
            .is_some_and(|holder| !self.members.contains_key(holder))
        {
            self.holder = None;
        }
    }
}

impl Store {
    fn new() -> Arc<Store> {
        Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
        })
    }

    fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        let mut state = lock(&self.state);
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic
            .records
            .push((key.to_owned(), value.map(|text| text.as_bytes().to_vec())));
        drop(state);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/log-newest") => self.newest(request),
            ("GET", "/log-read") => self.read(request),
            ("POST", "/log-append") => self.append(request),
            ("POST", "/log-join") => self.join(request),
            ("POST", "/log-leave") => self.leave(request),
            ("GET", "/log-owners") => self.owners(request),
            _ => Response::json(404, "{}".into()),
        }
    }

    fn newest(&self, request: &Request) -> Response {
        let state = lock(&self.state);
        let Some(topic) = request
            .query
            .get("topic")
            .and_then(|name| state.topics.get(name))
        else {
            return Response::json(404, "{}".into());
        };
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in topic.records.iter().enumerate() {
            match value {
                Some(value) => newest.insert(key, (offset, value)),
                None => newest.remove(key),
            };
        }
        let items: Vec<String> = newest
            .iter()
            .map(|(key, (offset, value))| {
                format!(
                    "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                    base64(value)
                )
            })
            .collect();
        let end = topic.records.len();
        Response::json(
            200,
            format!(
                "{{\"items\":[{}],\"truncated\":false,\"end\":{end}}}",
                items.join(",")
            ),
        )
    }

    fn read(&self, request: &Request) -> Response {
        let number = |name: &str| -> u64 {
            request
                .query
                .get(name)
                .and_then(|text| text.parse().ok())
                .unwrap_or(0)
        };
        let name = request.query.get("topic").cloned().unwrap_or_default();
        let from = usize::try_from(number("from")).unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms"));
        let mut state = lock(&self.state);
        loop {
            let Some(topic) = state.topics.get(&name) else {
                return Response::json(404, "{}".into());
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            if topic.records.len() > from || remaining.is_zero() {
                let mut body = (topic.records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for (key, value) in topic.records.iter().skip(from) {
                    let value = value.as_deref().unwrap_or_default();
                    let length = u32::try_from(1 + key.len() + value.len()).unwrap_or(0);
                    body.extend_from_slice(&length.to_be_bytes());
                    body.push(u8::try_from(key.len()).unwrap_or(0));
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                return Response { status: 200, body };
            }
            let waited = self.changed.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
    }

    fn append(&self, request: &Request) -> Response {
        let name = request.query.get("topic").cloned().unwrap_or_default();
        let at: Option<usize> = request.query.get("at").and_then(|text| text.parse().ok());
        let Some((length, record)) = request.body.get(4..).and_then(<[u8]>::split_first) else {
            return Response::json(400, "{}".into());
        };
        let (key, value) = record.split_at(usize::from(*length).min(record.len()));
        let mut state = lock(&self.state);
        let topic = state.topics.entry(name).or_default();
        let end = topic.records.len();
        if at.is_some_and(|at| at != end) {
            return Response::json(412, format!("{{\"end\":{end}}}"));
        }
        let value = (!value.is_empty()).then(|| value.to_vec());
        topic
            .records
            .push((String::from_utf8_lossy(key).into_owned(), value));
        drop(state);
        self.changed.notify_all();
        Response::json(200, format!("{{\"offset\":{end},\"end\":{}}}", end + 1))
    }

    /// Partition 0 stays with its holder until it leaves or its membership lapses; it then goes to the
    /// next member that joins.
    fn join(&self, request: &Request) -> Response {
        let Some(body) = Json::parse(&request.body) else {
            return Response::json(400, "{}".into());
        };
        let (name, member) = (body.get("group").text(), body.get("member").text());
        let ttl = Duration::from_millis(body.get("ttl_ms").number().unwrap_or(1_000));
        let mut state = lock(&self.state);
        let group = state.groups.entry(name.to_owned()).or_default();
        group.expire();
        if group
            .members
            .insert(member.to_owned(), Instant::now() + ttl)
            .is_none()
        {
            group.generation += 1;
        }
        let holder = group.holder.get_or_insert_with(|| member.to_owned());
        let parts = match holder == member {
            true => format!("[\"{name}\",0,0]"),
            false => String::new(),
        };
        Response::json(
            200,
            format!(
                "{{\"generation\":{},\"parts\":[{parts}]}}",
                group.generation
            ),
        )
    }

    fn leave(&self, request: &Request) -> Response {
        let Some(body) = Json::parse(&request.body) else {
            return Response::json(400, "{}".into());
        };
        let mut state = lock(&self.state);
        if let Some(group) = state.groups.get_mut(body.get("group").text()) {
            group.members.remove(body.get("member").text());
            group.generation += 1;
            group.expire();
        }
        Response::json(200, "{}".into())
    }

    fn owners(&self, request: &Request) -> Response {
        let name = request.query.get("group").cloned().unwrap_or_default();
        let mut state = lock(&self.state);
        let row = state.groups.get_mut(&name).and_then(|group| {
            group.expire();
            let holder = group.holder.as_ref()?;
            Some(format!("[\"{name}\",0,\"{holder}\",0]"))
        });
        Response::json(200, format!("{{\"parts\":[{}]}}", row.unwrap_or_default()))
    }
}

// ---------------------------------------------------------------------------------------------
// Executors

const HOLD_MAX_MS: u64 = 1_000;

struct Run {
    number: u64,
    ends_at: Instant,
}

/// One life of an executor.
struct Life {
    born: u64,
    started: Instant,
    token: u64,
    lease_end_ms: u64,
    runs: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or has ended.
    barred: BTreeMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
}

impl Life {
    fn new() -> Life {
        Life {
            born: unix_ms(),
            started: Instant::now(),
            token: 0,
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            barred: BTreeMap::new(),
            finished: Vec::new(),
            ends: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn extend(&mut self, until_ms: u64) {
        let most = self.clock_ms() + HOLD_MAX_MS;
        self.lease_end_ms = self.lease_end_ms.max(until_ms.min(most));
    }

    fn end(&mut self, task: &str, how: &'static str) -> Option<u64> {
        let run = self.runs.remove(task)?;
        let barred = self.barred.entry(task.to_owned()).or_default();
        *barred = (*barred).max(run.number);
        self.ends += 1;
        self.finished
            .push((self.ends, task.to_owned(), run.number, how));
        Some(run.number)
    }
}

/// Facts that an executor reports about itself.
#[derive(Clone)]
struct Facts {
    id: String,
    zone: String,
    labels: Vec<String>,
    /// Tasks that fit at a time; each takes 1,000 of the processor.
    places: u64,
}

/// A run as the executor saw it, with times of the record.
#[derive(Clone)]
struct Seen {
    executor: String,
    task: String,
    run: u64,
    began: u64,
    ended: Option<u64>,
    how: &'static str,
}

struct Executor {
    facts: Facts,
    address: SocketAddr,
    life: Mutex<Life>,
    changed: Condvar,
    is_up: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    record: Arc<Record>,
    seen: Arc<Mutex<Vec<Seen>>>,
    store: Arc<Store>,
    state: Mutex<&'static str>,
    seq: AtomicU64,
    /// If above 0, the next start order waits on its way to the executor for this time, in milliseconds, and
    /// gets no answer.
    late_ms: AtomicU64,
}

impl Executor {
    fn start(
        facts: Facts,
        store: Arc<Store>,
        record: Arc<Record>,
        seen: Arc<Mutex<Vec<Seen>>>,
    ) -> Arc<Executor> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let executor = Arc::new(Executor {
            address: listener.local_addr().expect("a bound address"),
            facts,
            life: Mutex::new(Life::new()),
            changed: Condvar::new(),
            is_up: Arc::new(AtomicBool::new(true)),
            streams: Arc::default(),
            record,
            seen,
            store,
            state: Mutex::new("ready"),
            seq: AtomicU64::new(0),
            late_ms: AtomicU64::new(0),
        });
        let handler = executor.clone();
        let handler: Handler = Arc::new(move |request| handler.handle(request));
        serve(
            listener,
            handler,
            executor.is_up.clone(),
            executor.streams.clone(),
        );
        let heart = executor.clone();
        thread::spawn(move || {
            loop {
                if heart.is_up.load(Ordering::SeqCst) {
                    heart.register();
                }
                pause(1_500);
            }
        });
        let timer = executor.clone();
        thread::spawn(move || {
            loop {
                timer.advance();
                pause(2);
            }
        });
        executor
    }

    fn entry(&self) -> String {
        let labels: Vec<String> = self
            .facts
            .labels
            .iter()
            .map(|label| format!("\"{label}\""))
            .collect();
        format!(
            "{{\"service\":\"desk\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{}\",\"cold_left_ms\":0,\"seq\":{},\"born\":{},\
             \"capacity\":{{\"cpu\":{},\"mem_mb\":100000,\"gpus\":0}},\"labels\":[{}]}}",
            self.address,
            self.facts.zone,
            lock(&self.state),
            self.seq.fetch_add(1, Ordering::SeqCst) + 1,
            lock(&self.life).born,
            self.facts.places * 1_000,
            labels.join(",")
        )
    }

    fn register(&self) {
        let entry = self.entry();
        self.store
            .put("keyed.servers", &self.facts.id, Some(&entry));
    }

    /// Ends the runs whose work is done or whose lease has lapsed.
    fn advance(&self) {
        let mut life = lock(&self.life);
        let now = Instant::now();
        let has_lapsed = life.clock_ms() >= life.lease_end_ms;
        let over: Vec<(String, bool)> = life
            .runs
            .iter()
            .filter(|(_, run)| run.ends_at <= now || has_lapsed)
            .map(|(task, run)| (task.clone(), run.ends_at <= now))
            .collect();
        for (task, is_done) in over {
            let how = if is_done { "done" } else { "lapsed" };
            self.end_run(&mut life, &task, how);
        }
    }

    fn end_run(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(number) = life.end(task, how) else {
            return;
        };
        let at = self.record.add(format!(
            "executor {}: {task} run {number} ends {how}",
            self.facts.id
        ));
        let mut seen = lock(&self.seen);
        let open = seen.iter_mut().rev().find(|seen| {
            seen.executor == self.facts.id
                && seen.task == task
                && seen.run == number
                && seen.ended.is_none()
        });
        if let Some(open) = open {
            open.ended = Some(at);
            open.how = how;
        }
        drop(seen);
        self.changed.notify_all();
    }

    /// Kills the executor: all runs end with it, and its connections break.
    fn kill(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        let mut life = lock(&self.life);
        let tasks: Vec<String> = life.runs.keys().cloned().collect();
        self.record.add(format!(
            "executor {} crashes with {} runs",
            self.facts.id,
            tasks.len()
        ));
        for task in tasks {
            self.end_run(&mut life, &task, "lost with the executor");
        }
        *life = Life::new();
        drop(life);
        for stream in lock(&self.streams).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts a killed executor again, under its id and at its address.
    fn restart(&self) {
        *lock(&self.life) = Life::new();
        self.seq.store(0, Ordering::SeqCst);
        self.is_up.store(true, Ordering::SeqCst);
        self.record
            .add(format!("executor {} starts again", self.facts.id));
        self.register();
    }

    fn handle(&self, request: Request) -> Option<Response> {
        let target = request.headers.get("x-onyxshed-target-instance");
        if target.is_some_and(|target| *target != self.facts.id) {
            return Some(Response::json(421, "{}".into()));
        }
        let body = Json::parse(&request.body)?;
        match request.path.as_str() {
            "/run-start" => {
                let late_ms = self.late_ms.swap(0, Ordering::SeqCst);
                if late_ms > 0 {
                    let task = body.get("task_id").text();
                    self.record.add(format!(
                        "a start order for {task} waits on its way to executor {} for {late_ms} ms, unanswered",
                        self.facts.id
                    ));
                    pause(late_ms);
                    let answer = self.run_start(&body);
                    self.record.add(format!(
                        "the late order for {task} reaches executor {}: {}",
                        self.facts.id,
                        String::from_utf8_lossy(&answer.body)
                    ));
                    return None;
                }
                Some(self.run_start(&body))
            }
            "/run-stop" => Some(self.run_stop(&body)),
            "/hold" => Some(self.hold(&body)),
            _ => Some(Response::json(404, "{}".into())),
        }
    }

    fn refusal(life: &Life, reason: &str) -> Response {
        Response::json(
            409,
            format!(
                "{{\"clock_ms\":{},\"reason\":\"{reason}\"}}",
                life.clock_ms()
            ),
        )
    }

    fn run_start(&self, body: &Json) -> Response {
        self.advance();
        let mut life = lock(&self.life);
        let number = |name: &str| body.get(name).number().unwrap_or(0);
        let (token, run, expires) = (
            number("fencing_token"),
            number("run_id"),
            number("expires_ms"),
        );
        let task = body.get("task_id").text().to_owned();
        if token < life.token {
            return Self::refusal(&life, "fence");
        }
        life.token = token;
        if expires <= life.clock_ms() {
            return Self::refusal(&life, "late");
        }
        life.extend(expires);
        let accepted = Response::json(200, format!("{{\"clock_ms\":{}}}", life.clock_ms()));
        if life
            .runs
            .get(&task)
            .is_some_and(|known| known.number == run)
        {
            return accepted;
        }
        if life.barred.get(&task).is_some_and(|barred| run <= *barred) {
            return Self::refusal(&life, "old");
        }
        if life.runs.len() as u64 >= self.facts.places {
            return Self::refusal(&life, "room");
        }
        let work_ms: u64 = body.get("spec").text().parse().unwrap_or(100);
        let ends_at = Instant::now() + Duration::from_millis(work_ms);
        life.runs.insert(
            task.clone(),
            Run {
                number: run,
                ends_at,
            },
        );
        let began = self.record.add(format!(
            "executor {}: {task} run {run} starts",
            self.facts.id
        ));
        lock(&self.seen).push(Seen {
            executor: self.facts.id.clone(),
            task,
            run,
            began,
            ended: None,
            how: "",
        });
        accepted
    }

    fn run_stop(&self, body: &Json) -> Response {
        self.advance();
        let mut life = lock(&self.life);
        let number = |name: &str| body.get(name).number().unwrap_or(0);
        let (token, run) = (number("fencing_token"), number("run_id"));
        let task = body.get("task_id").text().to_owned();
        if token < life.token {
            return Self::refusal(&life, "fence");
        }
        life.token = token;
        let barred = life.barred.entry(task.clone()).or_default();
        *barred = (*barred).max(run);
        if life
            .runs
            .get(&task)
            .is_some_and(|known| known.number <= run)
        {
            self.end_run(&mut life, &task, "stopped");
        }
        Response::json(200, format!("{{\"clock_ms\":{}}}", life.clock_ms()))
    }

    fn hold(&self, body: &Json) -> Response {
        self.advance();
        let number = |name: &str| body.get(name).number();
        let token = number("fencing_token").unwrap_or(0);
        let last_seen = number("last_seen").unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut life = lock(&self.life);
        let born = life.born;
        if token < life.token {
            return Self::refusal(&life, "fence");
        }
        life.token = token;
        if let Some(expires) = number("expires_ms") {
            life.extend(expires);
        }
        life.finished.retain(|end| end.0 > last_seen);
        while life.finished.is_empty() && life.born == born {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(life, remaining);
            life = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
        let running: Vec<String> = life
            .runs
            .iter()
            .map(|(task, run)| format!("[\"{task}\",{},\"\",50,1000]", run.number))
            .collect();
        let finished: Vec<String> = life
            .finished
            .iter()
            .map(|(at, task, run, how)| {
                let how = if how.starts_with("lost") {
                    "failed"
                } else {
                    how
                };
                format!("[{at},\"{task}\",{run},\"{how}\",\"\"]")
            })
            .collect();
        Response::json(
            200,
            format!(
                "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
                life.clock_ms(),
                life.born,
                running.join(","),
                finished.join(",")
            ),
        )
    }
}

// ---------------------------------------------------------------------------------------------
// Hosts

/// The path of one host to the store.
struct StoreLink {
    /// Time for which each answer waits on its way to the host, in milliseconds.
    wait_ms: AtomicU64,
    /// Whether nothing passes any more, in either direction.
    is_cut: AtomicBool,
    /// When the store last answered a read of the operators' records that had found nothing, and the answer
    /// was on its way; in milliseconds of the record.
    unchanged_at: AtomicU64,
}

impl StoreLink {
    fn open(store: Arc<Store>, record: Arc<Record>) -> (Arc<StoreLink>, SocketAddr) {
        let link = Arc::new(StoreLink {
            wait_ms: AtomicU64::new(0),
            is_cut: AtomicBool::new(false),
            unchanged_at: AtomicU64::new(0),
        });
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let state = link.clone();
        let handler: Handler = Arc::new(move |request| {
            state.pass()?;
            let response = store.handle(&request);
            let is_operators = request
                .query
                .get("topic")
                .is_some_and(|topic| topic == "keyed.op");
            // A head of 16 bytes without records.
            if is_operators && request.path == "/log-read" && response.body.len() == 16 {
                state.unchanged_at.store(record.now(), Ordering::SeqCst);
            }
            pause(state.wait_ms.load(Ordering::SeqCst));
            state.pass()?;
            Some(response)
        });
        serve(
            listener,
            handler,
            Arc::new(AtomicBool::new(true)),
            Arc::default(),
        );
        (link, address)
    }

    /// Holds a message back while the path is cut; `None` if it stays cut for long.
    fn pass(&self) -> Option<()> {
        let deadline = Instant::now() + Duration::from_secs(20);
        while self.is_cut.load(Ordering::SeqCst) {
            if Instant::now() > deadline {
                return None;
            }
            pause(1);
        }
        Some(())
    }
}

/// A host of the system, as a process.
struct Host {
    name: String,
    store_link: Arc<StoreLink>,
    ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Host {
    fn start(&self) {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log);
        let log = log.expect("the log of a host can be written");
        let errors = log.try_clone().expect("the log of a host can be written");
        // The command of the deploy file.
        let child = Command::new("target/release/onyxshed-host")
            .args(["--overload", "on"])
            .env("ONYXSHED_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        *lock(&self.child) = child.ok();
    }

    fn front(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 8_161)
    }

    fn is_ready(&self) -> bool {
        let ready = SocketAddr::new(IpAddr::V4(self.ip), 8_167);
        let answer = call(ready, "GET", "/readyz", &[], "", Duration::from_millis(500));
        answer.is_some_and(|(status, _)| status == 200)
    }
}

/// Ends a process that this one started.
fn end_process(child: &Mutex<Option<Child>>) {
    if let Some(mut child) = lock(child).take() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A small deployment.
struct Deployment {
    record: Arc<Record>,
    store: Arc<Store>,
    seen: Arc<Mutex<Vec<Seen>>>,
    hosts: Arc<Vec<Host>>,
    executors: Vec<Arc<Executor>>,
    folder: PathBuf,
    scratch: PathBuf,
}

/// Longest time for which a case may run.
const RUN_MAX: Duration = Duration::from_secs(100);

const ROUTE_HOST: &str = "desk.example";

/// Returns a manifest with one route for each path prefix.
fn manifest(version: u64, prefixes: &[&str]) -> String {
    let routes: Vec<String> = prefixes
        .iter()
        .enumerate()
        .map(|(index, prefix)| {
            format!(
                "{{\"name\":\"r-{index}\",\"host\":\"{ROUTE_HOST}\",\"path_prefix\":\"{prefix}\",\
                 \"type\":\"non_idempotent\",\"timeout_ms\":15000,\"slo_ms\":60,\"priority\":0,\"service\":\"desk\",\
                 \"attempts\":2,\"stretch\":1.6}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\"enforces_capacity\":true}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144}}}}",
        routes.join(",")
    )
}

impl Deployment {
    /// Starts the store, executors with the given facts, and one host for each of `zones`; waits until every
    /// host is ready.
    fn start(folder: &Path, zones: &[&str], facts: &[Facts]) -> Deployment {
        let record = Arc::new(Record {
            started: Instant::now(),
            lines: Mutex::default(),
        });
        let store = Store::new();
        store.put("keyed.op", "config", Some(&manifest(3, &["/jobs/"])));
        let seen = Arc::new(Mutex::new(Vec::new()));
        let executors = facts
            .iter()
            .map(|facts| {
                Executor::start(facts.clone(), store.clone(), record.clone(), seen.clone())
            })
            .collect();
        let scratch = std::env::temp_dir().join(format!("onyxshed-review-{}", std::process::id()));
        let _ = std::fs::create_dir_all(&scratch);
        let id = std::process::id();
        let network = [
            127,
            16 + u8::try_from(id % 200).unwrap_or(0),
            u8::try_from(id / 200 % 250).unwrap_or(0),
        ];
        let ip_of = |index: usize| {
            Ipv4Addr::new(
                network[0],
                network[1],
                network[2],
                u8::try_from(index + 1).unwrap_or(1),
            )
        };
        let all_zones: BTreeSet<&str> = zones.iter().copied().collect();
        let zone_table: Vec<String> = all_zones
            .iter()
            .map(|zone| format!("\"{zone}\":\"r\""))
            .collect();
        let seeds: Vec<String> = (0..zones.len().min(3))
            .map(|index| format!("\"{}:8166\"", ip_of(index)))
            .collect();
        let mut hosts = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let ip = ip_of(index);
            let (store_link, store_address) = StoreLink::open(store.clone(), record.clone());
            let name = format!("edge-{zone}-{}", index + 1);
            let settings = format!(
                "{{\"node_name\":\"{name}\",\"role\":\"host\",\"machine_class\":\"edge\",\
                 \"serves\":[\"edge\",\"control_plane\"],\"ip\":\"{ip}\",\"zone\":\"{zone}\",\"region\":\"r\",\
                 \"zones\":{{{}}},\"listen_addrs\":{{\"front\":\"{ip}:8161\",\"ready\":\"{ip}:8167\",\
                 \"control\":\"{ip}:8166\"}},\"port_range\":[7720,7735],\"seeds\":[{}],\"bootstrap\":true,\
                 \"limits\":{{\"cpu_share\":0.25,\"cpu_cores\":1,\"memory_mb\":260,\"max_fds\":4100}},\
                 \"heartbeat_ms\":1500,\"bounds\":{{\"stable_window_ms\":3000,\"ack_ms\":4000,\"drain_ms\":2000,\
                 \"grace_s\":6,\"loss_slack_ms\":200,\"config_apply_ms\":2000,\"hold_max_ms\":1000,\
                 \"stop_timeout_ms\":50,\"cancel_ms\":3000,\"remote_factor\":2,\"lease_ms\":3000,\
                 \"resend_ms\":1300}},\"commands\":\"invoke\",\"platform\":{{\"address\":\"{store_address}\",\
                 \"form\":\"log\",\"writes_per_s\":800,\"reads_per_s\":2000,\"ttl_min_ms\":1000}}}}",
                zone_table.join(","),
                seeds.join(",")
            );
            let path = scratch.join(format!("{name}.json"));
            if std::fs::write(&path, settings).is_err() {
                eprintln!("settings can't be written");
                exit(2);
            }
            let log = scratch.join(format!("{name}.log"));
            let host = Host {
                name,
                store_link,
                ip,
                settings: path,
                log,
                child: Mutex::default(),
            };
            host.start();
            hosts.push(host);
        }
        let hosts = Arc::new(hosts);
        let watched = hosts.clone();
        // No case lasts as long: a run that hangs ends here, with its processes.
        thread::spawn(move || {
            thread::sleep(RUN_MAX);
            for host in watched.iter() {
                end_process(&host.child);
            }
            exit(2);
        });
        let deployment = Deployment {
            record,
            store,
            seen,
            hosts,
            executors,
            folder: folder.to_owned(),
            scratch,
        };
        deployment.wait_ready();
        deployment
    }

    fn wait_ready(&self) {
        let deadline = Instant::now() + Duration::from_secs(30);
        while !self.hosts.iter().all(Host::is_ready) {
            if Instant::now() > deadline {
                self.record.add("the hosts are not ready in 30 s".into());
                self.finish(2);
            }
            pause(50);
        }
        // All executors are taken over, and every machine is in touch.
        pause(4_000);
        self.record.add("all hosts are ready".into());
    }

    /// Sends a job and returns the status and the body of the answer, `None` without one.
    fn submit(
        &self,
        host: usize,
        id: u64,
        phase: &str,
        spec_ms: u64,
        deadline_ms: u64,
    ) -> Option<(u16, String)> {
        let front = self.hosts[host].front();
        let body = format!("{{\"spec\":\"{spec_ms}\",\"phases\":[{phase}],\"best_effort\":true}}");
        self.record.add(format!(
            "client: POST {id:016x} to {}: {body}",
            self.hosts[host].name
        ));
        let headers = [
            ("host", ROUTE_HOST.to_owned()),
            ("x-onyxshed-deadline-ms", deadline_ms.to_string()),
            ("connection", "close".to_owned()),
        ];
        let path = format!("/jobs/{id:016x}");
        let limit = Duration::from_millis(deadline_ms);
        let answer = call(front, "POST", &path, &headers, &body, limit);
        let text = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".into(),
        };
        self.record
            .add(format!("client: answer to {id:016x}: {text}"));
        answer
    }

    fn runs(&self) -> Vec<Seen> {
        lock(&self.seen).clone()
    }

    /// Saves the record, ends all processes and exits.
    fn finish(&self, code: i32) -> ! {
        self.record.add(format!("exit code {code}"));
        self.record.save(&self.folder);
        for host in self.hosts.iter() {
            end_process(&host.child);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.scratch);
        } else {
            eprintln!("logs in {}", self.scratch.display());
        }
        exit(code);
    }
}

fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn facts(id: &str, zone: &str, labels: &[&str], places: u64) -> Facts {
    Facts {
        id: id.into(),
        zone: zone.into(),
        labels: labels.iter().map(|label| (*label).to_owned()).collect(),
        places,
    }
}

// ---------------------------------------------------------------------------------------------
// Cases

/// ROUTE: a record that another writer wrote, without the fields of an executor, changes the labels by
/// which tasks are placed.
fn foreign_entry(folder: &Path) -> ! {
    let all = [
        facts("x1", "z1", &["a", "r1-1"], 2),
        facts("x2", "z1", &["b", "r1-1"], 2),
    ];
    let deployment = Deployment::start(folder, &["z1", "z1"], &all);
    let phase =
        "{\"count\":4,\"cpu\":1000,\"mem_mb\":64,\"est_runtime_ms\":300,\"requires\":\"b\"}";
    for round in 0..3 {
        if has_trouble() {
            let address = deployment.executors[0].address;
            let entry = format!(
                "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"z1\",\"state\":\"ready\",\
                 \"capacity\":{{\"cpu\":2000,\"mem_mb\":100000}},\"labels\":[\"b\",\"r1-1\"]}}"
            );
            deployment
                .record
                .add(format!("another writer: servers/x1 = {entry}"));
            deployment.store.put("keyed.servers", "x1", Some(&entry));
        }
        pause(600);
        deployment.submit(0, 0xa1 + round, phase, 300, 3_000);
        pause(2_000);
    }
    let runs = deployment.runs();
    let wrong = runs.iter().filter(|seen| seen.executor == "x1").count();
    let right = runs.len() - wrong;
    deployment.record.add(format!(
        "starts on x2, which has the label b: {right}; starts on x1, which has not: {wrong}"
    ));
    if right == 0 {
        deployment.finish(2);
    }
    deployment.finish(i32::from(wrong > 0))
}

/// UNASKED: a job whose cancelling was acknowledged goes on.
fn cancelled_job(folder: &Path) -> ! {
    const CANCEL_MS: u64 = 3_000;
    const STOP_MS: u64 = 50;
    let all = [facts("x1", "z1", &["a", "r1-1"], 1)];
    let deployment = Deployment::start(folder, &["z1", "z1"], &all);
    let id = 0xc1;
    let mut acknowledged = None;
    thread::scope(|scope| {
        let phase = "{\"count\":10,\"cpu\":1000,\"mem_mb\":64,\"est_runtime_ms\":900}";
        let submitted = &deployment;
        scope.spawn(move || submitted.submit(0, id, phase, 900, 14_000));
        pause(1_500);
        if has_trouble() {
            let headers = [
                ("host", ROUTE_HOST.to_owned()),
                ("x-onyxshed-deadline-ms", "2000".to_owned()),
            ];
            let path = format!("/jobs/{id:016x}");
            let front = deployment.hosts[0].front();
            let answer = call(front, "DELETE", &path, &headers, "", Duration::from_secs(2));
            let status = answer.map_or(0, |(status, _)| status);
            let at = deployment
                .record
                .add(format!("client: DELETE {id:016x}: {status}"));
            if (200..300).contains(&status) || status == 410 {
                acknowledged = Some(at);
            }
        }
    });
    let runs = deployment.runs();
    if runs.is_empty() || (has_trouble() && acknowledged.is_none()) {
        deployment.finish(2);
    }
    let Some(acknowledged) = acknowledged else {
        deployment.finish(0)
    };
    let late_starts = runs
        .iter()
        .filter(|seen| seen.began > acknowledged + CANCEL_MS)
        .count();
    let run_on = runs.iter().filter(|seen| {
        seen.began <= acknowledged + CANCEL_MS
            && seen
                .ended
                .is_none_or(|ended| ended > acknowledged + CANCEL_MS + STOP_MS)
    });
    let run_on = run_on.count();
    deployment.record.add(format!(
        "{late_starts} tasks started, and {run_on} ran on, later than {CANCEL_MS} ms after the cancelling was acknowledged"
    ));
    deployment.finish(i32::from(late_starts + run_on > 0))
}

/// Returns the pairs of runs of one task that were at work at the same time, with the length of the overlap.
fn overlaps(runs: &[Seen]) -> Vec<(Seen, Seen, u64)> {
    let mut found = Vec::new();
    for (index, one) in runs.iter().enumerate() {
        for other in &runs[index + 1..] {
            let from = one.began.max(other.began);
            let until = one
                .ended
                .unwrap_or(u64::MAX)
                .min(other.ended.unwrap_or(u64::MAX));
            if one.task == other.task && until > from {
                found.push((one.clone(), other.clone(), until - from));
            }
        }
    }
    found
}

/// TWICE: an order that got no answer is carried out by the executor's next life.
fn late_order(folder: &Path) -> ! {
    let all = [
        facts("x1", "z1", &["a", "r1-1"], 2),
        facts("x2", "z1", &["a", "r1-1"], 2),
    ];
    let deployment = Deployment::start(folder, &["z1", "z1"], &all);
    thread::scope(|scope| {
        for executor in &deployment.executors {
            executor.late_ms.store(2_000, Ordering::SeqCst);
        }
        let phase = "{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"est_runtime_ms\":2500}";
        let submitted = &deployment;
        scope.spawn(move || submitted.submit(0, 0xb1, phase, 2_500, 8_000));
        let deadline = Instant::now() + Duration::from_secs(2);
        while deployment.runs().is_empty() && Instant::now() < deadline {
            pause(5);
        }
        for executor in &deployment.executors {
            executor.late_ms.store(0, Ordering::SeqCst);
        }
        if has_trouble() {
            pause(200);
            let name = deployment.runs().first().map(|seen| seen.executor.clone());
            let executor = deployment
                .executors
                .iter()
                .find(|executor| Some(&executor.facts.id) == name.as_ref());
            if let Some(executor) = executor {
                executor.kill();
                pause(1_000);
                executor.restart();
            }
        }
    });
    pause(500);
    report_overlaps(&deployment)
}

/// TWICE: a record that another writer wrote, without the fields of an executor, changes the address of an
/// executor, and its runs are given up while they work.
fn foreign_address(folder: &Path) -> ! {
    let all = [
        facts("x1", "z1", &["a", "r1-1"], 2),
        facts("x2", "z1", &["a", "r1-1"], 4),
    ];
    let deployment = Deployment::start(folder, &["z1", "z1"], &all);
    thread::scope(|scope| {
        let phase = "{\"count\":4,\"cpu\":1000,\"mem_mb\":64,\"est_runtime_ms\":1000}";
        let submitted = &deployment;
        scope.spawn(move || submitted.submit(0, 0xd1, phase, 1_000, 6_000));
        let deadline = Instant::now() + Duration::from_secs(2);
        while deployment.runs().len() < 4 && Instant::now() < deadline {
            pause(5);
        }
        pause(200);
        if has_trouble() {
            let address = deployment.executors[1].address;
            let entry = format!(
                "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"z1\",\"state\":\"ready\",\
                 \"capacity\":{{\"cpu\":2000,\"mem_mb\":100000}},\"labels\":[\"a\",\"r1-1\"]}}"
            );
            deployment.record.add(format!(
                "another writer: servers/x1 = {entry}, the address of x2"
            ));
            deployment.store.put("keyed.servers", "x1", Some(&entry));
        }
    });
    pause(500);
    report_overlaps(&deployment)
}

/// FAULT: records that another writer wrote once end the service of a pool for good.
fn foreign_outage(folder: &Path) -> ! {
    let all = [
        facts("x1", "z1", &["a", "r1-1"], 2),
        facts("x2", "z1", &["a", "r1-1"], 2),
    ];
    let deployment = Deployment::start(folder, &["z1", "z1"], &all);
    let phase = "{\"count\":2,\"cpu\":1000,\"mem_mb\":64,\"est_runtime_ms\":100}";
    // Halfway between two status reports of the executors.
    pause(700);
    if has_trouble() {
        for (id, other) in [("x1", 1), ("x2", 0)] {
            let address = deployment.executors[other].address;
            let entry = format!(
                "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"z1\",\"state\":\"ready\",\
                 \"capacity\":{{\"cpu\":2000,\"mem_mb\":100000}},\"labels\":[\"a\",\"r1-1\"]}}"
            );
            deployment
                .record
                .add(format!("another writer: servers/{id} = {entry}"));
            deployment.store.put("keyed.servers", id, Some(&entry));
        }
    }
    pause(3_000);
    let (mut served, mut sent) = (0, 0);
    while sent < 30 {
        sent += 1;
        let host = sent % deployment.hosts.len();
        let answer = deployment.submit(host, 0xe000 + sent as u64, phase, 100, 1_500);
        served += usize::from(answer.is_some_and(|(status, _)| status == 200));
        pause(900);
    }
    deployment.record.add(format!(
        "{served} of {sent} jobs were served, from 3 s after the last foreign record on"
    ));
    deployment.finish(i32::from(served == 0))
}

/// Ends a case with 1 if two runs of one task were at work at the same time.
fn report_overlaps(deployment: &Deployment) -> ! {
    let runs = deployment.runs();
    if runs.is_empty() {
        deployment.finish(2);
    }
    let overlaps = overlaps(&runs);
    for (one, other, ms) in &overlaps {
        deployment.record.add(format!(
            "{} ran on {} (run {}) and on {} (run {}) at the same time, for {ms} ms",
            one.task, one.executor, one.run, other.executor, other.run
        ));
    }
    deployment.finish(i32::from(!overlaps.is_empty()))
}

/// DRAIN: a status report that the store carries out late is taken for the newest.
fn late_report(folder: &Path) -> ! {
    const DRAIN_MS: u64 = 2_000;
    const LATE_MS: u64 = 5_000;
    let all = [
        facts("x1", "z1", &["a", "r1-1"], 4),
        facts("x2", "z1", &["a", "r1-1"], 4),
    ];
    let deployment = Deployment::start(folder, &["z1", "z1"], &all);
    let record = deployment.record.clone();
    let executor = deployment.executors[0].clone();
    if has_trouble() {
        let entry = executor.entry();
        record.add(format!(
            "executor x1: the store does not answer a status report, and carries it out in {LATE_MS} ms: {entry}"
        ));
        let (record, store) = (record.clone(), deployment.store.clone());
        thread::spawn(move || {
            pause(LATE_MS);
            record.add("the store carries the late status report of x1 out".into());
            store.put("keyed.servers", "x1", Some(&entry));
        });
    }
    // The next report.
    pause(1_000);
    *lock(&executor.state) = "draining";
    executor.register();
    let drained = record.add("executor x1: the store accepts that it is draining".into());
    let phase = "{\"count\":6,\"cpu\":1000,\"mem_mb\":64,\"est_runtime_ms\":100}";
    let mut id = 0x8000;
    while record.now() < drained + 8_000 {
        id += 1;
        deployment.submit(usize::from(id % 2 == 0), id, phase, 100, 2_000);
        pause(50);
    }
    let runs = deployment.runs();
    let on_drained = runs
        .iter()
        .filter(|seen| seen.executor == "x1" && seen.began > drained);
    let late = on_drained
        .filter(|seen| seen.began > drained + DRAIN_MS)
        .count();
    record.add(format!(
        "{late} of {} starts were on x1 later than {DRAIN_MS} ms after the store accepted that it drains",
        runs.len()
    ));
    if runs.is_empty() {
        deployment.finish(2);
    }
    deployment.finish(i32::from(late > 0))
}

/// CONFIG: a manifest is late at hosts in touch while the owner that they follow loses its path to the store.
fn late_manifest(folder: &Path) -> ! {
    const APPLY_MS: u64 = 2_000;
    const WAIT_MS: u64 = 620;
    let all = [
        facts("x1", "z1", &["a", "r1-1"], 2),
        facts("x2", "z1", &["a", "r1-1"], 2),
    ];
    let deployment = Deployment::start(folder, &["z1", "z1", "z1"], &all);
    let holder = lock(&deployment.store.state)
        .groups
        .get("pool.z1.0")
        .and_then(|group| group.holder.clone());
    let owner = deployment.hosts.iter().position(|host| {
        holder
            .as_ref()
            .is_some_and(|holder| holder.starts_with(&format!("{}:", host.ip)))
    });
    let Some(owner) = owner else {
        deployment.finish(2)
    };
    let record = &deployment.record;
    record.add(format!("{} owns the pool", deployment.hosts[owner].name));
    let link = &deployment.hosts[owner].store_link;
    if has_trouble() {
        record.add(format!(
            "answers of the store wait {WAIT_MS} ms on the way to {}",
            deployment.hosts[owner].name
        ));
        link.wait_ms.store(WAIT_MS, Ordering::SeqCst);
        pause(4_000);
    }
    // The change comes while an answer without news is on its way to the owner.
    let before = link.unchanged_at.load(Ordering::SeqCst);
    while link.unchanged_at.load(Ordering::SeqCst) == before {
        pause(1);
    }
    pause(2);
    deployment.store.put(
        "keyed.op",
        "config",
        Some(&manifest(9, &["/jobs/", "/added/"])),
    );
    let confirmed =
        record.add("operator: manifest 9, which adds the route /added/, is confirmed".into());
    if has_trouble() {
        // The cut begins while the next answer waits.
        let (link, record) = (link.clone(), record.clone());
        thread::spawn(move || {
            pause(WAIT_MS + WAIT_MS / 2);
            link.is_cut.store(true, Ordering::SeqCst);
            record.add("the owner is cut off from the store".into());
        });
    }
    let mut late = 0;
    let mut last = vec![0; deployment.hosts.len()];
    while record.now() < confirmed + 4_000 {
        for (index, host) in deployment.hosts.iter().enumerate() {
            if index == owner {
                continue;
            }
            let sent = record.now();
            let headers = [("host", ROUTE_HOST.to_owned())];
            let answer = call(
                host.front(),
                "GET",
                "/added/",
                &headers,
                "",
                Duration::from_secs(1),
            );
            let status = answer.map_or(0, |(status, _)| status);
            if status != last[index] {
                record.add(format!(
                    "client: GET /added/ sent to {} {} ms after the confirmation: {status}",
                    host.name,
                    sent - confirmed
                ));
                last[index] = status;
            }
            late += u32::from(status == 404 && sent > confirmed + APPLY_MS);
        }
        pause(5);
    }
    record.add(format!(
        "{late} requests sent later than {APPLY_MS} ms after the confirmation got 404"
    ));
    link.is_cut.store(false, Ordering::SeqCst);
    if last
        .iter()
        .enumerate()
        .any(|(index, status)| index != owner && *status == 0)
    {
        deployment.finish(2);
    }
    deployment.finish(i32::from(late > 0))
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("harness CASE FOLDER");
        exit(2);
    };
    let folder = Path::new(folder);
    match case.as_str() {
        "foreign-entry" => foreign_entry(folder),
        "cancelled-job" => cancelled_job(folder),
        "late-manifest" => late_manifest(folder),
        "foreign-address" => foreign_address(folder),
        "foreign-outage" => foreign_outage(folder),
        "late-report" => late_report(folder),
        "late-order" => late_order(folder),
        _ => {
            eprintln!("no such case: {case}");
            exit(2);
        }
    }
}
