//! The running gateway through real sockets, against the project's own stand-ins.

mod changes;
mod common;
mod days;
mod hard_cases;
mod restarts;
mod sessions;
