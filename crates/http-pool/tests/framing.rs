//! How answers are delimited, by status, method and headers.

#![allow(clippy::unwrap_used, reason = "a test that has nothing fails")]

use http::{HeaderName, HeaderValue, Method, Response, Version};
use nutmegsail_http_pool::MalformedAnswer::{ContentLength, NoFraming, Status, TransferCoding};
use nutmegsail_http_pool::{Framing, MalformedAnswer};
use rstest::rstest;

fn framing(
    method: &str,
    version: Version,
    status: u16,
    lines: &[&'static str],
) -> Result<Framing, MalformedAnswer> {
    let mut answer = Response::builder().status(status).version(version);
    for line in lines {
        let (name, value) = line.split_once(':').unwrap();
        let name: HeaderName = name.parse().unwrap();
        answer = answer.header(name, HeaderValue::from_static(value.trim()));
    }
    let method = Method::from_bytes(method.as_bytes()).unwrap();
    Framing::of(&method, &answer.body(()).unwrap())
}

#[rstest]
#[case::length("GET", 200, &["content-length: 8"], Framing::Length)]
#[case::length_twice("GET", 200, &["content-length: 8, 8"], Framing::Length)]
#[case::length_in_two_lines("GET", 200, &["content-length: 8", "content-length: 8"], Framing::Length)]
#[case::chunks("POST", 200, &["transfer-encoding: chunked"], Framing::Chunked)]
#[case::chunks_in_upper_case("POST", 200, &["transfer-encoding: CHUNKED"], Framing::Chunked)]
#[case::chunks_after_empty_elements("POST", 200, &["transfer-encoding: , ,chunked"], Framing::Chunked)]
#[case::neither("POST", 200, &[], Framing::Close)]
#[case::neither_and_a_closed_connection("POST", 200, &["connection: close"], Framing::Close)]
#[case::neither_and_a_time_before_the_connection_closes("POST", 200, &["keep-alive: timeout=5", "connection: Close"], Framing::Close)]
#[case::length_and_a_kept_connection("POST", 200, &["keep-alive: timeout=5", "content-length: 8"], Framing::Length)]
#[case::no_body_and_a_kept_connection("GET", 304, &["keep-alive: timeout=5"], Framing::NoBody)]
#[case::an_error_with_neither("POST", 500, &[], Framing::Close)]
#[case::head("HEAD", 200, &["content-length: 8"], Framing::NoBody)]
#[case::head_in_chunks("HEAD", 200, &["transfer-encoding: chunked"], Framing::NoBody)]
#[case::no_content("DELETE", 204, &[], Framing::NoBody)]
#[case::not_modified("GET", 304, &["content-length: 8"], Framing::NoBody)]
fn the_framing_follows_from_the_head(
    #[case] method: &str,
    #[case] status: u16,
    #[case] lines: &[&'static str],
    #[case] expected: Framing,
) {
    let framing = framing(method, Version::HTTP_11, status, lines);
    assert_eq!(framing, Ok(expected));
}

// Guards against a body whose end is guessed, or that is passed on with a transfer coding that was not removed.
#[rstest]
#[case::chunks_and_a_length(&["content-length: 8", "transfer-encoding: chunked"], TransferCoding)]
#[case::another_coding_before(&["transfer-encoding: gzip, Chunked"], TransferCoding)]
#[case::another_coding_in_a_line_before(&["transfer-encoding: gzip", "transfer-encoding: chunked"], TransferCoding)]
#[case::another_coding_last(&["transfer-encoding: chunked, gzip"], TransferCoding)]
#[case::an_unknown_coding(&["transfer-encoding: chunke"], TransferCoding)]
#[case::identity(&["transfer-encoding: identity"], TransferCoding)]
#[case::chunks_twice(&["transfer-encoding: chunked, chunked"], TransferCoding)]
#[case::a_parameter(&["transfer-encoding: chunked;q=1"], TransferCoding)]
#[case::an_empty_element_last(&["transfer-encoding: chunked,"], TransferCoding)]
#[case::no_coding(&["transfer-encoding:"], TransferCoding)]
#[case::no_number(&["content-length: 8x"], ContentLength)]
#[case::a_sign(&["content-length: +8"], ContentLength)]
#[case::an_empty_length(&["content-length:"], ContentLength)]
#[case::an_empty_element(&["content-length: 8,"], ContentLength)]
#[case::two_lengths(&["content-length: 8, 9"], ContentLength)]
#[case::two_lengths_in_two_lines(&["content-length: 8", "content-length: 9"], ContentLength)]
#[case::too_large_a_length(&["content-length: 18446744073709551616"], ContentLength)]
#[case::no_number_before_chunks(&["content-length: 8x", "transfer-encoding: chunked"], ContentLength)]
fn a_head_that_leaves_the_end_uncertain_is_malformed(
    #[values("GET", "HEAD")] method: &str,
    #[values(200, 204, 304, 500)] status: u16,
    #[case] lines: &[&'static str],
    #[case] expected: MalformedAnswer,
) {
    let framing = framing(method, Version::HTTP_11, status, lines);
    assert_eq!(framing, Err(expected));
}

// Guards against chunks under a head of a version that has none.
#[test]
fn chunks_under_an_http_1_0_head_are_malformed() {
    let chunks = ["transfer-encoding: chunked"];
    let framing = framing("GET", Version::HTTP_10, 200, &chunks);
    assert_eq!(framing, Err(TransferCoding));
}

// Guards against passing on a status that no caller can understand, or an unrequested switch of protocols.
#[rstest]
fn a_status_of_no_final_answer_is_malformed(
    #[values("GET", "HEAD")] method: &str,
    #[values(100, 101, 199, 600, 999)] status: u16,
) {
    let framing = framing(method, Version::HTTP_11, status, &["content-length: 8"]);
    assert_eq!(framing, Err(Status));
}

#[rstest]
fn a_status_of_a_final_answer_is_sound(#[values(200, 226, 308, 418, 499, 503, 599)] status: u16) {
    let framing = framing("GET", Version::HTTP_11, status, &["content-length: 8"]);
    assert_eq!(framing, Ok(Framing::Length));
}

// Guards against a body whose end is that of a connection which stays open: the field that framed it was lost.
#[rstest]
#[case::a_time(&["keep-alive: timeout=5"])]
#[case::an_option(&["connection: x-hop, Keep-Alive"])]
#[case::similar_names(&["keep-alive: timeout=5", "content-lengtj: 8", "transfer-encodinh: chunked"])]
fn no_end_of_the_body_on_a_kept_connection_is_malformed(
    #[values(Version::HTTP_10, Version::HTTP_11)] version: Version,
    #[values(200, 404, 500)] status: u16,
    #[case] lines: &[&'static str],
) {
    let framing = framing("POST", version, status, lines);
    assert_eq!(framing, Err(NoFraming));
}
