//! The spread of texts over whole fleets of pure cores.

mod faults;
mod fleet;
mod trial;
