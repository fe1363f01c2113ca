//! What identifies a caller.

use http_types::{Method, Request, Url};
use onyxshed_core::CallerId;
use onyxshed_http::{Call, CallerIdentity};
use rstest::rstest;

fn call(address: Option<&str>, tenant: Option<&str>) -> Call {
    let url = Url::parse("http://host/jobs").expect("a valid URL");
    let mut head = Request::new(Method::Post, url);
    if let Some(tenant) = tenant {
        head.insert_header("x-tenant", tenant);
    }
    Call {
        head,
        body: Vec::new(),
        peer_address: address.map(|text| text.parse().expect("a socket address")),
    }
}

#[rstest]
#[case("address", Some("10.0.0.1:1"), Some("10.0.0.1:2"), true)]
#[case("address", Some("10.0.0.1:1"), Some("10.0.0.2:1"), false)]
#[case("header:x-tenant", Some("10.0.0.1:1"), Some("10.0.0.2:1"), true)]
fn callers_are_told_apart(
    #[case] identity: CallerIdentity,
    #[case] one: Option<&str>,
    #[case] other: Option<&str>,
    #[case] is_same: bool,
) {
    let caller = |address| identity.caller_of(&call(address, Some("a")));
    assert_eq!(caller(one) == caller(other), is_same);
    assert_ne!(caller(one), CallerId::UNKNOWN);
    assert_eq!(identity.caller_of(&call(None, None)), CallerId::UNKNOWN);
    assert_eq!(identity.to_string().parse(), Ok(identity));
}

#[rstest]
fn other_texts_are_refused(#[values("", "header:", "header:a b", "cookie")] text: &str) {
    assert!(text.parse::<CallerIdentity>().is_err());
}
