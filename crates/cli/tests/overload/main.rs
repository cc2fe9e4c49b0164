//! `umbertray node` under clients that send too much, too slowly or nothing sound, at the least and the most
//! memory and descriptors with which a gateway has to work. Each test plays such clients beside usual ones,
//! and checks the process's peak of memory and what the usual clients got.

mod bad_clients;
mod closing_clients;
#[path = "../platform/common.rs"]
#[allow(dead_code)]
mod common;
mod floods;
mod memory;
mod store;
mod usual_clients;
mod volumes;
mod world;
