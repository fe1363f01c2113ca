//! Connections of many hosts to one owner.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpListener;
use capnp::capability::Rc as ServerRc;
use futures_lite::future::{self, block_on};
use onyxshed_host::links::PEERS_MAX;
use onyxshed_http::client::with_timeout;
use onyxshed_proto::pool_capnp::pool_port;
use onyxshed_proto::rpc::{self, ConnectionCount};
use rstest::rstest;

/// Number of hosts in the largest deployment that was measured.
const HOSTS: usize = 302;

/// An owner that answers every heartbeat and never ends a job.
#[derive(Default)]
struct Owner {
    /// Shared by the jobs in progress.
    jobs: Rc<()>,
}

impl pool_port::Server for Owner {
    async fn heartbeat(
        self: ServerRc<Self>,
        _params: pool_port::HeartbeatParams,
        mut results: pool_port::HeartbeatResults,
    ) -> capnp::Result<()> {
        results.get().set_is_owner(true);
        Ok(())
    }

    async fn run(
        self: ServerRc<Self>,
        _params: pool_port::RunParams,
        _results: pool_port::RunResults,
    ) -> capnp::Result<()> {
        let _job = self.jobs.clone();
        future::pending().await
    }
}

async fn is_answered(client: &pool_port::Client) -> bool {
    let reply = client.heartbeat_request().send().promise.await;
    reply.is_ok_and(|reply| reply.get().is_ok_and(|reply| reply.get_is_owner()))
}

/// Starts an owner, and returns its address and the number of its connections.
async fn start_owner(executor: &Rc<LocalExecutor<'static>>) -> (SocketAddr, ConnectionCount) {
    serve_owner(executor, Owner::default(), PEERS_MAX).await
}

async fn serve_owner(
    executor: &Rc<LocalExecutor<'static>>,
    owner: Owner,
    connections_max: usize,
) -> (SocketAddr, ConnectionCount) {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    let listener = TcpListener::bind(any)
        .await
        .expect("binding to a free port succeeds");
    let address = listener.local_addr().expect("the listener has an address");
    let owner: pool_port::Client = capnp_rpc::new_client(owner);
    let dropped: rpc::DropReporter = Rc::new(|_| {});
    let count = ConnectionCount::default();
    let serve = rpc::serve(
        listener,
        owner.client,
        executor.clone(),
        connections_max,
        count.clone(),
        dropped,
    );
    executor.spawn(serve).detach();
    (address, count)
}

/// Every host of a large deployment has a link to one owner. With a limit of 256 connections each
/// further link closed the oldest one, whose host then reconnected and closed the next one. Jobs
/// that were submitted on a closed link were lost.
#[test]
fn owner_keeps_links_of_all_hosts_of_large_deployment() {
    let executor: Rc<LocalExecutor<'static>> = Rc::new(LocalExecutor::new());
    let serving = executor.clone();
    block_on(executor.run(async move {
        let (address, _) = start_owner(&serving).await;
        let mut links = Vec::new();
        for _ in 0..HOSTS {
            let link = rpc::connect::<pool_port::Client>(address, &serving)
                .await
                .expect("the owner accepts the connection");
            assert!(is_answered(&link.client).await);
            links.push(link);
        }
        let mut kept = 0;
        for link in &links {
            kept += usize::from(is_answered(&link.client).await);
        }
        assert_eq!(kept, HOSTS);
    }));
}

/// Guards against links that are given up, and whose connections stay open until the process ends.
#[test]
fn dropped_link_closes_its_connection() {
    let executor: Rc<LocalExecutor<'static>> = Rc::new(LocalExecutor::new());
    let serving = executor.clone();
    block_on(executor.run(async move {
        let (address, count) = start_owner(&serving).await;
        let link = rpc::connect::<pool_port::Client>(address, &serving)
            .await
            .expect("the owner accepts the connection");
        assert!(is_answered(&link.client).await);
        assert_eq!(count.get(), 1);
        drop(link);
        let closed = async {
            while count.get() > 0 {
                Timer::after(Duration::from_millis(5)).await;
            }
        };
        let closed = with_timeout(Duration::from_secs(5), closed).await;
        assert!(closed.is_some(), "the connection is open after 5 s");
    }));
}

/// How the connection of a host ends while its job runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The host closes it.
    ByHost,
    /// The owner closes it in favour of a new connection.
    ByOwner,
}

/// Guards against jobs that an owner keeps after the end of the connection on which they were submitted.
#[rstest]
#[case::by_host(End::ByHost)]
#[case::by_owner(End::ByOwner)]
fn job_ends_with_its_connection(#[case] end: End) {
    let executor: Rc<LocalExecutor<'static>> = Rc::new(LocalExecutor::new());
    let serving = executor.clone();
    block_on(executor.run(async move {
        let owner = Owner::default();
        let jobs = Rc::downgrade(&owner.jobs);
        let (address, _) = serve_owner(&serving, owner, 1).await;
        let link = rpc::connect::<pool_port::Client>(address, &serving)
            .await
            .expect("the owner accepts the connection");
        let run = link.client.run_request().send().promise;
        let wait_for_jobs = async |count: usize| {
            let reached = async {
                // The owner itself holds one reference.
                while jobs.strong_count() != count + 1 {
                    Timer::after(Duration::from_millis(5)).await;
                }
            };
            with_timeout(Duration::from_secs(5), reached).await
        };
        assert!(wait_for_jobs(1).await.is_some(), "the job begins");
        let _kept = match end {
            End::ByHost => {
                drop(link);
                None
            }
            End::ByOwner => {
                let next = rpc::connect::<pool_port::Client>(address, &serving).await;
                let next = next.expect("the owner accepts the connection");
                assert!(is_answered(&next.client).await);
                let reply = with_timeout(Duration::from_secs(5), run).await;
                assert!(
                    reply.is_some_and(|reply| reply.is_err()),
                    "the host notices"
                );
                Some((link, next))
            }
        };
        assert!(wait_for_jobs(0).await.is_some(), "the job runs after 5 s");
    }));
}
