//! The front over real sockets, with a small stand-in for the node behind it.

mod bad_input;
mod connections;
mod crowds;
mod plain_calls;
mod shutdown;
mod streams;
mod support;
