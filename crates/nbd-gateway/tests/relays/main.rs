//! Tests of configuration changes that reach gateways through relays, over loopback sockets.

mod common;
mod faulty_peers;
mod hops;
mod slow;
