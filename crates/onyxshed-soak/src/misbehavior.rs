//! The requests of clients that do not behave.

use crate::fleet::{ROUTE_HOST, ROUTE_PREFIX};

/// The largest body that the manifest of a fleet allows.
pub const BODY_MAX_BYTES: usize = 256 << 10;

/// What a client sends before it stops and keeps its connection open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Misbehavior {
    /// Nothing.
    Silence,
    /// A head without its last line.
    UnfinishedHead,
    /// A head of many short header lines, and a body without its last byte.
    ManyHeaders,
    /// A whole job of the largest legal size.
    WholeBody,
    /// A whole job whose description fills a body of the largest legal size.
    WholeSpec,
    /// A whole job of the largest number of tasks that fits into the field.
    ManyTasks,
    /// A whole job of as many tasks as a job may have.
    MostTasks,
    /// A whole job of as many steps as fit into a body.
    ManySteps,
    /// A body of the largest legal size, at once, without its last byte.
    UnfinishedBody,
    /// A body of the largest legal size in pieces, without the last byte.
    UnfinishedPieces,
    /// A body of 60 KiB without its last byte.
    UnfinishedSmallBody,
    /// A body of the largest legal size in chunks of 16 KiB, without the last chunk.
    UnfinishedLargeChunks,
    /// A body of 32 KiB in chunks of one byte, without the last chunk.
    UnfinishedTinyChunks,
    /// A whole body in chunks, and a trailer without its end.
    UnfinishedTrailer,
    /// A body of 4 MiB with its length, without its last byte.
    UnfinishedOverLimit,
    /// A length of 4 MiB, and a quarter of such a body.
    AnnouncedOverLimit,
    /// A length of 1 GiB, and 1 MiB of such a body.
    AnnouncedFarOverLimit,
    /// A quarter of a body of 4 MiB in chunks.
    SentOverLimit,
    /// A whole job, and 1 MiB of further requests behind it.
    Pipelined,
    /// A whole job whose path and request id fill a head, of a route that is not known.
    LongNames,
    /// A whole job with a text of the largest legal size in place of a number.
    TextForNumber,
    /// A head that takes the most memory for its size, and a chunk of 8 KiB without its last byte.
    LargestHead,
    /// Such a head, and a whole job with the largest description, whose task takes 5 s.
    LargestJob,
    /// Requests for the time line whose replies are not read.
    UnreadReplies,
}

/// Number of requests that a client sends behind one another without reading their replies.
const REPEATED: usize = 16;

/// Length of a body far over the limit.
const OVER_LIMIT_BYTES: usize = 4 << 20;

impl Misbehavior {
    /// The kinds of which no job can begin, since no request arrives whole.
    pub const WITHOUT_JOB: [Misbehavior; 12] = [
        Misbehavior::Silence,
        Misbehavior::UnfinishedHead,
        Misbehavior::ManyHeaders,
        Misbehavior::UnfinishedBody,
        Misbehavior::UnfinishedPieces,
        Misbehavior::UnfinishedSmallBody,
        Misbehavior::UnfinishedLargeChunks,
        Misbehavior::UnfinishedTinyChunks,
        Misbehavior::UnfinishedOverLimit,
        Misbehavior::AnnouncedOverLimit,
        Misbehavior::AnnouncedFarOverLimit,
        Misbehavior::SentOverLimit,
    ];

    /// Returns the bytes that the client with this number sends.
    pub fn bytes(self, client: usize) -> Vec<u8> {
        match self {
            Misbehavior::Silence => Vec::new(),
            Misbehavior::UnfinishedHead => {
                let mut unfinished = head(client, "X: ");
                unfinished.truncate(unfinished.len() - 2);
                unfinished.resize(8_000, b'x');
                unfinished
            }
            Misbehavior::ManyHeaders => {
                let lines = "a: b\r\n".repeat(100);
                let headers = format!("{lines}Content-Length: {BODY_MAX_BYTES}\r\n");
                with_body(&head(client, &headers), &vec![b' '; BODY_MAX_BYTES - 1])
            }
            Misbehavior::WholeBody => with_length(client, &padded_job()),
            Misbehavior::WholeSpec => with_length(client, &large_spec()),
            Misbehavior::ManyTasks => with_length(client, &job_of(u16::MAX)),
            Misbehavior::MostTasks => with_length(client, &job_of(TASKS_MAX)),
            Misbehavior::ManySteps => with_length(client, &many_steps()),
            Misbehavior::UnfinishedBody | Misbehavior::UnfinishedPieces => {
                let mut request = with_length(client, &padded_job());
                request.pop();
                request
            }
            Misbehavior::UnfinishedSmallBody => {
                let mut request = with_length(client, &vec![b' '; 60 << 10]);
                request.pop();
                request
            }
            Misbehavior::UnfinishedLargeChunks => chunked(client, BODY_MAX_BYTES, 16 << 10),
            Misbehavior::UnfinishedTinyChunks => chunked(client, 32 << 10, 1),
            Misbehavior::UnfinishedTrailer => {
                let trailer = format!("0\r\nX: {}", "x".repeat(4_000));
                with_body(
                    &chunked(client, BODY_MAX_BYTES, 16 << 10),
                    trailer.as_bytes(),
                )
            }
            Misbehavior::UnfinishedOverLimit => {
                announced(client, OVER_LIMIT_BYTES, OVER_LIMIT_BYTES - 1)
            }
            Misbehavior::AnnouncedOverLimit => {
                announced(client, OVER_LIMIT_BYTES, OVER_LIMIT_BYTES / 4)
            }
            Misbehavior::AnnouncedFarOverLimit => announced(client, 1 << 30, 1 << 20),
            Misbehavior::SentOverLimit => chunked(client, OVER_LIMIT_BYTES / 4, 16 << 10),
            Misbehavior::Pipelined => {
                let job = with_length(client, &padded_job());
                job.repeat((1 << 20) / BODY_MAX_BYTES + 1)
            }
            Misbehavior::LongNames => {
                let path = "<".repeat(5_000);
                let id = "i".repeat(2_000);
                format!("POST /{path} HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\n\r\n")
                    .repeat(REPEATED)
                    .into_bytes()
            }
            Misbehavior::TextForNumber => {
                let start = r#"{"spec":"500","best_effort":true,"phases":[{"count":""#;
                let text = "7".repeat(BODY_MAX_BYTES - start.len() - 4);
                with_length(client, format!("{start}{text}\"}}]}}").as_bytes()).repeat(2)
            }
            Misbehavior::LargestHead => {
                let mut request = largest_head(client, "Transfer-Encoding: chunked\r\n");
                request.extend(b"2000\r\n");
                request.extend([b' '; (8 << 10) - 1]);
                request
            }
            Misbehavior::LargestJob => {
                let body = longest_job();
                let length = format!("Content-Length: {}\r\n", body.len());
                with_body(&largest_head(client, &length), &body)
            }
            Misbehavior::UnreadReplies => {
                let request = b"GET /v1/timeline?limit=100000 HTTP/1.1\r\nHost: x\r\n\r\n";
                request.repeat(REPEATED)
            }
        }
    }

    /// Returns a whole job of the largest legal size in chunks of one byte.
    pub fn tiny_chunks_of_whole_job() -> Vec<u8> {
        let mut request = head(0, "Transfer-Encoding: chunked\r\n");
        for byte in padded_job() {
            request.extend([b'1', b'\r', b'\n', byte, b'\r', b'\n']);
        }
        request.extend(b"0\r\n\r\n");
        request
    }

    /// Returns how many bytes the client sends at once.
    pub fn piece_bytes(self) -> usize {
        match self {
            Misbehavior::UnfinishedPieces => 8 << 10,
            _ => usize::MAX,
        }
    }
}

/// The largest number of tasks in a job.
const TASKS_MAX: u16 = 550;

/// Returns a job whose tasks need little of an executor and take 500 ms.
fn job_of(tasks: u16) -> Vec<u8> {
    let phase = format!(r#"{{"count":{tasks},"cpu":1,"est_runtime_ms":500}}"#);
    format!(r#"{{"spec":"500","best_effort":true,"phases":[{phase}]}}"#).into_bytes()
}

fn head(client: usize, headers: &str) -> Vec<u8> {
    format!(
        "POST {ROUTE_PREFIX}{client:016x} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n\
         X-Onyxshed-Deadline-Ms: 20000\r\n{headers}\r\n"
    )
    .into_bytes()
}

/// Returns a head of some 8 KiB: characters of a URL take three bytes in memory, and each line of a header
/// has an entry of its own.
fn largest_head(client: usize, headers: &str) -> Vec<u8> {
    let query = "<".repeat(4_500);
    let lines: String = (0..100).map(|number| format!("a{number}: b\r\n")).collect();
    format!(
        "POST {ROUTE_PREFIX}{client:016x}?{query} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n\
         X-Onyxshed-Deadline-Ms: 20000\r\n{lines}{headers}\r\n"
    )
    .into_bytes()
}

fn longest_job() -> Vec<u8> {
    let spec = format!("{:0>4000}", 5_000);
    let phase = r#"{"count":1,"cpu":1,"est_runtime_ms":5000}"#;
    format!(r#"{{"spec":"{spec}","best_effort":true,"phases":[{phase}]}}"#).into_bytes()
}

fn with_body(head: &[u8], body: &[u8]) -> Vec<u8> {
    [head, body].concat()
}

fn with_length(client: usize, body: &[u8]) -> Vec<u8> {
    let length = format!("Content-Length: {}\r\n", body.len());
    with_body(&head(client, &length), body)
}

fn announced(client: usize, length: usize, sent: usize) -> Vec<u8> {
    let length = format!("Content-Length: {length}\r\n");
    with_body(&head(client, &length), &vec![b' '; sent])
}

/// Returns a chunked body without its last chunk.
fn chunked(client: usize, body_bytes: usize, chunk_bytes: usize) -> Vec<u8> {
    let mut request = head(client, "Transfer-Encoding: chunked\r\n");
    let size = format!("{chunk_bytes:x}\r\n");
    let chunk = [size.as_bytes(), &vec![b' '; chunk_bytes], b"\r\n"].concat();
    request.extend(chunk.repeat(body_bytes / chunk_bytes));
    request
}

/// Returns a job of the largest legal size: a description of 4,000 bytes, and white space.
fn padded_job() -> Vec<u8> {
    let spec = format!("{:0>4000}", 500);
    let rest = r#","best_effort":true,"phases":[{"count":1,"cpu":1000,"est_runtime_ms":500}]}"#;
    let mut body = format!(r#"{{"spec":"{spec}"{rest}"#).into_bytes();
    body.resize(BODY_MAX_BYTES, b' ');
    body
}

fn large_spec() -> Vec<u8> {
    let rest = r#"","best_effort":true,"phases":[{"count":1,"cpu":1000,"est_runtime_ms":500}]}"#;
    let start = r#"{"spec":""#;
    let spec = "5".repeat(BODY_MAX_BYTES - start.len() - rest.len());
    format!("{start}{spec}{rest}").into_bytes()
}

/// Returns a job of the largest legal size whose steps are as short as the format allows.
fn many_steps() -> Vec<u8> {
    let start = r#"{"spec":"500","best_effort":true,"phases":[[1]"#;
    let count = (BODY_MAX_BYTES - start.len() - 2) / 4;
    format!("{start}{}]}}", ",[1]".repeat(count)).into_bytes()
}
