//! The line ends of an answer's heads.

use crate::MalformedAnswer;

/// How a line ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LineEnd {
    CrLf,
    Lf,
}

/// Where the class of the status stands in a status line.
const STATUS_CLASS_AT: usize = "HTTP/1.1 ".len();

/// Scans an answer's bytes up to the end of its head, for line ends of both kinds.
///
/// hyper accepts either for each line, so that a line feed which got into a field ends the head in
/// its midst: the fields that follow are then read as the body.
#[derive(Debug, Default)]
pub(crate) struct HeadLines {
    is_in_head: bool,
    /// How the first line ended.
    line_end: Option<LineEnd>,
    /// The bytes of the current line that have arrived.
    line_bytes: usize,
    last_byte: u8,
    has_status_line: bool,
    is_informational: bool,
}

impl HeadLines {
    /// Called before a request is sent: what arrives next is the head of its answer.
    pub(crate) fn begin(&mut self) {
        *self = Self {
            is_in_head: true,
            ..Self::default()
        };
    }

    /// Scans what has arrived. Bytes after the head are not looked at.
    pub(crate) fn scan(&mut self, bytes: &[u8]) -> Result<(), MalformedAnswer> {
        for &byte in bytes {
            if !self.is_in_head {
                break;
            }
            if byte == b'\n' {
                self.end_line()?;
            } else {
                if !self.has_status_line && self.line_bytes == STATUS_CLASS_AT {
                    self.is_informational = byte == b'1';
                }
                self.line_bytes += 1;
            }
            self.last_byte = byte;
        }
        Ok(())
    }

    fn end_line(&mut self) -> Result<(), MalformedAnswer> {
        let (line_end, is_empty) = match self.last_byte {
            b'\r' => (LineEnd::CrLf, self.line_bytes == 1),
            _ => (LineEnd::Lf, self.line_bytes == 0),
        };
        if *self.line_end.get_or_insert(line_end) != line_end {
            return Err(MalformedAnswer::LineEnds);
        }
        self.line_bytes = 0;
        match (is_empty, self.has_status_line) {
            (false, _) => self.has_status_line = true,
            // Another head follows an informational answer.
            (true, true) if self.is_informational => self.has_status_line = false,
            (true, true) => self.is_in_head = false,
            // Empty lines before the status line are skipped.
            (true, false) => {}
        }
        Ok(())
    }
}
