//! Endpoint choice, slot shares, fair queues, retries and connection health: pure cores.
//!
