//! Arbitrary input is either accepted or rejected with findings, without a panic; truncated input is rejected.

mod common;

use common::valid;
use juniperwing_configuration::Configuration;
use proptest::prelude::*;
use serde_json::{Value, json};

#[test]
fn truncated_text_is_rejected() {
    let text = valid().to_string();
    for length in 0..text.len() {
        assert!(Configuration::read(&text.as_bytes()[..length]).is_err(), "{length} bytes");
    }
}

/// Collects JSON pointers to a value and all values nested in it.
fn pointers(value: &Value, at: String, found: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(name, field)| pointers(field, format!("{at}/{name}"), found));
        }
        Value::Array(items) => {
            let items = items.iter().enumerate();
            items.for_each(|(index, item)| pointers(item, format!("{at}/{index}"), found));
        }
        _ => {}
    }
    found.push(at);
}

/// An arbitrary JSON value.
fn any_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(json!(null)),
        Just(json!([])),
        Just(json!({})),
        any::<bool>().prop_map(|flag| json!(flag)),
        any::<i64>().prop_map(|number| json!(number)),
        any::<f64>().prop_map(|number| json!(number)),
        ".{0,5}".prop_map(|text| json!(text)),
        Just(json!([{}])),
    ]
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(Configuration::read(&bytes).is_err());
    }

    #[test]
    fn modified_bytes_do_not_cause_a_panic(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..5),
    ) {
        let mut bytes = valid().to_string().into_bytes();
        for (index, byte) in changes {
            let index = index.index(bytes.len());
            bytes[index] = byte;
        }
        let _ = Configuration::read(&bytes);
    }

    #[test]
    fn modified_values_are_accepted_or_reported(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any_value()), 1..4),
    ) {
        let mut value = valid();
        for (index, replacement) in changes {
            let mut pointers_found = Vec::new();
            pointers(&value, String::new(), &mut pointers_found);
            let replaced = value.pointer_mut(index.get::<String>(&pointers_found)).expect("the pointer resolves");
            *replaced = replacement;
        }
        match Configuration::read(value.to_string().as_bytes()) {
            Ok(configuration) => {
                for route in &configuration.routes {
                    prop_assert!(route.max_retries > 0 && route.timeout.as_nanos() > 0);
                    prop_assert!(!route.service_for(0).0.is_empty());
                }
            }
            Err(findings) => prop_assert!(!findings.is_empty() && !findings.to_string().is_empty()),
        }
    }
}
