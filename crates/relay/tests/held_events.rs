//! How much streams may hold of incomplete events.

use nutmegsail_relay::HeldEvents;

const MB: usize = 1024 * 1024;

// Guards against streams whose events never end, each within its own limit, which fill the memory together.
#[test]
fn all_streams_together_hold_a_limited_amount() {
    let all = HeldEvents::default();
    let mut streams: Vec<_> = (0..300).map(|_| all.hold()).collect();
    let mut held = 0;
    for stream in &mut streams {
        match stream.resize(MB) {
            true => held += MB,
            // Such a stream is broken off.
            false => assert!(stream.resize(0)),
        }
    }
    assert_eq!(held, 8 * MB);
}

// Guards against sound streams that are broken off because others hold too much.
#[test]
fn events_of_usual_sizes_always_fit() {
    let all = HeldEvents::default();
    let mut long = all.hold();
    assert!(long.resize(8 * MB));
    let mut streams: Vec<_> = (0..300).map(|_| all.hold()).collect();
    assert!(streams.iter_mut().all(|stream| stream.resize(64 * 1024)));
    assert!(!streams[0].resize(64 * 1024 + 1));
    drop(streams);
    assert!(long.resize(8 * MB), "what ended streams held is free");
}
