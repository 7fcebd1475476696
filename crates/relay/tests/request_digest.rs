//! Which requests count as the same.

use nutmegsail_base::TeamName;
use nutmegsail_relay::{RequestContent, RequestDigest};
use rstest::rstest;

const CONTENT: RequestContent<'static> = RequestContent {
    method: "POST",
    host: "spa",
    path: "/notes/1?x=2",
    team: None,
    body: b"guest",
};

#[rstest]
#[case::method(RequestContent { method: "PUT", ..CONTENT })]
#[case::host(RequestContent { host: "desk", ..CONTENT })]
#[case::path(RequestContent { path: "/notes/2?x=2", ..CONTENT })]
#[case::query(RequestContent { path: "/notes/1?x=3", ..CONTENT })]
#[case::body(RequestContent { body: b"guests", ..CONTENT })]
#[case::no_body(RequestContent { body: b"", ..CONTENT })]
#[case::bytes_moved_between_parts(RequestContent { host: "spa/notes", path: "/1?x=2", ..CONTENT })]
fn different_requests_have_different_digests(#[case] other: RequestContent<'_>) {
    assert_ne!(RequestDigest::of(&CONTENT), RequestDigest::of(&other));
}

#[test]
fn the_same_request_of_two_teams_has_different_digests() {
    let teams = [
        None,
        Some(TeamName::from("spa")),
        Some(TeamName::from("desk")),
    ];
    let digests = teams.each_ref().map(|team| {
        let team = team.as_ref();
        RequestDigest::of(&RequestContent { team, ..CONTENT })
    });
    assert_ne!(digests[0], digests[1]);
    assert_ne!(digests[0], digests[2]);
    assert_ne!(digests[1], digests[2]);
}
