//! The stand-in of the platform, served on the test's own thread.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use http_types::Method;
use onyxshed_http::Reply;
use onyxshed_http::client::call_once;
use onyxshed_standins::platform::{Platform, PlatformOptions};
use onyxshed_standins::serve;
use serde_json::Value;

/// A running stand-in.
pub struct Standin {
    pub address: SocketAddr,
}

impl Standin {
    /// Calls a path without a body.
    pub async fn call(&self, method: Method, path: &str) -> Reply {
        self.send(method, path, Vec::new()).await
    }

    /// Posts a body to a control path.
    pub async fn control(&self, path: &str, body: &Value) {
        let reply = self
            .send(Method::Post, path, body.to_string().into_bytes())
            .await;
        assert_eq!(reply.status, 200);
    }

    /// Returns the numbers of calls that the stand-in has counted.
    pub async fn counts(&self) -> Value {
        let reply = self.call(Method::Get, "/control/counts").await;
        serde_json::from_slice(&reply.body).expect("counts are JSON")
    }

    async fn send(&self, method: Method, path: &str, body: Vec<u8>) -> Reply {
        call_once(self.address, method, path, body, Duration::from_secs(60))
            .await
            .expect("the stand-in answers")
    }
}

/// Runs a test with a new stand-in.
pub fn with_platform(test: impl AsyncFnOnce(&Standin)) {
    let executor = Rc::new(LocalExecutor::new());
    let run = async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = serve::listen(any).await.expect("an address is free");
        let standin = Standin {
            address: serve::local_address(&listener),
        };
        let handler = Platform::new(PlatformOptions::default()).handler();
        let _serving = executor.spawn(serve::serve(listener, executor.clone(), handler));
        test(&standin).await;
    };
    async_io::block_on(executor.run(run));
}
