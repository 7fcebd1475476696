//! Paths below a plain service, and which calls they match.

use nutmegsail_base::ResultCode;
use percent_encoding::percent_decode_str;

use crate::request_fault::RequestFault;

/// A path below a service that every upstream reads in the same way.
///
/// An upstream that tidies up a path would run `/./confirm` or `/%63onfirm` as `/confirm`, while a
/// plain comparison sees no call that runs once. It shows as a booking made twice. So the decoded
/// segments are compared, and a path that could be tidied up into another one is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ServicePath {
    segments: Vec<String>,
}

impl ServicePath {
    /// Reads a path without its query.
    pub fn read(path: &str) -> Result<Self, RequestFault> {
        let trimmed = path.strip_prefix('/').unwrap_or(path);
        let trimmed = trimmed.strip_suffix('/').unwrap_or(trimmed);
        if trimmed.is_empty() {
            return Ok(Self {
                segments: Vec::new(),
            });
        }
        let segments: Result<_, _> = trimmed.split('/').map(read_segment).collect();
        Ok(Self {
            segments: segments?,
        })
    }

    /// How specific the match with `pattern` is, or `None`. A trailing `/*` matches what follows.
    ///
    /// Letter case and what follows a `;` are left out of the comparison, since some upstreams
    /// leave them out.
    pub fn matches(&self, pattern: &str) -> Option<usize> {
        let pattern = pattern.trim_matches('/');
        let (prefix, is_open) = match pattern.strip_suffix('*') {
            Some(prefix) => (prefix.trim_end_matches('/'), true),
            None => (pattern, false),
        };
        let wanted: Vec<&str> = prefix.split('/').filter(|part| !part.is_empty()).collect();
        let is_length_right = if is_open {
            self.segments.len() >= wanted.len()
        } else {
            self.segments.len() == wanted.len()
        };
        let is_same = |(wanted, segment): (&&str, &String)| wanted.eq_ignore_ascii_case(segment);
        if !is_length_right || !wanted.iter().zip(&self.segments).all(is_same) {
            return None;
        }
        Some(wanted.len() * 2 + usize::from(!is_open))
    }
}

fn read_segment(raw: &str) -> Result<String, RequestFault> {
    let refused = || {
        let detail = "an empty, `.`, `..` or unreadable segment is not passed on";
        RequestFault::new(ResultCode::UnknownPath, detail)
    };
    let decoded = percent_decode_str(raw)
        .decode_utf8()
        .map_err(|_| refused())?;
    let name = decoded.split(';').next().unwrap_or_default();
    let is_tidied = name.is_empty() || name == "." || name == "..";
    let is_ambiguous = decoded.contains(|c: char| c == '/' || c == '\\' || c.is_control());
    if is_tidied || is_ambiguous {
        return Err(refused());
    }
    Ok(name.to_owned())
}
