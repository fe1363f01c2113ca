//! Calls to peers. The connection to each peer is kept until a call on it fails.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use onyxshed_core::Revision;
use onyxshed_http::client::with_timeout;
use onyxshed_proto::onyxshed_capnp::peer_port;
use onyxshed_proto::{gossip, handover, rpc};
use onyxshed_state::Handover;
use onyxshed_state::member::{Gossip, OutgoingGossip};

use super::Peers;

/// How long a peer may take to answer. A connection over which no answer arrives in this time is
/// dropped, and opened again in the next round.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

impl Peers {
    /// Sends a message to one peer, applies the answer, and fetches the peer's configuration if it is newer
    /// or this host's is incomplete.
    pub(super) async fn send(self: Rc<Self>, outgoing: OutgoingGossip) {
        let answer = with_timeout(CALL_TIMEOUT, self.exchange(&outgoing))
            .await
            .flatten();
        let Some(answer) = answer else {
            self.clients.borrow_mut().remove(&outgoing.to);
            return;
        };
        let peer_revision = answer.from.config_revision;
        self.apply_gossip(&answer);
        if self.is_newer_than_own(peer_revision) || !self.shared_state.is_complete() {
            self.fetch_config(outgoing.to).await;
        }
    }

    fn is_newer_than_own(&self, peer_revision: Revision) -> bool {
        self.shared_state.revision().unwrap_or_default() < peer_revision
    }

    async fn exchange(&self, outgoing: &OutgoingGossip) -> Option<Gossip> {
        let client = self.client(outgoing.to).await?;
        let mut request = client.exchange_request();
        let stamp = self.kernel.clock().stamp();
        gossip::write(&outgoing.gossip, stamp, request.get().init_gossip());
        let reply = request.send().promise.await.ok()?;
        let (answer, hlc) = gossip::read(reply.get().ok()?.get_gossip().ok()?).ok()?;
        self.kernel.clock().observe(hlc);
        Some(answer)
    }

    async fn fetch_config(&self, from: SocketAddr) {
        if let Some(Some(handover)) = with_timeout(CALL_TIMEOUT, self.request_handover(from)).await
        {
            self.shared_state.adopt_handover(handover);
        }
    }

    async fn request_handover(&self, from: SocketAddr) -> Option<Handover> {
        let client = self.client(from).await?;
        let reply = client.handover_request().send().promise.await.ok()?;
        let reply = reply.get().ok()?;
        if !reply.has_handover() {
            return None;
        }
        handover::read(reply.get_handover().ok()?).ok()
    }

    async fn client(&self, address: SocketAddr) -> Option<peer_port::Client> {
        if let Some(client) = self.clients.borrow().get(&address) {
            return Some(client.clone());
        }
        let client: peer_port::Client =
            rpc::connect(address, &self.kernel.executor()).await.ok()?;
        self.clients.borrow_mut().insert(address, client.clone());
        Some(client)
    }
}
