//! The proxy's routes, and the address where tests command it.

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
use crate::serve::{Act, Handler, listen, local_address, no_such_path, read_json};

use super::mode::{Mode, NewRoute, SetMode};
use super::route::Route;

const OK: u16 = 200;
const NOT_FOUND: u16 = 404;
const UNAVAILABLE: u16 = 503;

/// A route as `GET /control/routes` shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteView {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its mode.
    #[serde(flatten)]
    pub mode: Mode,
    /// Connections so far.
    pub connections: u64,
}

/// All routes of one process.
#[derive(Clone)]
pub struct Proxy {
    executor: Rc<LocalExecutor<'static>>,
    routes: Rc<RefCell<BTreeMap<SmolStr, Rc<Route>>>>,
}

impl Proxy {
    /// Makes a proxy without routes.
    pub fn new(executor: Rc<LocalExecutor<'static>>) -> Self {
        Proxy {
            executor,
            routes: Rc::default(),
        }
    }

    /// Opens a route, or leads an open one elsewhere; gets where it listens.
    pub async fn open(&self, listen_on: SocketAddr, new: NewRoute) -> Result<SocketAddr> {
        if let Some(route) = self.routes.borrow().get(&new.name) {
            route.set_target(new.to);
            return Ok(route.address());
        }
        let listener = listen(listen_on).await?;
        let address = local_address(&listener);
        let route = Rc::new(Route::new(address, new.to));
        let serving = route.clone().run(listener, self.executor.clone());
        self.executor.spawn(serving).detach();
        self.routes.borrow_mut().insert(new.name, route);
        Ok(address)
    }

    /// Gets what answers commands.
    pub fn handler(&self) -> Handler {
        let proxy = self.clone();
        Rc::new(move |call| {
            let proxy = proxy.clone();
            Box::pin(async move { proxy.answer(call).await })
        })
    }

    async fn answer(&self, call: Call) -> Act {
        match (call.method(), call.path()) {
            (Method::Get, "/control/routes") => self.view(),
            (Method::Post, "/control/routes") => match read_json(&call.body) {
                Ok(new) => self.open_free(new).await,
                Err(act) => act,
            },
            (Method::Post, "/control/mode") => match read_json(&call.body) {
                Ok(command) => self.set_mode(&command),
                Err(act) => act,
            },
            _ => no_such_path(),
        }
    }

    async fn open_free(&self, new: NewRoute) -> Act {
        match self.open(([127, 0, 0, 1], 0).into(), new).await {
            Ok(address) => Act::Reply(Reply::json(OK, &address)),
            Err(error) => Act::Reply(Reply::bytes(UNAVAILABLE, error.to_string())),
        }
    }

    /// Sets the mode of all routes named; a name that fits none is an error.
    fn set_mode(&self, command: &SetMode) -> Act {
        let routes = self.routes.borrow();
        for pattern in &command.routes {
            let mut fitting = routes.iter().filter(|(name, _)| fits(pattern, name));
            let Some(first) = fitting.next() else {
                return Act::Reply(Reply::bytes(NOT_FOUND, format!("no route {pattern}")));
            };
            for (_, route) in std::iter::once(first).chain(fitting) {
                route.set_mode(command.mode);
            }
        }
        Act::Reply(Reply::bytes(OK, ""))
    }

    fn view(&self) -> Act {
        let routes = self.routes.borrow();
        let views: BTreeMap<&SmolStr, RouteView> = routes
            .iter()
            .map(|(name, route)| (name, view_of(route)))
            .collect();
        Act::Reply(Reply::json(OK, &views))
    }
}

fn view_of(route: &Route) -> RouteView {
    RouteView {
        address: route.address(),
        mode: route.mode(),
        connections: route.connections(),
    }
}

fn fits(pattern: &str, name: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(start) => name.starts_with(start),
        None => pattern == name,
    }
}
