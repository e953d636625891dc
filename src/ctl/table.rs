//! Formats API responses as tables.

use serde_json::{Map, Value};
use std::fmt::Write as _;

/// Formats a response as aligned columns.
///
/// The lists named in `columns_of` become tables; a response without one is printed as pairs.
#[must_use]
pub fn render(body: &Value) -> String {
    let Some(fields) = body.as_object() else {
        return format!("{}\n", cell(body));
    };
    let mut text = String::new();
    if let Some(kind) = fields.get("type") {
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "-- {} at version {}",
            cell(kind),
            cell(&body["version"])
        );
    }
    let mut tables = 0;
    for (name, rows) in fields {
        let Some(rows) = rows.as_array().filter(|_| columns_of(name).is_some()) else {
            continue;
        };
        tables += 1;
        if name == "removals" && !rows.is_empty() {
            text.push_str("removed:\n");
        }
        text.push_str(&table(columns_of(name).unwrap_or_default(), rows));
    }
    if tables == 0 {
        text.push_str(&pairs(fields));
    }
    text
}

/// Replaces control characters, which a terminal could interpret as escape sequences.
#[must_use]
pub fn printable(text: &str) -> String {
    let replace = |c: char| {
        if c.is_control() && c != '\n' {
            '\u{fffd}'
        } else {
            c
        }
    };
    text.chars().map(replace).collect()
}

/// Returns the columns of a list in a response, or `None` if it is not printed as a table.
fn columns_of(list: &str) -> Option<&'static [&'static str]> {
    match list {
        "resources" | "upserts" => Some(&["kind", "name", "revision", "spec"]),
        "rollouts" => Some(&[
            "service", "version", "phase", "step", "share", "current", "decider", "reason",
        ]),
        "evidence" => Some(&[
            "service",
            "version",
            "route_class",
            "servers",
            "calls",
            "failures",
            "mean_us",
        ]),
        "removals" => Some(&["kind", "name"]),
        "effects" => Some(&["action", "kind", "name", "before", "after"]),
        "changes" => Some(&["version", "change", "title", "touched", "accepted_ms"]),
        _ => None,
    }
}

fn table(columns: &[&str], rows: &[Value]) -> String {
    if rows.is_empty() {
        return String::new();
    }
    let mut cells: Vec<Vec<String>> =
        vec![columns.iter().map(|name| name.to_uppercase()).collect()];
    for row in rows {
        cells.push(columns.iter().map(|name| cell(&row[*name])).collect());
    }
    let widths: Vec<usize> = (0..columns.len())
        .map(|column| {
            let lengths = cells.iter().map(|row| row[column].chars().count());
            lengths.max().unwrap_or(0)
        })
        .collect();
    let mut text = String::new();
    for row in cells {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            // Writing to a string does not fail.
            let _ = write!(line, "{cell:width$}  ");
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// Formats fields one per line, nested ones with their dotted path.
fn pairs(fields: &Map<String, Value>) -> String {
    let mut lines = Vec::new();
    flatten("", fields, &mut lines);
    let width = lines.iter().map(|(name, _)| name.chars().count()).max();
    let width = width.unwrap_or(0);
    let mut text = String::new();
    for (name, value) in lines {
        // Writing to a string does not fail.
        let _ = writeln!(text, "{name:width$}  {value}");
    }
    text
}

fn flatten(prefix: &str, fields: &Map<String, Value>, lines: &mut Vec<(String, String)>) {
    for (name, value) in fields {
        let path = format!("{prefix}{}", printable(name));
        match value {
            Value::Object(inner) if !inner.is_empty() => flatten(&format!("{path}."), inner, lines),
            Value::Array(items) if items.iter().any(Value::is_object) => {
                for item in items {
                    lines.push((path.clone(), cell(item)));
                }
            }
            _ => lines.push((path, cell(value))),
        }
    }
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => printable(text).replace('\n', " "),
        Value::Array(items) if items.iter().all(Value::is_string) => {
            if items.is_empty() {
                return "-".into();
            }
            let items: Vec<String> = items.iter().map(cell).collect();
            items.join(",")
        }
        other => printable(&other.to_string()),
    }
}
