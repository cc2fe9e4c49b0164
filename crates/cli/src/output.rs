//! Standard output, which a reader may close at any time.

use std::io::Write;

pub fn print(text: &str) {
    let mut out = std::io::stdout().lock();
    // A reader that has seen enough is no failure.
    _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

pub fn print_line(text: &str) {
    print(&format!("{text}\n"));
}
