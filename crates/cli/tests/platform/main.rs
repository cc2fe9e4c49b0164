//! `umbertray node` as its operators run it: the real program between scripted clients, stores and discovery
//! on loopback. The tests check only the traffic at the sockets.

mod bad_peers;
mod clocks;
mod common;
mod endings;
mod failing_calls;
mod reloads;
mod serving;
mod signals;
mod sizes;
mod soak;
mod stopped_clients;
mod store_endings;
