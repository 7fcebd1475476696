//! Which engine loads are sent to other failure domains.

use nutmegsail_relay::RemoteLoadFilter;

// Guards against twenty nodes of other failure domains that keep taking an engine for free while it
// fills up.
#[test]
fn large_changes_are_sent_at_once_and_other_loads_seldom() {
    let mut news = RemoteLoadFilter::default();
    let mut sent = [0, 0];
    for turn in 0..40 {
        let requests = if turn < 20 { 0 } else { (turn - 20) * 3 };
        for engine in news.due_engines([(0, 5), (1, requests)]) {
            sent[engine] += 1;
        }
    }
    assert_eq!(
        sent,
        [10, 5 + 20],
        "every large change, and otherwise every fourth update"
    );
}

#[test]
fn small_changes_add_up() {
    let mut news = RemoteLoadFilter::default();
    news.due_engines([("e", 0)]);
    assert!(news.due_engines([("e", 2)]).is_empty());
    assert_eq!(news.due_engines([("e", 4)]), ["e"]);
}
