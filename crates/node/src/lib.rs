//! One node: its actors, its threads, and how the slices are wired together.
