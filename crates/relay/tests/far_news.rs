//! Which engine loads are sent to other failure domains.

use nutmegsail_relay::FarNews;

// Guards against twenty nodes of other failure domains that keep taking an engine for free while it
// fills up.
#[test]
fn an_engine_that_fills_up_is_told_at_once_and_quiet_ones_seldom() {
    let mut news = FarNews::default();
    let mut told = [0, 0];
    for turn in 0..40 {
        let requests = if turn < 20 { 0 } else { (turn - 20) * 3 };
        for engine in news.turn([(0, 5), (1, requests)]) {
            told[engine] += 1;
        }
    }
    assert_eq!(
        told,
        [10, 5 + 20],
        "every large change, and otherwise every fourth update"
    );
}

#[test]
fn what_was_not_told_adds_up() {
    let mut news = FarNews::default();
    news.turn([("e", 0)]);
    assert!(news.turn([("e", 2)]).is_empty());
    assert_eq!(news.turn([("e", 4)]), ["e"]);
}
