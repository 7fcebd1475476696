//! Time of one decision at the two-year size.

fn main() {}
