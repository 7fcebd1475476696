//! Sizes of the operators' text and of what a change of it moves.

use std::collections::HashSet;
use std::fmt::Write;

use nutmegsail_config::{Generation, Head, OperatorsText, WriterId, split};

use super::DOMAINS;

/// Writers that a head remembers.
const CHANGES: usize = 32;

/// What a text and a change of one line of it come to, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct TextCost {
    pub(crate) text_bytes: usize,
    pub(crate) head_bytes: usize,
    /// The pieces that a change of one line gives every node anew.
    pub(crate) changed_piece_bytes: usize,
}

/// A text of `engines` engines and `adapters` adapters, each with a line of its own.
pub(crate) fn measure_text(engines: usize, adapters: usize) -> TextCost {
    let before = text(engines, adapters, None);
    let after = text(engines, adapters, Some(adapters / 2));
    let (old, new) = (split(&before), split(&after));
    let known: HashSet<_> = old.iter().map(|piece| &piece.digest).collect();
    let changed = new.iter().filter(|piece| !known.contains(&piece.digest));
    let mut head: Option<Head> = None;
    for number in 0..CHANGES {
        let writer = WriterId::from(format!("{number:032x}").as_str());
        head = Some(Head::following(
            head.as_ref(),
            Generation(0),
            &after,
            &new,
            &writer,
        ));
    }
    TextCost {
        text_bytes: before.bytes(),
        head_bytes: head.map_or(0, |head| head.to_json().len()),
        changed_piece_bytes: changed.map(|piece| piece.text.len()).sum(),
    }
}

fn text(engines: usize, adapters: usize, changed: Option<usize>) -> OperatorsText {
    let mut text = String::from("[services.spa-scribe]\nkind = \"engine\"\nadapters = [\n");
    for number in 0..adapters {
        let versions = if changed == Some(number) { "1, 2" } else { "1" };
        let line = format!("  {{ names = \"customer-{number:05}\", versions = [{versions}] }},\n");
        text.push_str(&line);
    }
    text.push_str("]\n\n[services.spa-scribe.upstreams]\n");
    for domain in 0..DOMAINS {
        let _ = writeln!(text, "domain-{domain} = [");
        for engine in (domain..engines).step_by(DOMAINS) {
            let _ = writeln!(text, "  \"10.2.{}.{}:8000\",", engine / 250, engine % 250);
        }
        text.push_str("]\n");
    }
    OperatorsText::new("fleet.toml", text)
}
