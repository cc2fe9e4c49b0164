//! The running gateway through real sockets, against the project's own stand-ins.

mod common;
mod days;
mod hard_cases;
mod restarts;
mod sessions;
