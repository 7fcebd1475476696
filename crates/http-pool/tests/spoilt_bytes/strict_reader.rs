//! A reader of answers to GET that accepts what RFC 9112 defines, and nothing else.

use bytes::Bytes;
use nutmegsail_http_pool::SendError;

/// What the standard says of an answer after which the connection is closed.
#[derive(Debug, PartialEq, Eq)]
pub enum Verdict {
    Sound {
        status: u16,
        body: Vec<u8>,
    },
    /// The body is certain, but a field after it is malformed, which may be ignored.
    SoundBody {
        status: u16,
        body: Vec<u8>,
    },
    Malformed,
}

impl Verdict {
    /// Whether a client may read the answer so.
    pub fn allows(&self, read: &Result<(u16, Bytes), SendError>) -> bool {
        let is_read = |status: &u16, body: &Vec<u8>| matches!(read, Ok((read_status, read_body)) if read_status == status && read_body == body);
        match self {
            Self::Sound { status, body } => is_read(status, body),
            Self::SoundBody { status, body } => read.is_err() || is_read(status, body),
            Self::Malformed => read.is_err(),
        }
    }
}

struct Head<'a> {
    is_http_1_0: bool,
    status: u16,
    fields: Vec<(String, &'a [u8])>,
}

impl Head<'_> {
    /// The values of the field `name`, each a list.
    fn elements(&self, name: &str) -> Vec<&[u8]> {
        let values = self.fields.iter().filter(|(known, _)| known == name);
        values
            .flat_map(|(_, value)| value.split(|byte| *byte == b','))
            .map(trim)
            .collect()
    }
}

pub fn judge(answer: &[u8]) -> Verdict {
    read_answer(answer).unwrap_or(Verdict::Malformed)
}

fn read_answer(answer: &[u8]) -> Option<Verdict> {
    let line_feed = answer.iter().position(|byte| *byte == b'\n')?;
    let is_cr_lf = line_feed > 0 && answer[line_feed - 1] == b'\r';
    let line_end: &[u8] = if is_cr_lf { b"\r\n" } else { b"\n" };
    let mut rest = answer;
    // Empty lines before a status line may be skipped.
    while let Some(after) = rest.strip_prefix(line_end) {
        rest = after;
    }
    loop {
        let (head, after) = read_head(rest, line_end)?;
        match head.status {
            101 => return None,
            100..=199 => rest = after,
            200..=599 => return read_body(&head, after),
            _ => return None,
        }
        while let Some(after) = rest.strip_prefix(line_end) {
            rest = after;
        }
    }
}

fn read_head<'a>(answer: &'a [u8], line_end: &[u8]) -> Option<(Head<'a>, &'a [u8])> {
    let (status_line, mut rest) = read_line(answer, line_end)?;
    let is_http_1_0 = status_line.starts_with(b"HTTP/1.0 ");
    if !is_http_1_0 && !status_line.starts_with(b"HTTP/1.1 ") {
        return None;
    }
    let (digits, reason) = status_line[9..].split_at_checked(3)?;
    let is_status = digits.iter().all(u8::is_ascii_digit);
    let is_reason = reason.first().is_none_or(|byte| *byte == b' ') && is_text(reason);
    if !is_status || !is_reason {
        return None;
    }
    let status = str::from_utf8(digits).ok()?.parse().ok()?;
    let mut fields = Vec::new();
    loop {
        let (line, after) = read_line(rest, line_end)?;
        rest = after;
        if line.is_empty() {
            let head = Head {
                is_http_1_0,
                status,
                fields,
            };
            return Some((head, rest));
        }
        fields.push(read_field(line)?);
    }
}

/// A line without its end, in which no other line end may stand.
fn read_line<'a>(bytes: &'a [u8], line_end: &[u8]) -> Option<(&'a [u8], &'a [u8])> {
    let mut places = bytes.windows(line_end.len());
    let end = places.position(|place| place == line_end)?;
    let line = &bytes[..end];
    let is_one_line = !line.contains(&b'\r') && !line.contains(&b'\n');
    is_one_line.then(|| (line, &bytes[end + line_end.len()..]))
}

fn read_field(line: &[u8]) -> Option<(String, &[u8])> {
    let colon = line.iter().position(|byte| *byte == b':')?;
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    let is_name = !name.is_empty() && name.iter().all(|byte| is_token(*byte));
    let name = String::from_utf8_lossy(name).to_lowercase();
    (is_name && is_text(value)).then(|| (name, trim(value)))
}

fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn is_text(bytes: &[u8]) -> bool {
    bytes
        .iter()
        .all(|byte| matches!(byte, b'\t' | b' '..=b'~' | 0x80..))
}

fn trim(mut bytes: &[u8]) -> &[u8] {
    while let Some((b' ' | b'\t', rest)) = bytes.split_first() {
        bytes = rest;
    }
    while let Some((b' ' | b'\t', rest)) = bytes.split_last() {
        bytes = rest;
    }
    bytes
}

fn read_body(head: &Head<'_>, rest: &[u8]) -> Option<Verdict> {
    let status = head.status;
    let codings = head.elements("transfer-encoding");
    let lengths = head.elements("content-length");
    let length = match lengths.split_first() {
        None => None,
        Some((first, others)) if others.iter().all(|other| other == first) => {
            Some(read_number(first)?)
        }
        Some(_) => return None,
    };
    let is_chunked = match codings.split_last() {
        None => false,
        Some((last, others)) => {
            let is_only = others.iter().all(|coding| coding.is_empty());
            let is_chunked = is_only && last.eq_ignore_ascii_case(b"chunked");
            if !is_chunked || length.is_some() || head.is_http_1_0 {
                return None;
            }
            true
        }
    };
    match (status, is_chunked, length) {
        (204 | 304, ..) => Some(Verdict::Sound {
            status,
            body: Vec::new(),
        }),
        (_, true, _) => read_chunks(status, rest),
        (_, false, Some(length)) => Some(Verdict::Sound {
            status,
            body: rest.get(..length)?.to_vec(),
        }),
        (_, false, None) => Some(Verdict::Sound {
            status,
            body: rest.to_vec(),
        }),
    }
}

fn read_number(digits: &[u8]) -> Option<usize> {
    let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    is_number.then(|| str::from_utf8(digits).ok()?.parse().ok())?
}

fn read_chunks(status: u16, mut rest: &[u8]) -> Option<Verdict> {
    let mut body = Vec::new();
    loop {
        let end = rest.windows(2).position(|place| place == b"\r\n")?;
        let (line, after) = (&rest[..end], &rest[end + 2..]);
        let size = line.split(|byte| *byte == b';').next()?;
        let is_one_line = !line.contains(&b'\r') && !line.contains(&b'\n');
        // Blanks may precede an extension.
        let size = match is_one_line && size.first().is_some_and(u8::is_ascii_hexdigit) {
            true => usize::from_str_radix(str::from_utf8(trim(size)).ok()?, 16).ok()?,
            false => return None,
        };
        if size == 0 {
            return read_trailers(status, body, after);
        }
        body.extend(after.get(..size)?);
        rest = after[size..].strip_prefix(b"\r\n")?;
    }
}

fn read_trailers(status: u16, body: Vec<u8>, mut rest: &[u8]) -> Option<Verdict> {
    let mut is_sound = true;
    loop {
        let end = rest.windows(2).position(|place| place == b"\r\n")?;
        let line = &rest[..end];
        rest = &rest[end + 2..];
        match (line.is_empty(), is_sound) {
            (true, true) => return Some(Verdict::Sound { status, body }),
            (true, false) => return Some(Verdict::SoundBody { status, body }),
            (false, _) => is_sound &= read_field(line).is_some(),
        }
    }
}
