//! Calls to peers. The connection to each peer is kept until a call on it fails.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use onyxshed_core::Revision;
use onyxshed_http::client::with_timeout;
use onyxshed_proto::{gossip, handover, rpc};
use onyxshed_state::Handover;
use onyxshed_state::member::{Gossip, OutgoingGossip};

use super::{PeerConnection, Peers};

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
            self.connections.borrow_mut().remove(&outgoing.to);
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
        let connection = self.connection(outgoing.to).await?;
        let mut request = connection.client.exchange_request();
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
        let connection = self.connection(from).await?;
        let reply = connection
            .client
            .handover_request()
            .send()
            .promise
            .await
            .ok()?;
        let reply = reply.get().ok()?;
        if !reply.has_handover() {
            return None;
        }
        handover::read(reply.get_handover().ok()?).ok()
    }

    async fn connection(&self, address: SocketAddr) -> Option<PeerConnection> {
        if let Some(connection) = self.connections.borrow().get(&address) {
            return Some(connection.clone());
        }
        let connection = rpc::connect(address, &self.kernel.executor()).await.ok()?;
        let connection = Rc::new(connection);
        self.connections
            .borrow_mut()
            .insert(address, connection.clone());
        Some(connection)
    }
}
