//! Sends the example requests of docs/CALLERS.md to a real entry host and compares the answers with the
//! examples.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};

use async_io::block_on;
use http_types::Method;
use onyxshed_core::{Event, EventKind};
use onyxshed_http::Reply;
use onyxshed_http::client::call_once;
use onyxshed_proof::cluster::{Cluster, ClusterOptions, ProcessKind};
use onyxshed_proof::remote::WAIT_TIMEOUT;
use onyxshed_proof::zone;
use serde_json::Value;
use ulid::Ulid;

/// Prefix of the submission ids on the page that are replaced by new ids.
const ULID_PREFIX: &str = "01JZ";

/// The incarnation on the page, which is replaced by the entry host's incarnation.
const PAGE_INCARNATION: &str = "3f1c0a52d9e4b768";

/// A fenced block of the page with an example request or answer.
#[derive(Debug, PartialEq, Eq)]
struct Block {
    is_request: bool,
    /// Word that is shared by a request and an answer that does not directly follow this request;
    /// empty for other blocks.
    tag: String,
    text: String,
}

fn blocks(page: &str) -> Vec<Block> {
    let fenced = page.split("```http ").skip(1);
    let texts = fenced.map(|rest| rest.split("```").next().unwrap_or_default());
    texts
        .map(|text| {
            let (info, text) = text.split_once('\n').unwrap_or_default();
            let mut words = info.split(' ');
            Block {
                is_request: words.next() == Some("request"),
                tag: words.next().unwrap_or_default().to_owned(),
                text: text.trim_end().to_owned(),
            }
        })
        .collect()
}

/// Ids on the page and the ids that replace them in this run.
struct Substitutions {
    by_page_text: BTreeMap<String, String>,
}

impl Substitutions {
    fn new(page: &str, incarnation: String) -> Self {
        let mut by_page_text = BTreeMap::from([(PAGE_INCARNATION.to_owned(), incarnation)]);
        for (at, _) in page.match_indices(ULID_PREFIX) {
            let id = page[at..][..Ulid::nil().to_string().len()].to_owned();
            by_page_text
                .entry(id)
                .or_insert_with(|| Ulid::generate().to_string());
        }
        Substitutions { by_page_text }
    }

    fn to_run(&self, text: &str) -> String {
        let replace = |text: String, (page, run): (&String, &String)| text.replace(page, run);
        self.by_page_text.iter().fold(text.to_owned(), replace)
    }

    fn to_page(&self, text: &str) -> String {
        let replace = |text: String, (page, run): (&String, &String)| text.replace(run, page);
        self.by_page_text.iter().fold(text.to_owned(), replace)
    }
}

fn send(address: SocketAddr, text: String) -> JoinHandle<Reply> {
    thread::spawn(move || {
        let (line, body) = text.split_once("\n\n").unwrap_or((&text, ""));
        let (method, path) = line
            .split_once(' ')
            .expect("the example has a method and a path");
        let method: Method = method.parse().expect("the method is valid");
        let body = body.as_bytes().to_vec();
        block_on(call_once(address, method, path, body, WAIT_TIMEOUT))
            .expect("the request is answered")
    })
}

/// Replaces the retry delay, which depends on the load, by a fixed text if the answer contains one.
fn mask_retry_after(mut answer: Value) -> Value {
    if let Some(wait) = answer.get_mut("retry_after_ms") {
        *wait = "some".into();
    }
    answer
}

fn check(expected: &str, reply: &Reply, substitutions: &Substitutions) {
    let (head, body) = expected
        .split_once("\n\n")
        .expect("the example has a head and a body");
    assert!(
        head.starts_with(&reply.status.to_string()),
        "{expected}\n{reply:?}"
    );
    let has_wait = reply.header_value("retry-after").is_some();
    assert_eq!(head.contains("Retry-After"), has_wait, "{expected}");
    let found = substitutions.to_page(&String::from_utf8_lossy(&reply.body));
    let found: Value = serde_json::from_str(&found).expect("JSON");
    let expected: Value = serde_json::from_str(body).expect("the example body is JSON");
    assert_eq!(mask_retry_after(found), mask_retry_after(expected));
}

/// Waits until a task of the job that `request` submits, whose answer is still outstanding, has
/// finished.
fn wait_for_first_result(cluster: &mut Cluster, request: &str) {
    let is_task_finished = |event: &Event| {
        let id = event.submission.map(|id| id.ulid.to_string());
        event.kind == EventKind::TaskFinished && id.is_some_and(|id| request.contains(&id))
    };
    let has_result = async || {
        let page = zone::timeline(cluster, "a1", ProcessKind::Entry).await;
        page.events.iter().any(is_task_finished)
    };
    block_on(zone::wait_until("a task has run", has_result));
}

fn incarnation(address: SocketAddr) -> String {
    let path = format!("/v1/jobs/{}", Ulid::generate());
    let reply = send(address, format!("GET {path}"))
        .join()
        .expect("the sending thread does not panic");
    let answer: Value = serde_json::from_slice(&reply.body).expect("JSON");
    answer["bind_to"]
        .as_str()
        .expect("the answer contains an incarnation")
        .to_owned()
}

#[test]
fn examples_of_callers_page_match_real_answers() {
    let page = include_str!("../../../docs/CALLERS.md");
    let mut cluster = block_on(zone::start(1, ClusterOptions::default()));
    let address = zone::caller_address(&mut cluster, "a1");
    block_on(zone::run_one_job(address, zone::AT_MOST_ONCE));
    let substitutions = Substitutions::new(page, incarnation(address));
    let mut pending: BTreeMap<String, JoinHandle<Reply>> = BTreeMap::new();
    let mut answered = 0;
    for block in blocks(page) {
        if block.is_request {
            let request = substitutions.to_run(&block.text);
            let sent = send(address, request.clone());
            if !block.tag.is_empty() {
                wait_for_first_result(&mut cluster, &request);
            }
            assert!(
                pending.insert(block.tag, sent).is_none(),
                "a request on the page has no answer"
            );
        } else {
            let sent = pending
                .remove(&block.tag)
                .expect("the request precedes the answer on the page");
            check(
                &block.text,
                &sent.join().expect("the sending thread does not panic"),
                &substitutions,
            );
            answered += 1;
        }
    }
    assert!(pending.is_empty());
    assert!(answered > 10, "only {answered} examples on the page");
}
