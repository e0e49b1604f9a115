//! Runs the adapter on standard input and output, with one batch and one reply per line.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use basaltwood_adapter::{Adapter, BatchError};

fn main() -> ExitCode {
    let mut adapter = Adapter::default();
    match serve(&mut adapter, io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => {}
        // The simulator has closed the pipe, so no one reads the error.
        Err(ServeError::Output(_)) => return ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    }
    if adapter.ignored_messages() > 0 {
        eprintln!("ignored {} messages of peers and results of probes", adapter.ignored_messages());
    }
    ExitCode::SUCCESS
}

/// Why the adapter stops before the end of its input. Batches are numbered from 1.
#[derive(Debug, thiserror::Error)]
enum ServeError {
    #[error("batch {number}: {cause}")]
    Input { number: usize, cause: io::Error },
    #[error("batch {number}: {cause}")]
    Batch { number: usize, cause: BatchError },
    #[error("can't write a reply: {0}")]
    Output(io::Error),
}

/// Replies to each batch until the input ends.
fn serve(adapter: &mut Adapter, input: impl BufRead, mut output: impl Write) -> Result<(), ServeError> {
    for (index, line) in input.lines().enumerate() {
        let number = index + 1;
        let line = line.map_err(|cause| ServeError::Input { number, cause })?;
        let reply = adapter.batch(&line).map_err(|cause| ServeError::Batch { number, cause })?;
        writeln!(output, "{reply}").map_err(ServeError::Output)?;
        output.flush().map_err(ServeError::Output)?;
    }
    Ok(())
}
