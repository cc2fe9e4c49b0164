//! Printing to standard output, which its reader may close at any time.

use std::io::Write;

pub(crate) fn print(text: &str) {
    let mut out = std::io::stdout().lock();
    // A reader that closes the pipe early, as `head` does, is not a failure of the command.
    _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

pub(crate) fn print_line(text: &str) {
    print(&format!("{text}\n"));
}

pub(crate) fn print_json(value: &serde_json::Value) {
    print_line(&value.to_string());
}
