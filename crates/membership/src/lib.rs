//! Which nodes and upstreams are there, by failure domain.
