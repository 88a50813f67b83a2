//! The `rushquay` program: the proxy (also when run without arguments, as deployed), the control service, and tools for operators.
#![forbid(unsafe_code)]

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    let result = match std::env::args_os().len() {
        // As deployed: the environment holds the whole configuration.
        0 | 1 => cli::proxy(None, None).map_err(cli::Failure::from),
        _ => cli::run(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            rushquay::proxy::log(failure.text);
            ExitCode::from(failure.status)
        }
    }
}
