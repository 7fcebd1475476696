//! The operators' command line; see the library of this crate.

use std::io::{stderr, stdout};
use std::process::ExitCode;

use nutmegsail::Output;

fn main() -> eyre::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let args = std::env::args_os().skip(1).collect();
    let (mut results, mut messages) = (stdout(), stderr());
    let mut output = Output::new(&mut results, &mut messages);
    let exit_code = runtime.block_on(nutmegsail::run(args, &mut output));
    Ok(ExitCode::from(exit_code as u8))
}
