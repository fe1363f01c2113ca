//! Edges: groups of connections of a cluster whose traffic the proxy can disturb.

use std::net::SocketAddr;

use http_types::Method;
use onyxshed_standins::faults::{Mode, NewRoute, SetMode};
use smol_str::{SmolStr, format_smolstr};

use crate::error::{Error, Result};
use crate::remote::send;

use super::Cluster;
use super::hosts::ProcessKind;

/// A group of connections to which the proxy applies the same fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Edge {
    /// From one process of an entry host to the platform.
    PartToPlatform(ProcessKind, SmolStr),
    /// From both processes of an entry host to the platform.
    HostToPlatform(SmolStr),
    /// From all entry hosts of a zone to the platform.
    ZoneToPlatform(SmolStr),
    /// From all entry hosts to one executor.
    Executor(SmolStr),
    /// From all entry hosts to all executors of a zone.
    ExecutorsOfZone(SmolStr),
    /// From a control process to its entry process.
    ControlToEntry(SmolStr),
    /// From all peers to one entry host.
    PeersToHost(SmolStr),
    /// From all peers to all entry hosts of a zone.
    PeersToZone(SmolStr),
    /// Between all entry hosts.
    AllPeers,
}

impl Edge {
    /// Returns the names or patterns of the proxy's routes that belong to the edge.
    fn routes(&self, cluster: &Cluster) -> Vec<SmolStr> {
        let of_zone = |zone: &SmolStr, route: fn(&SmolStr) -> Vec<SmolStr>| {
            let hosts = cluster.hosts.iter();
            let in_zone = hosts.filter(|(_, unit)| unit.zone == *zone);
            in_zone.flat_map(|(name, _)| route(name)).collect()
        };
        match self {
            Edge::PartToPlatform(process_kind, host) => {
                vec![format_smolstr!("platform.{}.{host}", process_kind.as_str())]
            }
            Edge::HostToPlatform(host) => to_platform(host),
            Edge::ZoneToPlatform(zone) => of_zone(zone, to_platform),
            Edge::Executor(name) => vec![format_smolstr!("executor.{name}")],
            Edge::ExecutorsOfZone(zone) => {
                let units = cluster.executors.iter();
                let in_zone = units.filter(|(_, unit)| unit.host.zone.as_str() == zone);
                in_zone
                    .map(|(name, _)| format_smolstr!("executor.{name}"))
                    .collect()
            }
            Edge::ControlToEntry(host) => vec![format_smolstr!("control.{host}")],
            Edge::PeersToHost(host) => to_peer(host),
            Edge::PeersToZone(zone) => of_zone(zone, to_peer),
            Edge::AllPeers => vec![SmolStr::new_static("peer.*")],
        }
    }
}

fn to_platform(host: &SmolStr) -> Vec<SmolStr> {
    vec![
        format_smolstr!("platform.entry.{host}"),
        format_smolstr!("platform.control.{host}"),
    ]
}

fn to_peer(host: &SmolStr) -> Vec<SmolStr> {
    vec![
        format_smolstr!("peer.entry.{host}"),
        format_smolstr!("peer.control.{host}"),
    ]
}

impl Cluster {
    /// Opens a route through the proxy to `to`, or redirects an open route of the same name. Returns
    /// the address where the proxy listens for it.
    pub(super) async fn open_route(&self, name: SmolStr, to: SocketAddr) -> Result<SocketAddr> {
        let control = self.proxy.address("http")?;
        let route = NewRoute { name, to };
        let body = send(control, Method::Post, "/control/routes", &route).await?;
        serde_json::from_slice(&body).map_err(|error| Error::call("open a route", error))
    }

    /// Sets what the proxy does with the connections of an edge.
    ///
    /// # Errors
    ///
    /// Fails if the edge has no connection in this cluster.
    pub async fn set_edge(&self, edge: &Edge, mode: Mode) -> Result<()> {
        let control = self.proxy.address("http")?;
        let command = SetMode {
            routes: edge.routes(self),
            mode,
        };
        if command.routes.is_empty() {
            return Err(Error::unmet(format_smolstr!(
                "the cluster has no connection of the edge {edge:?}"
            )));
        }
        send(control, Method::Post, "/control/mode", &command).await?;
        Ok(())
    }
}
