//! Requests and replies with their bodies read in full.

use http_types::headers::{HeaderValues, RETRY_AFTER};
use http_types::{Method, Response, StatusCode, mime};
use serde::Serialize;
use smol_str::SmolStr;

/// One request as a handler gets it.
#[derive(Debug)]
pub struct Call {
    /// The request's head.
    pub head: http_types::Request,
    /// Its body.
    pub body: Vec<u8>,
}

impl Call {
    /// Gets the method.
    pub fn method(&self) -> Method {
        self.head.method()
    }

    /// Gets the path.
    pub fn path(&self) -> &str {
        self.head.url().path()
    }

    /// Gets a value of the query.
    pub fn query(&self, name: &str) -> Option<SmolStr> {
        let mut pairs = self.head.url().query_pairs();
        pairs
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_ref().into())
    }

    /// Gets a header's last value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head
            .header(name)
            .map(HeaderValues::last)
            .map(|value| value.as_str())
    }
}

/// One reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// Headers besides those that the library writes.
    pub headers: Vec<(SmolStr, SmolStr)>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection is closed behind it.
    pub is_last: bool,
}

impl Reply {
    /// Makes a reply with a body of plain bytes.
    pub fn bytes(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Reply {
            status,
            headers: Vec::new(),
            body: body.into(),
            is_last: false,
        }
    }

    /// Makes a reply with a JSON body.
    pub fn json(status: u16, body: &impl Serialize) -> Self {
        let body = serde_json::to_vec(body).expect("bodies hold only what JSON can write");
        Reply::bytes(status, body).header("content-type", mime::JSON.to_string())
    }

    /// Adds a header.
    pub fn header(mut self, name: impl Into<SmolStr>, value: impl Into<SmolStr>) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Adds Retry-After, in whole seconds rounded up as the standard has it.
    pub fn retry_after_ms(self, wait_ms: u64) -> Self {
        let wait_s = wait_ms.div_ceil(1_000);
        self.header(RETRY_AFTER.as_str(), smol_str::format_smolstr!("{wait_s}"))
    }

    /// Closes the connection behind the reply.
    pub fn connection_close(mut self) -> Self {
        self.is_last = true;
        self
    }

    /// Gets a header's last value.
    pub fn header_value(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().rev();
        found
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Turns the reply into the library's form.
    pub(crate) fn into_response(self) -> Response {
        let status = StatusCode::try_from(self.status).unwrap_or(StatusCode::InternalServerError);
        let mut response = Response::new(status);
        response.set_body(self.body);
        for (name, value) in &self.headers {
            response.insert_header(name.as_str(), value.as_str());
        }
        if self.is_last {
            response.insert_header("connection", "close");
        }
        response
    }
}
