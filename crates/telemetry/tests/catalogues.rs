//! The tables in `docs/` hold exactly what the program has.

use nutmegsail_base::ResultCode;
use nutmegsail_telemetry::Event;

const CODES: &str = include_str!("../../../docs/CODES.md");
const EVENTS: &str = include_str!("../../../docs/EVENTS.md");

/// The cells of each table row whose first cell starts with `prefix`.
fn rows(page: &str, prefix: &str) -> Vec<Vec<String>> {
    let lines = page
        .lines()
        .filter(|line| line.starts_with(&format!("| {prefix}")));
    lines
        .map(|line| {
            let cells = line.trim_matches('|').split(" | ");
            cells.map(|cell| cell.trim().to_owned()).collect()
        })
        .collect()
}

// An operator looks a code up that a caller was told. The page must list every code with the same
// words, and none that the program no longer has.
#[test]
fn the_page_of_result_codes_is_the_table_in_the_program() {
    let expected: Vec<Vec<String>> = ResultCode::ALL
        .iter()
        .map(|code| {
            let retry = if code.retry_helps() { "yes" } else { "no" };
            vec![
                code.to_string(),
                format!("{code:?}"),
                code.http_status().to_string(),
                retry.to_owned(),
                code.text().to_owned(),
            ]
        })
        .collect();
    let found = rows(CODES, "NS");
    assert!(found.iter().all(|row| row.len() == 6 && !row[5].is_empty()));
    let found: Vec<_> = found.iter().map(|row| row[..5].to_vec()).collect();
    assert_eq!(found, expected);
}

// The same for events of the log.
#[test]
fn the_page_of_events_is_the_table_in_the_program() {
    let expected: Vec<Vec<String>> = Event::ALL
        .iter()
        .map(|event| {
            vec![
                event.to_string(),
                event.name().to_owned(),
                event.severity().to_string(),
                event.text().to_owned(),
            ]
        })
        .collect();
    assert_eq!(rows(EVENTS, "NE"), expected);
}

#[test]
fn numbers_rise_and_are_used_once() {
    let codes: Vec<_> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    let events: Vec<_> = Event::ALL.iter().map(|event| event.number()).collect();
    for numbers in [codes, events] {
        assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]));
    }
}
