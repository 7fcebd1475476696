//! The callers' HTTP interface of a node.
