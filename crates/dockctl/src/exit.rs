//! Errors and their exit codes, as listed in docs/OPERATING.md.

use dockwood_api::error::ErrorBody;
use quick_error::quick_error;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum CommandError {
        /// A file, an argument or a resource is invalid.
        Usage(message: String) {
            display("{}", message)
        }
        /// The API rejected the request.
        Refused(body: Box<ErrorBody>) {
            display("{} {}: {}", body.error.code, body.error.name, body.error.message)
        }
        /// No daemon answered.
        Unreachable(message: String) {
            display("no daemon answered: {}", message)
        }
        /// The change was committed, but did not take effect within the time limit.
        NotInForce(message: String) {
            display("{}", message)
        }
        /// The response can't be parsed.
        Malformed(message: String) {
            display("invalid response: {}", message)
        }
        /// Reading a file or writing output failed.
        Io(error: std::io::Error) {
            display("{}", error)
            from()
        }
    }
}

/// Result code of a change whose resource version is outdated.
const CONFLICT: u16 = 4005;

impl CommandError {
    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::Io(_) | CommandError::Malformed(_) => 1,
            CommandError::Usage(_) => 2,
            CommandError::Refused(body) if body.error.code == CONFLICT => 4,
            CommandError::Refused(_) => 3,
            CommandError::Unreachable(_) => 5,
            CommandError::NotInForce(_) => 6,
        }
    }
}
