//! Change files on the operator's disk.

use crate::change::{Change, MAX_CHANGE_LEN};
use crate::error::{Category, Error, Result};
use std::fs::File;
use std::io::Read;
use std::path::Path;

/// Reads a change file: JSON if its name ends in `.json`, else TOML.
///
/// # Errors
///
/// Fails with the file's name, and the resource and field at fault where there is one.
pub fn read(file: &str) -> Result<Change> {
    let fault = |err: &dyn std::fmt::Display| Error::new(Category::Input, format!("{file}: {err}"));
    let mut data = Vec::new();
    File::open(file)
        .and_then(|opened| {
            let limit = MAX_CHANGE_LEN as u64 + 1;
            opened.take(limit).read_to_end(&mut data)
        })
        .map_err(|err| fault(&err))?;
    let text = std::str::from_utf8(&data).map_err(|err| fault(&err))?;
    let is_json = Path::new(file)
        .extension()
        .is_some_and(|extension| extension == "json");
    let change = if is_json {
        Change::from_json(text.as_bytes())
    } else {
        Change::from_toml(text)
    };
    change.map_err(|err| {
        let message = format!("{file}: {err}");
        err.with_message(message)
    })
}

/// Writes a change as JSON for the API.
///
/// # Errors
///
/// Fails when a field cannot be written.
pub fn to_json(change: &Change) -> Result<Vec<u8>> {
    serde_json::to_vec(&change.to_file()).map_err(|err| Error::new(Category::Internal, err))
}
