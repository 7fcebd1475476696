//! See the README of this crate.

fn main() {}
