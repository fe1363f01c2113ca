//! What a soak tells the stand-in of the store, as the operators and the platform would, and the proxy.

use std::net::SocketAddr;

use http_types::Method;
use onyxshed_http::client::call_once;
use onyxshed_proof::Result;
use onyxshed_standins::faults::{Mode, NewRoute, SetMode};
use onyxshed_standins::fleet::store::StoreFaults;
use serde::Serialize;
use serde_json::json;

use super::{CALL_TIMEOUT, Fleet, ROUTE_HOST, ROUTE_PREFIX, unmet};

impl Fleet {
    pub(super) async fn put<T: Serialize>(&self, topic: &str, key: &str, value: &T) -> Result<()> {
        let path = format!("control/put?topic={topic}&key={key}");
        let body = serde_json::to_vec(value).expect("plain JSON");
        self.tell(self.store.address("store")?, &path, body).await
    }

    pub(super) async fn tell(&self, address: SocketAddr, path: &str, body: Vec<u8>) -> Result<()> {
        let reply = call_once(address, Method::Post, path, body, CALL_TIMEOUT).await;
        match reply {
            Ok(reply) if reply.status == 200 => Ok(()),
            Ok(reply) => Err(unmet(path, &format!("status {}", reply.status))),
            Err(error) => Err(unmet(path, &error.to_string())),
        }
    }

    /// Publishes a version of the manifest.
    pub async fn put_manifest(&self, version: u64, objective_ms: u64) -> Result<()> {
        let manifest = json!({
            "version": version,
            "routes": [{"name": "desk", "host": ROUTE_HOST, "path_prefix": ROUTE_PREFIX,
                "type": "non_idempotent", "timeout_ms": 1500, "slo_ms": objective_ms,
                "priority": 0, "service": "desk", "attempts": 2, "stretch": 1.6}],
            "services": [], "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
        });
        self.put("keyed.op", "config", &manifest).await
    }

    /// Evacuates a zone, or restores it.
    pub async fn set_evacuated(&self, zone: &str, is_evacuated: bool) -> Result<()> {
        let path = format!("control/put?topic=keyed.op&key=evacuate/{zone}");
        let body = match is_evacuated {
            true => b"{}".to_vec(),
            false => Vec::new(),
        };
        self.tell(self.store.address("store")?, &path, body).await
    }

    pub(super) async fn route(&self, name: &str, to: SocketAddr) -> Result<SocketAddr> {
        let new = NewRoute {
            name: name.into(),
            to,
        };
        let body = serde_json::to_vec(&new).expect("plain JSON");
        let control = self.proxy.address("http")?;
        let path = "control/routes";
        let reply = call_once(control, Method::Post, path, body, CALL_TIMEOUT).await;
        let reply = reply.map_err(|error| unmet(path, &error.to_string()))?;
        serde_json::from_slice(&reply.body).map_err(|error| unmet(path, &error.to_string()))
    }

    /// Sets what happens on the routes named; a name that ends in '*' stands for all that begin so.
    pub async fn set_mode(&self, routes: &str, mode: Mode) -> Result<()> {
        let command = SetMode {
            routes: vec![routes.into()],
            mode,
        };
        let body = serde_json::to_vec(&command).expect("plain JSON");
        let control = self.proxy.address("http")?;
        self.tell(control, "control/mode", body).await
    }

    /// Sets what the store does wrong.
    pub async fn set_store_faults(&self, faults: &StoreFaults) -> Result<()> {
        let body = serde_json::to_vec(faults).expect("plain JSON");
        let store = self.store.address("store")?;
        self.tell(store, "control/faults", body).await
    }

    /// Lets the store forget its history, or take every partition away.
    pub async fn command_store(&self, what: &str) -> Result<()> {
        let store = self.store.address("store")?;
        self.tell(store, &format!("control/{what}"), Vec::new())
            .await
    }

    /// Gets how often members have joined a group of the store, or stayed in it.
    pub async fn joins(&self) -> Result<u64> {
        let store = self.store.address("store")?;
        let path = "control/joins";
        let reply = call_once(store, Method::Post, path, Vec::new(), CALL_TIMEOUT).await;
        let reply = reply.map_err(|error| unmet(path, &error.to_string()))?;
        serde_json::from_slice(&reply.body).map_err(|error| unmet(path, &error.to_string()))
    }

    /// Lets a member that is no host join a pool's group and leave it again.
    pub async fn pass_through_group(&self, pool: &str) -> Result<()> {
        let store = self.store.address("store")?;
        let joined = json!({ "group": pool, "member": "0", "ttl_ms": 1_000, "generation": 0 });
        let left = json!({ "group": pool, "member": "0" });
        self.tell(store, "log-join", joined.to_string().into_bytes())
            .await?;
        self.tell(store, "log-leave", left.to_string().into_bytes())
            .await
    }
}
