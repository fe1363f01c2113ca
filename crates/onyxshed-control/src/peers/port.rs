//! The Cap'n Proto interface that peers call.

use std::rc::Rc;

use capnp::capability::Rc as ServerRc;
use onyxshed_proto::onyxshed_capnp::peer_port;
use onyxshed_proto::{gossip, handover};

use super::Peers;

/// Answers gossip of peers, and hands the configuration over to peers that request it.
pub struct Port {
    peers: Rc<Peers>,
}

impl Port {
    /// Creates the implementation, which uses the member table and the shared state of `peers`.
    pub fn new(peers: Rc<Peers>) -> Self {
        Port { peers }
    }
}

impl peer_port::Server for Port {
    async fn exchange(
        self: ServerRc<Self>,
        params: peer_port::ExchangeParams,
        mut results: peer_port::ExchangeResults,
    ) -> capnp::Result<()> {
        let (message, hlc) = gossip::read(params.get()?.get_gossip()?)?;
        self.peers.kernel.clock().observe(hlc);
        let Some(answer) = self.peers.apply_gossip(&message) else {
            return Err(capnp::Error::failed(
                "this host has no entry process now".to_owned(),
            ));
        };
        let stamp = self.peers.kernel.clock().stamp();
        gossip::write(&answer, stamp, results.get().init_gossip());
        Ok(())
    }

    async fn handover(
        self: ServerRc<Self>,
        _params: peer_port::HandoverParams,
        mut results: peer_port::HandoverResults,
    ) -> capnp::Result<()> {
        if let Some(current) = self.peers.shared_state.handover() {
            handover::write(&current, results.get().init_handover());
        }
        Ok(())
    }
}
