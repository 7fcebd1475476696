//! Numbered log events, metrics and spans of a node.
