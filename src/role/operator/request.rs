//! The paths, queries and bodies of operators' requests.

use super::reply::Fault;
use crate::change::MAX_CHANGE_LEN;
use crate::check;
use crate::error::{Category, Error};
use crate::resource::{Kind, ResourceKey};
use http::{Method, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use std::collections::BTreeMap;
use std::str::FromStr;

/// What a path names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// The version in force.
    Version,
    /// The resources, of one kind or all.
    Resources(Option<Kind>),
    /// One resource.
    Resource(ResourceKey),
    /// The stream of differences.
    Watch,
    /// The log of changes.
    Changes,
    /// One change, by id.
    Change(String),
    /// The revert of a change, by the change's id.
    Revert(String),
}

impl Endpoint {
    /// Reads a path.
    pub fn new(path: &str) -> Result<Self, Fault> {
        let segments: Result<Vec<String>, Fault> = path.split('/').skip(1).map(decode).collect();
        let segments = segments?;
        let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
        match segments.as_slice() {
            ["v1", "version"] => Ok(Endpoint::Version),
            ["v1", "resources"] => Ok(Endpoint::Resources(None)),
            ["v1", "resources", kind] => Ok(Endpoint::Resources(Some(kind_of(kind)?))),
            ["v1", "resources", kind, name] => {
                let key = ResourceKey::new(kind_of(kind)?, *name);
                check::name(&key.to_string(), "name", &key.name)?;
                Ok(Endpoint::Resource(key))
            }
            ["v1", "watch"] => Ok(Endpoint::Watch),
            ["v1", "changes"] => Ok(Endpoint::Changes),
            ["v1", "changes", id] => Ok(Endpoint::Change(change_id(id)?)),
            ["v1", "changes", id, "revert"] => Ok(Endpoint::Revert(change_id(id)?)),
            _ => {
                let message = format!("path {path:?} is not part of this API");
                Err(Error::new(Category::Missing, message).into())
            }
        }
    }

    /// Returns the methods that the path takes, as in the `Allow` header.
    pub fn allow(&self) -> &'static str {
        match self {
            Endpoint::Version | Endpoint::Resources(_) | Endpoint::Watch | Endpoint::Change(_) => {
                "GET"
            }
            Endpoint::Resource(_) => "GET, PUT, DELETE",
            Endpoint::Changes => "GET, POST",
            Endpoint::Revert(_) => "POST",
        }
    }

    /// Tests whether the path takes a method.
    pub fn allows(&self, method: &Method) -> bool {
        self.allow().split(", ").any(|allowed| method == allowed)
    }

    /// Returns the query parameters that the path takes.
    pub fn parameters(&self) -> &'static [&'static str] {
        match self {
            Endpoint::Version | Endpoint::Resources(_) => &[],
            Endpoint::Resource(_) => &["change"],
            Endpoint::Watch => &["kind", "name"],
            Endpoint::Changes => &["check", "limit"],
            Endpoint::Change(_) => &["wait_ms"],
            Endpoint::Revert(_) => &["id"],
        }
    }
}

fn kind_of(text: &str) -> Result<Kind, Fault> {
    let kind = text.parse::<Kind>();
    kind.map_err(|err| Fault::from(err).with_status(StatusCode::NOT_FOUND))
}

fn change_id(id: &str) -> Result<String, Fault> {
    check::name("change", "id", id)?;
    Ok(id.to_owned())
}

/// The parameters of a query.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Query {
    pairs: BTreeMap<String, String>,
}

impl Query {
    /// Reads a query whose parameters are known.
    pub fn new(query: &str, known: &[&str]) -> Result<Self, Fault> {
        let mut pairs = BTreeMap::new();
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let name = decode(&name.replace('+', " "))?;
            let value = decode(&value.replace('+', " "))?;
            if !known.contains(&name.as_str()) {
                return Err(Fault::bad_request(format!(
                    "query parameter {name:?} is unknown"
                )));
            }
            if pairs.insert(name.clone(), value).is_some() {
                return Err(Fault::bad_request(format!(
                    "query parameter {name:?} is given twice"
                )));
            }
        }
        Ok(Query { pairs })
    }

    /// Returns a parameter.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.pairs.get(name).map(String::as_str)
    }

    /// Reads a parameter of another type.
    pub fn parsed<T: FromStr>(&self, name: &str) -> Result<Option<T>, Fault>
    where
        T::Err: std::fmt::Display,
    {
        let Some(value) = self.get(name) else {
            return Ok(None);
        };
        match value.parse() {
            Ok(value) => Ok(Some(value)),
            Err(err) => Err(Fault::bad_request(format!(
                "query parameter {name:?}: {value:?}: {err}"
            ))),
        }
    }

    /// Reads a parameter that is true or false; false when absent.
    pub fn flag(&self, name: &str) -> Result<bool, Fault> {
        Ok(self.parsed(name)?.unwrap_or(false))
    }
}

/// Decodes percent-encoded text.
fn decode(text: &str) -> Result<String, Fault> {
    let wrong = || Fault::bad_request(format!("{text:?} is not percent-encoded UTF-8"));
    let mut bytes = text.bytes();
    let mut decoded = Vec::with_capacity(text.len());
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let high = bytes.next().and_then(hex_value).ok_or_else(wrong)?;
        let low = bytes.next().and_then(hex_value).ok_or_else(wrong)?;
        decoded.push(high << 4 | low);
    }
    String::from_utf8(decoded).map_err(|_| wrong())
}

fn hex_value(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    u8::try_from(value).ok()
}

/// Reads a whole body.
pub async fn read_body(body: Incoming) -> Result<Bytes, Fault> {
    match Limited::new(body, MAX_CHANGE_LEN).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => {
            let message = format!("request body: more than {MAX_CHANGE_LEN} bytes");
            let error = Error::new(Category::Input, message);
            Err(Fault::new(StatusCode::PAYLOAD_TOO_LARGE, error))
        }
        Err(err) => Err(Fault::bad_request(format!("request body: {err}"))),
    }
}
