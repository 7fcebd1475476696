//! Which upstream answers a request, and when: scores, classes, queues, limits, retries.
