//! A server in the process of a test.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_net::TcpStream;
use futures_lite::AsyncWriteExt;
use onyxshed_core::ResultCode;
use onyxshed_http::client::with_timeout;
use onyxshed_http::server::RefusalReporter;
use onyxshed_http::{Handler, Reply, Server, ServerOptions};

/// Time limit of a test, which only a hang reaches.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a server that rejects with the status and the number of a result code, and tells `reporter` every
/// refusal.
pub async fn start(
    executor: &Rc<LocalExecutor<'static>>,
    options: ServerOptions,
    handler: Handler,
    reporter: RefusalReporter,
) -> SocketAddr {
    let reject = Rc::new(|code: ResultCode| Reply::bytes(code.http_status(), code.to_string()));
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Server::listen(any).await.expect("test setup succeeds");
    let address = listener.local_addr().expect("test setup succeeds");
    let server = Server::new(options, handler, reject).report_refusals(reporter);
    executor
        .spawn(server.run(listener, executor.clone()))
        .detach();
    address
}

/// Runs a test on an executor, which also runs its server.
pub fn run<Test: Future<Output = ()>>(test: impl FnOnce(Rc<LocalExecutor<'static>>) -> Test) {
    let executor = Rc::new(LocalExecutor::new());
    let test = with_timeout(TIMEOUT, test(executor.clone()));
    let finished = async_io::block_on(executor.run(test));
    assert!(finished.is_some(), "the test hangs");
}

/// Connects and sends bytes, of which the server may not read all.
pub async fn send(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let stream = TcpStream::connect(address).await;
    let mut stream = stream.expect("the server accepts");
    // Fails if the server refuses the request before all of it is sent.
    let _ = stream.write_all(bytes).await;
    stream
}
