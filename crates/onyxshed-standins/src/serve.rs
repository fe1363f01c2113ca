//! Serves a stand-in's HTTP: an ordinary server that can also misbehave on purpose.

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

/// What a stand-in does with a request.
#[derive(Debug)]
pub enum Act {
    /// Answers it.
    Reply(Reply),
    /// Closes the connection without an answer.
    Close,
    /// Announces the whole body, sends half of it and closes the connection.
    CutShort(Reply),
}

/// A decision in the making.
pub type PendingAct = Pin<Box<dyn Future<Output = Act>>>;

/// What decides about requests.
pub type Handler = Rc<dyn Fn(Call) -> PendingAct>;

/// Tries to listen on an address; port 0 takes a free one.
pub async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

/// Serves until dropped.
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
    let mut server = Server::new(stream, |request| answer(request, handler.clone()));
    while let Ok(ConnectionStatus::KeepAlive) = server.accept_one().await {}
}

async fn answer(mut request: Request, handler: Handler) -> http_types::Result<Response> {
    let body = request.body_bytes().await?;
    let act = handler(Call {
        head: request,
        body,
    })
    .await;
    match act {
        Act::Reply(reply) => Ok(whole(reply)),
        Act::Close => Err(http_types::Error::from_str(
            StatusCode::InternalServerError,
            "closed on purpose",
        )),
        Act::CutShort(reply) => Ok(cut_short(reply)),
    }
}

fn whole(mut reply: Reply) -> Response {
    let body = std::mem::take(&mut reply.body);
    let mut response = head(&reply);
    response.set_body(body);
    response
}

fn cut_short(mut reply: Reply) -> Response {
    let mut body = std::mem::take(&mut reply.body);
    body.extend_from_slice(b"..");
    let whole_bytes = body.len();
    body.truncate(whole_bytes / 2);
    let mut response = head(&reply);
    response.set_body(Body::from_reader(Cursor::new(body), Some(whole_bytes)));
    response.insert_header("connection", "close");
    response
}

fn head(reply: &Reply) -> Response {
    let status = StatusCode::try_from(reply.status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    for (name, value) in &reply.headers {
        response.insert_header(name.as_str(), value.as_str());
    }
    response
}

/// Reads a control call's JSON body, or makes the answer that says what is wrong with it.
pub fn read_json<T: DeserializeOwned>(body: &[u8]) -> std::result::Result<T, Act> {
    const BAD_REQUEST: u16 = 400;
    serde_json::from_slice(body)
        .map_err(|error| Act::Reply(Reply::bytes(BAD_REQUEST, error.to_string())))
}

/// Makes the answer to a call on a path that does not exist.
pub fn no_such_path() -> Act {
    const NOT_FOUND: u16 = 404;
    Act::Reply(Reply::bytes(NOT_FOUND, "no such path or method"))
}

/// Gets the address that a listener got.
pub fn local_address(listener: &TcpListener) -> SocketAddr {
    listener
        .local_addr()
        .expect("a socket that listens has an address")
}

/// Runs a stand-in on one thread and says on standard error why it could not start.
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
