//! Exit codes.

use std::process::ExitCode;

/// How a command came out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Done,
    /// Refused, or something at the desk is wrong; nothing has changed.
    Refused,
    /// The key-value service, or every entry box, is out of reach; nothing has changed.
    Unavailable,
    /// What became of it can't be found out now: ask again with the same identity.
    Unknown,
    /// Accepted, and not yet in force everywhere when the wait ended.
    Behind,
}

impl Exit {
    /// Number of the code; 2 is for arguments that can't be read.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Unavailable => 3,
            Self::Unknown => 4,
            Self::Behind => 5,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
