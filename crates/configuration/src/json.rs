//! Deserialization of JSON objects that rejects arrays in their place.

use std::fmt;
use std::marker::PhantomData;

use serde::de::value::MapAccessDeserializer;
use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// A message that must be a JSON object. By default `serde` also accepts an array of the fields' values.
pub(crate) struct Object<T>(pub(crate) T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Object<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ObjectVisitor(PhantomData))
    }
}

struct ObjectVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ObjectVisitor<T> {
    type Value = Object<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Object<T>, A::Error> {
        T::deserialize(MapAccessDeserializer::new(map)).map(Object)
    }
}

/// Deserializes an object; `null` is `None`.
pub(crate) fn object<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    let object: Option<Object<T>> = Option::deserialize(deserializer)?;
    Ok(object.map(|object| object.0))
}

/// Deserializes a list of objects.
pub(crate) fn objects<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    let objects: Vec<Object<T>> = Vec::deserialize(deserializer)?;
    Ok(objects.into_iter().map(|object| object.0).collect())
}

/// Deserializes a list of objects; `null` is an empty list.
pub(crate) fn objects_or_null<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    let objects: Option<Vec<Object<T>>> = Option::deserialize(deserializer)?;
    Ok(objects.unwrap_or_default().into_iter().map(|object| object.0).collect())
}
