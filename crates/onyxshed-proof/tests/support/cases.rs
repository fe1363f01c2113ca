//! Named requests, most of them invalid, as raw bytes.

use serde_json::{Value, json};

use crate::raw::After;
use crate::raw::After::{Close, Wait};
use onyxshed_proof::zone;

/// The name of a case, the bytes to send, and what the sender does after them.
pub type Case = (&'static str, Vec<u8>, After);

fn post(headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n{headers}\r\n");
    [head.as_bytes(), body].concat()
}

/// Creates a submission request with this body and its length.
pub fn post_with_length(body: &[u8]) -> Vec<u8> {
    post(&format!("Content-Length: {}\r\n", body.len()), body)
}

fn valid_body() -> Vec<u8> {
    serde_json::to_vec(&zone::job(zone::MAY_RUN_TWICE, b"x"))
        .expect("a submission can be serialized")
}

/// Returns the body of a valid submission in which one field is replaced.
fn body_with(field: &str, value: Value) -> Vec<u8> {
    let mut body: Value =
        serde_json::from_slice(&valid_body()).expect("a submission is valid JSON");
    body[field] = value;
    body.to_string().into_bytes()
}

/// Creates a GET request with the lines `headers` after its `Host` header.
pub fn get(path: &str, headers: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: x\r\n{headers}\r\n").into_bytes()
}

/// Returns requests whose body does not match the length in the head.
pub fn wrong_lengths() -> Vec<Case> {
    let valid = valid_body();
    let len = valid.len();
    let short = format!("Content-Length: {}\r\n", len - 5);
    let long = format!("Content-Length: {}\r\n", len + 5);
    let two = format!("Content-Length: {len}\r\nContent-Length: {}\r\n", len + 1);
    let both = format!("Content-Length: {len}\r\nTransfer-Encoding: chunked\r\n");
    vec![
        ("body too large", post_with_length(&[b' '; 300_000]), Wait),
        (
            "body announced too large",
            post("Content-Length: 99999999999\r\n", b""),
            Wait,
        ),
        ("body cut short", post(&long, &valid), Close),
        ("body late", post(&long, &valid), Wait),
        ("body longer than told", post(&short, &valid), Wait),
        (
            "length no number",
            post("Content-Length: ten\r\n", &valid),
            Wait,
        ),
        ("two lengths", post(&two, &valid), Close),
        ("length and chunks", post(&both, &valid), Wait),
        ("no length", post("", &valid), Wait),
    ]
}

/// Returns requests with chunked bodies or `Expect: 100-continue`, and two requests sent together.
pub fn transfers() -> Vec<Case> {
    let chunked = |rest: &str| {
        let valid = valid_body();
        let size = format!("{:x}\r\n", valid.len());
        let body = [size.as_bytes(), &valid, b"\r\n", rest.as_bytes()].concat();
        post("Transfer-Encoding: chunked\r\n", &body)
    };
    let valid = valid_body();
    let expect = format!(
        "Expect: 100-continue\r\nContent-Length: {}\r\n",
        valid.len()
    );
    let two = [post_with_length(&valid), post_with_length(&valid_body())].concat();
    vec![
        ("chunks", chunked("0\r\n\r\n"), Wait),
        ("chunks without end", chunked(""), Wait),
        ("chunks cut short", chunked("5\r\nab"), Close),
        (
            "chunk size too large",
            chunked("fffffffffffffffff\r\n"),
            Wait,
        ),
        (
            "chunk trailer not ASCII",
            chunked("0\r\nx: \u{e9}\r\n\r\n"),
            Wait,
        ),
        ("chunk trailer in pieces", chunked("0\r\nx: y"), Wait),
        ("body only if wanted", post(&expect, &valid), Close),
        ("two requests at once", two, Wait),
    ]
}

/// Returns requests with a body of the right length that is no valid submission.
pub fn bad_bodies() -> Vec<Case> {
    let nested = |open: &str| post_with_length(open.repeat(12_000).as_bytes());
    let many: Vec<&str> = vec![""; 551];
    let cases: [(&'static str, Vec<u8>); 12] = [
        ("no JSON", post_with_length(b"submit my job, please")),
        ("JSON cut short", post_with_length(&valid_body()[..40])),
        ("deep list", nested("[")),
        ("deep object", nested("{\"a\":")),
        ("not UTF-8", post_with_length(&[0xff, 0xfe, b'{', b'}'])),
        (
            "not UTF-8 in a text",
            post_with_length(b"{\"class\":\"\xc3\x28\"}"),
        ),
        (
            "unknown field",
            post_with_length(&body_with("weight", json!(3))),
        ),
        (
            "id no id",
            post_with_length(&body_with("submission", json!("1234"))),
        ),
        (
            "payload no base64",
            post_with_length(&body_with("tasks", json!(["%"]))),
        ),
        (
            "deadline below zero",
            post_with_length(&body_with("deadline_ms", json!(-1))),
        ),
        ("no task", post_with_length(&body_with("tasks", json!([])))),
        (
            "551 tasks",
            post_with_length(&body_with("tasks", json!(many))),
        ),
    ];
    cases
        .into_iter()
        .map(|(name, bytes)| (name, bytes, Close))
        .collect()
}

/// Returns requests with an invalid head, to which every HTTP port sends the same answers.
pub fn bad_heads() -> Vec<Case> {
    let endless_line = [b"GET / HTTP/1.1\r\nx: ".as_slice(), &[b'a'; 200_000]].concat();
    let endless_lines = format!("GET / HTTP/1.1\r\n{}", "x: y\r\n".repeat(40_000));
    vec![
        (
            "no HTTP",
            b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n".to_vec(),
            Wait,
        ),
        ("nothing", Vec::new(), Close),
        ("head cut short", b"GET / HTTP/1.1\r\nHos".to_vec(), Close),
        ("head late", b"GET / HTTP/1.1\r\nHost".to_vec(), Wait),
        ("head line without end", endless_line, Wait),
        ("head lines without end", endless_lines.into_bytes(), Wait),
        (
            "header not UTF-8",
            get("/", "x: \u{1}\r\n")
                .iter()
                .map(|byte| match byte {
                    1 => 0xff,
                    byte => *byte,
                })
                .collect(),
            Wait,
        ),
        ("header not ASCII", get("/", "x: \u{e9}\r\n"), Wait),
        ("path not ASCII", get("/\u{e9}", ""), Wait),
        ("no host", b"GET / HTTP/1.1\r\n\r\n".to_vec(), Wait),
        (
            "bad host",
            b"GET / HTTP/1.1\r\nHost: [::\r\n\r\n".to_vec(),
            Wait,
        ),
        (
            "old HTTP",
            b"GET / HTTP/1.0\r\nHost: x\r\n\r\n".to_vec(),
            Wait,
        ),
        (
            "unknown method",
            b"BREW / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(),
            Wait,
        ),
        ("unknown path", get("/v2/jobs", ""), Close),
        (
            "upgrade",
            get("/v1/jobs", "Connection: upgrade\r\nUpgrade: h2c\r\n"),
            Close,
        ),
    ]
}

/// Returns requests with an invalid submission id.
pub fn bad_ids() -> Vec<Case> {
    vec![
        ("id of nothing", get("/v1/jobs/", ""), Close),
        (
            "id out of range",
            get("/v1/jobs/8ZZZZZZZZZZZZZZZZZZZZZZZZZ", ""),
            Close,
        ),
        ("id with escapes", get("/v1/jobs/%ff%00", ""), Close),
    ]
}
