//! Collects the faults found while parsing a text.

use std::ops::Range;
use std::sync::Arc;

use crate::{Fault, FaultKind, Faults};

/// The Jaro-Winkler similarity (0 to 1) from which a known name is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.8;

/// The faults found so far, and the file whose byte offsets the spans refer to.
pub(super) struct FaultCollector<'t> {
    file: Arc<str>,
    text: &'t str,
    faults: Vec<Fault>,
}

impl<'t> FaultCollector<'t> {
    pub(super) fn new(file: &str, text: &'t str) -> Self {
        Self {
            file: file.into(),
            text,
            faults: Vec::new(),
        }
    }

    pub(super) fn add(
        &mut self,
        span: Range<usize>,
        kind: FaultKind,
        message: impl Into<String>,
        fix: impl Into<String>,
    ) {
        let (line, column) = position(self.text, span.start);
        self.faults.push(Fault {
            kind,
            file: Arc::clone(&self.file),
            line,
            column,
            message: message.into(),
            fix: fix.into(),
        });
    }

    pub(super) fn add_syntax_error(&mut self, error: &toml::de::Error) {
        let span = error.span().unwrap_or_default();
        let fix = "see https://toml.io for how TOML is written";
        self.add(span, FaultKind::Syntax, error.message(), fix);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    pub(super) fn count(&self) -> usize {
        self.faults.len()
    }

    /// Adds the faults of an included file.
    pub(super) fn absorb(&mut self, other: FaultCollector<'_>) {
        self.faults.extend(other.faults);
    }

    pub(super) fn into_faults(mut self) -> Faults {
        let main = Arc::clone(&self.file);
        self.faults.sort_by(|a, b| {
            let key = |fault: &Fault| (fault.file != main, fault.line, fault.column);
            key(a).cmp(&key(b)).then_with(|| a.file.cmp(&b.file))
        });
        Faults(self.faults)
    }
}

fn position(text: &str, offset: usize) -> (u32, u32) {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    let narrow = |n| u32::try_from(n).unwrap_or(u32::MAX);
    (narrow(line), narrow(column))
}

/// Suggests what to write instead of `wrong`: the most similar name of `known`, or else all of
/// them.
pub(super) fn did_you_mean<'k>(wrong: &str, known: impl IntoIterator<Item = &'k str>) -> String {
    let known: Vec<&str> = known.into_iter().collect();
    let closest = known
        .iter()
        .map(|name| (strsim::jaro_winkler(wrong, name), *name))
        .filter(|(score, _)| *score >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0));
    match closest {
        Some((_, name)) => format!("did you mean `{name}`?"),
        None if known.is_empty() => "remove it".to_owned(),
        None => format!("write one of: {}", known.join(", ")),
    }
}
