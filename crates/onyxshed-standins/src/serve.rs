//! The HTTP server of the stand-ins, which can also break connections on purpose.

use std::net::SocketAddr;
use std::pin::Pin;
use std::process::ExitCode;
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_h1::server::{ConnectionStatus, Server};
use async_net::{TcpListener, TcpStream};
use futures_lite::Future;
use futures_lite::io::Cursor;
use http_types::{Body, Request, Response, StatusCode};
use onyxshed_http::{Call, Reply};
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{ListenSnafu, Result};

/// The response to a request: a reply, or a connection that is closed on purpose.
#[derive(Debug)]
pub enum ServerAction {
    /// Sends the reply.
    Reply(Reply),
    /// Closes the connection without a reply.
    Close,
    /// Announces the length of the whole body, sends half of it and closes the connection.
    CutShort(Reply),
}

/// A future that resolves to the [`ServerAction`] for one request.
pub type ActionFuture = Pin<Box<dyn Future<Output = ServerAction>>>;

/// A function that handles the requests of all connections.
pub type Handler = Rc<dyn Fn(Call) -> ActionFuture>;

/// Binds a listener to an address; with port 0, the system selects a free port.
pub async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

/// Accepts connections and answers their requests with `handler`, until the future is dropped.
pub async fn serve(listener: TcpListener, executor: Rc<LocalExecutor<'static>>, handler: Handler) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            executor
                .spawn(serve_connection(stream, handler.clone()))
                .detach();
        }
    }
}

async fn serve_connection(stream: TcpStream, handler: Handler) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let peer_address = stream.peer_addr().ok();
    let mut server = Server::new(stream, |request| {
        handle_request(request, peer_address, handler.clone())
    });
    while let Ok(ConnectionStatus::KeepAlive) = server.accept_one().await {}
}

async fn handle_request(
    mut request: Request,
    peer_address: Option<SocketAddr>,
    handler: Handler,
) -> http_types::Result<Response> {
    let body = request.body_bytes().await?;
    let action = handler(Call {
        head: request,
        body,
        peer_address,
    })
    .await;
    match action {
        ServerAction::Reply(reply) => Ok(complete_response(reply)),
        ServerAction::Close => Err(http_types::Error::from_str(
            StatusCode::InternalServerError,
            "closed on purpose",
        )),
        ServerAction::CutShort(reply) => Ok(truncated_response(reply)),
    }
}

fn complete_response(mut reply: Reply) -> Response {
    let body = std::mem::take(&mut reply.body);
    let mut response = response_head(&reply);
    response.set_body(body);
    response
}

fn truncated_response(mut reply: Reply) -> Response {
    let mut body = std::mem::take(&mut reply.body);
    body.extend_from_slice(b"..");
    let whole_bytes = body.len();
    body.truncate(whole_bytes / 2);
    let mut response = response_head(&reply);
    response.set_body(Body::from_reader(Cursor::new(body), Some(whole_bytes)));
    response.insert_header("connection", "close");
    response
}

fn response_head(reply: &Reply) -> Response {
    let status = StatusCode::try_from(reply.status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    for (name, value) in &reply.headers {
        response.insert_header(name.as_str(), value.as_str());
    }
    response
}

/// Parses the JSON body of a call, or returns a 400 reply with the parse error.
pub fn read_json<T: DeserializeOwned>(body: &[u8]) -> std::result::Result<T, ServerAction> {
    const BAD_REQUEST: u16 = 400;
    serde_json::from_slice(body)
        .map_err(|error| ServerAction::Reply(Reply::bytes(BAD_REQUEST, error.to_string())))
}

/// Returns the 404 reply to a call whose path or method is unknown.
pub fn no_such_path() -> ServerAction {
    const NOT_FOUND: u16 = 404;
    ServerAction::Reply(Reply::bytes(NOT_FOUND, "no such path or method"))
}

/// Returns the address that a listener is bound to.
pub fn local_address(listener: &TcpListener) -> SocketAddr {
    listener
        .local_addr()
        .expect("a bound listener has a local address")
}

/// Runs a stand-in on the current thread; prints on standard error why it could not start.
pub fn main<F>(name: &str, run: impl FnOnce(Rc<LocalExecutor<'static>>) -> F) -> ExitCode
where
    F: Future<Output = Result<()>>,
{
    let executor = Rc::new(LocalExecutor::new());
    match async_io::block_on(executor.run(run(executor.clone()))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {}: {error}", error.code());
            ExitCode::FAILURE
        }
    }
}
