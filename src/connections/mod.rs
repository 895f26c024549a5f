//! Open connections of a server, with a limit on their number.
//!
//! A connection whose other side has lost power or gone silent stays open for this side. So a limit
//! must never be a reason to turn new connections away while others are idle: the one that has been
//! idle longest is closed instead.

mod connection;
mod open;

pub(crate) use connection::{Connection, RequestGuard};
pub(crate) use open::Connections;
