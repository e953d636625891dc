//! Reads change files from disk.

use crate::change::{Change, MAX_CHANGE_LEN};
use crate::error::{Category, Error, Result};
use std::fs::File;
use std::io::Read;
use std::path::Path;

/// Reads a change file: JSON if its name ends in `.json`, TOML otherwise.
///
/// # Errors
///
/// Fails with [`Category::Input`] when the file cannot be read or is not a valid change. The
/// message starts with the file's name, and names the invalid resource and field where known.
pub fn read(file: &str) -> Result<Change> {
    let input_error =
        |err: &dyn std::fmt::Display| Error::new(Category::Input, format!("{file}: {err}"));
    let mut data = Vec::new();
    File::open(file)
        .and_then(|handle| {
            let limit = MAX_CHANGE_LEN as u64 + 1;
            handle.take(limit).read_to_end(&mut data)
        })
        .map_err(|err| input_error(&err))?;
    let text = std::str::from_utf8(&data).map_err(|err| input_error(&err))?;
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

/// Encodes a change as JSON for the API.
///
/// # Errors
///
/// Fails with [`Category::Internal`] when a field cannot be encoded.
pub fn to_json(change: &Change) -> Result<Vec<u8>> {
    serde_json::to_vec(&change.to_file()).map_err(|err| Error::new(Category::Internal, err))
}
