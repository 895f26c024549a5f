use std::process::ExitCode;

/// How a program ends; docs/OPERATORS.md lists the codes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// Done, code 0.
    Done,
    /// The system refused or the program failed at its work, code 1.
    Failed,
    /// The command line or the settings are wrong, code 2.
    Usage,
    /// No answer came, so that the outcome is unknown or nothing was done, code 3.
    Unreachable,
}

impl Exit {
    /// The code that a shell sees.
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
