//! Connections of many hosts to one owner.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpListener;
use capnp::capability::Rc as ServerRc;
use futures_lite::future::block_on;
use onyxshed_host::links::PEERS_MAX;
use onyxshed_http::client::with_timeout;
use onyxshed_proto::pool_capnp::pool_port;
use onyxshed_proto::rpc::{self, ConnectionCount};

/// Number of hosts in the largest deployment that was measured.
const HOSTS: usize = 302;

/// An owner that answers every heartbeat.
struct Owner;

impl pool_port::Server for Owner {
    async fn heartbeat(
        self: ServerRc<Self>,
        _params: pool_port::HeartbeatParams,
        mut results: pool_port::HeartbeatResults,
    ) -> capnp::Result<()> {
        results.get().set_is_owner(true);
        Ok(())
    }
}

async fn is_answered(client: &pool_port::Client) -> bool {
    let reply = client.heartbeat_request().send().promise.await;
    reply.is_ok_and(|reply| reply.get().is_ok_and(|reply| reply.get_is_owner()))
}

/// Starts an owner, and returns its address and the number of its connections.
async fn start_owner(executor: &Rc<LocalExecutor<'static>>) -> (SocketAddr, ConnectionCount) {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    let listener = TcpListener::bind(any)
        .await
        .expect("binding to a free port succeeds");
    let address = listener.local_addr().expect("the listener has an address");
    let owner: pool_port::Client = capnp_rpc::new_client(Owner);
    let dropped: rpc::DropReporter = Rc::new(|_| {});
    let count = ConnectionCount::default();
    let serve = rpc::serve(
        listener,
        owner.client,
        executor.clone(),
        PEERS_MAX,
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
