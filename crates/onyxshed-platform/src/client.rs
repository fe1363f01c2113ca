//! One connection to the platform, opened anew when it breaks.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::Method;
use onyxshed_core::{Millis, Offset};
use onyxshed_http::{ClientOptions, Connection, Reply};
use onyxshed_wire::platform::{AppendReply, HOSTS_PATH, HostList, Page, records_path};

use crate::error::{Error, Result};

/// Limits of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformOptions {
    /// How long a call may take beyond the time it was told to wait. Default 2 s.
    pub timeout: Duration,
    /// How recently the connection must have answered to carry an append; else it is opened anew,
    /// so that no append vanishes in a connection that has gone silent. Default 2 s.
    pub proven_within: Duration,
    /// Limits of the connection.
    pub client: ClientOptions,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        PlatformOptions {
            timeout: Duration::from_secs(2),
            proven_within: Duration::from_secs(2),
            client: ClientOptions {
                reply_max_bytes: 16 << 20,
                ..ClientOptions::default()
            },
        }
    }
}

/// Client of the platform, for one call at a time.
#[derive(Debug)]
pub struct PlatformClient {
    address: SocketAddr,
    options: PlatformOptions,
    connection: Option<Connection>,
}

impl PlatformClient {
    /// Makes a client; nothing is opened yet.
    pub fn new(address: SocketAddr, options: PlatformOptions) -> Self {
        PlatformClient {
            address,
            options,
            connection: None,
        }
    }

    /// Tries to append a record to a stream and gets where it stands.
    pub async fn append(&mut self, stream: &str, data: Vec<u8>) -> Result<Offset> {
        let timeout = self.options.timeout;
        let reply = self
            .call(Method::Post, &records_path(stream), data, timeout)
            .await?;
        Ok(AppendReply::decode(&reply.body).map_err(unreadable)?.offset)
    }

    /// Tries to read a stream's records from an offset on, waiting up to `wait` for the first.
    pub async fn read(&mut self, stream: &str, from: Offset, wait: Millis) -> Result<Page> {
        let path = format!("{}?from={from}&wait_ms={}", records_path(stream), wait.0);
        let timeout = self.options.timeout + Duration::from(wait);
        let reply = self.call(Method::Get, &path, Vec::new(), timeout).await?;
        Page::decode(&reply.body).map_err(unreadable)
    }

    /// Tries to get the list of hosts.
    pub async fn hosts(&mut self) -> Result<HostList> {
        let timeout = self.options.timeout;
        let reply = self
            .call(Method::Get, HOSTS_PATH, Vec::new(), timeout)
            .await?;
        HostList::decode(&reply.body).map_err(unreadable)
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

    /// Takes the connection if it is of use, or opens one.
    async fn connect(&mut self) -> Result<Connection> {
        if let Some(connection) = self.connection.take() {
            let is_proven = connection.time_since_reply() <= self.options.proven_within;
            if is_proven && connection.is_open().await {
                return Ok(connection);
            }
        }
        Ok(Connection::open(self.address, self.options.client).await?)
    }
}

fn unreadable(error: onyxshed_wire::Error) -> Error {
    Error::Unreadable {
        reason: error.to_string().into(),
    }
}
