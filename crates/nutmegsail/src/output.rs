//! Where a command writes.

use std::fmt::Display;
use std::io::Write;

use serde::Serialize;

use crate::CommandError;

/// Where a command writes: results to one stream, progress and failures to another.
///
/// With `is_json` the result, or the failure, is one JSON document on the first stream.
pub struct Output<'a> {
    /// Whether a script reads the result.
    pub is_json: bool,
    results: &'a mut (dyn Write + Send),
    messages: &'a mut (dyn Write + Send),
}

impl<'a> Output<'a> {
    /// Writes results to `results` and everything else to `messages`.
    ///
    /// ```
    /// let (mut results, mut messages) = (Vec::new(), Vec::new());
    /// let mut output = nutmegsail::Output::new(&mut results, &mut messages);
    /// output.progress("waiting");
    /// assert_eq!(messages, b"waiting\n");
    /// ```
    pub fn new(results: &'a mut (dyn Write + Send), messages: &'a mut (dyn Write + Send)) -> Self {
        Self {
            is_json: false,
            results,
            messages,
        }
    }

    /// Prints what a command found out.
    pub fn print(&mut self, report: &(impl Display + Serialize)) {
        if self.is_json {
            self.print_json(report);
        } else {
            write_line(self.results, report);
        }
    }

    /// Prints the help that was asked for.
    pub(crate) fn help(&mut self, text: &str) {
        write_line(self.results, &text);
    }

    /// Says what a command that takes long is doing.
    pub fn progress(&mut self, line: &str) {
        write_line(self.messages, &line);
    }

    /// Prints why a command failed, with its number.
    pub fn fail(&mut self, error: &CommandError) {
        match (self.is_json, error, error.code()) {
            (true, ..) => self.print_json(&error.to_json()),
            // Each fault carries its number and its place.
            (false, CommandError::Text(faults), _) => write_line(self.messages, faults),
            (false, _, Some(code)) => write_line(self.messages, &format!("{code}: {error}")),
            (false, _, None) => write_line(self.messages, &format!("error: {error}")),
        }
    }

    fn print_json(&mut self, document: &impl Serialize) {
        let json = serde_json::to_string_pretty(document).unwrap_or_default();
        write_line(self.results, &json);
    }
}

/// Writes a line. A reader that has gone, as behind `head`, does not change the exit code.
fn write_line(stream: &mut (dyn Write + Send), line: &dyn Display) {
    let _ = writeln!(stream, "{line}");
}
