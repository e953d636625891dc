//! Parsing of the paths, queries and bodies of operators' requests.

use super::reply::ApiError;
use crate::change::MAX_CHANGE_LEN;
use crate::check;
use crate::error::{Category, Error};
use crate::resource::{Kind, ResourceKey};
use http::{Method, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use std::collections::BTreeMap;
use std::str::FromStr;

/// An endpoint of the API with the parameters in its path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// The version in force.
    Version,
    /// The resources, of one kind or all.
    Resources(Option<Kind>),
    /// One resource.
    Resource(ResourceKey),
    /// The stream of differences between versions.
    Watch,
    /// The log of changes.
    Changes,
    /// One change, by id.
    Change(String),
    /// The revert of a change, by the change's id.
    Revert(String),
    /// The requests under which backend servers have ended.
    Quarantine,
    /// One of them, by its content hash.
    Quarantined(u128),
    /// The rollouts.
    Rollouts,
}

impl Endpoint {
    /// Parses a path.
    ///
    /// # Errors
    ///
    /// Fails when the path is not percent-encoded UTF-8, names no endpoint or contains an invalid
    /// name.
    pub fn new(path: &str) -> Result<Self, ApiError> {
        let segments: Result<Vec<String>, ApiError> = path.split('/').skip(1).map(decode).collect();
        let segments = segments?;
        let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
        match segments.as_slice() {
            ["v1", "version"] => Ok(Endpoint::Version),
            ["v1", "resources"] => Ok(Endpoint::Resources(None)),
            ["v1", "resources", kind] => Ok(Endpoint::Resources(Some(parse_kind(kind)?))),
            ["v1", "resources", kind, name] => {
                let key = ResourceKey::new(parse_kind(kind)?, *name);
                check::name(&key.to_string(), "name", &key.name)?;
                Ok(Endpoint::Resource(key))
            }
            ["v1", "watch"] => Ok(Endpoint::Watch),
            ["v1", "changes"] => Ok(Endpoint::Changes),
            ["v1", "changes", id] => Ok(Endpoint::Change(change_id(id)?)),
            ["v1", "changes", id, "revert"] => Ok(Endpoint::Revert(change_id(id)?)),
            ["v1", "rollouts"] => Ok(Endpoint::Rollouts),
            ["v1", "quarantine"] => Ok(Endpoint::Quarantine),
            ["v1", "quarantine", hash] => Ok(Endpoint::Quarantined(content_hash(hash)?)),
            _ => {
                let message = format!("path {path:?} is not part of this API");
                Err(Error::new(Category::Missing, message).into())
            }
        }
    }

    /// Returns the supported methods, as written in the `Allow` header.
    pub fn allow(&self) -> &'static str {
        match self {
            Endpoint::Version
            | Endpoint::Resources(_)
            | Endpoint::Watch
            | Endpoint::Change(_)
            | Endpoint::Quarantine
            | Endpoint::Rollouts => "GET",
            Endpoint::Quarantined(_) => "DELETE",
            Endpoint::Resource(_) => "GET, PUT, DELETE",
            Endpoint::Changes => "GET, POST",
            Endpoint::Revert(_) => "POST",
        }
    }

    /// Tests whether a method is supported.
    pub fn allows(&self, method: &Method) -> bool {
        self.allow().split(", ").any(|allowed| method == allowed)
    }

    /// Tests whether the endpoint concerns the configuration.
    pub fn is_configuration(&self) -> bool {
        !matches!(
            self,
            Endpoint::Quarantine | Endpoint::Quarantined(_) | Endpoint::Rollouts
        )
    }

    /// Returns the names of the supported query parameters.
    pub fn parameters(&self) -> &'static [&'static str] {
        match self {
            Endpoint::Version
            | Endpoint::Resources(_)
            | Endpoint::Quarantine
            | Endpoint::Quarantined(_)
            | Endpoint::Rollouts => &[],
            Endpoint::Resource(_) => &["change"],
            Endpoint::Watch => &["kind", "name"],
            Endpoint::Changes => &["check", "limit"],
            Endpoint::Change(_) => &["wait_ms"],
            Endpoint::Revert(_) => &["id"],
        }
    }
}

/// Parses a resource kind; an unknown one is a path that does not exist (404).
fn parse_kind(text: &str) -> Result<Kind, ApiError> {
    let kind = text.parse::<Kind>();
    kind.map_err(|err| ApiError::from(err).with_status(StatusCode::NOT_FOUND))
}

/// Parses the hash of a request's content, as the state dump and the log write it.
fn content_hash(text: &str) -> Result<u128, ApiError> {
    let hash = u128::from_str_radix(text, 16);
    hash.map_err(|err| Error::new(Category::Input, format!("hash {text:?}: {err}")).into())
}

fn change_id(id: &str) -> Result<String, ApiError> {
    check::name("change", "id", id)?;
    Ok(id.to_owned())
}

/// The decoded parameters of a query.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Query {
    pairs: BTreeMap<String, String>,
}

impl Query {
    /// Parses a query.
    ///
    /// # Errors
    ///
    /// Fails for a parameter that is not in `supported` or repeated, and for text that is not
    /// percent-encoded UTF-8.
    pub fn new(query: &str, supported: &[&str]) -> Result<Self, ApiError> {
        let mut pairs = BTreeMap::new();
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let name = decode(&name.replace('+', " "))?;
            let value = decode(&value.replace('+', " "))?;
            if !supported.contains(&name.as_str()) {
                return Err(ApiError::bad_request(format!(
                    "query parameter {name:?} is unknown"
                )));
            }
            if pairs.insert(name.clone(), value).is_some() {
                return Err(ApiError::bad_request(format!(
                    "query parameter {name:?} is given twice"
                )));
            }
        }
        Ok(Query { pairs })
    }

    /// Returns the decoded value of a parameter, if it is present.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.pairs.get(name).map(String::as_str)
    }

    /// Parses a parameter, if it is present.
    ///
    /// # Errors
    ///
    /// Fails when the value cannot be parsed.
    pub fn parsed<T: FromStr>(&self, name: &str) -> Result<Option<T>, ApiError>
    where
        T::Err: std::fmt::Display,
    {
        let Some(value) = self.get(name) else {
            return Ok(None);
        };
        match value.parse() {
            Ok(value) => Ok(Some(value)),
            Err(err) => Err(ApiError::bad_request(format!(
                "query parameter {name:?}: {value:?}: {err}"
            ))),
        }
    }

    /// Parses a parameter that is `true` or `false`; false when absent.
    ///
    /// # Errors
    ///
    /// Fails for any other value.
    pub fn flag(&self, name: &str) -> Result<bool, ApiError> {
        Ok(self.parsed(name)?.unwrap_or(false))
    }
}

/// Decodes percent-encoded UTF-8.
fn decode(text: &str) -> Result<String, ApiError> {
    let invalid = || ApiError::bad_request(format!("{text:?} is not percent-encoded UTF-8"));
    let mut bytes = text.bytes();
    let mut decoded = Vec::with_capacity(text.len());
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let high = bytes.next().and_then(hex_value).ok_or_else(invalid)?;
        let low = bytes.next().and_then(hex_value).ok_or_else(invalid)?;
        decoded.push(high << 4 | low);
    }
    String::from_utf8(decoded).map_err(|_| invalid())
}

fn hex_value(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    u8::try_from(value).ok()
}

/// Reads a whole request body.
///
/// # Errors
///
/// Fails with status 413 when it is longer than [`MAX_CHANGE_LEN`], and with status 400 when it is
/// cut off.
pub async fn read_body(body: Incoming) -> Result<Bytes, ApiError> {
    match Limited::new(body, MAX_CHANGE_LEN).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => {
            let message = format!("request body: more than {MAX_CHANGE_LEN} bytes");
            let error = Error::new(Category::Input, message);
            Err(ApiError::new(StatusCode::PAYLOAD_TOO_LARGE, error))
        }
        Err(err) => Err(ApiError::bad_request(format!("request body: {err}"))),
    }
}
