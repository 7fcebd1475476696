//! Which adapters are loaded on which engine: owners, pins, load orders.
