use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

use umbertray_adapter::codec::Malformed;

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|info| eprintln!("umbertray-adapter: {info}")));
    match umbertray_adapter::serve(BufReader::new(io::stdin().lock()), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Malformed(what)) => {
            eprintln!("umbertray-adapter: {what}");
            ExitCode::FAILURE
        }
    }
}
