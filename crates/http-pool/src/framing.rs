//! How the body of an answer is delimited.

use derive_more::Display;
use http::{HeaderMap, Method, Response, StatusCode, Version, header};
use http_body::Body;

/// How the body of an answer is delimited.
///
/// ```
/// use http::{HeaderMap, Method, StatusCode};
/// use nutmegsail_http_pool::Framing;
/// let headers = HeaderMap::new();
/// let framing = Framing::of(&Method::GET, StatusCode::OK, &headers);
/// assert_eq!(framing, Framing::Close);
/// assert_eq!(framing.to_string(), "close");
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
    /// The framing of an answer to a request with `method`.
    ///
    /// ```
    /// use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
    /// use nutmegsail_http_pool::Framing;
    /// let mut headers = HeaderMap::new();
    /// headers.insert(header::CONTENT_LENGTH, HeaderValue::from_static("800"));
    /// assert_eq!(Framing::of(&Method::GET, StatusCode::OK, &headers), Framing::Length);
    /// assert_eq!(Framing::of(&Method::HEAD, StatusCode::OK, &headers), Framing::NoBody);
    /// ```
    pub fn of(method: &Method, status: StatusCode, headers: &HeaderMap) -> Self {
        let has_no_body = method == Method::HEAD
            || status.is_informational()
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if has_no_body {
            return Self::NoBody;
        }
        let encodings = headers.get_all(header::TRANSFER_ENCODING);
        if let Some(last) = encodings.iter().next_back() {
            let last = last.to_str().unwrap_or_default().rsplit(',').next();
            let is_chunked = last.is_some_and(|name| name.trim().eq_ignore_ascii_case("chunked"));
            return if is_chunked {
                Self::Chunked
            } else {
                Self::Close
            };
        }
        match headers.contains_key(header::CONTENT_LENGTH) {
            true => Self::Length,
            false => Self::Close,
        }
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
