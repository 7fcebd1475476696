//! Finds two framings in the head of a request.

/// Collects the head of a request and looks for a length beside a transfer encoding.
///
/// The HTTP library takes the transfer encoding and hides the length. A balancer that takes the
/// length would see other requests on the connection than the node does, and hand the answer of
/// one caller to another.
#[derive(Debug, Default)]
pub(crate) struct HeadScan {
    head: Vec<u8>,
    is_over: bool,
}

const HEAD_END: &[u8] = b"\r\n\r\n";

impl HeadScan {
    /// Takes more bytes of the head, and says whether the head is complete with two framings.
    pub fn take(&mut self, bytes: &[u8], max_bytes: usize) -> bool {
        if self.is_over {
            return false;
        }
        let from = self.head.len().saturating_sub(HEAD_END.len());
        self.head.extend_from_slice(bytes);
        let found = self.head[from..]
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END);
        let Some(at) = found else {
            self.is_over = self.head.len() > max_bytes;
            return false;
        };
        self.is_over = true;
        has_two_framings(&self.head[..from + at])
    }

    /// Makes ready for the next request.
    pub fn reset(&mut self) {
        self.head.clear();
        self.is_over = false;
    }
}

fn has_two_framings(head: &[u8]) -> bool {
    let has = |name: &[u8]| {
        head.split(|byte| *byte == b'\n').any(|line| {
            let starts = line.get(..name.len());
            starts.is_some_and(|start| start.eq_ignore_ascii_case(name))
        })
    };
    has(b"content-length:") && has(b"transfer-encoding:")
}
