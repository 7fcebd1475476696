//! Simulates the distribution of texts over whole fleets.

mod faults;
mod fleet;
mod trial;
