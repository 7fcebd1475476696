//! Calls that run at most once: claims, tickets, recorded answers.
