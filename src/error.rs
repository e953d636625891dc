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

impl Category {
    /// Returns the category's name as told to operators.
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

/// A fault with its place and its [`Category`].
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
    /// Makes an error of a category with a message that names the place.
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

    /// Names the resource that is at fault, unless one is named already.
    #[must_use]
    pub fn in_resource(mut self, resource: impl fmt::Display) -> Self {
        let named = &mut self.inner.resource;
        named.get_or_insert_with(|| resource.to_string());
        self
    }

    /// Names the field that is at fault, unless one is named already.
    #[must_use]
    pub fn in_field(mut self, field: impl Into<String>) -> Self {
        let named = &mut self.inner.field;
        named.get_or_insert_with(|| field.into());
        self
    }

    /// Replaces the message and keeps the category and the place.
    #[must_use]
    pub fn with_message(mut self, message: impl fmt::Display) -> Self {
        self.inner.message = message.to_string();
        self
    }

    /// Returns the category of this error.
    #[must_use]
    pub fn category(&self) -> Category {
        self.inner.category
    }

    /// Returns the resource at fault, as `kind/name`.
    #[must_use]
    pub fn resource(&self) -> Option<&str> {
        self.inner.resource.as_deref()
    }

    /// Returns the field at fault.
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
