//! Reads and filters HTTP headers.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// The hop-by-hop headers, which apply to a single connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A header's value as text; empty if it is missing or not text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).map_or("", value_text)
}

/// A header's value as a number.
pub fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name).trim().parse().ok()
}

/// A header's value as text; empty if it is not text.
pub fn value_text(value: &HeaderValue) -> &str {
    value.to_str().unwrap_or("")
}

/// Creates a header name from a lower-case constant.
///
/// # Panics
///
/// If the name is not a valid lower-case header name.
pub fn header_name(name: &'static str) -> HeaderName {
    HeaderName::from_static(name)
}

/// Whether a body has a transfer coding other than `chunked`. Its encoded bytes would be forwarded as the body itself.
pub fn has_other_transfer_coding(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    codings.next().is_some_and(|first| !first.as_bytes().eq_ignore_ascii_case(b"chunked"))
        || codings.next().is_some()
}

/// For how many seconds an endpoint keeps the idle connection open; 0 if it closes it, `None` if it does not say.
pub fn keep_alive_secs(headers: &HeaderMap) -> Option<u64> {
    let connection = header_text(headers, "connection");
    if connection.split(',').any(|option| option.trim().eq_ignore_ascii_case("close")) {
        return Some(0);
    }
    let keep_alive = header_text(headers, "keep-alive");
    let timeout = keep_alive.split(',').find_map(|option| option.trim().strip_prefix("timeout="));
    timeout.unwrap_or(keep_alive).trim().parse().ok()
}

/// Removes hop-by-hop headers, including those that `Connection` lists.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .flat_map(|value| value_text(value).split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name: &HeaderName| !name.as_str().starts_with("x-"))
        .collect();
    for name in HOP_BY_HOP.iter().chain(&listed) {
        headers.remove(name);
    }
}
