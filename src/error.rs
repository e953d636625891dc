//! The error type of the public API.

use std::fmt;

/// A `Result` whose error is [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The category of an [`Error`], which decides the exit code and the API status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The input is not acceptable as written.
    Input,
    /// The input is based on something that has changed since.
    Conflict,
    /// The named resource or change does not exist.
    Missing,
    /// A required service cannot be reached; the operation had no effect.
    Unavailable,
    /// The operation may or may not have taken effect.
    Unknown,
    /// A failure of the process itself.
    Internal,
}

impl Category {
    /// Returns the category's name as written in API responses.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Category::Input => "input",
            Category::Conflict => "conflict",
            Category::Missing => "missing",
            Category::Unavailable => "unavailable",
            Category::Unknown => "unknown",
            Category::Internal => "internal",
        }
    }
}

/// An error with its [`Category`] and, where known, the invalid resource and field.
///
/// # Examples
///
/// ```
/// use baobabstage::{Category, Change};
///
/// let err = Change::from_json(br#"{"id": "x", "put": [], "colour": 1}"#).unwrap_err();
/// assert_eq!(err.category(), Category::Input);
/// assert!(err.to_string().contains("colour"));
/// ```
#[derive(Clone)]
pub struct Error {
    inner: Box<Inner>,
}

#[derive(Clone)]
struct Inner {
    category: Category,
    message: String,
    resource: Option<String>,
    field: Option<String>,
}

impl Error {
    /// Creates an error. The message should name the location of the problem.
    pub fn new(category: Category, message: impl fmt::Display) -> Self {
        let message = message.to_string();
        Error {
            inner: Box::new(Inner {
                category,
                message,
                resource: None,
                field: None,
            }),
        }
    }

    /// Sets the invalid resource, unless one is set already.
    #[must_use]
    pub fn in_resource(mut self, resource: impl fmt::Display) -> Self {
        let current = &mut self.inner.resource;
        current.get_or_insert_with(|| resource.to_string());
        self
    }

    /// Sets the invalid field, unless one is set already.
    #[must_use]
    pub fn in_field(mut self, field: impl Into<String>) -> Self {
        let current = &mut self.inner.field;
        current.get_or_insert_with(|| field.into());
        self
    }

    /// Replaces the message and keeps the category, resource and field.
    #[must_use]
    pub fn with_message(mut self, message: impl fmt::Display) -> Self {
        self.inner.message = message.to_string();
        self
    }

    /// Returns the category.
    #[must_use]
    pub fn category(&self) -> Category {
        self.inner.category
    }

    /// Returns the invalid resource, as `kind/name`.
    #[must_use]
    pub fn resource(&self) -> Option<&str> {
        self.inner.resource.as_deref()
    }

    /// Returns the invalid field, by its name in the file.
    #[must_use]
    pub fn field(&self) -> Option<&str> {
        self.inner.field.as_deref()
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
