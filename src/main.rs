//! The program: the proxy (also without any argument, as deployed), the control service, checks of files.
#![forbid(unsafe_code)]

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    let done = match std::env::args_os().len() {
        // As deployed: the environment says all.
        0 | 1 => cli::proxy(None, None).map_err(cli::Failure::from),
        _ => cli::run(),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            rushquay::proxy::log(failure.text);
            ExitCode::from(failure.status)
        }
    }
}
