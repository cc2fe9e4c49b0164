//! Changes on their way through relays to gateways, over sockets on loopback.

mod common;
mod hops;
mod lies;
mod slow;
