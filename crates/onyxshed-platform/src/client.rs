//! Client of the platform over one connection, which is replaced after a failure, or if its last
//! reply is too old.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::Method;
use onyxshed_core::{Millis, Offset};
use onyxshed_http::{ClientOptions, Connection, Reply};
use onyxshed_wire::platform::{AppendReply, HOSTS_PATH, HostList, Page, records_path};

use crate::error::{Error, Result};

/// Time limits of a [`PlatformClient`]'s calls, and limits of its HTTP connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformOptions {
    /// Maximum duration of a call beyond the time for which it asks the platform to wait. Default 2 s.
    pub timeout: Duration,
    /// Maximum time since the last reply on a connection that is reused. Any other connection is
    /// replaced by a new one, so that no append is lost on a connection that has become
    /// unresponsive. Default 2 s.
    pub reuse_within: Duration,
    /// Limits of the HTTP connection; replies of up to 16 MiB are accepted by default.
    pub client: ClientOptions,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        PlatformOptions {
            timeout: Duration::from_secs(2),
            reuse_within: Duration::from_secs(2),
            client: ClientOptions {
                reply_max_bytes: 16 << 20,
                ..ClientOptions::default()
            },
        }
    }
}

/// Client of the platform, which makes one call at a time.
#[derive(Debug)]
pub struct PlatformClient {
    address: SocketAddr,
    options: PlatformOptions,
    connection: Option<Connection>,
}

impl PlatformClient {
    /// Creates a client of the platform at `address`; opens no connection.
    pub fn new(address: SocketAddr, options: PlatformOptions) -> Self {
        PlatformClient {
            address,
            options,
            connection: None,
        }
    }

    /// Appends a record to a stream and returns its offset.
    pub async fn append(&mut self, stream: &str, data: Vec<u8>) -> Result<Offset> {
        let timeout = self.options.timeout;
        let reply = self
            .call(Method::Post, &records_path(stream), data, timeout)
            .await?;
        Ok(AppendReply::decode(&reply.body)
            .map_err(decode_error)?
            .offset)
    }

    /// Reads a stream's records from the offset `from`; waits up to `wait` for the first one.
    pub async fn read(&mut self, stream: &str, from: Offset, wait: Millis) -> Result<Page> {
        let path = format!("{}?from={from}&wait_ms={}", records_path(stream), wait.0);
        let timeout = self.options.timeout + Duration::from(wait);
        let reply = self.call(Method::Get, &path, Vec::new(), timeout).await?;
        Page::decode(&reply.body).map_err(decode_error)
    }

    /// Reads the platform's list of hosts, which states its age.
    pub async fn hosts(&mut self) -> Result<HostList> {
        let timeout = self.options.timeout;
        let reply = self
            .call(Method::Get, HOSTS_PATH, Vec::new(), timeout)
            .await?;
        HostList::decode(&reply.body).map_err(decode_error)
    }

    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Reply> {
        let mut connection = self.connect().await?;
        let reply = connection.call(method, path, &[], body, timeout).await?;
        self.connection = Some(connection);
        match reply.status {
            200..300 => Ok(reply),
            status => Err(Error::Refused { status }),
        }
    }

    /// Takes the connection out of the client if it is open and has had a reply within
    /// `reuse_within`, and opens a new one otherwise.
    async fn connect(&mut self) -> Result<Connection> {
        if let Some(connection) = self.connection.take() {
            let is_recent = connection.time_since_reply() <= self.options.reuse_within;
            if is_recent && connection.is_open().await {
                return Ok(connection);
            }
        }
        Ok(Connection::open(self.address, self.options.client).await?)
    }
}

fn decode_error(error: onyxshed_wire::Error) -> Error {
    Error::Unreadable {
        reason: error.to_string().into(),
    }
}
