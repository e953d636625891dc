//! The error type of the public surface.

use std::fmt;

/// A `Result` whose error is [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What kind of fault an [`Error`] reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The input is not acceptable as written.
    Input,
    /// The input is based on something that has changed since.
    Conflict,
    /// The named thing does not exist.
    Missing,
    /// A service that is needed cannot be reached; nothing was done.
    Unavailable,
    /// The work may or may not have been done.
    Unknown,
    /// A fault of the process itself.
    Internal,
}

/// A fault with its place and its [`Category`].
#[derive(Clone)]
pub struct Error {
    inner: Box<Inner>,
}

#[derive(Clone)]
struct Inner {
    category: Category,
    message: String,
}

impl Error {
    /// Makes an error of a category with a message that names the place.
    pub fn new(category: Category, message: impl fmt::Display) -> Self {
        let message = message.to_string();
        Error {
            inner: Box::new(Inner { category, message }),
        }
    }

    /// Returns the category of this error.
    #[must_use]
    pub fn category(&self) -> Category {
        self.inner.category
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.inner.message)
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "Error({:?}: {})",
            self.inner.category, self.inner.message
        )
    }
}

impl std::error::Error for Error {}
