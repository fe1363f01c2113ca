//! What the client makes of a platform that answers well, badly or not at all.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use onyxshed_core::{Millis, Offset};
use onyxshed_http::Reply;
use onyxshed_platform::{Error, PlatformClient, PlatformOptions};
use onyxshed_standins::serve::{self, Act, Handler};
use rstest::rstest;

/// Runs a test beside a server that does the same with every request.
fn beside(act: fn() -> Act, test: impl AsyncFnOnce(PlatformClient)) {
    let handler: Handler = Rc::new(move |_| Box::pin(async move { act() }));
    beside_handler(handler, test);
}

fn beside_handler(handler: Handler, test: impl AsyncFnOnce(PlatformClient)) {
    let executor = Rc::new(LocalExecutor::new());
    let life = async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = serve::listen(any).await.expect("an address is free");
        let address = serve::local_address(&listener);
        let _serving = executor.spawn(serve::serve(listener, executor.clone(), handler));
        test(client(address)).await;
    };
    async_io::block_on(executor.run(life));
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
#[case::closed_before_the_answer(|| Act::Close, 5007, true)]
#[case::cut_short(|| Act::CutShort(Reply::bytes(200, "{\"offset\":1}")), 5007, true)]
#[case::not_ours(|| Act::Reply(Reply::bytes(200, "<html>")), 5012, true)]
#[case::gateway_gave_up(|| Act::Reply(Reply::bytes(504, "")), 5006, true)]
#[case::server_fault(|| Act::Reply(Reply::bytes(500, "")), 5006, true)]
#[case::refused(|| Act::Reply(Reply::bytes(413, "")), 5006, false)]
fn an_append_that_may_stand_in_the_log_is_told_from_one_that_does_not(
    #[case] act: fn() -> Act,
    #[case] code: u16,
    #[case] may_have_taken_effect: bool,
) {
    // The append was sent. Whoever asked must not hear "not appended" unless that is proved: the
    // platform may have written the record before the answer was lost on the way.
    beside(act, async |mut client| {
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
fn an_append_that_reached_nobody_had_no_effect() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let error = async_io::block_on(append(&mut client(address))).unwrap_err();
    assert!(matches!(error, Error::Unreachable { .. }), "{error}");
    assert!(!error.may_have_taken_effect());
}

#[test]
fn silence_is_bounded_and_proves_nothing() {
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let options = PlatformOptions {
        timeout: Duration::from_millis(50),
        ..PlatformOptions::default()
    };
    let mut client = PlatformClient::new(silent.local_addr().unwrap(), options);
    let error = async_io::block_on(append(&mut client)).unwrap_err();
    assert!(error.may_have_taken_effect(), "{error}");
}

#[rstest]
#[case::out_of_order(r#"{"oldest":0,"next":9,"records":[{"offset":4,"at_ms":1,"data":"a"},{"offset":3,"at_ms":1,"data":"b"}]}"#)]
#[case::with_a_hole(r#"{"oldest":0,"next":9,"records":[{"offset":3,"at_ms":1,"data":"a"},{"offset":5,"at_ms":1,"data":"b"}]}"#)]
#[case::not_a_page(r#"{"offset":1}"#)]
fn a_page_that_would_lead_a_fold_astray_is_not_taken(#[case] body: &'static str) {
    let handler: Handler =
        Rc::new(move |_| Box::pin(async move { Act::Reply(Reply::bytes(200, body)) }));
    beside_handler(handler, async |mut client| {
        let read = client.read("config", Offset(3), Millis(0)).await;
        assert!(matches!(read, Err(Error::Unreadable { .. })), "{read:?}");
    });
}

#[test]
fn a_broken_connection_is_replaced_by_the_next_call() {
    let calls = Rc::new(Cell::new(0_u32));
    let counted = calls.clone();
    let handler: Handler = Rc::new(move |_| {
        counted.set(counted.get() + 1);
        let act = match counted.get() {
            2 => Act::Close,
            _ => Act::Reply(Reply::bytes(200, "{\"offset\":7}")),
        };
        Box::pin(async move { act })
    });
    beside_handler(handler, async |mut client| {
        assert_eq!(append(&mut client).await, Ok(Offset(7)));
        assert!(append(&mut client).await.is_err());
        assert_eq!(append(&mut client).await, Ok(Offset(7)));
        assert_eq!(calls.get(), 3, "nothing is repeated by the client itself");
    });
}
