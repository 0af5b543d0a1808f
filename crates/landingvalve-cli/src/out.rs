//! Writes to standard output, which may be a pipe closed by its reader.

use std::fmt::Arguments;
use std::io::ErrorKind;
use std::io::Write;

/// Writes a line; exits silently if the reader has closed the pipe (code 0)
/// or the write fails otherwise (code 1).
pub fn write_line(text: Arguments<'_>) {
    let written = writeln!(std::io::stdout(), "{text}");
    match written.map_err(|error| error.kind()) {
        Ok(()) => {}
        Err(ErrorKind::BrokenPipe) => std::process::exit(0),
        Err(_) => std::process::exit(1),
    }
}

/// Writes a line as `println!` does, without a panic on a closed pipe.
macro_rules! outln {
    ($($arg:tt)*) => {
        $crate::out::write_line(format_args!($($arg)*))
    };
}

pub(crate) use outln;
