//! Forwards requests to the entry host that holds their submission.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_types::Method;
use onyxshed_core::SubmissionId;
use onyxshed_dispatch::output::ForwardedCall;
use onyxshed_dispatch::{Input, RequestId};
use onyxshed_http::ClientOptions;
use onyxshed_kernel::{Descriptor, Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_wire::caller::{Answer, FORWARDED_HEADER, JOBS_PATH};
use smol_str::SmolStr;

use crate::engine::Engine;
use crate::names::{ENGINE, PEERS};
use onyxshed_http::connections::{ConnectionPool, ReusePolicy};

/// How long a peer may take to answer. After that, the caller gets the answer that the peer can't
/// be reached.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout of opening a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum time since the last answer on a connection to a peer that is reused.
const REUSE_WITHIN: Duration = Duration::from_secs(2);

/// Maximum number of idle connections kept to one peer.
const IDLE_MAX: usize = 32;

/// Handle to the connections to peers.
pub struct Peers {
    kernel: Kernel,
    pools: RefCell<BTreeMap<SocketAddr, Rc<ConnectionPool>>>,
}

impl Peers {
    /// Creates a handle without connections.
    pub fn new(kernel: &Kernel) -> Rc<Self> {
        Rc::new(Peers {
            kernel: kernel.clone(),
            pools: RefCell::default(),
        })
    }

    /// Forwards a request and reports the peer's answer to the engine. The answer is `None` if the peer's
    /// `address` is not known, or the peer can't be reached.
    pub fn forward(
        self: &Rc<Self>,
        request: RequestId,
        address: Option<SocketAddr>,
        call: ForwardedCall,
    ) {
        let peers = self.clone();
        let forwarding = async move {
            let id = submission_id_of(&call);
            let answer = match address {
                Some(address) => peers.call(address, call).await,
                None => None,
            };
            if let Ok(engine) = peers.kernel.find::<Engine>(ENGINE) {
                engine.handle_input(Input::ForwardEnded {
                    request,
                    id,
                    answer,
                });
            }
        };
        self.kernel.spawn(forwarding).detach();
    }

    /// Calls a peer. Returns `None` if it can't be reached or its answer can't be decoded.
    async fn call(&self, address: SocketAddr, call: ForwardedCall) -> Option<Answer> {
        let pool = self.pool(address);
        let mut connection = pool
            .get(ReusePolicy::AnsweredWithin(REUSE_WITHIN))
            .await
            .ok()?;
        let (method, path, body) = http_request_of(call);
        let headers = [(FORWARDED_HEADER, SmolStr::new_static("1"))];
        let reply = connection
            .call(method, &path, &headers, body, ANSWER_TIMEOUT)
            .await
            .ok()?;
        let answer = Answer::decode(&reply.body).ok()?;
        pool.put(connection);
        Some(answer)
    }

    fn pool(&self, address: SocketAddr) -> Rc<ConnectionPool> {
        let options = ClientOptions {
            connect_timeout: CONNECT_TIMEOUT,
            ..Default::default()
        };
        let mut pools = self.pools.borrow_mut();
        let pool = pools
            .entry(address)
            .or_insert_with(|| Rc::new(ConnectionPool::new(address, options, IDLE_MAX)));
        pool.clone()
    }
}

fn submission_id_of(call: &ForwardedCall) -> SubmissionId {
    match call {
        ForwardedCall::Submit(submission) => submission.submission,
        ForwardedCall::Fetch(id) | ForwardedCall::Cancel(id) => *id,
    }
}

fn http_request_of(call: ForwardedCall) -> (Method, String, Vec<u8>) {
    match call {
        ForwardedCall::Submit(submission) => {
            let body = serde_json::to_vec(&submission).unwrap_or_default();
            (Method::Post, JOBS_PATH.to_owned(), body)
        }
        ForwardedCall::Fetch(id) => (Method::Get, format!("{JOBS_PATH}/{id}"), Vec::new()),
        ForwardedCall::Cancel(id) => (Method::Delete, format!("{JOBS_PATH}/{id}"), Vec::new()),
    }
}

/// The service that registers [`Peers`] with the kernel, so that the engine can forward requests.
pub struct PeerService {
    peers: Rc<Peers>,
}

impl PeerService {
    /// Creates the service; connections to peers are opened when a request is forwarded.
    pub fn new(peers: Rc<Peers>) -> Self {
        PeerService { peers }
    }
}

impl Service for PeerService {
    fn name(&self) -> ServiceName {
        PEERS
    }

    fn dependencies(&self) -> &[ServiceName] {
        &[ENGINE]
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            let descriptor = Descriptor {
                name: PEERS,
                summary: "requests forwarded to peers",
            };
            kernel.register(descriptor, self.peers.clone())
        })
    }
}
