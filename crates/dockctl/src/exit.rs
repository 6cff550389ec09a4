//! Errors and exit codes; docs/OPERATING.md has the table.

use dockwood_api::error::ErrorBody;
use quick_error::quick_error;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum CommandError {
        /// A file, an argument or a resource can't be used.
        Usage(message: String) {
            display("{}", message)
        }
        /// The API refused.
        Refused(body: Box<ErrorBody>) {
            display("{} {}: {}", body.error.code, body.error.name, body.error.message)
        }
        /// No daemon answered.
        Unreachable(message: String) {
            display("no daemon answered: {}", message)
        }
        /// The change is committed and was not in force in time.
        NotInForce(message: String) {
            display("{}", message)
        }
        /// What came back can't be read.
        Malformed(message: String) {
            display("the answer can't be read: {}", message)
        }
        /// A file can't be read, or output can't be written.
        Io(error: std::io::Error) {
            display("{}", error)
            from()
        }
    }
}

const CONFLICT: u16 = 4005;

impl CommandError {
    /// The process's exit code.
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
