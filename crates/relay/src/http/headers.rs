//! The header fields of a message.

/// The header fields of a message in the order received, with their names in lower case.
#[derive(Debug, Default)]
pub struct Headers(Vec<(String, Vec<u8>)>);

impl Headers {
    pub(super) fn from_parsed(parsed: &[httparse::Header<'_>]) -> Headers {
        Headers(
            parsed.iter().map(|header| (header.name.to_ascii_lowercase(), header.value.to_vec())).collect(),
        )
    }

    /// Returns the value of a header as received, which may not be UTF-8.
    pub(super) fn raw(&self, name: &str) -> Option<&[u8]> {
        self.0.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| &**value)
    }

    /// Returns all values of the header with this name, which must be in lower case.
    pub(super) fn values(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        self.0.iter().filter(move |(known, _)| known == name).map(|(_, value)| &**value)
    }

    /// Returns the value of a header without surrounding whitespace, if the header is present and is UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.raw(name)?).ok().map(str::trim_ascii)
    }

    /// Whether a header contains this value in its comma-separated list, ignoring case.
    pub(super) fn has_value(&self, name: &str, expected: &str) -> bool {
        let mut values = self.values(name).flat_map(|value| value.split(|byte| *byte == b','));
        values.any(|value| value.trim_ascii().eq_ignore_ascii_case(expected.as_bytes()))
    }

    /// Whether the connection stays open after an HTTP/1.0 or HTTP/1.1 message with these headers.
    pub(super) fn is_keep_alive(&self, minor_version: Option<u8>) -> bool {
        let is_offered = minor_version != Some(0) || self.has_value("connection", "keep-alive");
        is_offered && !self.has_value("connection", "close")
    }
}
