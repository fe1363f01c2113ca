//! The routes of the proxy, and the HTTP interface by which tests add routes and set their modes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use async_executor::LocalExecutor;
use http_types::Method;
use onyxshed_http::{Call, Reply};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::error::Result;
use crate::serve::{Handler, ServerAction, listen, local_address, no_such_path, read_json};

use super::mode::{Mode, NewRoute, SetMode};
use super::route::Route;

const OK: u16 = 200;
const NOT_FOUND: u16 = 404;
const UNAVAILABLE: u16 = 503;

/// The state of a route as `GET /control/routes` returns it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteView {
    /// The address that the route listens on.
    pub address: SocketAddr,
    /// The mode in force.
    #[serde(flatten)]
    pub mode: Mode,
    /// The number of connections accepted since the route was opened.
    pub connections: u64,
}

/// The routes of one proxy process, by name; clones share them.
#[derive(Clone)]
pub struct Proxy {
    executor: Rc<LocalExecutor<'static>>,
    routes: Rc<RefCell<BTreeMap<SmolStr, Rc<Route>>>>,
}

impl Proxy {
    /// Creates a proxy without routes.
    pub fn new(executor: Rc<LocalExecutor<'static>>) -> Self {
        Proxy {
            executor,
            routes: Rc::default(),
        }
    }

    /// Opens a route, or changes the target of the open route of that name; returns the address that the
    /// route listens on.
    pub async fn open_route(&self, listen_on: SocketAddr, new: NewRoute) -> Result<SocketAddr> {
        if let Some(route) = self.routes.borrow().get(&new.name) {
            route.set_target(new.to);
            return Ok(route.address());
        }
        let listener = listen(listen_on).await?;
        let address = local_address(&listener);
        let route = Rc::new(Route::new(address, new.to));
        let server = route.clone().run(listener, self.executor.clone());
        self.executor.spawn(server).detach();
        self.routes.borrow_mut().insert(new.name, route);
        Ok(address)
    }

    /// Returns the HTTP handler of the commands under `/control/`.
    pub fn handler(&self) -> Handler {
        let proxy = self.clone();
        Rc::new(move |call| {
            let proxy = proxy.clone();
            Box::pin(async move { proxy.handle(call).await })
        })
    }

    async fn handle(&self, call: Call) -> ServerAction {
        match (call.method(), call.path()) {
            (Method::Get, "/control/routes") => self.list_routes(),
            (Method::Post, "/control/routes") => match read_json(&call.body) {
                Ok(new) => self.open_on_free_port(new).await,
                Err(action) => action,
            },
            (Method::Post, "/control/mode") => match read_json(&call.body) {
                Ok(command) => self.set_mode(&command),
                Err(action) => action,
            },
            _ => no_such_path(),
        }
    }

    async fn open_on_free_port(&self, new: NewRoute) -> ServerAction {
        match self.open_route(([127, 0, 0, 1], 0).into(), new).await {
            Ok(address) => ServerAction::Reply(Reply::json(OK, &address)),
            Err(error) => ServerAction::Reply(Reply::bytes(UNAVAILABLE, error.to_string())),
        }
    }

    /// Sets the mode of all routes that match the command's patterns; replies 404 at the first pattern
    /// without a match.
    fn set_mode(&self, command: &SetMode) -> ServerAction {
        let routes = self.routes.borrow();
        for pattern in &command.routes {
            let mut matching = routes
                .iter()
                .filter(|(name, _)| matches_pattern(pattern, name));
            let Some(first) = matching.next() else {
                return ServerAction::Reply(Reply::bytes(NOT_FOUND, format!("no route {pattern}")));
            };
            for (_, route) in std::iter::once(first).chain(matching) {
                route.set_mode(command.mode);
            }
        }
        ServerAction::Reply(Reply::bytes(OK, ""))
    }

    fn list_routes(&self) -> ServerAction {
        let routes = self.routes.borrow();
        let views: BTreeMap<&SmolStr, RouteView> = routes
            .iter()
            .map(|(name, route)| (name, route_view(route)))
            .collect();
        ServerAction::Reply(Reply::json(OK, &views))
    }
}

fn route_view(route: &Route) -> RouteView {
    RouteView {
        address: route.address(),
        mode: route.mode(),
        connections: route.connections(),
    }
}

fn matches_pattern(pattern: &str, name: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(prefix) => name.starts_with(prefix),
        None => pattern == name,
    }
}
