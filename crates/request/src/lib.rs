//! The life of a request, from accepted to ended, and its answer.
