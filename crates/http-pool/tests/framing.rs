//! How answers are delimited, by status, method and headers.

#![allow(clippy::unwrap_used, reason = "a test that has nothing fails")]

use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use nutmegsail_http_pool::Framing;
use rstest::rstest;

#[rstest]
#[case::length("GET", 200, &["content-length: 8"], Framing::Length)]
#[case::chunks("POST", 200, &["transfer-encoding: chunked"], Framing::Chunked)]
#[case::chunks_go_before_a_length("POST", 200, &["content-length: 8", "transfer-encoding: chunked"], Framing::Chunked)]
#[case::chunks_last("POST", 200, &["transfer-encoding: gzip, Chunked"], Framing::Chunked)]
#[case::chunks_last_in_a_second_header("POST", 200, &["transfer-encoding: gzip", "transfer-encoding: chunked"], Framing::Chunked)]
#[case::another_encoding_last("POST", 200, &["transfer-encoding: chunked, gzip"], Framing::Close)]
#[case::neither("POST", 200, &[], Framing::Close)]
#[case::an_error_with_neither("POST", 500, &[], Framing::Close)]
#[case::head("HEAD", 200, &["content-length: 8"], Framing::NoBody)]
#[case::no_content("DELETE", 204, &[], Framing::NoBody)]
#[case::not_modified("GET", 304, &["content-length: 8"], Framing::NoBody)]
fn the_framing_follows_from_the_head(
    #[case] method: &str,
    #[case] status: u16,
    #[case] lines: &[&'static str],
    #[case] expected: Framing,
) {
    let mut headers = HeaderMap::new();
    for line in lines {
        let (name, value) = line.split_once(": ").unwrap();
        let name: header::HeaderName = name.parse().unwrap();
        headers.append(name, HeaderValue::from_static(value));
    }
    let method = Method::from_bytes(method.as_bytes()).unwrap();
    let status = StatusCode::from_u16(status).unwrap();
    assert_eq!(Framing::of(&method, status, &headers), expected);
}
