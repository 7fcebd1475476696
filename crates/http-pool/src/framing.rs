//! How the body of an answer is delimited.

use std::ops::RangeInclusive;

use derive_more::Display;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, Version, header};
use http_body::Body;

use crate::MalformedAnswer;

/// The statuses of final answers. `http` has names for 600 to 999 too, but no class has them.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// The only transfer coding that is read. A client accepts others only if it asks for them.
const CHUNKED: &str = "chunked";

/// How the body of an answer is delimited.
///
/// ```
/// use http::{Method, Response};
/// use nutmegsail_http_pool::Framing;
/// let answer = Response::new(());
/// let framing = Framing::of(&Method::GET, &answer)?;
/// assert_eq!(framing, Framing::Close);
/// assert_eq!(framing.to_string(), "close");
/// # Ok::<(), nutmegsail_http_pool::MalformedAnswer>(())
/// ```
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum Framing {
    /// There is no body, whatever the headers say.
    NoBody,
    /// By a length that is stated before it.
    Length,
    /// In chunks, of which the last one is empty.
    Chunked,
    /// By the end of the connection. A connection that is closed early looks the same.
    Close,
}

impl Framing {
    /// The framing of `answer`, to a request with `method`.
    ///
    /// ```
    /// use http::{Method, Response, header};
    /// use nutmegsail_http_pool::{Framing, MalformedAnswer};
    /// let answer = |length| Response::builder().header(header::CONTENT_LENGTH, length).body(());
    /// let sound = answer("800")?;
    /// assert_eq!(Framing::of(&Method::GET, &sound), Ok(Framing::Length));
    /// assert_eq!(Framing::of(&Method::HEAD, &sound), Ok(Framing::NoBody));
    /// let malformed = Framing::of(&Method::GET, &answer("8x0")?);
    /// assert_eq!(malformed, Err(MalformedAnswer::ContentLength));
    /// # Ok::<(), http::Error>(())
    /// ```
    ///
    /// # Errors
    ///
    /// If the status is none of a final answer, or the head leaves uncertain where the body ends, or
    /// states that the body has a coding that is not removed. A head without a body is checked too,
    /// as its fields are passed on.
    pub fn of<B>(method: &Method, answer: &Response<B>) -> Result<Self, MalformedAnswer> {
        let (status, headers) = (answer.status(), answer.headers());
        if !FINAL_STATUSES.contains(&status.as_u16()) {
            return Err(MalformedAnswer::Status);
        }
        let length = stated_length(headers)?;
        let is_chunked = is_chunked(headers)?;
        if is_chunked && (length.is_some() || answer.version() == Version::HTTP_10) {
            return Err(MalformedAnswer::TransferCoding);
        }
        let has_no_body = method == Method::HEAD
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        match (is_chunked, length) {
            _ if has_no_body => Ok(Self::NoBody),
            (true, _) => Ok(Self::Chunked),
            (false, Some(_)) => Ok(Self::Length),
            (false, None) if states_that_connection_is_kept(headers) => {
                Err(MalformedAnswer::NoFraming)
            }
            (false, None) => Ok(Self::Close),
        }
    }
}

/// Whether the head says that the connection stays open after the answer.
fn states_that_connection_is_kept(headers: &HeaderMap) -> bool {
    let options = headers.get_all(header::CONNECTION).iter();
    let options = options.filter_map(|value| value.to_str().ok());
    let options = options.flat_map(|value| value.split(',').map(str::trim));
    let (mut is_kept, mut is_closed) = (headers.contains_key("keep-alive"), false);
    for option in options {
        is_kept |= option.eq_ignore_ascii_case("keep-alive");
        is_closed |= option.eq_ignore_ascii_case("close");
    }
    is_kept && !is_closed
}

/// Whether the body is in chunks.
fn is_chunked(headers: &HeaderMap) -> Result<bool, MalformedAnswer> {
    let mut stated = headers.get_all(header::TRANSFER_ENCODING).iter().peekable();
    if stated.peek().is_none() {
        return Ok(false);
    }
    let mut codings = Vec::new();
    for value in stated {
        let text = value.to_str();
        let text = text.map_err(|_| MalformedAnswer::TransferCoding)?;
        codings.extend(text.split(',').map(str::trim));
    }
    let last = codings.pop().unwrap_or_default();
    // Elements of a list may be empty.
    let is_only = codings.iter().all(|coding| coding.is_empty());
    match is_only && last.eq_ignore_ascii_case(CHUNKED) {
        true => Ok(true),
        false => Err(MalformedAnswer::TransferCoding),
    }
}

/// The length that the head states. It may be repeated, but no other may be stated.
fn stated_length(headers: &HeaderMap) -> Result<Option<u64>, MalformedAnswer> {
    let mut length = None;
    for value in headers.get_all(header::CONTENT_LENGTH) {
        let text = value.to_str();
        let text = text.map_err(|_| MalformedAnswer::ContentLength)?;
        for element in text.split(',') {
            let number = parse_length(element.trim()).ok_or(MalformedAnswer::ContentLength)?;
            if length.replace(number).is_some_and(|other| other != number) {
                return Err(MalformedAnswer::ContentLength);
            }
        }
    }
    Ok(length)
}

/// `u64::from_str` accepts a sign.
fn parse_length(text: &str) -> Option<u64> {
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| is_number)
}

/// States a length that was repeated once only, as it must not be passed on otherwise.
pub(crate) fn unite_lengths(headers: &mut HeaderMap) {
    let mut stated = headers.get_all(header::CONTENT_LENGTH).iter();
    let is_one_number = |value: &HeaderValue| value.as_bytes().iter().all(u8::is_ascii_digit);
    let is_united = stated.next().is_none_or(is_one_number) && stated.next().is_none();
    if !is_united && let Ok(Some(length)) = stated_length(headers) {
        headers.insert(header::CONTENT_LENGTH, length.into());
    }
}

/// Whether a server ends `answer`, to a request of version `request`, with the connection.
///
/// ```
/// use http::{Response, Version};
/// use http_body_util::Full;
/// use nutmegsail_http_pool::ends_with_connection;
/// let answer = Response::new(Full::new(bytes::Bytes::from("of a known length")));
/// assert!(!ends_with_connection(&answer, Version::HTTP_10));
/// ```
pub fn ends_with_connection<B: Body>(answer: &Response<B>, request: Version) -> bool {
    let has_chunks = request == Version::HTTP_11 && answer.version() == Version::HTTP_11;
    let has_length = answer.headers().contains_key(header::CONTENT_LENGTH)
        || answer.body().size_hint().exact().is_some();
    !has_chunks && !has_length
}
