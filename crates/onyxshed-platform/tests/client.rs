//! The client's results with a platform that answers, answers with errors or does not answer.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use onyxshed_core::{Millis, Offset};
use onyxshed_http::Reply;
use onyxshed_platform::{Error, PlatformClient, PlatformOptions};
use onyxshed_standins::serve::{self, Handler, ServerAction};
use rstest::rstest;

/// Runs a test with a client of a server that responds to every request with the same action.
fn with_server(action: fn() -> ServerAction, test: impl AsyncFnOnce(PlatformClient)) {
    let handler: Handler = Rc::new(move |_| Box::pin(async move { action() }));
    with_handler(handler, test);
}

/// Runs a test with a client of a server that serves requests with `handler`.
fn with_handler(handler: Handler, test: impl AsyncFnOnce(PlatformClient)) {
    let executor = Rc::new(LocalExecutor::new());
    let run = async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = serve::listen(any).await.expect("an address is free");
        let address = serve::local_address(&listener);
        let _serving = executor.spawn(serve::serve(listener, executor.clone(), handler));
        test(client(address)).await;
    };
    async_io::block_on(executor.run(run));
}

fn client(address: SocketAddr) -> PlatformClient {
    let options = PlatformOptions {
        timeout: Duration::from_secs(60),
        ..PlatformOptions::default()
    };
    PlatformClient::new(address, options)
}

async fn append(client: &mut PlatformClient) -> Result<Offset, Error> {
    client.append("config", b"record".to_vec()).await
}

#[rstest]
#[case::closed_before_the_answer(|| ServerAction::Close, 5007, true)]
#[case::cut_short(|| ServerAction::CutShort(Reply::bytes(200, "{\"offset\":1}")), 5007, true)]
#[case::not_json(|| ServerAction::Reply(Reply::bytes(200, "<html>")), 5012, true)]
#[case::gateway_timeout(|| ServerAction::Reply(Reply::bytes(504, "")), 5006, true)]
#[case::server_error(|| ServerAction::Reply(Reply::bytes(500, "")), 5006, true)]
#[case::refused(|| ServerAction::Reply(Reply::bytes(413, "")), 5006, false)]
fn failed_append_reports_whether_it_may_have_taken_effect(
    #[case] action: fn() -> ServerAction,
    #[case] code: u16,
    #[case] may_have_taken_effect: bool,
) {
    // The append was sent. The error may state that it had no effect only if that is certain: the
    // platform may have written the record before the answer was lost.
    with_server(action, async |mut client| {
        let error = append(&mut client).await.unwrap_err();
        assert_eq!(error.code().number(), code, "{error}");
        assert_eq!(
            error.may_have_taken_effect(),
            may_have_taken_effect,
            "{error}"
        );
    });
}

#[test]
fn append_to_closed_port_has_no_effect() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let error = async_io::block_on(append(&mut client(address))).unwrap_err();
    assert!(matches!(error, Error::Unreachable { .. }), "{error}");
    assert!(!error.may_have_taken_effect());
}

#[test]
fn append_to_unresponsive_platform_times_out_and_may_have_taken_effect() {
    let unresponsive = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let options = PlatformOptions {
        timeout: Duration::from_millis(50),
        ..PlatformOptions::default()
    };
    let mut client = PlatformClient::new(unresponsive.local_addr().unwrap(), options);
    let error = async_io::block_on(append(&mut client)).unwrap_err();
    assert!(error.may_have_taken_effect(), "{error}");
}

/// A fold that applied such a page would skip or reorder records.
#[rstest]
#[case::out_of_order(r#"{"oldest":0,"next":9,"records":[{"offset":4,"at_ms":1,"data":"a"},{"offset":3,"at_ms":1,"data":"b"}]}"#)]
#[case::with_a_gap(r#"{"oldest":0,"next":9,"records":[{"offset":3,"at_ms":1,"data":"a"},{"offset":5,"at_ms":1,"data":"b"}]}"#)]
#[case::not_a_page(r#"{"offset":1}"#)]
fn malformed_page_is_rejected(#[case] body: &'static str) {
    let handler: Handler =
        Rc::new(move |_| Box::pin(async move { ServerAction::Reply(Reply::bytes(200, body)) }));
    with_handler(handler, async |mut client| {
        let read = client.read("config", Offset(3), Millis(0)).await;
        assert!(matches!(read, Err(Error::Unreadable { .. })), "{read:?}");
    });
}

#[test]
fn next_call_replaces_broken_connection() {
    let calls = Rc::new(Cell::new(0_u32));
    let counted = calls.clone();
    let handler: Handler = Rc::new(move |_| {
        counted.set(counted.get() + 1);
        let action = match counted.get() {
            2 => ServerAction::Close,
            _ => ServerAction::Reply(Reply::bytes(200, "{\"offset\":7}")),
        };
        Box::pin(async move { action })
    });
    with_handler(handler, async |mut client| {
        assert_eq!(append(&mut client).await, Ok(Offset(7)));
        assert!(append(&mut client).await.is_err());
        assert_eq!(append(&mut client).await, Ok(Offset(7)));
        assert_eq!(calls.get(), 3, "the client does not retry calls");
    });
}
