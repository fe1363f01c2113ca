//! Commands of a soak to the stand-in of the store, as operators and the platform send them, and to the
//! proxy.

use std::net::SocketAddr;

use http_types::Method;
use onyxshed_http::client::call_once;
use onyxshed_proof::Result;
use onyxshed_standins::faults::{Mode, NewRoute, SetMode};
use onyxshed_standins::fleet::store::StoreFaults;
use serde::Serialize;
use serde_json::{Value, json};

use super::{CALL_TIMEOUT, Fleet, ROUTE_HOST, ROUTE_PREFIX, unmet};

impl Fleet {
    pub(super) async fn put_record<T: Serialize>(
        &self,
        topic: &str,
        key: &str,
        value: &T,
    ) -> Result<()> {
        let path = format!("control/put?topic={topic}&key={key}");
        let body = serde_json::to_vec(value).expect("the value serializes to JSON");
        self.post_command(self.store.address("store")?, &path, body)
            .await
    }

    pub(super) async fn post_command(
        &self,
        address: SocketAddr,
        path: &str,
        body: Vec<u8>,
    ) -> Result<()> {
        let reply = call_once(address, Method::Post, path, body, CALL_TIMEOUT).await;
        match reply {
            Ok(reply) if reply.status == 200 => Ok(()),
            Ok(reply) => Err(unmet(path, &format!("status {}", reply.status))),
            Err(error) => Err(unmet(path, &error.to_string())),
        }
    }

    /// Publishes version `version` of the manifest, whose only route has the latency objective
    /// `objective_ms`.
    pub async fn put_manifest(&self, version: u64, objective_ms: u64) -> Result<()> {
        let manifest = json!({
            "version": version,
            "routes": [{"name": "desk", "host": ROUTE_HOST, "path_prefix": ROUTE_PREFIX,
                "type": "non_idempotent", "timeout_ms": 1500, "slo_ms": objective_ms,
                "priority": 0, "service": "desk", "attempts": 2, "stretch": 1.6}],
            "services": [], "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
        });
        self.put_record("keyed.op", "config", &manifest).await
    }

    /// Evacuates a zone or restores it, as operators do.
    pub async fn set_evacuated(&self, zone: &str, is_evacuated: bool) -> Result<()> {
        let path = format!("control/put?topic=keyed.op&key=evacuate/{zone}");
        let body = match is_evacuated {
            true => b"{}".to_vec(),
            false => Vec::new(),
        };
        self.post_command(self.store.address("store")?, &path, body)
            .await
    }

    pub(super) async fn open_route(&self, name: &str, to: SocketAddr) -> Result<SocketAddr> {
        let new_route = NewRoute {
            name: name.into(),
            to,
        };
        let body = serde_json::to_vec(&new_route).expect("the value serializes to JSON");
        let control = self.proxy.address("http")?;
        let path = "control/routes";
        let reply = call_once(control, Method::Post, path, body, CALL_TIMEOUT).await;
        let reply = reply.map_err(|error| unmet(path, &error.to_string()))?;
        serde_json::from_slice(&reply.body).map_err(|error| unmet(path, &error.to_string()))
    }

    /// Sets the mode of the proxy's routes that match a name; a name that ends in `*` matches all with that
    /// prefix.
    pub async fn set_mode(&self, routes: &str, mode: Mode) -> Result<()> {
        let command = SetMode {
            routes: vec![routes.into()],
            mode,
        };
        let body = serde_json::to_vec(&command).expect("the value serializes to JSON");
        let control = self.proxy.address("http")?;
        self.post_command(control, "control/mode", body).await
    }

    /// Replaces all faults of the store; the default value of `faults` ends them.
    pub async fn set_store_faults(&self, faults: &StoreFaults) -> Result<()> {
        let body = serde_json::to_vec(faults).expect("the value serializes to JSON");
        let store = self.store.address("store")?;
        self.post_command(store, "control/faults", body).await
    }

    /// Sends a command to the store: `forget` drops its records, `revoke` takes all partitions from their
    /// holders.
    pub async fn command_store(&self, command: &str) -> Result<()> {
        let store = self.store.address("store")?;
        self.post_command(store, &format!("control/{command}"), Vec::new())
            .await
    }

    /// Returns the number of joins and of renewals of memberships in all groups since the store
    /// started.
    pub async fn join_count(&self) -> Result<u64> {
        let store = self.store.address("store")?;
        let path = "control/joins";
        let reply = call_once(store, Method::Post, path, Vec::new(), CALL_TIMEOUT).await;
        let reply = reply.map_err(|error| unmet(path, &error.to_string()))?;
        serde_json::from_slice(&reply.body).map_err(|error| unmet(path, &error.to_string()))
    }

    /// Returns whether a member of a pool's group holds a partition of it, as the store shows.
    pub async fn has_holder(&self, group: &str) -> Result<bool> {
        let store = self.store.address("store")?;
        let path = format!("log-owners?group={group}");
        let reply = call_once(store, Method::Get, &path, Vec::new(), CALL_TIMEOUT).await;
        let reply = reply.map_err(|error| unmet(&path, &error.to_string()))?;
        let owners: Value = serde_json::from_slice(&reply.body)
            .map_err(|error| unmet(&path, &error.to_string()))?;
        let rows = owners["parts"].as_array();
        Ok(rows.is_some_and(|rows| !rows.is_empty()))
    }

    /// Joins a member that is not a host to the group of a pool, and removes it again.
    pub async fn join_and_leave_group(&self, pool: &str) -> Result<()> {
        let store = self.store.address("store")?;
        let join = json!({ "group": pool, "member": "0", "ttl_ms": 1_000, "generation": 0 });
        let leave = json!({ "group": pool, "member": "0" });
        self.post_command(store, "log-join", join.to_string().into_bytes())
            .await?;
        self.post_command(store, "log-leave", leave.to_string().into_bytes())
            .await
    }
}
