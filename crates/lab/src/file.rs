//! Scenario files: TOML, read, checked and written. It owns where in a file a fault lies. It must never mend a
//! scenario or fill in what the file does not say, beyond the defaults that the scenario itself has.

use std::fmt::{self, Write};
use std::ops::Range;
use std::path::{Path, PathBuf};

use juniperwing_model::Scenario;
use toml_edit::{Document, Item};

/// The largest file that is read: no scenario is near it.
const MOST_BYTES: u64 = 1 << 20;

/// Why a scenario cannot be used: each fault with its file and line.
#[derive(Debug)]
pub struct Refused(String);

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Refused {}

/// Reads a scenario: a file or, if there is none of that name, one of `lab/scenarios`.
pub fn read(named: &Path) -> Result<Scenario, Refused> {
    let path = find(named);
    let said = path.display();
    let refused = |why: String| Refused(format!("{said}: {why}"));
    let of = std::fs::metadata(&path).map_err(|e| refused(e.to_string()))?;
    if !of.is_file() {
        return Err(refused("is no file".to_owned()));
    }
    if of.len() > MOST_BYTES {
        return Err(refused(format!("is larger than {MOST_BYTES} bytes")));
    }
    let bytes = std::fs::read(&path).map_err(|e| refused(e.to_string()))?;
    let text = String::from_utf8(bytes).map_err(|e| refused(format!("is not UTF-8: {e}")))?;
    parse(&text, &said.to_string())
}

fn find(named: &Path) -> PathBuf {
    let kept = Path::new("lab/scenarios").join(named).with_extension("toml");
    if !named.exists() && kept.exists() { kept } else { named.to_owned() }
}

/// Reads a scenario from its text; `file` is what a refusal calls it.
pub fn parse(text: &str, file: &str) -> Result<Scenario, Refused> {
    let scenario: Scenario = match toml::from_str(text) {
        Ok(scenario) => scenario,
        Err(e) => {
            let line = e.span().map_or(1, |span| line_of(text, span.start));
            return Err(Refused(format!(
                "{file}:{line}: {}",
                e.message().lines().collect::<Vec<_>>().join(" ")
            )));
        }
    };
    let errors = scenario.check();
    if errors.is_empty() {
        return Ok(scenario);
    }
    let document = Document::parse(text).ok();
    let mut said = String::new();
    for error in errors {
        let path: Vec<&str> = error.path.split('.').collect();
        let span = document.as_ref().and_then(|document| span_of(document.as_item(), &path));
        let line = span.map_or(1, |start| line_of(text, start));
        // A string takes any text.
        let _ = writeln!(said, "{file}:{line}: {}: {}", error.path, error.reason);
    }
    Err(Refused(said.trim_end().to_owned()))
}

fn line_of(text: &str, at: usize) -> usize {
    text.as_bytes().iter().take(at).filter(|byte| **byte == b'\n').count() + 1
}

/// Where the thing at a path of keys and places starts, or the nearest above it that the file has.
fn span_of(item: &Item, path: &[&str]) -> Option<usize> {
    let start = |span: Option<Range<usize>>| span.map(|span| span.start);
    let Some((key, below)) = path.split_first() else { return start(item.span()) };
    let inner = match (item, key.parse::<usize>()) {
        (Item::ArrayOfTables(tables), Ok(place)) => tables.get(place).and_then(|table| {
            // A table of an array is no item of its own.
            let inner = below.split_first().and_then(|(key, below)| span_of(table.get(key)?, below));
            inner.or(start(table.span()))
        }),
        (Item::Value(value), Ok(place)) => {
            start(value.as_array().and_then(|array| array.get(place)).and_then(|value| value.span()))
        }
        _ => item.get(key).and_then(|inner| span_of(inner, below)),
    };
    inner.or(start(item.span()))
}

/// A scenario as a file has it.
pub fn write(scenario: &Scenario) -> Result<String, Refused> {
    toml::to_string_pretty(scenario).map_err(|e| Refused(e.to_string()))
}
