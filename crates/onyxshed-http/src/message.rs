//! Requests and replies whose bodies are read in full.

use std::net::SocketAddr;

use http_types::headers::{HeaderValues, RETRY_AFTER};
use http_types::{Method, Response, StatusCode, mime};
use serde::Serialize;
use smol_str::SmolStr;

/// A request as passed to a handler.
#[derive(Debug)]
pub struct Call {
    /// Method, URL and headers; the body has been taken out.
    pub head: http_types::Request,
    /// The request's body.
    pub body: Vec<u8>,
    /// Address of the connection's peer; `None` if it disconnected.
    pub peer_address: Option<SocketAddr>,
}

impl Call {
    /// Returns the HTTP method of the request.
    pub fn method(&self) -> Method {
        self.head.method()
    }

    /// Returns the path of the URL, without the query.
    pub fn path(&self) -> &str {
        self.head.url().path()
    }

    /// Returns the first value of a query parameter, decoded, or `None` if it is absent.
    pub fn query(&self, name: &str) -> Option<SmolStr> {
        let mut pairs = self.head.url().query_pairs();
        pairs
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_ref().into())
    }

    /// Returns a header's last value, or `None` if the header is absent.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head
            .header(name)
            .map(HeaderValues::last)
            .map(|value| value.as_str())
    }
}

/// A reply, as a handler returns it or as the client has received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status; the server sends 500 in place of an invalid one.
    pub status: u16,
    /// Headers: in a handler's reply, those besides the ones that the library adds; in a received
    /// reply, the last value of each.
    pub headers: Vec<(SmolStr, SmolStr)>,
    /// The reply's body.
    pub body: Vec<u8>,
    /// Whether the connection is closed after the reply. In a received reply, whether the peer
    /// announced it.
    pub closes_connection: bool,
}

impl Reply {
    /// Creates a reply with a body of plain bytes.
    pub fn bytes(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Reply {
            status,
            headers: Vec::new(),
            body: body.into(),
            closes_connection: false,
        }
    }

    /// Creates a reply with a JSON body and its content type. Panics if `body` does not serialize.
    pub fn json(status: u16, body: &impl Serialize) -> Self {
        let body = serde_json::to_vec(body).expect("a reply body always serializes to JSON");
        Reply::bytes(status, body).header("content-type", mime::JSON.to_string())
    }

    /// Adds a header. Of several headers of the same name, the server sends only the last.
    pub fn header(mut self, name: impl Into<SmolStr>, value: impl Into<SmolStr>) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Adds a `Retry-After` header, in whole seconds rounded up.
    pub fn retry_after_ms(self, wait_ms: u64) -> Self {
        let wait_s = wait_ms.div_ceil(1_000);
        self.header(RETRY_AFTER.as_str(), smol_str::format_smolstr!("{wait_s}"))
    }

    /// Makes the server close the connection after this reply.
    pub fn connection_close(mut self) -> Self {
        self.closes_connection = true;
        self
    }

    /// Returns a header's last value, or `None` if the header is absent.
    pub fn header_value(&self, name: &str) -> Option<&str> {
        let mut values = self.headers.iter().rev();
        values
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Converts the reply to the library's type; an invalid status becomes 500.
    pub(crate) fn into_response(self) -> Response {
        let status = StatusCode::try_from(self.status).unwrap_or(StatusCode::InternalServerError);
        let mut response = Response::new(status);
        response.set_body(self.body);
        for (name, value) in &self.headers {
            response.insert_header(name.as_str(), value.as_str());
        }
        if self.closes_connection {
            response.insert_header("connection", "close");
        }
        response
    }
}
