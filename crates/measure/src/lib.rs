//! Policy measurements that drive the decision code with a passed-in clock.
