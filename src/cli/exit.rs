use std::process::ExitCode;

/// Exit status of a program; docs/OPERATORS.md lists the codes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// Success, code 0.
    Done,
    /// The request was refused, or the program failed, code 1.
    Failed,
    /// The command line or the settings are invalid, code 2.
    Usage,
    /// No answer arrived, so the outcome is unknown or nothing was done, code 3.
    Unreachable,
}

impl Exit {
    /// Returns the numeric exit code.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Unreachable => 3,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
