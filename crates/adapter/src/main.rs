//! Responds to the simulator's frames on standard input with replies on standard output.

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|info| eprintln!("umbertray-adapter: {info}")));
    let input = BufReader::new(io::stdin().lock());
    let output = BufWriter::new(io::stdout().lock());
    match umbertray_adapter::serve(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("umbertray-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
