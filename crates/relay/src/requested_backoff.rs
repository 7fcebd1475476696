//! The backoff that an answer of an upstream requests.

use std::time::Duration;

/// The backoff that an answer requests: how long its upstream wants no further requests from this
/// node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RequestedBackoff {
    /// No backoff is requested.
    #[default]
    None,
    /// A backoff of this length.
    For(Duration),
    /// The value cannot be parsed.
    Malformed,
}

impl RequestedBackoff {
    /// Parses the seconds form of `Retry-After`. Fractions are accepted; HTTP dates are malformed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use nutmegsail_relay::RequestedBackoff;
    /// let backoff = RequestedBackoff::For(Duration::from_millis(2_500));
    /// assert_eq!(RequestedBackoff::parse("2.5"), backoff);
    /// assert_eq!(RequestedBackoff::parse("soon"), RequestedBackoff::Malformed);
    /// ```
    pub fn parse(text: &str) -> Self {
        match text.trim().parse() {
            Ok(seconds) if is_valid_length(seconds) => {
                let backoff = Duration::try_from_secs_f64(seconds);
                Self::For(backoff.unwrap_or(Duration::MAX))
            }
            _ => Self::Malformed,
        }
    }

    /// Combines two values of one answer: the longer backoff, or `Malformed` if either is
    /// malformed.
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::For(one), Self::For(other)) => Self::For(one.max(other)),
            (Self::None, said) | (said, Self::None) => said,
            _ => Self::Malformed,
        }
    }
}

fn is_valid_length(seconds: f64) -> bool {
    seconds.is_finite() && seconds >= 0.0
}
