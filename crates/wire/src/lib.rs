//! Messages between nodes, over nng.
